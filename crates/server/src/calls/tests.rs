use super::*;
use assert_matches::assert_matches;

const HEARTBEAT: &str = r#"{"backend":"crane","address":"10.0.0.9:8080","zone":"z","revision":"v1","capacity":4,
    "state":"draining","cold_left_ms":70.5,"call_count":9,"more":[]}"#;

/// Records the calls that it receives. It answers heartbeats at once and leaves every other call pending.
#[derive(Default)]
struct TestHandler(Vec<String>);
impl CallHandler<HeartbeatCall> for TestHandler {
    fn handle_call(&mut self, call_id: u64, call: HeartbeatCall) -> Option<HeartbeatReply> {
        self.0.push(format!("{call_id} {call:?}"));
        Some(HeartbeatReply::Recorded { heartbeat_url: Some("10.0.0.1:1".to_string()) })
    }
}
impl CallHandler<LeaveCall> for TestHandler {
    fn handle_call(&mut self, _: u64, call: LeaveCall) -> Option<LeaveReply> {
        self.0.push(call.id);
        None
    }
}

fn request(method: &str, target: &str, body: &str) -> Request {
    let (method, target) = (method.to_string(), target.to_string());
    Request { method, target, body: body.as_bytes().to_vec(), ..Request::default() }
}

#[test]
fn a_heartbeat_is_parsed_or_rejected_by_its_key() {
    assert_matches!(HeartbeatCall::parse("i-1", HEARTBEAT.as_bytes()), Ok(heartbeat) => {
        assert_eq!((heartbeat.id.as_str(), heartbeat.backend.as_str(), heartbeat.zone.as_str()), ("i-1", "crane", "z"));
        assert_eq!((heartbeat.capacity, heartbeat.is_draining, heartbeat.warmup_left_ms, heartbeat.sequence), (4, true, 70, 9));
    });
    let rows = [
        ("\"backend\":\"crane\",", "", "backend: no text"),
        ("\"crane\"", "7", "backend: no text"),
        ("10.0.0.9:8080", "crane:8080", "address: \"crane:8080\" is no"),
        ("10.0.0.9:8080", "[::1]:8080", "address: "),
        ("draining", "gone", "state: \"gone\" is neither"),
        (":4", ":-4", "capacity: no number"),
        (":9", ":\"9\"", "call_count: no number"),
        (":9", ":1e300", "call_count: no number"),
        ("70.5", "null,\"x\":[", "body: "),
        (HEARTBEAT, "[]", "body: no object"),
        (HEARTBEAT, "", "body: "),
        (HEARTBEAT, "{\"a\":\u{0}}", "body: "),
    ];
    for (part, replacement, error) in rows {
        assert!(HEARTBEAT.contains(part), "{part}");
        let body = HEARTBEAT.replacen(part, replacement, 1);
        assert_matches!(HeartbeatCall::parse("i-1", body.as_bytes()), Err(e) if e.to_string().starts_with(error), "{body}");
    }
    for cut in 0..HEARTBEAT.len() {
        assert_matches!(HeartbeatCall::parse("i-1", &HEARTBEAT.as_bytes()[..cut]), Err(_), "{cut}");
    }
    assert_matches!(HeartbeatCall::parse(&"i".repeat(129), HEARTBEAT.as_bytes()), Err(e) if e.to_string().starts_with("id: "));
    assert_matches!(HeartbeatCall::parse("i", &[b' '; 65 << 10]), Err(e) if e.to_string().starts_with("body: over"));
    assert_matches!(HeartbeatCall::parse("i", b"\xff"), Err(e) if e.to_string() == "body: not UTF-8");
    // A capacity that is missing or 0 counts as one slot.
    let none = HEARTBEAT.replace("\"capacity\":4,", "");
    assert_matches!(HeartbeatCall::parse("i", none.as_bytes()), Ok(HeartbeatCall { capacity: 1, .. }));
}

#[test]
fn the_other_calls_are_parsed() {
    assert_matches!(LeaveCall::parse("i-1", b"anything"), Ok(LeaveCall { id }) if id == "i-1");
    assert_matches!(BeginRetirement::parse("s-1", b""), Ok(BeginRetirement { node }) if node == "s-1");
    assert_matches!(ReadConfig::parse("", b""), Ok(ReadConfig));
    let body = br#"{"revision":7,"routes":[],"backends":[]}"#;
    assert_matches!(ReplaceConfig::parse("", body), Ok(ReplaceConfig { version: 7, body: kept }) if kept == body);
    let two_faults = br#"{"routes":7,"backends":[]}"#;
    assert_matches!(ReplaceConfig::parse("", two_faults).err(), Some(e) if e.to_string().lines().count() == 2, "the error has one line for each fault");
}

#[test]
fn a_request_finds_its_call_by_method_and_path() {
    let mut handler = TestHandler::default();
    let heartbeat = request("POST", "/v1/servers/i-1/heartbeat?x", HEARTBEAT);
    assert_matches!(dispatch::<HeartbeatCall, _>(&mut handler, 5, &heartbeat), Some(Dispatched::Answered(Response { status: 200, body, .. })) => {
        assert_eq!(body, br#"{"beat_url":"10.0.0.1:1"}"#);
    });
    let bad = request("POST", "/v1/servers/i-1/heartbeat", "{}");
    assert_matches!(
        dispatch::<HeartbeatCall, _>(&mut handler, 5, &bad),
        Some(Dispatched::Answered(Response { status: 400, .. }))
    );
    assert_matches!(
        dispatch::<LeaveCall, _>(&mut handler, 5, &request("POST", "/v1/servers/i-2/leave", "")),
        Some(Dispatched::Pending)
    );
    assert_eq!((handler.0.len(), handler.0[1].as_str()), (2, "i-2"));
    for (method, target) in [
        ("GET", "/v1/servers/i-1/heartbeat"),
        ("POST", "/v1/servers//heartbeat"),
        ("POST", "/v1/servers/a/b/heartbeat"),
        ("POST", "/v1/servers/heartbeat"),
        ("POST", "/v1/servers/i-1/heartbeats"),
        ("POST", ""),
    ] {
        let answer = dispatch::<HeartbeatCall, _>(&mut handler, 5, &request(method, target, HEARTBEAT));
        assert_matches!(answer, None, "{method} {target}");
    }
    let partitioned = HeartbeatReply::Partitioned;
    let answers: [(Response, u16); 7] = [
        (partitioned.into(), 503),
        (ReplaceOutcome::Active(ActiveConfig::new(7, b"seven", true)).into(), 200),
        (ReplaceOutcome::Uncertain.into(), 504),
        (ReplaceOutcome::Unavailable.into(), 503),
        (ReadConfigReply::Missing.into(), 404),
        (BeginRetirementReply::UnknownStore.into(), 404),
        (BeginRetirementReply::TooFewStores.into(), 409),
    ];
    for (answer, status) in answers {
        assert_eq!((answer.status, answer.body.is_empty()), (status, false));
    }
}

/// Formats an answer as it is sent: status, additional headers, whether it is JSON, whether it closes the connection,
/// and body.
fn format_answer(response: impl Into<Response>) -> String {
    let Response { status, headers, is_json, body, close_connection } = response.into();
    let headers: Vec<String> = headers.iter().map(|(name, value)| format!("{name}: {value}")).collect();
    format!("{status} {headers:?} {is_json} {close_connection} {}", String::from_utf8(body).unwrap())
}

#[test]
fn every_answer_has_the_status_and_the_text_of_earlier_releases() {
    let recorded = |url: Option<&str>| HeartbeatReply::Recorded { heartbeat_url: url.map(str::to_string) };
    let rows = [
        (format_answer(Acknowledged), r#"200 [] true false {}"#),
        (format_answer(recorded(None)), r#"200 [] true false {}"#),
        (format_answer(recorded(Some("10.0.0.1:1"))), r#"200 [] true false {"beat_url":"10.0.0.1:1"}"#),
        (
            format_answer(HeartbeatReply::Partitioned),
            r#"503 [] true false {"error":"cut off from the other control nodes"}"#,
        ),
        (
            format_answer(ReplaceOutcome::Active(ActiveConfig::new(7, b"seven", true))),
            r#"200 [] true false {"revision":7,"digest":"35be53c2695dda5b7930ee5d191760eaa2e7f0e8b5fdb7174c4b9d36874f06ee","applied":true}"#,
        ),
        (
            format_answer(ReplaceOutcome::Active(ActiveConfig {
                revision: 0,
                digest: "d".to_string(),
                is_submitted_config: false,
            })),
            r#"200 [] true false {"revision":0,"digest":"d","applied":false}"#,
        ),
        (
            format_answer(ReplaceOutcome::Uncertain),
            r#"504 [] true false {"error":"it may be in force or come in force: send it again"}"#,
        ),
        (
            format_answer(ReplaceOutcome::Unavailable),
            r#"503 ["Retry-After: 1"] true false {"error":"no primary can settle it now"}"#,
        ),
        (format_answer(ReadConfigReply::Active(b"{\"a\": 1}\n".to_vec())), "200 [] true false {\"a\": 1}\n"),
        (
            format_answer(ReadConfigReply::Missing),
            r#"404 [] true false {"error":"no configuration has come yet"}"#,
        ),
        (
            format_answer(ReadConfigReply::Unavailable),
            r#"503 ["Retry-After: 1"] true false {"error":"no primary can answer now"}"#,
        ),
        (
            format_answer(BeginRetirementReply::UnknownStore),
            r#"404 [] true false {"error":"no such machine"}"#,
        ),
        (
            format_answer(BeginRetirementReply::TooFewStores),
            r#"409 [] true false {"error":"too few would be left"}"#,
        ),
        (
            format_answer(BeginRetirementReply::Accepted { spare_stores: 2 }),
            r#"200 [] true false {"spare_stores":2}"#,
        ),
        (
            format_answer(BeginRetirementReply::Accepted { spare_stores: 0 }),
            r#"200 [] true false {"spare_stores":0,"warning":"no spare store is left: the loss of another stops intake"}"#,
        ),
        (
            format_answer(BeginRetirementReply::Unavailable),
            r#"503 ["Retry-After: 1"] true false {"error":"it has not confirmed"}"#,
        ),
        (
            format_answer(RetirementProgress::UnknownStore),
            r#"404 [] true false {"error":"no such machine, or it is not to be emptied"}"#,
        ),
        (format_answer(RetirementProgress::Draining), r#"200 [] true false {"state":"rolling"}"#),
        (format_answer(RetirementProgress::Complete), r#"200 [] true false {"state":"complete"}"#),
        (
            format_answer(RetirementProgress::Unavailable),
            r#"503 ["Retry-After: 1"] true false {"error":"no primary can answer now"}"#,
        ),
        (format_answer(error_response(418, "a \"b\"\n")), r#"418 [] true false {"error":"a \"b\"\n"}"#),
        (format_answer(Response::empty(204)), r#"204 [] false false "#),
        (format_answer(Response::retry_after(503, 2)), r#"503 ["Retry-After: 2"] false false "#),
    ];
    for (seen, pinned) in rows {
        assert_eq!(seen, pinned);
    }
}

/// Returns the immediate answer to a request, or "taken" if the handler accepted the call; `None` if the request is
/// another call.
fn immediate_answer<C: Call>(method: &str, target: &str, body: &[u8]) -> Option<String>
where
    AnyCall: CallHandler<C>,
{
    let request = Request { body: body.to_vec(), ..request(method, target, "") };
    dispatch::<C, _>(&mut AnyCall, 1, &request).map(|dispatched| match dispatched {
        Dispatched::Answered(response) => format_answer(response),
        Dispatched::Pending => "taken".to_string(),
    })
}

/// A handler that accepts every call and leaves it pending.
struct AnyCall;
impl<C: Call> CallHandler<C> for AnyCall {
    fn handle_call(&mut self, _: u64, _: C) -> Option<C::Reply> {
        None
    }
}

#[test]
fn every_rejection_of_a_body_has_the_text_of_earlier_releases() {
    let with = |of: &str, with: &str| HEARTBEAT.replacen(of, with, 1).into_bytes();
    let rows: [(Vec<u8>, &str); 15] = [
        (HEARTBEAT.into(), "taken"),
        (with("\"backend\":\"crane\",", ""), "backend: no text"),
        (with("\"10.0.0.9:8080\"", "null"), "address: no text"),
        (with("10.0.0.9:8080", "crane"), r#"address: \"crane\" is no IPv4 address and port"#),
        (with("\"state\":\"draining\",", ""), "state: no text"),
        (with("draining", "gone"), r#"state: \"gone\" is neither serving nor draining"#),
        (with(":4", ":-4"), "capacity: no number"),
        (with("70.5", "true"), "cold_left_ms: no number"),
        (with(":9", ":1e15"), "call_count: no number"),
        (with(",\"zone\":\"z\"", ",\"zone\":8"), "taken"),
        (b"[]".to_vec(), "body: no object"),
        (b"".to_vec(), "body: Unexpected end of JSON"),
        (b"{\"a\":}".to_vec(), "body: Unexpected character: } at (1:6)"),
        (b"\xff".to_vec(), "body: not UTF-8"),
        (vec![b' '; (64 << 10) + 1], "body: over 64 KiB"),
    ];
    for (body, reason) in rows {
        let seen = immediate_answer::<HeartbeatCall>("POST", "/v1/servers/i/heartbeat", &body);
        let pinned = match reason {
            "taken" => reason.to_string(),
            reason => format!(r#"400 [] true false {{"error":"{reason}"}}"#),
        };
        assert_eq!(seen, Some(pinned), "{}", String::from_utf8_lossy(&body));
    }
    let long = format!("/v1/servers/{}/heartbeat", "i".repeat(129));
    let pinned = r#"400 [] true false {"error":"id: over 128 letters"}"#;
    assert_eq!(
        immediate_answer::<HeartbeatCall>("POST", &long, HEARTBEAT.as_bytes()).as_deref(),
        Some(pinned)
    );
    // The body is checked before the executor's identifier.
    let pinned = r#"400 [] true false {"error":"body: no object"}"#;
    assert_eq!(immediate_answer::<HeartbeatCall>("POST", &long, b"7").as_deref(), Some(pinned));
}

#[test]
fn every_call_has_the_method_the_path_and_the_longest_body_of_earlier_releases() {
    fn row<C: Call>() -> (&'static str, &'static str, usize) {
        (C::METHOD, C::PATH, C::MAX_BODY_BYTES)
    }
    assert_eq!(row::<HeartbeatCall>(), ("POST", "/v1/servers/*/heartbeat", usize::MAX));
    assert_eq!(row::<LeaveCall>(), ("POST", "/v1/servers/*/leave", usize::MAX));
    assert_eq!(row::<ReplaceConfig>(), ("POST", "/v1/settings/replace", 4 << 20));
    assert_eq!(row::<ReadConfig>(), ("GET", "/v1/settings/read", usize::MAX));
    assert_eq!(row::<BeginRetirement>(), ("POST", "/v1/retire/*/begin", usize::MAX));
    assert_eq!(row::<ReadRetirement>(), ("GET", "/v1/retire/*/read", usize::MAX));
}

#[test]
fn a_configuration_is_rejected_by_its_size_before_its_faults() {
    let replace = |body: &[u8]| immediate_answer::<ReplaceConfig>("POST", "/v1/settings/replace", body);
    let taken = br#"{"revision":7,"routes":[],"backends":[]}"#;
    assert_eq!(replace(taken).as_deref(), Some("taken"));
    let long = vec![b' '; LARGEST_CONFIGURATION + 1];
    let pinned = r#"413 [] true false {"error":"body: over 4194304 bytes"}"#;
    assert_eq!(replace(&long).as_deref(), Some(pinned));
    let pinned = r#"400 [] true false {"error":"configuration: revision: missing\nconfiguration: routes: must be a list, is 7.0"}"#;
    assert_eq!(replace(br#"{"routes":7,"backends":[]}"#).as_deref(), Some(pinned));
    assert_eq!(
        immediate_answer::<ReplaceConfig>("GET", "/v1/settings/replace", taken),
        None,
        "a request with another method is not this call"
    );
    // These calls use nothing but the path, so any body is accepted.
    assert_eq!(
        immediate_answer::<LeaveCall>("POST", "/v1/servers/i/leave", b"\xff").as_deref(),
        Some("taken")
    );
    assert_eq!(
        immediate_answer::<BeginRetirement>("POST", "/v1/retire/s-1/begin", b"\xff").as_deref(),
        Some("taken")
    );
    assert_eq!(
        immediate_answer::<ReadRetirement>("GET", "/v1/retire/s-1/read?x=y", b"").as_deref(),
        Some("taken")
    );
    assert_eq!(immediate_answer::<ReadConfig>("GET", "/v1/settings/read", b"[").as_deref(), Some("taken"));
}
