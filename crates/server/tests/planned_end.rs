//! An edge that is told to end: clients are sent elsewhere, and each request that it reads is answered whole.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use stileroute_testbed::no_verdict_log;
use support::disk_gauge::DiskGauge;
use support::Fleet;

const FIRST_NET: u32 = 126;
const TIME_LIMIT: Duration = Duration::from_secs(28);
/// The settings' `grace_s`: the process is killed after it.
const GRACE: Duration = Duration::from_secs(6);
/// Clients still arrive for so long, until the platform has missed two answers to the question for readiness.
const STILL_ARRIVING: Duration = Duration::from_secs(2);
/// A store that is silent for so long is given up for a request, and the edge can't say whether the message is kept.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(200);
const MAX_PLAYS: u32 = 3;

const HEAD: &str = "POST /in/1 HTTP/1.1\r\nHost: quay.example\r\nContent-Length: 8\r\n";

fn connect(fleet: &Fleet) -> TcpStream {
    let stream = TcpStream::connect(fleet.at(4, 18263)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream
}

/// All that comes until the edge closes the connection.
fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn readiness(fleet: &Fleet) -> Option<u16> {
    fleet.http("4:18268", "GET", "/v1/readiness", "", "").map(|answer| answer.0)
}

/// What came of the test played once.
enum Played {
    Passed,
    /// A request was answered 502 while the machine's disk did not answer for so long: that says nothing of the edge.
    DiskStalled(Duration),
}

/// One without a verdict is played again, and fails if it never has one.
#[test]
fn an_edge_that_ends_says_so_at_once_and_answers_all_that_it_reads() {
    for _ in 0..MAX_PLAYS {
        let Played::DiskStalled(longest) = play() else { return };
        let reason = format!("the disk stalled for {} ms", longest.as_millis());
        eprintln!("no verdict, played again: {reason}");
        no_verdict_log::list_played_again("planned_end", &reason);
    }
    panic!("no verdict: the disk stalled in all of {MAX_PLAYS} plays");
}

fn play() -> Played {
    let mut fleet = Fleet::new("planned-end", FIRST_NET, TIME_LIMIT);
    fleet.start(&[]);
    let gauge = DiskGauge::start(&fleet.dir);
    let mut half_sent = connect(&fleet);
    write!(half_sent, "{HEAD}X-Request-Id: m-1\r\n\r\nhalf").unwrap();
    let mut idle = connect(&fleet);

    fleet.terminate("edge-1");
    let told_at = Instant::now();
    fleet.wait_for("the edge says that it is not ready", || (readiness(&fleet)? == 503).then_some(()));
    assert!(told_at.elapsed() < Duration::from_secs(1), "{:?}", told_at.elapsed());

    // What was under way, what comes on an open connection, and what comes on new ones.
    half_sent.write_all(b"half").unwrap();
    write!(idle, "{HEAD}X-Request-Id: m-2\r\n\r\nhalfhalf").unwrap();
    for answer in [read_to_end(half_sent), read_to_end(idle)] {
        if !is_accepted(&answer) {
            return without_verdict(&answer, gauge);
        }
        assert!(answer.contains("Connection: close"), "{answer}");
    }
    let mut number = 3;
    while told_at.elapsed() < STILL_ARRIVING {
        let mut late = connect(&fleet);
        write!(late, "{HEAD}X-Request-Id: m-{number}\r\n\r\nhalfhalf").unwrap();
        let answer = read_to_end(late);
        if !is_accepted(&answer) {
            return without_verdict(&answer, gauge);
        }
        assert_eq!(readiness(&fleet), Some(503));
        number += 1;
    }
    fleet.wait_for_exit("edge-1");
    assert!(told_at.elapsed() < GRACE, "{:?}", told_at.elapsed());
    gauge.stop();
    Played::Passed
}

fn is_accepted(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 202 ")
}

/// An answer other than 202 breaks the rule, but for a 502 (no store has said whether it keeps the message) beside a disk that did
/// not answer.
fn without_verdict(answer: &str, gauge: DiskGauge) -> Played {
    let longest = gauge.stop();
    let is_of_disk = answer.starts_with("HTTP/1.1 502 ") && longest >= STORE_SILENCE_LIMIT;
    assert!(is_of_disk, "{answer}the longest write of the gauge: {longest:?}");
    Played::DiskStalled(longest)
}
