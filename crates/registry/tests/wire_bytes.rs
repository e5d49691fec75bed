//! Tests the postcard bytes of every type that control nodes send to each other and to nodes. The bytes must
//! never change, because processes of two releases would misread each other's messages.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_registry::*;

/// Fails unless `value` encodes to exactly these bytes and they decode to the same value.
fn assert_bytes<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, hex: &str) {
    let bytes = postcard::to_stdvec(value).expect("encodes");
    let encoded: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(encoded, hex, "{value:?}");
    let decoded: T = postcard::from_bytes(&bytes).expect("decodes");
    assert_eq!(decoded, *value);
}

fn member(role: NodeRole, control: Option<SocketAddrV4>, retirement: RetirementState) -> Member {
    Member {
        node: 0x0102_0304,
        name: "store-1".into(),
        role,
        zone: "z1".into(),
        ip: Ipv4Addr::new(10, 1, 0, 14),
        incarnation: 300,
        control_address: control,
        config_version: 7,
        retirement,
    }
}

fn heartbeat(state: ExecutorState) -> Heartbeat {
    Heartbeat {
        id: "exec-1".into(),
        backend: "crane".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 2, 0, 5), 8080),
        zone: "z2".into(),
        capacity: 16,
        state,
        warmup_left_ms: 2500,
        sequence: 129,
        age_ms: 40,
    }
}

#[test]
fn node_roles_keep_their_bytes_and_texts() {
    let cases = [
        (NodeRole::Edge, "00", "edge"),
        (NodeRole::Store, "01", "store"),
        (NodeRole::Control, "02", "core"),
        (NodeRole::CommandLine, "03", "visitor"),
    ];
    for (role, hex, text) in cases {
        assert_bytes(&role, hex);
        assert_eq!(role.to_string(), text);
    }
}

#[test]
fn retirement_states_keep_their_bytes_and_texts() {
    let cases = [
        (RetirementState::NotRetiring, "00", "no"),
        (RetirementState::Draining, "01", "rolling"),
        (RetirementState::Complete, "02", "complete"),
    ];
    for (retirement, hex, text) in cases {
        assert_bytes(&retirement, hex);
        assert_eq!(retirement.to_string(), text);
    }
    assert_eq!(RetirementState::default(), RetirementState::NotRetiring);
    assert!(
        RetirementState::NotRetiring < RetirementState::Draining
            && RetirementState::Draining < RetirementState::Complete
    );
}

#[test]
fn executor_states_keep_their_bytes_and_texts() {
    let cases = [
        (ExecutorState::Serving, "00", "serving"),
        (ExecutorState::Draining, "01", "draining"),
        (ExecutorState::Offline, "02", "gone"),
    ];
    for (state, hex, text) in cases {
        assert_bytes(&state, hex);
        assert_eq!(state.to_string(), text);
    }
}

#[test]
fn members_keep_their_bytes() {
    let control = Some(SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7300));
    assert_bytes(
        &member(NodeRole::Store, None, RetirementState::Draining),
        "848688080773746f72652d3101027a310a01000eac02000701",
    );
    assert_bytes(
        &member(NodeRole::Control, control, RetirementState::NotRetiring),
        "848688080773746f72652d3102027a310a01000eac02010a01000184390700",
    );
}

#[test]
fn heartbeats_keep_their_bytes() {
    assert_bytes(
        &heartbeat(ExecutorState::Serving),
        "06657865632d31056372616e650a020005903f027a321000c413810128",
    );
    assert_bytes(
        &heartbeat(ExecutorState::Offline),
        "06657865632d31056372616e650a020005903f027a321002c413810128",
    );
}

#[test]
fn membership_updates_keep_their_bytes() {
    assert_bytes(&MembershipUpdate::default(), "0000000000000000");
    let full = MembershipUpdate {
        incarnation: 77,
        version: 300,
        is_partitioned: true,
        is_complete: false,
        config: Some(vec![0x7b, 0x7d]),
        members: Some(vec![member(NodeRole::Edge, None, RetirementState::Complete)]),
        executors: vec![heartbeat(ExecutorState::Draining)],
        contact_age_ms: 300,
    };
    assert_bytes(&full, "4dac02010001027b7d0101848688080773746f72652d3100027a310a01000eac020007020106657865632d31056372616e650a020005903f027a321001c413810128ac02");
    assert_bytes(
        &MembershipUpdate { is_partitioned: false, is_complete: true, config: None, members: None, ..full },
        "4dac02000100000106657865632d31056372616e650a020005903f027a321001c413810128ac02",
    );
}

#[test]
fn an_update_of_an_earlier_release_decodes_with_contact_age_0() {
    let earlier = [0x4d, 0xac, 0x02, 0, 0, 0, 0, 0];
    let update: MembershipUpdate = postcard::from_bytes(&earlier).expect("decodes");
    assert_eq!((update.incarnation, update.version, update.contact_age_ms), (77, 300, 0));
}
