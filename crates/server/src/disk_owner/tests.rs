use super::*;
use assert_matches::assert_matches;

/// Creates a separate data folder for each test.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("stilerouted-disk-owner-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn a_folder_belongs_to_the_first_node_that_opens_it() {
    let folder = folder("first");
    assert_eq!(read(&folder, "hold").unwrap(), None);
    claim(&folder, "hold", "store-1").unwrap();
    claim(&folder, "hold", "store-1").unwrap();
    assert_eq!(read(&folder, "hold").unwrap().as_deref(), Some("store-1"));
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn swapped_folders_are_rejected_with_one_line_that_names_the_owner() {
    let folder = folder("swapped");
    claim(&folder, "watch", "core-1").unwrap();
    let error = claim(&folder, "watch", "core-2").unwrap_err();
    assert_matches!(&error, OwnerError::BelongsToOther { owner, node, .. } if owner == "core-1" && node == "core-2");
    let text = error.to_string();
    assert!(text.contains("watch.owner") && text.contains("core-1") && !text.contains('\n'), "{text}");
    // The rejected claim leaves the folder unchanged: its owner can still open it.
    claim(&folder, "watch", "core-1").unwrap();
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn two_roles_of_one_machine_share_a_folder() {
    let folder = folder("roles");
    claim(&folder, "watch", "both-1").unwrap();
    claim(&folder, "hold", "both-1").unwrap();
    assert_eq!(read(&folder, "hold").unwrap().as_deref(), Some("both-1"));
    fs::remove_dir_all(folder).unwrap();
}
