//! Byte-exact tests of the wire and disk formats of the control group. The formats must not change, so that processes of two
//! builds understand each other and a disk written by an older build can be read.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use stileroute_control_group::{
    ControlState, Heartbeat, HeartbeatAck, LegacyConfiguration, Message, NodeId, Rank, Record, Retirement,
    RetirementStage, Verdict, View, Vote,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Asserts that a value encodes to exactly these bytes, and that they decode to the same value.
#[track_caller]
fn assert_bytes<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, expected: &str) {
    let bytes = postcard::to_stdvec(value).expect("encodes");
    assert_eq!(hex(&bytes), expected, "{value:?}");
    assert_eq!(&postcard::from_bytes::<T>(&bytes).expect("decodes"), value);
}

fn node(last: u8) -> NodeId {
    NodeId::new([10, 0, 0, last].into(), 9000)
}

fn view() -> View {
    View {
        epoch: 300,
        primary: node(1),
        replicas: vec![node(1), node(2)],
        voters: vec![node(1), node(2), node(3)],
        membership_epoch: 4,
    }
}

fn state() -> ControlState {
    let retirement = |node, name: &str, stage| Retirement { node, name: name.to_string(), stage };
    ControlState {
        serial: 12,
        version: 7,
        body: b"body".to_vec(),
        retirements: vec![
            retirement(1, "a", RetirementStage::Ordered),
            retirement(2, "b", RetirementStage::Draining),
            retirement(0xFFFF_FFFF, "c", RetirementStage::Complete),
        ],
    }
}

fn heartbeat(last_acked: Option<u64>) -> Heartbeat {
    Heartbeat {
        epoch: 5,
        sent_at: 1_000,
        committed: Rank { version: 7, serial: 12 },
        committed_digest: 0xABCD,
        last_acked,
    }
}

const VIEW: &str = "ac020a000001a846020a000001a8460a000002a846030a000001a8460a000002a8460a000003a84604";
const STATE: &str = "0c0704626f6479030101610002016201ffffffff0f016302";

#[test]
fn a_view_and_a_control_state_have_these_bytes() {
    assert_bytes(&view(), VIEW);
    assert_bytes(&state(), STATE);
    assert_bytes(&ControlState::default(), "00000000");
    assert_bytes(&Rank { version: 7, serial: 12 }, "070c");
}

#[test]
fn a_heartbeat_has_these_bytes() {
    assert_bytes(&heartbeat(None), "05e807070ccdd70200");
    assert_bytes(&heartbeat(Some(900)), "05e807070ccdd702018407");
}

#[test]
fn each_message_about_views_has_these_bytes() {
    assert_bytes(&Message::Propose { view: view(), by_handover: false }, &format!("00{VIEW}00"));
    assert_bytes(&Message::Propose { view: view(), by_handover: true }, &format!("00{VIEW}01"));
    assert_bytes(&Message::Granted { view: view() }, &format!("01{VIEW}"));
    assert_bytes(&Message::Denied { view: view() }, &format!("02{VIEW}"));
    assert_bytes(&Message::Handover { epoch: 5, is_shutting_down: false }, "070500");
    assert_bytes(&Message::Handover { epoch: 5, is_shutting_down: true }, "070501");
    assert_bytes(&Message::Leave { epoch: 5 }, "0805");
    assert_bytes(&Message::ViewRequest, "09");
    assert_bytes(&Message::ViewReply { view: None }, "0a00");
    assert_bytes(&Message::ViewReply { view: Some(view()) }, &format!("0a01{VIEW}"));
}

#[test]
fn each_message_about_the_state_has_these_bytes() {
    assert_bytes(&Message::Store { epoch: 5, write_id: 200, state: state() }, &format!("0305c801{STATE}"));
    assert_bytes(&Message::Stored { epoch: 5, write_id: 200 }, "0405c801");
    assert_bytes(&Message::StateRequest, "0b");
    assert_bytes(&Message::StateReply { state: state() }, &format!("0c{STATE}"));
}

#[test]
fn each_message_of_the_heartbeat_has_these_bytes() {
    assert_bytes(&Message::Heartbeat(heartbeat(None)), "0505e807070ccdd70200");
    assert_bytes(&Message::Heartbeat(heartbeat(Some(900))), "0505e807070ccdd702018407");
    let ack = |is_voting, has_state| {
        Message::HeartbeatAck(HeartbeatAck { epoch: 5, sent_at: 1_000, is_voting, has_state })
    };
    assert_bytes(&ack(false, false), "0605e8070000");
    assert_bytes(&ack(true, false), "0605e8070100");
    assert_bytes(&ack(false, true), "0605e8070001");
    assert_bytes(&ack(true, true), "0605e8070101");
}

#[test]
fn each_record_has_these_bytes() {
    assert_bytes(&Record::View(view()), &format!("00{VIEW}"));
    let old = LegacyConfiguration { version: 7, body: b"body".to_vec() };
    assert_bytes(&Record::LegacyConfiguration(old), "010704626f6479");
    assert_bytes(&Record::Vote(Vote { epoch: 300, primary: node(2) }), "02ac020a000002a846");
    assert_bytes(&Record::ControlState(state()), &format!("03{STATE}"));
}

#[test]
fn each_verdict_has_these_bytes() {
    assert_bytes(&Verdict::Accepted, "00");
    assert_bytes(&Verdict::Unchanged, "01");
    assert_bytes(&Verdict::NotPrimary { primary: None }, "0200");
    assert_bytes(&Verdict::NotPrimary { primary: Some(node(1)) }, "02010a000001a846");
    assert_bytes(&Verdict::Uncertain, "03");
    assert_bytes(&Verdict::NotCommitted, "04");
}

#[test]
fn a_digest_is_the_same_in_every_build() {
    assert_eq!(state().digest(), 0x6ecb_bebd_793d_556b);
    assert_eq!(ControlState::default().digest(), 0x81d2_3fd7_003c_2305);
}
