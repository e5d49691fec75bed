//! The words by which reports and metrics name the stages of a message. Operators' tools read them.

use stileroute_queue::Stage;

#[test]
fn every_stage_is_reported_by_its_documented_word() {
    let labels = [
        (Stage::Landing, "landing"),
        (Stage::Held, "held"),
        (Stage::Waiting, "waiting"),
        (Stage::Out, "out"),
        (Stage::Copy, "copy"),
        (Stage::Ended, "ended"),
    ];
    for (stage, label) in labels {
        assert_eq!(stage.label(), label);
    }
}
