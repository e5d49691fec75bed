//! Table-driven tests of the protocols, the shared state and the settings. Only those of the client slots and
//! of push cancellation open sockets.

use crate::interfaces::{Job, PushHandle as _};
use crate::net::connection_pool::{ConnectionPool, PooledConnection};
use crate::net::executors::ConnectionHandle;
use crate::process::budget::Budget;
use crate::process::settings::{self, CategoryRules};
use crate::state::buffer_pool::Pool;
use crate::state::client_slots::{ClientSlot, ClientSlots};
use crate::state::request_ids::RequestIds;
use crate::wire::admin_request::{self, AdminRequest};
use crate::wire::client_request::{answer_head, RequestParser};
use crate::wire::discovery;
use crate::wire::http::{ChunkError, ChunkedDecoder, ResponseReader};
use crate::wire::push::{push_head, ResponseEvent, ResponseOutcome, ResponseParser};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn unchunk(parts: &[&[u8]]) -> Result<(String, bool, usize), ChunkError> {
    let (mut chunks, mut body, mut used) = (ChunkedDecoder::default(), Vec::new(), 0);
    for part in parts {
        used += chunks.decode(part, |bytes| body.extend_from_slice(bytes))?;
    }
    Ok((String::from_utf8(body).unwrap(), chunks.is_done(), used))
}

#[test]
fn chunked_body_decodes_at_every_split() {
    // Text, body, whether it is complete, and the number of bytes that belong to it.
    let cases = [
        ("0\r\n\r\n", "", true, 5),
        ("5\r\nhello\r\n0\r\n\r\n", "hello", true, 15),
        ("5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nT: v\r\n\r\nnext", "hello!", true, 31),
        ("A\r\n0123456789\r\n", "0123456789", false, 15),
        ("03;\r\nabc\r\n000\r\n\r\n", "abc", true, 17),
    ];
    for (text, body, done, used) in cases {
        for at in 0..=text.len() {
            let (head, tail) = text.as_bytes().split_at(at);
            let got = unchunk(&[head, tail]).unwrap();
            assert_eq!(got, (body.to_string(), done, used), "{text:?} split at {at}");
        }
    }
    let long = format!("1;{}\r\n", "x".repeat(300));
    let cases = [
        "\r\n",
        "x\r\n",
        "123456789\r\n",
        "2\r\nabc\r\n",
        "-1\r\n",
        "2\r\nab0\r\n",
        // Lenient forms that other implementations accept.
        "+1\r\n",
        "0x1\r\n",
        "1 \r\n",
        " 1\r\n",
        "1\n",
        "1;\n",
        "1;a\nb\r\n",
        "1\r\na\n",
        "0\r\n\n",
        "0\r\nT: v\n\r\n",
        "0\r\n\r\r\n",
        long.as_str(),
    ];
    for text in cases {
        assert!(unchunk(&[text.as_bytes()]).is_err(), "{text:?}");
    }
}

const POST: &str =
    "POST /api/k?q=1 HTTP/1.1\r\nX-Call-Id: a1\r\nx-budget-ms: 40\r\nContent-Length: 5\r\n\r\n";

#[test]
fn requests_parse_at_every_split() {
    let pool = Pool::new(4);
    let chunked =
        "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let text = format!("{POST}HTTP/GET /-/ready HTTP/1.1\r\n\r\n{chunked}");
    for at in 0..=text.len() {
        let (mut parser, mut seen) = (RequestParser::new(pool.clone()), Vec::new());
        for part in [&text.as_bytes()[..at], &text.as_bytes()[at..]] {
            let mut part = part;
            while let Some(r) = parser.feed(part).unwrap() {
                let body = String::from_utf8(r.body().to_vec()).unwrap();
                seen.push((r.method.clone(), r.path.clone(), r.id.clone(), r.budget.clone(), body, r.close));
                part = &[];
            }
        }
        let text = |text: &str| text.to_string();
        let first =
            (text("POST"), text("/api/k?q=1"), Some(text("a1")), Some(text("40")), text("HTTP/"), false);
        let second = (text("GET"), text("/-/ready"), None, None, text(""), false);
        let third = (text("POST"), text("/api"), None, None, text("abc"), true);
        assert_eq!(seen, [first, second, third], "split at {at}");
        // All buffers must have been returned, otherwise later connections could not be served.
        assert!(parser.is_idle());
        assert_eq!((0..5).map_while(|_| pool.take()).collect::<Vec<_>>().len(), 4);
    }
}

#[test]
fn invalid_request_is_rejected_with_its_reason() {
    let cases = [
        ("POST\r\n\r\n".to_string(), 400, "malformed"),
        ("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n".to_string(), 400, "Content-Length"),
        (
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n".to_string(),
            400,
            "Content-Length",
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".to_string(),
            400,
            "Transfer-Encoding",
        ),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz".to_string(), 400, "chunked"),
        ("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n".to_string(), 400, "Transfer-Encoding"),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n".to_string(), 400, "Transfer-Encoding"),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n".to_string(), 400, "Transfer-"),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\u{a0}\r\n\r\n".to_string(), 400, "Transfer-"),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n".to_string(),
            400,
            "Transfer-Encoding",
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na".to_string(),
            400,
            "Content-Length",
        ),
        ("POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na".to_string(), 400, "Content-Length"),
        ("POST / HTTP/1.1\r\nContent-Length: 1\u{a0}\r\n\r\na".to_string(), 400, "Content-Length"),
        ("POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\na".to_string(), 400, "malformed"),
        ("POST / HTTP/1.1\r\nA: b\n\r\n".to_string(), 400, "without CR"),
        ("POST / HTTP/1.1\r\nA: b\r\n\n".to_string(), 400, "without CR"),
        ("POST / HTTP/1.1\r\nX-Call-Id: a\r\nx-call-id: a\r\n\r\n".to_string(), 400, "X-Call-Id is given"),
        ("POST / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n".to_string(), 400, "Host is given twice"),
        ("POST x HTTP/1.1\r\n\r\n".to_string(), 400, "path"),
        ("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".to_string(), 413, "64 KiB"),
        (
            format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n{}", "x".repeat(65537)),
            413,
            "64 KiB",
        ),
        (format!("POST / HTTP/1.1\r\nA: {}", "x".repeat(9000)), 431, "head"),
        (format!("POST / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(60)), 431, "headers"),
        ("POST / HTTP/1.1\r\nExpect: 200-ok\r\nContent-Length: 1\r\n\r\n".to_string(), 417, "Expect"),
    ];
    for (text, status, word) in cases {
        let mut parser = RequestParser::new(Pool::new(4));
        let error = text.as_bytes().chunks(4000).find_map(|part| parser.feed(part).err()).unwrap();
        assert!(error.status == status && error.reason.contains(word), "{error:?} for {:.40}", text);
    }
    let whole = format!("POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\n{}", "x".repeat(65536));
    let mut parser = RequestParser::new(Pool::new(4));
    let request = whole.as_bytes().chunks(8192).find_map(|part| parser.feed(part).unwrap()).unwrap();
    assert_eq!(request.body().len(), 65536);
    assert_eq!(RequestParser::new(Pool::new(0)).feed(b"P").err().unwrap().status, 503);
}

#[test]
fn waiting_client_gets_100_continue_once() {
    // Head, start of the body that comes with it, and whether the client gets `100 Continue`.
    let cases = [
        ("HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2", "", true),
        ("HTTP/1.1\r\nExpect: 100-Continue \r\nTransfer-Encoding: chunked", "", true),
        ("HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2", "a", false),
        ("HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 0", "", false),
        ("HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 2", "", false),
        ("HTTP/1.1\r\nContent-Length: 2", "", false),
    ];
    for (head, body, outcome) in cases {
        let mut parser = RequestParser::new(Pool::new(1));
        assert!(parser.feed(b"POST / ").unwrap().is_none() && !parser.take_continue_wanted());
        parser.feed(format!("{head}\r\n\r\n{body}").as_bytes()).unwrap();
        assert_eq!(
            (parser.take_continue_wanted(), parser.take_continue_wanted()),
            (outcome, false),
            "{head}"
        );
    }
}

#[test]
fn heads_are_formatted_for_http() {
    let cases = [
        (answer_head(200, 3, 0, false), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"),
        (
            answer_head(503, 0, 12_345, true),
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1.2345\r\nConnection: close\r\n\r\n",
        ),
    ];
    for (head, expected) in cases {
        assert_eq!(head, expected);
    }
    let mut parser = RequestParser::new(Pool::new(4));
    let text = POST.replace("\r\nX-Call-Id", "\r\nIdempotency-Key: m\r\nX-Call-Id");
    let request = parser.feed(format!("{text}12345").as_bytes()).unwrap().unwrap();
    assert_eq!(
        push_head(&request, "10.0.0.1:1", 7),
        "POST /api/k?q=1 HTTP/1.1\r\nHost: 10.0.0.1:1\r\nX-Budget-Ms: 7\r\nX-Call-Id: a1\r\n\
         Idempotency-Key: m\r\nContent-Length: 5\r\n\r\n"
    );
}

/// The events of a response that arrives in these parts; if `end`, the connection then closes.
fn events_of(parts: &[&[u8]], end: bool) -> (String, bool) {
    let gauges = Arc::new(vec!["rif".to_string(), "busy".to_string(), "x0".to_string()]);
    let mut answer = ResponseParser::new(&Pool::new(1), "a1", gauges).unwrap();
    let mut events = Vec::new();
    let mut tell = |event: ResponseEvent| {
        events.push(match event {
            ResponseEvent::Started => "started".to_string(),
            ResponseEvent::Running(0.0) => "running".to_string(),
            ResponseEvent::Running(share) => format!("running {share}"),
            ResponseEvent::Final(outcome, load) => {
                let outcome = match outcome {
                    ResponseOutcome::Done(result) => {
                        format!("done {}", String::from_utf8(result.to_vec()).unwrap())
                    }
                    ResponseOutcome::Failed => "failed".to_string(),
                    ResponseOutcome::Rejected(status) => format!("unfit {status}"),
                    ResponseOutcome::Returned => "returned".to_string(),
                    ResponseOutcome::Lost => "lost".to_string(),
                    ResponseOutcome::Malformed => "garbled".to_string(),
                };
                load.map_or(outcome.clone(), |load| format!("{outcome} {load:?}"))
            }
        });
    };
    parts.iter().for_each(|part| answer.feed(part, &mut tell));
    if end {
        answer.end(&mut tell);
    }
    (events.join(", "), answer.reusable())
}

fn chunked(pool: &[&str]) -> String {
    let chunks: String = pool.iter().map(|line| format!("{:x}\r\n{line}\r\n", line.len())).collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}")
}

#[test]
fn responses_parse_at_every_split() {
    let head = "HTTP/1.1 200 OK\r\n";
    let started = "{\"id\":\"a1\",\"state\":\"started\"}\n";
    let done = "{\"id\":\"a1\",\"from\":\"s\",\"state\":\"done\",\"result\":\"r\"}\n";
    let load = "{\"state\":\"returned\",\"load\":{\"inflight\":7,\"util\":0.5,\"x0\":2,\"queue\":1}}\n";
    let report = "X-Load-Report: TEXT inflight=7, queue=2, util=0.61, named_metrics.x0=1\r\n";
    let cases = [
        (
            format!("{}0\r\n\r\n", chunked(&[started, "{\"state\":\"running\",\"share\":0.4}\n", done])),
            "started, running 0.4, done r",
            true,
        ),
        // An invalid completed fraction is ignored without affecting the rest of the line.
        (
            format!(
                "{}0\r\n\r\n",
                chunked(&[
                    "{\"state\":\"running\",\"share\":\"half\"}\n",
                    "{\"state\":\"running\",\"share\":7}\n",
                    "{\"state\":\"running\"}\n",
                    done
                ])
            ),
            "running, running, running, done r",
            true,
        ),
        // Several lines in one chunk, and one line in several chunks.
        (
            format!(
                "{}0\r\n\r\n",
                chunked(&[&format!("{started}{}", &done[..9]), &done[9..20], &done[20..]])
            ),
            "started, done r",
            true,
        ),
        (
            format!("{}0\r\n\r\n", chunked(&["{\"state\":\"done\",\"result\":\"a\\\"\\u00fc\\n\"}\n"])),
            "done a\"ü\n",
            true,
        ),
        (format!("{}0\r\n\r\n", chunked(&[load])), "returned [7.0, 0.5, 2.0]", true),
        (format!("{}0\r\n\r\n", chunked(&["{\"state\":\"lost\"}\n"])), "lost", true),
        (
            format!("{}0\r\n\r\n", chunked(&["{\"state\":\"failed\",\"load\":{\"inflight\":7}}\n"])),
            "failed",
            true,
        ),
        // The last line is missing, or lacks only its line end.
        (format!("{}0\r\n\r\n", chunked(&[started])), "started, lost", true),
        (format!("{}0\r\n\r\n", chunked(&[done.trim_end()])), "done r", true),
        // Statuses that concern the request itself, and statuses that do not.
        ("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n".to_string(), "unfit 400", true),
        ("HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n".to_string(), "failed", true),
        // Truncated, malformed, of another job, without a result, and of an unknown state.
        (chunked(&[started]), "started", false),
        (chunked(&[done.trim_end()]), "", false),
        (format!("{}0\r\n\r\n", chunked(&["{\"state\":\n"])), "garbled", false),
        (
            format!("{}0\r\n\r\n", chunked(&["{\"id\":\"b2\",\"state\":\"done\",\"result\":\"r\"}\n"])),
            "garbled",
            false,
        ),
        (format!("{}0\r\n\r\n", chunked(&["{\"state\":\"done\"}\n"])), "garbled", false),
        (format!("{}0\r\n\r\n", chunked(&["{\"state\":\"paused\"}\n", done])), "done r", true),
        (format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\n"), "garbled", false),
        ("SMTP ready\r\n\r\n".to_string(), "garbled", false),
        // No event follows the final line.
        (format!("{}0\r\n\r\n", chunked(&[done, started, done])), "done r", true),
        // Other framings, an interim response, and a connection that is to be closed.
        (format!("{head}Content-Length: {}\r\n\r\n{done}", done.len()), "done r", true),
        (format!("{head}\r\n{done}"), "done r", false),
        (
            format!(
                "HTTP/1.1 100 Continue\r\n\r\n{head}Connection: close\r\nContent-Length: {}\r\n\r\n{done}",
                done.len()
            ),
            "done r",
            false,
        ),
        // Responses that are decided by their status.
        ("HTTP/1.1 500 E\r\nContent-Length: 2\r\n\r\nno".to_string(), "failed", true),
        ("HTTP/1.1 503 B\r\nContent-Length: 0\r\n\r\n".to_string(), "failed", true),
        ("HTTP/1.1 503 B\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_string(), "returned", true),
        ("HTTP/1.1 504 T\r\nX-Rejected: 1\r\n\r\n".to_string(), "returned", false),
        ("HTTP/1.1 500 E\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_string(), "failed", true),
        (
            format!("HTTP/1.1 503 B\r\nX-Rejected: 1\r\n{report}Content-Length: 0\r\n\r\n"),
            "returned [7.0, 0.61, 1.0]",
            true,
        ),
        (
            format!("{head}{report}Content-Length: {}\r\n\r\n{done}", done.len()),
            "done r [7.0, 0.61, 1.0]",
            true,
        ),
    ];
    for (text, expected, reusable) in cases {
        for at in 0..=text.len() {
            let (head, tail) = text.as_bytes().split_at(at);
            let got = events_of(&[head, tail], true);
            assert_eq!(got, (expected.to_string(), reusable), "split at {at}: {text}");
        }
        let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
        assert_eq!(events_of(&bytes, true).0, expected, "byte by byte: {text}");
    }
    assert_eq!(events_of(&[format!("{head}{}", "x".repeat(9000)).as_bytes()], false).0, "garbled");
    assert!(ResponseParser::new(&Pool::new(0), "a1", Arc::default()).is_none());
}

#[test]
fn executor_lists_parse_at_every_split() {
    let body = r#"{"index":43,"snapshot":false,"endpoints":[{"name":"s-1","address":"10.0.0.1:8","zone":"a","type":"m2","group":3,"status":"Ready","weight":1.5,"since_ms":12},{"name":"s-2","status":"Terminating"},{"name":"s-3","status":"Gone"},{"name":"s-4","status":"Dreaming"}]}"#;
    let texts = [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        ),
    ];
    for text in texts {
        for at in 0..text.len() {
            let mut parser = ResponseReader::default();
            assert!(parser.feed(&text.as_bytes()[..at]).unwrap().is_none(), "complete at {at}");
            let list = discovery::read(&parser.feed(&text.as_bytes()[at..]).unwrap().unwrap()).unwrap();
            let active: Vec<bool> = list.endpoints.iter().map(|endpoint| endpoint.is_active()).collect();
            assert_eq!((list.index, list.is_snapshot, active), (43, false, vec![true, false, false, false]));
            let first = &list.endpoints[0];
            assert_eq!((first.cell, first.weight, first.since_ms), (3, 1.5, 12));
        }
    }
    for text in [
        "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "x\r\n\r\n",
    ] {
        let answer = ResponseReader::default().feed(text.as_bytes()).map_err(|error| error.to_string());
        let read =
            answer.and_then(|whole| discovery::read(&whole.unwrap()).map_err(|error| error.to_string()));
        assert!(read.is_err(), "{text}");
    }
    assert!(discovery::request("h", Some((41, 9)))
        .starts_with("GET /api/targets?since=41&timeout_ms=9 HTTP/1.1\r\n"));
}

#[test]
fn descriptors_and_memory_are_split_within_the_limits() {
    for (sockets, memory) in [(1024, 192), (256, 32), (384, 48), (64, 192), (4096, 32), (100_000, 2048)] {
        let budget = Budget::split(sockets, memory, false, false).unwrap();
        assert!(budget.clients + budget.executors + 12 <= sockets, "{budget:?}");
        // Buffers of all connections, and the touched parts of the stacks of readers, writers and pushes.
        let threads = budget.clients + budget.requests + budget.executors;
        let bytes = (budget.clients + budget.executors * 5 / 4) * 72 * 1024 + threads * 24 * 1024;
        assert!(bytes <= (memory << 20) * 9 / 10, "{budget:?}");
        assert!(budget.requests * 3 <= sockets && budget.executors >= budget.requests, "{budget:?}");
        assert!(budget.clients >= budget.requests * 5 / 4, "no capacity for idle clients: {budget:?}");
    }
    assert!(Budget::split(256, 32, false, false).unwrap().requests >= 78);
    for (sockets, memory) in [(0, 192), (20, 192), (1024, 0)] {
        assert!(Budget::split(sockets, memory, false, false).unwrap_err().to_string().starts_with("limits"));
    }
}

const SETTINGS: &str = r#"{"balancers":2,"caps":{"max-pushes":3,"dial-timeout-ns":100000000,"keepalive-ns":60000000000},"categories":[{"name":"c","target-latency-ns":1000000,"semantics":"by_key","key-scope":"cell","window-ns":5000000000,"ttl-ns":2000000000}],"rules":{"overload-factor":2,"start-capacity":0.1,"tip-after-ns":1000000000,"warm-within-ns":1000000000}}"#;

#[test]
fn invalid_settings_are_rejected_with_their_key() {
    let read = |text: &str| {
        let listen = |name: &str| (name == "BALANCER_LISTEN").then(|| "127.0.0.1:0".to_string());
        settings::check(text, listen, false)
    };
    let good = format!(r#"{{"discovery":"127.0.0.1:1","seed":"ff","settings":{SETTINGS}}}"#);
    let start = read(&good).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!((start.seed, start.grace, start.known.index), (255, 27_000, -1));
    assert_eq!(
        (start.connect_timeout, start.idle_timeout),
        (Duration::from_millis(100), Duration::from_secs(30))
    );
    assert_eq!(
        start.request_rules.categories["c"],
        CategoryRules { position: 0, requires_key: true, ttl: 20_000 }
    );
    // The text to replace, its replacement, and the key that the message must name.
    let cases = [
        ("\"discovery\"", "\"other\"", "discovery"),
        ("127.0.0.1:1", "nowhere", "discovery"),
        ("\"ff\"", "\"xyz\"", "seed"),
        ("\"name\":\"c\",", "", "settings.categories[0].name"),
        ("\"max-pushes\":3,", "", "settings.caps"),
        ("\"max-pushes\":3", "\"max-pushes\":-3", "settings.caps.max-pushes"),
        ("by_key", "sometimes", "semantics"),
        ("\"cell\"", "\"galaxy\"", "key-scope"),
        ("\"overload-factor\":2,", "", "settings.rules"),
        ("\"balancers\":2", "\"balancers\":\"two\"", "settings.balancers"),
        ("\"seed\"", "\"limits\":{\"sockets\":5},\"seed\"", "limits"),
        ("\"seed\"", "\"admin_addr\":\"x\",\"seed\"", "admin_addr"),
        ("\"seed\"", "\"known\":{\"index\":\"x\"},\"seed\"", "known.index"),
        ("{\"discovery\"", "\"discovery\"", "expected"),
    ];
    for (from, to, key) in cases {
        let text = good.replacen(from, to, 1);
        assert_ne!(text, good);
        let error = read(&text).map(|_| ()).unwrap_err();
        let error = error.to_string();
        assert!(error.contains(key) && !error.contains('\n'), "{key}: {error}");
    }
    let same_address = |name: &str| {
        let own = ["BALANCER_LISTEN", "BALANCER_ADMIN_ADDR"].contains(&name);
        own.then(|| "127.0.0.1:2".to_string())
    };
    assert!(settings::check(&good, same_address, false)
        .map(|_| ())
        .unwrap_err()
        .to_string()
        .contains("admin_addr"));
    assert!(settings::read(|_| None).map(|_| ()).unwrap_err().to_string().contains("BALANCER_CONFIG"));
}

#[test]
fn idle_connections_are_reused_expired_and_evicted() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut pool = ConnectionPool::new(3, Duration::from_secs(30));
    let lend = |pool: &mut ConnectionPool, executor| {
        let number = pool.allocate_number()?;
        let (tasks, _) = crossbeam_channel::bounded(1);
        pool.mark_in_use(PooledConnection {
            number,
            executor,
            handle: Arc::new(ConnectionHandle::default()),
            tasks,
        });
        Some(number)
    };
    let (a, b, c) = (lend(&mut pool, 0).unwrap(), lend(&mut pool, 0).unwrap(), lend(&mut pool, 1).unwrap());
    // All connections are in use: no new one is permitted, and none is taken from a push.
    assert!(pool.reuse(0, at(0)).is_none() && lend(&mut pool, 0).is_none());
    pool.release(a, true, at(1));
    pool.release(b, true, at(2));
    assert!(pool.reuse(1, at(2)).is_none());
    // The most recently used connection is reused first; later the other one is too old.
    let connection = pool.reuse(0, at(3)).unwrap();
    assert_eq!(connection.number, b);
    pool.mark_in_use(connection);
    assert!(pool.reuse(0, at(31)).is_none());
    pool.release(b, true, at(32));
    pool.release(c, false, at(32));
    // Two more fit; a third replaces the idle one.
    let more: Vec<bool> = (0..4).map(|_| lend(&mut pool, 2).is_some()).collect();
    assert_eq!(more, [true, true, true, false]);
    assert!(pool.reuse(0, at(33)).is_none());
    // Half of three is one: none is opened until all but one are closed, and idle ones are closed at once.
    pool.set_half_capacity(true);
    pool.release(4, true, at(34));
    pool.release(5, true, at(34));
    assert!(lend(&mut pool, 2).is_none(), "one is still in use");
    pool.release(6, true, at(34));
    assert!(lend(&mut pool, 2).is_some() && lend(&mut pool, 2).is_none());
    pool.set_half_capacity(false);
    assert!(lend(&mut pool, 2).is_some());
}

#[test]
fn silent_connections_are_evicted_before_proven_clients_and_busy_ones_never() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (client_slots, mut peers, mut all) = (ClientSlots::default(), Vec::new(), Vec::new());
    for number in 0..8 {
        peers.push(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
        let slot = ClientSlot::new(number, listener.accept().unwrap().0);
        client_slots.add(&slot);
        all.push(slot);
    }
    // Slot 0 has an op in flight and slot 1 an unread request; 2 and 3 are proven and idle, 4 and 5 have sent
    // nothing, 6 has sent part of a request, and 7 has received its last response.
    assert!(
        all[..4].iter().all(|slot| slot.start_reading() && slot.set_busy(false)) && all[6].start_reading()
    );
    all[1..4].iter().for_each(|slot| slot.finish_request(true));
    all[7].close_after_response("answered");
    peers[1].write_all(b"POST").unwrap();
    while all[1].stream.peek(&mut [0]).is_err() {}
    assert!(!client_slots.are_idle() && client_slots.count_busy() == 1);
    let ended = || all.iter().map(|slot| slot.close_reason().is_some()).collect::<Vec<_>>();
    // A client may need a moment for its first request. Until then no proven client is evicted in place of an
    // unproven one.
    assert!(!client_slots.evict_at(all[4].opened));
    let later = |ms| Instant::now() + Duration::from_millis(ms);
    for (ms, evicted) in [(100, 4), (100, 5), (300, 6)] {
        assert!(client_slots.evict_at(later(ms)) && ended()[evicted], "{evicted} stays");
        // Slot 7, which has had its last response, is evicted among these, in the order of the time at which it
        // began to close.
        if evicted == 5 {
            assert!(client_slots.evict_at(later(ms)) && !client_slots.evict_at(later(ms)));
        }
    }
    assert_eq!([2, 3, 9].map(|_| client_slots.evict_at(later(300))), [true, true, false]);
    assert_eq!(ended(), [false, false, true, true, true, true, true, true]);
    // A closed slot accepts no request; the remaining ones continue and may be closed when they are idle.
    assert!(!all[2].start_reading() && all[1].start_reading());
    [0, 1].into_iter().for_each(|number| all[number].finish_request(true));
    assert!(!client_slots.are_idle());
    let _ = (&all[1].stream).read(&mut [0; 4]).unwrap();
    assert!(client_slots.are_idle());
    client_slots.close_idle("steered", Duration::from_secs(60));
    assert_eq!(
        ended(),
        [false, false, true, true, true, true, true, true],
        "no connection was idle for so long"
    );
    client_slots.close_idle("steered", Duration::ZERO);
    assert!(all.iter().all(|slot| !slot.start_reading()));
    (0..8).for_each(|number| client_slots.remove(number));
    client_slots.wait_for_capacity(|| 1);
}

#[test]
fn admin_request_parses_at_every_split() {
    let whole = |head: &str| format!("{head}\r\nHost: n\r\n\r\n");
    let body = |length: usize, given: usize| {
        format!("GET /ready HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{}", "x".repeat(given))
    };
    let cases: [(String, Result<Option<AdminRequest>, u16>); 17] = [
        (whole("GET /ready HTTP/1.1"), Ok(Some(AdminRequest::Ready))),
        (whole("GET /ready?now=1 HTTP/1.0"), Ok(Some(AdminRequest::Ready))),
        (whole("GET /metrics HTTP/1.1"), Ok(Some(AdminRequest::Metrics))),
        (
            whole("PUT /executors/disable/s-1 HTTP/1.1"),
            Ok(Some(AdminRequest::SetDisabled { name: "s-1".into(), disabled: true })),
        ),
        (
            whole("PUT /executors/enable/a/b HTTP/1.1"),
            Ok(Some(AdminRequest::SetDisabled { name: "a/b".into(), disabled: false })),
        ),
        (whole("GET /executors/enable/s-1 HTTP/1.1"), Err(405)),
        (whole("PUT /executors/s-1 HTTP/1.1"), Err(404)),
        (whole("PUT /metrics HTTP/1.1"), Err(405)),
        (whole("GET /metric HTTP/1.1"), Err(404)),
        (whole("POST /api/k HTTP/1.1"), Err(404)),
        ("GET /ready HTTP/1.1\r\nHos".to_string(), Ok(None)),
        (body(3, 2), Ok(None)),
        (body(3, 3), Ok(Some(AdminRequest::Ready))),
        (body(5000, 10), Err(413)),
        ("nonsense\r\n\r\n".to_string(), Err(400)),
        ("GET /ready HTTP/1.1\nHost: n\r\n\r\n".to_string(), Err(400)),
        (format!("GET /ready HTTP/1.1\r\nX: {}", "x".repeat(5000)), Err(431)),
    ];
    for (text, expected) in cases {
        for at in [0, 1, text.len() / 2, text.len() - 1] {
            let mut parser = admin_request::RequestParser::default();
            let first = parser.feed(&text.as_bytes()[..at]);
            let read = first.and_then(|_| parser.feed(&text.as_bytes()[at..]));
            assert_eq!(read.map_err(|error| error.status), expected, "{text:.60} split at {at}");
        }
    }
    assert!(
        admin_request::answer(405, "PUT is not for /ready, only GET\n").contains("\r\nAllow: GET\r\n\r\nPUT")
    );
}

#[test]
fn push_is_withheld_unless_its_first_byte_may_be_written() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = Arc::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
    // Whether the connection carried a push before, whether this push has begun to be written, and whether
    // writing may begin afterwards.
    for (used, begun, may) in
        [(false, false, false), (true, false, false), (false, true, true), (true, true, true)]
    {
        let handle = ConnectionHandle::default();
        if used {
            assert!(handle.register_stream(&stream));
            handle.reset();
        }
        assert!(!begun || handle.register_stream(&stream));
        handle.withhold_unsent();
        assert_eq!(handle.register_stream(&stream), may, "used {used}, begun {begun}");
    }
}

#[test]
fn request_id_is_reserved_once_at_a_time() {
    let request_ids = Arc::new(RequestIds::default());
    let first = request_ids.reserve("a");
    assert!(first.is_some() && request_ids.reserve("a").is_none() && request_ids.reserve("b").is_some());
    drop(first);
    assert!(request_ids.reserve("a").is_some());
}
