//! The list of known failures is read by `.ci/known-red`: it passes over the cargo tests that the list names, and over nothing else.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const DAY: &str = "day site-quiet-1: fleetbench run site quiet-1: TWICE once: issue 1";
const TEST: &str = "test queue::tests::a_test: cargo test a_test: fails, not traced: issue 23";

fn list(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("known-red-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn read(list: &Path) -> Output {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let output = Command::new(script).arg(list).output().unwrap();
    let _ = std::fs::remove_file(list);
    output
}

#[test]
fn tests_are_passed_over_and_all_other_entries_are_printed_only() {
    let output = read(&list("both", &format!("{DAY}\n{TEST}\n")));
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), "queue::tests::a_test\n");
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(printed.contains(DAY) && printed.contains(TEST), "{printed}");
}

#[test]
fn without_a_list_nothing_is_passed_over() {
    let output = read(Path::new("/nonexistent/known-red"));
    assert!(output.status.success() && output.stdout.is_empty());
}

#[test]
fn a_line_of_another_form_fails_and_passes_over_nothing() {
    let malformed = [
        "a_test: cargo test a_test: fails: issue 1",
        "test a_test: fails",
        "test a_test: cargo test a_test: fails",
        "  continued on a second line",
        "",
        "test two words: cargo test: fails: issue 1",
    ];
    for line in malformed {
        let output = read(&list("malformed", &format!("{TEST}\n{line}\n{DAY}\n")));
        assert!(!output.status.success() && output.stdout.is_empty(), "{line}");
    }
}

#[test]
fn the_list_of_this_repository_is_well_formed() {
    let list = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../KNOWN-RED.txt");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let output = Command::new(script).arg(list).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}
