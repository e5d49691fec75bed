//! Each planted fault is found by the search that finds none in what is in service.

extern crate stileroute_wal_planted as stileroute_wal;

#[path = "../../../wal/tests/power/mod.rs"]
mod power;

use power::{search, Failing, Play};
use stileroute_wal::{Options, PlantedFault, Step};

fn faults(planted: PlantedFault, failing: Failing) -> Option<String> {
    let options = |options| Options { planted_fault: Some(planted), ..options };
    search(&Play { failing, options: &options }).fault
}

#[test]
fn each_planted_fault_is_found() {
    for planted in PlantedFault::ALL {
        let failing = match planted {
            // Only a folder that could not be synced leaves a segment whose name may be lost.
            PlantedFault::NamelessCovered => Some((Step::SyncFolderAfterSegment, 1)),
            _ => None,
        };
        let fault = faults(planted, failing);
        println!("{planted:?}: {fault:?}");
        assert!(fault.is_some(), "{planted:?} was not found");
    }
}

#[test]
fn without_a_fault_these_sources_pass_too() {
    let found = search(&Play { failing: None, options: &|options| options });
    assert_eq!(found.fault, None, "{} points, {} outcomes", found.points, found.outcomes);
}
