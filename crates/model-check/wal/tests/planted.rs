//! Each planted fault is found by the search that finds none in what is in service.

extern crate stileroute_wal_planted as stileroute_wal;

#[path = "../../../wal/tests/power/mod.rs"]
mod power;

use power::{search, Failure, Scenario};
use stileroute_wal::{Options, PlantedFault, Step};

fn faults(planted: PlantedFault, failure: Failure) -> Option<String> {
    let options = |options| Options { planted_fault: Some(planted), ..options };
    search(&Scenario { failure, options: &options }).fault
}

#[test]
fn each_planted_fault_is_found() {
    for planted in PlantedFault::ALL {
        let failure = match planted {
            // Only a folder that could not be synced leaves a segment whose name may be lost.
            PlantedFault::NamelessCovered => Some((Step::SyncFolderAfterSegment, 1)),
            _ => None,
        };
        let fault = faults(planted, failure);
        println!("{planted:?}: {fault:?}");
        assert!(fault.is_some(), "{planted:?} was not found");
    }
}

#[test]
fn without_a_fault_these_sources_pass_too() {
    let found = search(&Scenario { failure: None, options: &|options| options });
    assert_eq!(found.fault, None, "{} points, {} outcomes", found.points, found.outcomes);
}
