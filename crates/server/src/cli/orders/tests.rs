use super::*;

const IN_FORCE: &str = r#"{"revision":7,"routes":[{"name":"a","timeout_ms":1},{"name":"b"}],"backends":[{"name":"s"}],"limits":{}}"#;

#[test]
fn differences_are_named_by_route_and_service() {
    let file = r#"{"revision":8,"routes":[{"name":"a","timeout_ms":2},{"name":"c"}],"backends":[{"name":"s"},{"name":"t"}],
        "limits":{"idle_timeout_ms":5}}"#;
    let named = [
        "route a: differs",
        "route c: only in the file",
        "route b: only in force",
        "service t: only in the file",
        "limits: differ",
    ];
    assert_eq!(differences(IN_FORCE.as_bytes(), file.as_bytes()), named);
    assert!(differences(IN_FORCE.as_bytes(), IN_FORCE.as_bytes()).is_empty());
}

#[test]
fn differences_of_tenants_are_named_without_their_keys() {
    let with =
        |customers: &str| format!(r#"{{"revision":7,"routes":[],"backends":[],"customers":{customers}}}"#);
    let in_force = with(r#"[{"name":"ferry","api_keys":["secret-1"]},{"name":"lugger","api_keys":[]}]"#);
    let file = with(r#"[{"name":"ferry","api_keys":["secret-2"]},{"name":"barge","api_keys":["secret-3"]}]"#);
    let named = ["tenant ferry: differs", "tenant barge: only in the file", "tenant lugger: only in force"];
    assert_eq!(differences(in_force.as_bytes(), file.as_bytes()), named);
}

#[test]
fn an_incomplete_answer_is_none() {
    let complete = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    assert_eq!(Reply::parse(complete).map(|reply| (reply.status, reply.body)), Some((200, b"{}".to_vec())));
    for length in 0..complete.len() {
        assert!(Reply::parse(&complete[..length]).is_none(), "{length}");
    }
    assert!(Reply::parse(b"HTTP/1.1 200 OK\r\n\r\n{}").is_none(), "it may be cut off anywhere");
}

#[test]
fn another_content_under_the_same_revision_is_a_conflict_and_a_newer_revision_is_named() {
    let config =
        |revision: u64, space: &str| format!(r#"{{"revision":{revision},{space}"routes":[],"backends":[]}}"#);
    let compared = |sent: &str, revision, in_force: &str| {
        let file = ConfigurationFile { body: sent.as_bytes().to_vec(), revision };
        let outcome = file.compare(in_force.as_bytes());
        (outcome.status, outcome.text.contains("CONFLICT"))
    };
    let seven = config(7, "");
    assert_eq!(compared(&seven, 7, &seven), (ExitStatus::Success, false));
    assert_eq!(compared(&seven, 7, &config(7, " ")), (ExitStatus::Differs, true));
    assert_eq!(compared(&seven, 7, &config(8, "")), (ExitStatus::Differs, false));
}
