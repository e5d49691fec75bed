//! The bytes that processes of one release say to those of another: none of them may change.

use super::*;
use stileroute_control_group as group;

const EDGE_IP: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const CONTROL: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 443);
const KEY: Key = Key { origin: 0x0102_0304, number: 300 };

fn hello(class: NodeRole, control: Option<SocketAddrV4>) -> Hello {
    Hello {
        protocol: PROTOCOL,
        node: 0xDEAD_BEEF,
        name: "edge-1".to_string(),
        class,
        zone: "z1".to_string(),
        ip: EDGE_IP,
        life: 0x0123_4567_89AB_CDEF,
        control,
    }
}

fn member(class: NodeRole, control: Option<SocketAddrV4>, retiring: RetirementProgress) -> Member {
    Member {
        node: 7,
        name: "n".to_string(),
        role: class,
        zone: "z2".to_string(),
        ip: EDGE_IP,
        incarnation: 200,
        control_address: control,
        config_version: 3,
        retirement: retiring,
    }
}

fn heartbeat(standing: ExecutorState) -> Heartbeat {
    Heartbeat {
        id: "i-1".to_string(),
        backend: "crane".to_string(),
        address: SocketAddrV4::new(EDGE_IP, 8080),
        zone: "z".to_string(),
        capacity: 4,
        state: standing,
        warmup_left_ms: 70,
        sequence: 9,
        age_ms: 128,
    }
}

fn message() -> Message {
    Message {
        id: "id".to_string(),
        host: "h.example".to_string(),
        method: "POST".to_string(),
        target: "/t?q".to_string(),
        content_type: Some("text/plain".to_string()),
        callback_url: None,
        ordering_key: Some("r\0k".to_string()),
        delay_ms: 1500,
        accepted_at_ms: 1_700_000_000_000,
        config_revision: 2,
        body: vec![0, 255, 10],
    }
}

fn ask(retiring: RetirementProgress) -> Signal {
    Signal::Ask { life: 1, version: 128, config: 3, retiring }
}

fn found(found: Option<(Found, Option<Vec<u8>>)>) -> Signal {
    Signal::Found { ticket: 1, found }
}

/// Every variant of every type that a frame is made of, but for those that the packages of the queue and of the control group
/// pin themselves: of these one each.
fn signals() -> Vec<Signal> {
    let full_news = MembershipUpdate {
        incarnation: 5,
        version: 6,
        is_partitioned: true,
        is_complete: true,
        config: Some(b"{}".to_vec()),
        members: Some(vec![
            member(NodeRole::Edge, None, RetirementProgress::NotRetiring),
            member(NodeRole::Store, None, RetirementProgress::Draining),
            member(NodeRole::Control, Some(CONTROL), RetirementProgress::Complete),
            member(NodeRole::CommandLine, None, RetirementProgress::NotRetiring),
        ]),
        executors: vec![
            heartbeat(ExecutorState::Serving),
            heartbeat(ExecutorState::Draining),
            heartbeat(ExecutorState::Offline),
        ],
    };
    vec![
        Signal::Hello(hello(NodeRole::Edge, None)),
        Signal::Hello(hello(NodeRole::Store, None)),
        Signal::Hello(hello(NodeRole::Control, Some(CONTROL))),
        Signal::Hello(hello(NodeRole::CommandLine, None)),
        Signal::Ping,
        ask(RetirementProgress::NotRetiring),
        ask(RetirementProgress::Draining),
        ask(RetirementProgress::Complete),
        Signal::News(MembershipUpdate::default()),
        Signal::News(full_news),
        Signal::Put { ticket: 300, message: message() },
        Signal::Taken { ticket: 1, result: Ok("name".to_string()) },
        Signal::Taken { ticket: 1, result: Err(PutError::Rejected) },
        Signal::Taken { ticket: 1, result: Err(PutError::Uncertain) },
        Signal::Leaving,
        Signal::Find { ticket: 2, key: KEY, body: true },
        found(None),
        found(Some((Found::Waiting, None))),
        found(Some((Found::Complete { seal: "s".to_string() }, Some(vec![1, 2])))),
        found(Some((Found::Failed, None))),
        Signal::PeerMessage(PeerMessage::Replicated(vec![KEY])),
        Signal::Control(group::Message::Stored { epoch: 1, write_id: 2 }),
        Signal::Sessions(vec![member(NodeRole::Store, None, RetirementProgress::NotRetiring)]),
        Signal::Heartbeats(vec![heartbeat(ExecutorState::Serving)]),
        Signal::Pass { ticket: 4, call: Passed::Replace { version: 7, body: b"{}".to_vec() } },
        Signal::Pass { ticket: 4, call: Passed::Read },
        Signal::Pass { ticket: 4, call: Passed::RetireBegin { node: "s-1".to_string() } },
        Signal::Pass { ticket: 4, call: Passed::RetireRead { node: "s-1".to_string() } },
        Signal::Settled { ticket: 5, status: 503, body: b"{}".to_vec() },
        Signal::Report { ticket: 6 },
        Signal::Reported { ticket: 6, text: "{}".to_string() },
        Signal::Trace { ticket: 7, key: KEY },
        Signal::Count { ticket: 8 },
        Signal::Retire { node: 0xDEAD_BEEF },
        Signal::Superseded { id: "id".to_string(), print: u64::MAX, kept: None },
        Signal::Superseded { id: "id".to_string(), print: 1, kept: Some(KEY) },
    ]
}

/// The counters' name of each signal above, and its bytes.
const PINNED: [(&str, &str); 36] = [
    ("link", "0001effdb6f50d06656467652d3100027a310a000001ef9bafcdf8acd1910100"),
    ("link", "0001effdb6f50d06656467652d3101027a310a000001ef9bafcdf8acd1910100"),
    ("link", "0001effdb6f50d06656467652d3102027a310a000001ef9bafcdf8acd19101010a000002bb03"),
    ("link", "0001effdb6f50d06656467652d3103027a310a000001ef9bafcdf8acd1910100"),
    ("link", "01"),
    ("session", "020180010300"),
    ("session", "020180010301"),
    ("session", "020180010302"),
    ("session", "0300000000000000"),
    ("session", "030506010101027b7d010407016e00027a320a000001c80100030007016e01027a320a000001c80100030107016e02027a320a000001c801010a000002bb03030207016e03027a320a000001c8010003000303692d31056372616e650a000001903f017a04004609800103692d31056372616e650a000001903f017a04014609800103692d31056372616e650a000001903f017a040246098001"),
    ("taking", "04ac0202696409682e6578616d706c6504504f5354042f743f71010a746578742f706c61696e00010372006bdc0b80d095ffbc31020300ff0a"),
    ("taking", "050100046e616d65"),
    ("taking", "05010100"),
    ("taking", "05010101"),
    ("leaving", "06"),
    ("asking", "070284868808ac0201"),
    ("asking", "080100"),
    ("asking", "0801010000"),
    ("asking", "08010101017301020102"),
    ("asking", "0801010200"),
    ("copies", "09010184868808ac02"),
    ("control", "0a040102"),
    ("sessions", "0b0107016e01027a320a000001c801000300"),
    ("executors", "0c0103692d31056372616e650a000001903f017a040046098001"),
    ("control", "0d040007027b7d"),
    ("control", "0d0401"),
    ("control", "0d040203732d31"),
    ("control", "0d040303732d31"),
    ("control", "0e05f703027b7d"),
    ("operators", "0f06"),
    ("operators", "1006027b7d"),
    ("operators", "110784868808ac02"),
    ("operators", "1208"),
    ("leaving", "13effdb6f50d"),
    ("twice", "14026964ffffffffffffffffff0100"),
    ("twice", "14026964010184868808ac02"),
];

#[test]
fn every_signal_has_the_bytes_and_the_counter_of_earlier_releases() {
    let signals = signals();
    let seen: Vec<(&str, String)> = signals
        .iter()
        .map(|signal| {
            let bytes = postcard::to_stdvec(signal).unwrap();
            let hex = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            assert_eq!(postcard::from_bytes::<Signal>(&bytes).as_ref(), Ok(signal));
            (signal.about(), hex)
        })
        .collect();
    let seen: Vec<(&str, &str)> = seen.iter().map(|(about, hex)| (*about, hex.as_str())).collect();
    assert_eq!(seen, PINNED);
}

#[test]
fn a_passed_call_has_the_kind_of_its_name() {
    let calls = [
        (Passed::Replace { version: 7, body: Vec::new() }, PassedKind::Replace),
        (Passed::Read, PassedKind::Read),
        (Passed::RetireBegin { node: String::new() }, PassedKind::RetireBegin),
        (Passed::RetireRead { node: String::new() }, PassedKind::RetireRead),
    ];
    for (call, kind) in calls {
        assert_eq!(PassedKind::from(&call), kind);
    }
}
