//! After a loss of power at any point, whichever of the unsynced operations it keeps, the folder opens with what was answered.

mod power;

use power::{search, Scenario};
use stileroute_wal::Step;

#[test]
fn whatever_a_loss_of_power_keeps_the_folder_opens_with_what_was_answered() {
    let failures = [
        None,
        Some((Step::SyncFolderAfterSegment, 1)),
        Some((Step::SyncFolderAfterSnapshot, 1)),
        Some((Step::SyncSegment, 4)),
        Some((Step::WriteEntries, 4)),
        Some((Step::RemoveCovered, 1)),
    ];
    for failure in failures {
        let found = search(&Scenario { failure, options: &|options| options });
        assert_eq!(found.fault, None, "with {failure:?}");
        println!("{failure:?}: {} points, {} outcomes", found.points, found.outcomes);
        assert!(
            found.points > 60 && found.outcomes > 400,
            "{} points, {} outcomes",
            found.points,
            found.outcomes
        );
    }
}
