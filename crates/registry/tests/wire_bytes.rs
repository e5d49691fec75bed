//! The postcard bytes of every type that control nodes send each other and to nodes: they must never change, or processes of
//! two versions misread each other.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_registry::*;

/// Fails unless `value` encodes to just these bytes, and they decode to the same value.
fn assert_bytes<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, hex: &str) {
    let bytes = postcard::to_stdvec(value).expect("encodes");
    let encoded: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(encoded, hex, "{value:?}");
    let decoded: T = postcard::from_bytes(&bytes).expect("decodes");
    assert_eq!(decoded, *value);
}

fn member(class: Class, control: Option<SocketAddrV4>, retiring: Retiring) -> Member {
    Member {
        node: 0x0102_0304,
        name: "store-1".into(),
        class,
        zone: "z1".into(),
        ip: Ipv4Addr::new(10, 1, 0, 14),
        life: 300,
        control,
        config: 7,
        retiring,
    }
}

fn heartbeat(standing: Standing) -> Heartbeat {
    Heartbeat {
        id: "exec-1".into(),
        backend: "crane".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 2, 0, 5), 8080),
        zone: "z2".into(),
        capacity: 16,
        standing,
        cold_left_ms: 2500,
        call_count: 129,
        age_ms: 40,
    }
}

#[test]
fn node_classes_keep_their_bytes_and_texts() {
    let cases = [
        (Class::Edge, "00", "edge"),
        (Class::Store, "01", "store"),
        (Class::Core, "02", "core"),
        (Class::Visitor, "03", "visitor"),
    ];
    for (class, hex, text) in cases {
        assert_bytes(&class, hex);
        assert_eq!(class.to_string(), text);
    }
}

#[test]
fn stages_of_a_retirement_keep_their_bytes_and_texts() {
    let cases = [
        (Retiring::No, "00", "no"),
        (Retiring::Rolling, "01", "rolling"),
        (Retiring::Complete, "02", "complete"),
    ];
    for (retiring, hex, text) in cases {
        assert_bytes(&retiring, hex);
        assert_eq!(retiring.to_string(), text);
    }
    assert_eq!(Retiring::default(), Retiring::No);
    assert!(Retiring::No < Retiring::Rolling && Retiring::Rolling < Retiring::Complete);
}

#[test]
fn states_of_an_executor_keep_their_bytes_and_texts() {
    let cases = [
        (Standing::Serving, "00", "serving"),
        (Standing::Draining, "01", "draining"),
        (Standing::Gone, "02", "gone"),
    ];
    for (standing, hex, text) in cases {
        assert_bytes(&standing, hex);
        assert_eq!(standing.to_string(), text);
    }
}

#[test]
fn members_keep_their_bytes() {
    let control = Some(SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7300));
    assert_bytes(
        &member(Class::Store, None, Retiring::Rolling),
        "848688080773746f72652d3101027a310a01000eac02000701",
    );
    assert_bytes(
        &member(Class::Core, control, Retiring::No),
        "848688080773746f72652d3102027a310a01000eac02010a01000184390700",
    );
}

#[test]
fn heartbeats_keep_their_bytes() {
    assert_bytes(&heartbeat(Standing::Serving), "06657865632d31056372616e650a020005903f027a321000c413810128");
    assert_bytes(&heartbeat(Standing::Gone), "06657865632d31056372616e650a020005903f027a321002c413810128");
}

#[test]
fn news_keep_their_bytes() {
    assert_bytes(&News::default(), "00000000000000");
    let full = News {
        life: 77,
        version: 300,
        cut_off: true,
        whole: false,
        config: Some(vec![0x7b, 0x7d]),
        members: Some(vec![member(Class::Edge, None, Retiring::Complete)]),
        servers: vec![heartbeat(Standing::Draining)],
    };
    assert_bytes(&full, "4dac02010001027b7d0101848688080773746f72652d3100027a310a01000eac020007020106657865632d31056372616e650a020005903f027a321001c413810128");
    assert_bytes(
        &News { cut_off: false, whole: true, config: None, members: None, ..full },
        "4dac02000100000106657865632d31056372616e650a020005903f027a321001c413810128",
    );
}
