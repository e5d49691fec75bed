//! After a loss of power at any point, whichever of the unsynced operations it keeps, the folder opens with what was answered.

mod power;

use power::{search, Play};
use stileroute_wal::Step;

#[test]
fn whatever_a_loss_of_power_keeps_the_folder_opens_with_what_was_answered() {
    let failing = [
        None,
        Some((Step::SyncFolderAfterSegment, 1)),
        Some((Step::SyncFolderAfterSnapshot, 1)),
        Some((Step::SyncSegment, 4)),
        Some((Step::WriteEntries, 4)),
        Some((Step::RemoveCovered, 1)),
    ];
    for failing in failing {
        let found = search(&Play { failing, options: &|options| options });
        assert_eq!(found.fault, None, "with {failing:?}");
        println!("{failing:?}: {} points, {} outcomes", found.points, found.outcomes);
        assert!(
            found.points > 60 && found.outcomes > 400,
            "{} points, {} outcomes",
            found.points,
            found.outcomes
        );
    }
}
