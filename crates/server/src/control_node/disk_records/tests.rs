use super::*;
use crate::calls::LARGEST_CONFIGURATION;
use stileroute_control_group::{ControlState, Retirement, RetirementStage, MAX_RETIREMENTS};
use stileroute_wal::MAX_RECORD_BYTES;

/// The largest possible state: a configuration of the maximum size, and as many retirements as are stored, with the
/// longest accepted names.
fn largest_state() -> ControlState {
    let name = |i: usize| format!("{i:0>255}");
    let retirement = |i| Retirement { node: i as u32, name: name(i), stage: RetirementStage::Complete };
    let body = (0..LARGEST_CONFIGURATION).map(|i| i as u8).collect();
    ControlState { serial: 70, version: 7, body, retirements: (0..MAX_RETIREMENTS).map(retirement).collect() }
}

#[test]
fn the_largest_state_fits_into_one_record_and_survives_a_snapshot() {
    let record = encode(&Record::ControlState(largest_state()));
    assert!(record.len() <= MAX_RECORD_BYTES);
    let mut records = DiskRecords::default();
    records.apply(&record);
    assert_eq!(records.0.state, Some(largest_state()));
    // A checkpoint restores the same state as the record.
    let mut restored = DiskRecords::default();
    records.snapshot(&mut |record| restored.apply(record));
    assert_eq!(restored.0, records.0);
}

#[test]
fn a_record_of_an_older_build_is_read() {
    #[derive(serde::Serialize)]
    enum OlderRecord {
        #[allow(dead_code)]
        Watch,
        ControlState {
            version: u64,
            body: Vec<u8>,
        },
    }
    let older =
        postcard::to_stdvec(&OlderRecord::ControlState { version: 7, body: b"seven".to_vec() }).unwrap();
    let mut records = DiskRecords::default();
    records.apply(&older);
    let read = ControlState { serial: 7, version: 7, body: b"seven".to_vec(), retirements: Vec::new() };
    assert_eq!(records.0.state, Some(read));
}
