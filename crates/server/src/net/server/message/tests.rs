use super::*;

#[test]
fn a_response_is_written_as_by_earlier_releases() {
    let written = |response: &Response, is_bodiless, is_last| {
        let mut output = Vec::new();
        response.write_to(&mut output, is_bodiless, is_last);
        String::from_utf8(output).unwrap()
    };
    let json = Response::json(200, "{}".to_string());
    let plain = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n";
    assert_eq!(written(&json, false, false), format!("{plain}{{}}"));
    assert_eq!(written(&json, true, false), plain);
    assert_eq!(
        written(&Response::retry_after(503, 7), false, true),
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    let phrases = [
        (202, "Accepted"),
        (307, "Temporary Redirect"),
        (400, "Bad Request"),
        (404, "Not Found"),
        (405, "Method Not Allowed"),
        (408, "Request Timeout"),
        (409, "Conflict"),
        (413, "Content Too Large"),
        (418, "Status"),
        (429, "Too Many Requests"),
        (431, "Request Header Fields Too Large"),
        (502, "Bad Gateway"),
        (504, "Gateway Timeout"),
    ];
    for (status, phrase) in phrases {
        let text = format!("HTTP/1.1 {status} {phrase}\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(written(&Response::empty(status), false, false), text);
    }
}
