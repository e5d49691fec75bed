use super::*;

const HELD: &str = r#"{"revision":7,"routes":[{"name":"a","timeout_ms":1},{"name":"b"}],"backends":[{"name":"s"}],"limits":{}}"#;

#[test]
fn what_differs_is_named_by_route_and_service() {
    let file = r#"{"revision":8,"routes":[{"name":"a","timeout_ms":2},{"name":"c"}],"backends":[{"name":"s"},{"name":"t"}],
        "limits":{"idle_timeout_ms":5}}"#;
    let named = [
        "route a: differs",
        "route c: only in the file",
        "route b: only in force",
        "service t: only in the file",
        "limits: differ",
    ];
    assert_eq!(differences(HELD.as_bytes(), file.as_bytes()), named);
    assert!(differences(HELD.as_bytes(), HELD.as_bytes()).is_empty());
}

#[test]
fn an_answer_that_is_not_whole_is_none() {
    let whole = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    assert_eq!(reply(whole).map(|reply| (reply.status, reply.body)), Some((200, b"{}".to_vec())));
    for cut in 0..whole.len() {
        assert!(reply(&whole[..cut]).is_none(), "{cut}");
    }
    assert!(reply(b"HTTP/1.1 200 OK\r\n\r\n{}").is_none(), "it may be cut off anywhere");
}

#[test]
fn another_content_under_the_number_is_a_conflict_and_a_newer_one_is_said() {
    let config =
        |revision: u64, space: &str| format!(r#"{{"revision":{revision},{space}"routes":[],"backends":[]}}"#);
    let told = |sent: &str, number, held: &str| {
        let outcome = compared(sent.as_bytes(), number, held.as_bytes());
        (outcome.code, outcome.text.contains("CONFLICT"))
    };
    let seven = config(7, "");
    assert_eq!(told(&seven, 7, &seven), (0, false));
    assert_eq!(told(&seven, 7, &config(7, " ")), (NOT_SO, true));
    assert_eq!(told(&seven, 7, &config(8, "")), (NOT_SO, false));
}
