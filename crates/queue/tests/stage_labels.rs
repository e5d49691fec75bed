//! The names of the stages of a message in reports and metrics, which operators' tools read.

use stileroute_queue::Stage;

#[test]
fn every_stage_is_reported_by_its_documented_word() {
    let labels = [
        (Stage::Persisting, "landing"),
        (Stage::Suspended, "held"),
        (Stage::Waiting, "waiting"),
        (Stage::InFlight, "out"),
        (Stage::Replica, "copy"),
        (Stage::Ended, "ended"),
    ];
    for (stage, label) in labels {
        assert_eq!(stage.label(), label);
    }
}
