//! Pins the bytes of frames between processes of different releases: none of these bytes may change.

use super::*;
use stileroute_control_group as group;

const EDGE_IP: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const CONTROL: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 443);
const KEY: Key = Key { origin: 0x0102_0304, number: 300 };

fn peer_info(role: NodeRole, control_address: Option<SocketAddrV4>) -> PeerInfo {
    PeerInfo {
        protocol_version: PROTOCOL_VERSION,
        node: 0xDEAD_BEEF,
        name: "edge-1".to_string(),
        role,
        zone: "z1".to_string(),
        ip: EDGE_IP,
        incarnation: 0x0123_4567_89AB_CDEF,
        control_address,
        confirms_departures: false,
    }
}

fn member(role: NodeRole, control_address: Option<SocketAddrV4>, retirement: RetirementState) -> Member {
    Member {
        node: 7,
        name: "n".to_string(),
        role,
        zone: "z2".to_string(),
        ip: EDGE_IP,
        incarnation: 200,
        control_address,
        config_version: 3,
        retirement,
    }
}

fn heartbeat(state: ExecutorState) -> Heartbeat {
    Heartbeat {
        id: "i-1".to_string(),
        backend: "crane".to_string(),
        address: SocketAddrV4::new(EDGE_IP, 8080),
        zone: "z".to_string(),
        capacity: 4,
        state,
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
        ..Message::default()
    }
}

fn update_request(retirement: RetirementState) -> Frame {
    Frame::UpdateRequest { incarnation: 1, version: 128, config_version: 3, retirement }
}

fn lookup_result(known: Option<(MessageStatus, Option<Vec<u8>>)>) -> Frame {
    let result = known.map(|(status, body)| KnownMessage { status, body, tenant: None });
    Frame::LookupResult { request_id: 1, result }
}

/// Returns every variant of every type that a frame contains. Types that the queue and control group packages pin in
/// their own tests appear with one value each.
fn frames() -> Vec<Frame> {
    let full_update = MembershipUpdate {
        incarnation: 5,
        version: 6,
        is_partitioned: true,
        is_complete: true,
        config: Some(b"{}".to_vec()),
        members: Some(vec![
            member(NodeRole::Edge, None, RetirementState::NotRetiring),
            member(NodeRole::Store, None, RetirementState::Draining),
            member(NodeRole::Control, Some(CONTROL), RetirementState::Complete),
            member(NodeRole::CommandLine, None, RetirementState::NotRetiring),
        ]),
        executors: vec![
            heartbeat(ExecutorState::Serving),
            heartbeat(ExecutorState::Draining),
            heartbeat(ExecutorState::Offline),
        ],
        contact_age_ms: 300,
    };
    vec![
        Frame::Hello(peer_info(NodeRole::Edge, None)),
        Frame::Hello(peer_info(NodeRole::Store, None)),
        Frame::Hello(peer_info(NodeRole::Control, Some(CONTROL))),
        Frame::Hello(peer_info(NodeRole::CommandLine, None)),
        Frame::Ping,
        update_request(RetirementState::NotRetiring),
        update_request(RetirementState::Draining),
        update_request(RetirementState::Complete),
        Frame::Update(MembershipUpdate::default()),
        Frame::Update(full_update),
        Frame::Submit { request_id: 300, message: message() },
        Frame::SubmitResult { request_id: 1, result: Ok("name".to_string()) },
        Frame::SubmitResult { request_id: 1, result: Err(PutError::Rejected) },
        Frame::SubmitResult { request_id: 1, result: Err(PutError::Uncertain) },
        Frame::Draining,
        Frame::Lookup { request_id: 2, key: KEY, include_body: true },
        lookup_result(None),
        lookup_result(Some((MessageStatus::Pending, None))),
        lookup_result(Some((MessageStatus::Complete { seal: "s".to_string() }, Some(vec![1, 2])))),
        lookup_result(Some((MessageStatus::Failed, None))),
        Frame::Queue(PeerMessage::Replicated(vec![KEY])),
        Frame::ControlGroup(group::Message::Stored { epoch: 1, write_id: 2 }),
        Frame::Sessions(vec![member(NodeRole::Store, None, RetirementState::NotRetiring)]),
        Frame::Heartbeats(vec![heartbeat(ExecutorState::Serving)]),
        Frame::Forward {
            request_id: 4,
            call: ForwardedCall::ReplaceConfig { version: 7, body: b"{}".to_vec() },
        },
        Frame::Forward { request_id: 4, call: ForwardedCall::ReadConfig },
        Frame::Forward { request_id: 4, call: ForwardedCall::BeginRetirement { node: "s-1".to_string() } },
        Frame::Forward { request_id: 4, call: ForwardedCall::ReadRetirement { node: "s-1".to_string() } },
        Frame::ForwardResult { request_id: 5, status: 503, body: b"{}".to_vec() },
        Frame::ReportRequest { request_id: 6 },
        Frame::InspectionReply { request_id: 6, text: "{}".to_string() },
        Frame::TraceRequest { request_id: 7, key: KEY },
        Frame::MetricsRequest { request_id: 8 },
        Frame::RetireStore { node: 0xDEAD_BEEF },
        Frame::Superseded { message_id: "id".to_string(), fingerprint: u64::MAX, kept: None },
        Frame::Superseded { message_id: "id".to_string(), fingerprint: 1, kept: Some(KEY) },
        Frame::HeldExecutors(vec![heartbeat(ExecutorState::Serving)]),
        Frame::Heartbeats(Vec::new()),
        Frame::Hello(PeerInfo { confirms_departures: true, ..peer_info(NodeRole::Control, Some(CONTROL)) }),
        Frame::Departure { request_id: None, heartbeat: heartbeat(ExecutorState::Draining) },
        Frame::Departure { request_id: Some(300), heartbeat: heartbeat(ExecutorState::Offline) },
        Frame::DepartureRecorded { request_id: 300 },
    ]
}

/// Metrics category and hexadecimal bytes of each frame in `frames()`.
const PINNED: [(&str, &str); 42] = [
    ("link", "0001effdb6f50d06656467652d3100027a310a000001ef9bafcdf8acd191010000"),
    ("link", "0001effdb6f50d06656467652d3101027a310a000001ef9bafcdf8acd191010000"),
    ("link", "0001effdb6f50d06656467652d3102027a310a000001ef9bafcdf8acd19101010a000002bb0300"),
    ("link", "0001effdb6f50d06656467652d3103027a310a000001ef9bafcdf8acd191010000"),
    ("link", "01"),
    ("session", "020180010300"),
    ("session", "020180010301"),
    ("session", "020180010302"),
    ("session", "030000000000000000"),
    ("session", "030506010101027b7d010407016e00027a320a000001c80100030007016e01027a320a000001c80100030107016e02027a320a000001c801010a000002bb03030207016e03027a320a000001c8010003000303692d31056372616e650a000001903f017a04004609800103692d31056372616e650a000001903f017a04014609800103692d31056372616e650a000001903f017a040246098001ac02"),
    ("taking", "04ac0202696409682e6578616d706c6504504f5354042f743f71010a746578742f706c61696e00010372006bdc0b80d095ffbc31020300ff0a"),
    ("taking", "050100046e616d65"),
    ("taking", "05010100"),
    ("taking", "05010101"),
    ("leaving", "06"),
    ("asking", "070284868808ac0201"),
    ("asking", "080100"),
    ("asking", "080101000000"),
    ("asking", "0801010101730102010200"),
    ("asking", "080101020000"),
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
    ("executors", "150103692d31056372616e650a000001903f017a040046098001"),
    ("executors", "0c00"),
    ("link", "0001effdb6f50d06656467652d3102027a310a000001ef9bafcdf8acd19101010a000002bb0301"),
    ("executors", "160003692d31056372616e650a000001903f017a040146098001"),
    ("executors", "1601ac0203692d31056372616e650a000001903f017a040246098001"),
    ("executors", "17ac02"),
];

#[test]
fn every_frame_has_the_bytes_and_the_category_of_earlier_releases() {
    let frames = frames();
    let seen: Vec<(&str, String)> = frames
        .iter()
        .map(|frame| {
            let bytes = postcard::to_stdvec(frame).unwrap();
            let hex = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            assert_eq!(postcard::from_bytes::<Frame>(&bytes).as_ref(), Ok(frame));
            (frame.category(), hex)
        })
        .collect();
    let seen: Vec<(&str, &str)> = seen.iter().map(|(category, hex)| (*category, hex.as_str())).collect();
    assert_eq!(seen, PINNED);
}

/// Earlier releases sent updates without the age of the control nodes' contact, which is now the last field.
#[test]
fn an_update_of_an_earlier_release_is_decoded_and_is_a_prefix_of_the_current_encoding() {
    let earlier = [3, 77, 44, 0, 0, 0, 0, 0];
    let update = MembershipUpdate { incarnation: 77, version: 44, ..MembershipUpdate::default() };
    let present = Frame::Update(update);
    assert_eq!(postcard::from_bytes::<Frame>(&earlier).as_ref(), Ok(&present));
    assert_eq!(postcard::to_stdvec(&present).unwrap().split_last(), Some((&0, earlier.as_slice())));
}

/// Earlier releases sent no `confirms_departures`, which is now the last field of the first frame.
#[test]
fn a_hello_of_an_earlier_release_is_decoded_and_is_a_prefix_of_the_current_encoding() {
    let present = Frame::Hello(peer_info(NodeRole::Control, Some(CONTROL)));
    let bytes = postcard::to_stdvec(&present).unwrap();
    let (last, earlier) = bytes.split_last().unwrap();
    let earlier_hex: String = earlier.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(earlier_hex, "0001effdb6f50d06656467652d3102027a310a000001ef9bafcdf8acd19101010a000002bb03");
    assert_eq!((*last, postcard::from_bytes::<Frame>(earlier)), (0, Ok(present)));
}

#[test]
fn a_forwarded_call_has_the_kind_of_the_same_name() {
    let calls = [
        (ForwardedCall::ReplaceConfig { version: 7, body: Vec::new() }, ForwardedCallKind::ReplaceConfig),
        (ForwardedCall::ReadConfig, ForwardedCallKind::ReadConfig),
        (ForwardedCall::BeginRetirement { node: String::new() }, ForwardedCallKind::BeginRetirement),
        (ForwardedCall::ReadRetirement { node: String::new() }, ForwardedCallKind::ReadRetirement),
    ];
    for (call, kind) in calls {
        assert_eq!(ForwardedCallKind::from(&call), kind);
    }
}

#[test]
fn a_lookup_result_of_an_earlier_release_has_no_tenant() {
    // These bytes were pinned before tenants existed: they are the current encoding without its last byte.
    let earlier = [0x08, 0x01, 0x01, 0x01, 0x01, 0x73, 0x01, 0x02, 0x01, 0x02];
    let frame: Frame = postcard::from_bytes(&earlier).expect("decodes");
    let status = MessageStatus::Complete { seal: "s".to_string() };
    let known = KnownMessage { status, body: Some(vec![1, 2]), tenant: None };
    assert_eq!(frame, Frame::LookupResult { request_id: 1, result: Some(known) });
}
