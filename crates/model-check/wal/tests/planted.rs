//! The power-loss search must detect each planted fault, and must not find a fault in the unmodified write-ahead log.

extern crate stileroute_wal_planted as stileroute_wal;

#[path = "../../../wal/tests/power/mod.rs"]
mod power;

use power::{search, Failure, Scenario};
use stileroute_wal::{Options, PlantedFault, Step};

fn find_fault(planted: PlantedFault, failure: Failure) -> Option<String> {
    let options = |options| Options { planted_fault: Some(planted), ..options };
    search(&Scenario { failure, options: &options }).fault
}

#[test]
fn each_planted_fault_is_detected() {
    for planted in PlantedFault::ALL {
        let failure = match planted {
            // A segment's name can be lost only if a sync of the folder fails, so this failure is injected.
            PlantedFault::UnsyncedSegmentCovered => Some((Step::SyncFolderAfterSegment, 1)),
            _ => None,
        };
        let fault = find_fault(planted, failure);
        println!("{planted:?}: {fault:?}");
        assert!(fault.is_some(), "the planted fault {planted:?} was not detected");
    }
}

#[test]
fn no_fault_is_found_without_a_planted_fault() {
    let result = search(&Scenario { failure: None, options: &|options| options });
    assert_eq!(result.fault, None, "{} points, {} outcomes", result.points, result.outcomes);
}
