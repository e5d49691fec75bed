use super::*;
use assert_matches::assert_matches;

const LIMITS: RequestLimits =
    RequestLimits { max_head_bytes: 400, max_body_bytes: 10, request_timeout_ms: 0, idle_timeout_ms: 0 };

fn parse(text: &str) -> Result<Parsed, RequestError> {
    parse_request(text.as_bytes(), &LIMITS)
}

/// Returns a request head that ends with these header lines.
fn head(lines: &str) -> String {
    format!("POST /a?b HTTP/1.1\r\nHost: h\r\nX-Request-Id: i\r\n{lines}\r\n")
}

#[test]
fn rejected_requests_have_their_status() {
    let long = format!("A: {}\r\n", "a".repeat(400));
    let many = "A: b\r\n".repeat(65);
    let rows = [
        (long.as_str(), "", 431),
        (&many, "", 431),
        ("Content-Length: 11\r\n", "", 413),
        ("Content-Length: 99999999999999999999\r\n", "", 400),
        ("Transfer-Encoding: chunked\r\n", "b\r\n01234567890\r\n0\r\n\r\n", 413),
        ("Transfer-Encoding: chunked\r\n", "b\r\n01234567890", 413),
        ("Transfer-Encoding: chunked\r\n", "x\r\n", 400),
        ("Transfer-Encoding: chunked\r\n", "1\na\n0\n\n", 400),
        ("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "abc", 400),
        ("Transfer-Encoding: gzip\r\n", "abc", 400),
        ("Content-Length: 3\r\nContent-Length: 3\r\n", "abc", 400),
        ("Content-Length: +3\r\n", "abc", 400),
        ("Host: other\r\n", "", 400),
        ("X-Request-Id: other\r\n", "", 400),
        ("X-Delay-Ms: -1\r\n", "", 400),
        ("X-Delay-Ms: 1.5\r\n", "", 400),
        ("X-Time-Left-Ms: 99999999999999999999\r\n", "", 400),
        ("A: b\n", "", 400),
        ("no colon\r\n", "", 400),
        ("A : b\r\n", "", 400),
    ];
    for (lines, body, status) in rows {
        let text = head(lines) + body;
        assert_matches!(parse(&text), Err(error) if error.status() == status, "{text:?}");
    }
    for garbage in
        ["\0\0\0\0", "\u{16}\u{3}\u{1}", "GET\r\n\r\n", "GET / HTTP/3.0\r\n\r\n", "GET  / \r\n\r\n"]
    {
        assert_matches!(parse(garbage), Err(RequestError::Malformed), "{garbage:?}");
    }
    let unterminated = "POST /".to_string() + &"a".repeat(400);
    assert_matches!(parse(&unterminated), Err(RequestError::HeadTooLarge));
}

#[test]
fn a_request_is_parsed_once_it_is_complete() {
    let chunked = head("Transfer-Encoding: chunked\r\n") + "2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: t\r\n\r\n";
    let plain =
        head("Content-Length: 3\r\nX-Delay-Ms: 1500\r\nX-Callback-Url: http://1.2.3.4:5/d\r\n") + "abc";
    for request_text in [&chunked, &plain] {
        // A request that is truncated at any position is incomplete; bytes that follow a complete request are left
        // for the next one.
        for cut in 0..request_text.len() {
            assert_matches!(
                parse(&request_text[..cut]),
                Ok(Parsed::Incomplete { expects_continue: false }),
                "{:?}",
                &request_text[..cut]
            );
        }
        let pipelined = request_text.clone() + "GET /next HTTP/1.1\r\n\r\n";
        assert_matches!(parse(&pipelined), Ok(Parsed::Complete { request, length, closes_connection: false }) => {
            assert_eq!((length, request.body.as_slice()), (request_text.len(), &b"abc"[..]));
            assert_eq!((request.method.as_str(), request.target.as_str()), ("POST", "/a?b"));
            assert_eq!((request.host.as_str(), request.request_id.as_str()), ("h", "i"));
        });
    }
    assert_matches!(parse(&plain), Ok(Parsed::Complete { request, .. }) => {
        assert_eq!((request.delay_ms, request.time_left_ms, request.order_key), (Some(1500), None, None));
        assert_eq!(request.callback_url.as_deref(), Some("http://1.2.3.4:5/d"));
    });
    let expects = head("Content-Length: 3\r\nExpect: 100-continue\r\n");
    assert_matches!(parse(&expects), Ok(Parsed::Incomplete { expects_continue: true }));
    for closing in [head("Connection: keep-alive, Close\r\n"), "GET / HTTP/1.0\r\n\r\n".to_string()] {
        assert_matches!(parse(&closing), Ok(Parsed::Complete { closes_connection: true, .. }), "{closing:?}");
    }
}
