//! Tables of heads, chunked bodies and responses: which are accepted, which are rejected, and the text of each error.

use stileroute_http1::*;

/// Returns the framing of a request head; `Err` if the framing is ambiguous or malformed.
fn framing_of(head: &str) -> Result<Option<Framing>, FramingError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    assert!(request.parse(head.as_bytes()).expect("a head").is_complete(), "{head:?}");
    body_framing(request.headers, request.version)
}

#[test]
fn framing_is_taken_only_where_it_can_be_read_in_one_way() {
    let cases = [
        ("HTTP/1.1\r\n", Ok(None)),
        ("HTTP/1.1\r\nContent-Length: 0\r\n", Ok(Some(Framing::Length(0)))),
        ("HTTP/1.1\r\ncontent-length: \t12 \r\n", Ok(Some(Framing::Length(12)))),
        ("HTTP/1.0\r\nContent-Length: 007\r\n", Ok(Some(Framing::Length(7)))),
        ("HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", Ok(Some(Framing::Chunked))),
        ("HTTP/1.1\r\ntransfer-encoding: CHUNKED\r\n", Ok(Some(Framing::Chunked))),
        ("HTTP/1.1\r\nContent-Length:\r\n", Err(FramingError::InvalidLength)),
        ("HTTP/1.1\r\nContent-Length: +5\r\n", Err(FramingError::InvalidLength)),
        ("HTTP/1.1\r\nContent-Length: -5\r\n", Err(FramingError::InvalidLength)),
        ("HTTP/1.1\r\nContent-Length: 5, 5\r\n", Err(FramingError::InvalidLength)),
        ("HTTP/1.1\r\nContent-Length: 0x5\r\n", Err(FramingError::InvalidLength)),
        ("HTTP/1.1\r\nContent-Length: 5\u{a0}\r\n", Err(FramingError::InvalidLength)),
        ("HTTP/1.1\r\nContent-Length: 18446744073709551616\r\n", Err(FramingError::InvalidLength)),
        ("HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n", Err(FramingError::RepeatedLength)),
        (
            "HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            Err(FramingError::LengthAndCoding),
        ),
        (
            "HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            Err(FramingError::RepeatedCoding),
        ),
        ("HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n", Err(FramingError::UnsupportedCoding)),
        ("HTTP/1.1\r\nTransfer-Encoding: identity\r\n", Err(FramingError::UnsupportedCoding)),
        ("HTTP/1.1\r\nTransfer-Encoding:\r\n", Err(FramingError::UnsupportedCoding)),
        ("HTTP/1.0\r\nTransfer-Encoding: chunked\r\n", Err(FramingError::CodingBeforeHttp11)),
    ];
    for (rest, expected) in cases {
        assert_eq!(framing_of(&format!("POST / {rest}\r\n")), expected, "{rest:?}");
    }
    assert_eq!(body_framing(&[], None), Ok(None));
    let bytes = [httparse::Header { name: "Content-Length", value: b"\xff" }];
    assert_eq!(body_framing(&bytes, Some(1)), Err(FramingError::InvalidLength));
    let chunked = [httparse::Header { name: "Transfer-Encoding", value: b"chunked" }];
    assert_eq!(body_framing(&chunked, None), Err(FramingError::CodingBeforeHttp11));
}

#[test]
fn headers_are_found_by_name_in_any_case() {
    let headers = [
        httparse::Header { name: "Host", value: b" \tquay \t" },
        httparse::Header { name: "Connection", value: b"keep-alive ,Close" },
        httparse::Header { name: "connection", value: b"upgrade" },
        httparse::Header { name: "X-Bytes", value: b"\xc3" },
        httparse::Header { name: "X-Wide", value: "\u{a0}v".as_bytes() },
    ];
    assert_eq!(header_value(&headers, "hOST"), Some("quay"));
    assert_eq!(header_value(&headers, "Connection"), Some("keep-alive ,Close"));
    assert_eq!(header_value(&headers, "X-Bytes"), None);
    assert_eq!(header_value(&headers, "X-Wide"), Some("\u{a0}v"));
    assert_eq!(header_value(&headers, "Hos"), None);
    assert!(
        is_repeated(&headers, "CONNECTION")
            && !is_repeated(&headers, "Host")
            && !is_repeated(&headers, "None")
    );
    for (name, token, expected) in [
        ("Connection", "close", true),
        ("connection", "UPGRADE", true),
        ("Connection", "keep", false),
        ("Host", "quay", true),
        ("X-Bytes", "a", false),
        ("None", "close", false),
    ] {
        assert_eq!(has_token(&headers, name, token), expected, "{name}: {token}");
    }
}

#[test]
fn numbers_are_digits_alone() {
    for (text, expected) in [
        ("0", true),
        ("0012", true),
        ("", false),
        ("+1", false),
        ("-1", false),
        ("1 ", false),
        ("\u{661}", false),
    ] {
        assert_eq!(is_decimal(text), expected, "{text:?}");
    }
}

#[test]
fn a_bare_line_feed_is_found() {
    for (head, expected) in [
        ("", true),
        ("GET / HTTP/1.1\r\nA: b\r\n\r\n", true),
        ("GET / HTTP/1.1\r\nA: b\n\r\n", false),
        ("\n", false),
        ("a\r", true),
        ("a\r\n\n", false),
    ] {
        assert_eq!(has_crlf_line_endings(head.as_bytes()), expected, "{head:?}");
    }
}

/// Returns the decoded body, whether its end was reached, and the number of bytes consumed.
fn decode_segments(parts: &[&[u8]]) -> Result<(String, bool, usize), ChunkError> {
    let (mut decoder, mut body, mut used) = (ChunkedDecoder::default(), Vec::new(), 0);
    for part in parts {
        used += decoder.decode(part, |bytes| body.extend_from_slice(bytes))?;
    }
    Ok((String::from_utf8(body).expect("text"), decoder.is_done(), used))
}

#[test]
fn chunked_bodies_are_accepted_wherever_they_are_split() {
    let extension = format!("1;{}\r\na\r\n0\r\n\r\n", "x".repeat(256));
    let trailer = format!("0\r\nT:{}\r\n\r\n", "v".repeat(8190));
    let cases = [
        ("", "", false, 0),
        ("0\r\n\r\n", "", true, 5),
        ("00000000\r\n\r\n", "", true, 12),
        ("5\r\nhello\r\n0\r\n\r\n", "hello", true, 15),
        ("00000005\r\nhello\r\n0\r\n\r\n", "hello", true, 22),
        ("a\r\n0123456789\r\n", "0123456789", false, 15),
        ("A\r\n0123456789\r\n", "0123456789", false, 15),
        ("5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nT: v\r\nU: w\r\n\r\nnext", "hello!", true, 37),
        ("3;\r\n\r\n\n\r\n0;z\r\n\r\n", "\r\n\n", true, 16),
        (extension.as_str(), "a", true, 268),
    ];
    for (text, body, done, used) in cases {
        for at in 0..=text.len() {
            let (head, tail) = text.as_bytes().split_at(at);
            assert_eq!(
                decode_segments(&[head, tail]),
                Ok((body.to_string(), done, used)),
                "{text:?} split at {at}"
            );
        }
        let single: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
        assert_eq!(decode_segments(&single), Ok((body.to_string(), done, used)), "{text:?} byte by byte");
    }
    assert_eq!(decode_segments(&[trailer.as_bytes()]), Ok((String::new(), true, trailer.len())));
}

#[test]
fn chunked_bodies_that_others_may_read_otherwise_are_refused() {
    let extension = format!("1;{}\r\n", "x".repeat(257));
    let trailer = format!("0\r\nT:{}\r\n", "v".repeat(8191));
    let cases = [
        ("\r\n", ChunkError::InvalidSize),
        (";\r\n", ChunkError::InvalidSize),
        ("x\r\n", ChunkError::InvalidSize),
        ("g\r\n", ChunkError::InvalidSize),
        ("123456789\r\n", ChunkError::InvalidSize),
        ("000000001\r\n", ChunkError::InvalidSize),
        ("-1\r\n", ChunkError::InvalidSize),
        ("+1\r\n", ChunkError::InvalidSize),
        ("0x1\r\n", ChunkError::InvalidSize),
        (" 1\r\n", ChunkError::InvalidSize),
        ("1 \r\n", ChunkError::InvalidSize),
        ("1\t\r\n", ChunkError::InvalidSize),
        ("1\n", ChunkError::InvalidSize),
        ("1;\n", ChunkError::InvalidLineEnding),
        ("1;a\nb\r\n", ChunkError::InvalidLineEnding),
        ("1\rx", ChunkError::InvalidLineEnding),
        ("1;a\rx", ChunkError::InvalidLineEnding),
        ("2\r\nabc\r\n", ChunkError::InvalidLineEnding),
        ("2\r\nab0\r\n", ChunkError::InvalidLineEnding),
        ("1\r\na\n", ChunkError::InvalidLineEnding),
        ("1\r\na\rx", ChunkError::InvalidLineEnding),
        ("0\r\n\n", ChunkError::InvalidLineEnding),
        ("0\r\nT: v\n\r\n", ChunkError::InvalidLineEnding),
        ("0\r\nT\rx", ChunkError::InvalidLineEnding),
        ("0\r\n\r\r\n", ChunkError::InvalidLineEnding),
        (extension.as_str(), ChunkError::ExtensionTooLong),
        (trailer.as_str(), ChunkError::TrailerTooLong),
    ];
    for (text, expected) in cases {
        assert_eq!(decode_segments(&[text.as_bytes()]), Err(expected), "{text:?}");
        let single: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
        assert_eq!(decode_segments(&single), Err(expected), "{text:?} byte by byte");
    }
}

/// Parses a response that arrives in one segment.
fn read(text: &str) -> Result<Option<Response>, ResponseError> {
    ResponseReader::default().feed(text.as_bytes())
}

#[test]
fn complete_responses_are_read() {
    let whole =
        |status, body: &str, close| Some(Response { status, body: body.into(), closes_connection: close });
    let cases = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", whole(200, "{}", false)),
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}rest", whole(200, "{}", false)),
        ("HTTP/1.1 404 No\r\nContent-Length: 0\r\nConnection: x, Close\r\n\r\n", whole(404, "", true)),
        ("HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", whole(200, "a", true)),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
            whole(200, "abc", false),
        ),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", None),
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{", None),
        ("HTTP/1.1 200 OK\r\n", None),
        ("", None),
    ];
    for (text, expected) in cases {
        assert_eq!(read(text), Ok(expected), "{text:?}");
        let mut reader = ResponseReader::default();
        for byte in text.as_bytes() {
            assert!(reader.feed(&[*byte]).is_ok(), "{text:?} byte by byte");
        }
    }
}

#[test]
fn unreadable_responses_are_rejected_with_a_text() {
    let long = format!("HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n{}", "x".repeat(4 << 20));
    let many = format!("HTTP/1.1 200 OK\r\n{}\r\n", "A: b\r\n".repeat(MAX_HEADERS + 1));
    let cases = [
        (long.as_str(), "answer too large"),
        ("HTTP/1.1 200 OK\r\n\r\n", "answer has no length"),
        ("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", "answer has no length"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "answer has no length"),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "answer has no length",
        ),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", "chunks are malformed"),
        ("x\r\n\r\n", "invalid HTTP version"),
        ("HTTP/1.1 2x0 OK\r\n\r\n", "invalid response status"),
        ("HTTP/1.1 200 OK\r\nA b\r\n\r\n", "invalid header name"),
        (many.as_str(), "too many headers"),
    ];
    for (text, expected) in cases {
        let error = read(text).expect_err("is refused");
        assert_eq!(error.to_string(), expected, "{:?}", text.get(..60).unwrap_or(text));
    }
}

#[test]
fn bounds_of_a_message() {
    assert_eq!((MAX_HEADERS, MAX_HEAD_BYTES, MAX_BODY_BYTES, MAX_MESSAGE_BYTES), (48, 8192, 65536, 73728));
}
