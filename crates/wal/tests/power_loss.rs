//! After a loss of power at any point, whichever unsynced operations survive it, the folder must open with all
//! acknowledged records.

mod power;

use power::{search, Scenario};
use stileroute_wal::Step;

#[test]
fn after_any_loss_of_power_the_folder_opens_with_all_acknowledged_records() {
    let failures = [
        None,
        Some((Step::SyncFolderAfterSegment, 1)),
        Some((Step::SyncFolderAfterSnapshot, 1)),
        Some((Step::SyncSegment, 4)),
        Some((Step::WriteEntries, 4)),
        Some((Step::RemoveCovered, 1)),
    ];
    for failure in failures {
        let result = search(&Scenario { failure, options: &|options| options });
        assert_eq!(result.fault, None, "with {failure:?}");
        println!("{failure:?}: {} points, {} outcomes", result.points, result.outcomes);
        assert!(
            result.points > 60 && result.outcomes > 400,
            "{} points, {} outcomes",
            result.points,
            result.outcomes
        );
    }
}
