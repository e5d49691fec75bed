//! Every split of bytes into three pieces says the same as the whole, and no beginning of a message is one.

use stileroute_hawser::{Chunks, Gather, Whole};

/// Two cuts, anywhere.
fn splits(length: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..=length).flat_map(move |second| (0..=second).map(move |first| (first, second)))
}

fn pieces(bytes: &[u8], (first, second): (usize, usize)) -> [&[u8]; 3] {
    [&bytes[..first], &bytes[first..second], &bytes[second..]]
}

#[test]
fn chunks_are_taken_off_however_they_are_split() {
    let text = b"2;x=\"y\"\r\nab\r\n10\r\n0123456789\r\n\r\n01\r\n0\r\nT: v\r\n\r\n";
    let next = b"HTTP/1.1";
    for cut in splits(text.len()) {
        let (mut chunks, mut body, mut used) = (Chunks::default(), Vec::new(), 0);
        for piece in pieces(text, cut) {
            assert!(!chunks.done() || piece.is_empty(), "{cut:?}");
            used += chunks.feed(piece, |part| body.extend_from_slice(part)).unwrap();
        }
        assert_eq!((used, body.as_slice()), (text.len(), &b"ab0123456789\r\n\r\n01"[..]), "{cut:?}");
        // What follows is another's.
        assert!(chunks.done());
        assert_eq!(chunks.feed(next, |_| panic!("of another")), Ok(0));
    }
}

/// What one feeding after the other gives; after an answer there is none more.
fn gathered(pieces: [&[u8]; 3]) -> Result<Option<Whole>, String> {
    let mut gather = Gather::default();
    for (at, piece) in pieces.iter().enumerate() {
        if let Some(whole) = gather.feed(piece)? {
            let rest = pieces[at + 1..].iter().any(|piece| !piece.is_empty());
            assert!(!rest, "whole before its end");
            return Ok(Some(whole));
        }
    }
    Ok(None)
}

#[test]
fn an_answer_is_gathered_however_it_is_split_and_never_from_a_part_of_it() {
    let rows = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"),
        ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, ""),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: v\r\n\r\n", 200, "ok"),
        ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 No\r\nContent-Length: 1\r\n\r\nx", 404, "x"),
        ("HTTP/1.1 204 No\r\n\r\n", 204, ""),
        ("HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n", 304, ""),
    ];
    for (text, status, body) in rows {
        let bytes = text.as_bytes();
        for cut in splits(bytes.len()) {
            let whole = Whole { status, body: body.as_bytes().to_vec(), close: false };
            assert_eq!(gathered(pieces(bytes, cut)), Ok(Some(whole)), "{text:?} {cut:?}");
        }
        for end in 0..bytes.len() {
            let part = &bytes[..end];
            assert_eq!(gathered([part, b"", b""]), Ok(None), "{:?}", &text[..end]);
        }
    }
}

#[test]
fn bytes_behind_an_answer_end_its_connection() {
    let first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for extra in ["H", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"] {
        let whole = Gather::default().feed((first.to_string() + extra).as_bytes()).unwrap().unwrap();
        assert!(whole.close && whole.body == b"ok", "{extra:?}");
    }
}

#[test]
fn an_answer_that_can_be_read_in_two_ways_is_none() {
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
        "HTTP/1.1 200 OK\r\n\r\nto the end",
        "HTTP/1.1 101 Switching\r\nUpgrade: h2c\r\n\r\n",
    ] {
        assert!(Gather::default().feed(text.as_bytes()).is_err(), "{text:?}");
    }
}
