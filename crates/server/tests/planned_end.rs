//! Graceful shutdown of an edge: readiness fails at once, so that clients are sent to other edges, and every request that the edge has
//! read is answered completely.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use stileroute_testbed::no_verdict_log;
use support::disk_gauge::DiskGauge;
use support::Fleet;

const FIRST_NET: u32 = 126;
const TEST_TIME_LIMIT: Duration = Duration::from_secs(28);
/// Grace period, `grace_s` in the settings, after which the process is killed.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Time for which clients still connect after the shutdown request, until the platform has seen two failed readiness checks.
const LATE_CLIENTS_PERIOD: Duration = Duration::from_secs(2);
/// Time after which an edge stops waiting for a store's answer to a request; it then cannot tell whether the message is persisted.
const STORE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_RUNS: u32 = 3;

const HEAD: &str = "POST /in/1 HTTP/1.1\r\nHost: quay.example\r\nContent-Length: 8\r\n";

fn connect(fleet: &Fleet) -> TcpStream {
    let stream = TcpStream::connect(fleet.at(4, 18263)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream
}

/// Reads everything that the edge sends until it closes the connection.
fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn readiness(fleet: &Fleet) -> Option<u16> {
    fleet.http("4:18268", "GET", "/v1/readiness", "", "").map(|answer| answer.0)
}

/// Result of one run of the scenario.
enum RunOutcome {
    Passed,
    /// A request was answered 502 while a write to the machine's disk took the given time, so the run says nothing about the edge.
    DiskStalled(Duration),
}

/// A run in which the disk stalled has no verdict and is repeated; the test fails if all `MAX_RUNS` runs are without a verdict.
#[test]
fn an_edge_that_shuts_down_fails_readiness_at_once_and_answers_all_requests_it_has_read() {
    for _ in 0..MAX_RUNS {
        let RunOutcome::DiskStalled(longest_write) = run_scenario() else { return };
        let reason = format!("the disk stalled for {} ms", longest_write.as_millis());
        eprintln!("no verdict, running again: {reason}");
        no_verdict_log::list_played_again("planned_end", &reason);
    }
    panic!("no verdict: the disk stalled in all {MAX_RUNS} runs");
}

fn run_scenario() -> RunOutcome {
    let mut fleet = Fleet::new("planned-end", FIRST_NET, TEST_TIME_LIMIT);
    fleet.start(&[]);
    let gauge = DiskGauge::start(&fleet.dir);
    let mut half_sent = connect(&fleet);
    write!(half_sent, "{HEAD}X-Request-Id: m-1\r\n\r\nhalf").unwrap();
    let mut idle = connect(&fleet);

    fleet.terminate("edge-1");
    let terminated_at = Instant::now();
    fleet.wait_for("the edge reports that it is not ready", || (readiness(&fleet)? == 503).then_some(()));
    assert!(terminated_at.elapsed() < Duration::from_secs(1), "{:?}", terminated_at.elapsed());

    // A request that is partly sent, a request on an open idle connection, and requests on new connections.
    half_sent.write_all(b"half").unwrap();
    write!(idle, "{HEAD}X-Request-Id: m-2\r\n\r\nhalfhalf").unwrap();
    for answer in [read_to_end(half_sent), read_to_end(idle)] {
        if !is_accepted(&answer) {
            return check_disk_stalled(&answer, gauge);
        }
        assert!(answer.contains("Connection: close"), "{answer}");
    }
    let mut number = 3;
    while terminated_at.elapsed() < LATE_CLIENTS_PERIOD {
        let mut late = connect(&fleet);
        write!(late, "{HEAD}X-Request-Id: m-{number}\r\n\r\nhalfhalf").unwrap();
        let answer = read_to_end(late);
        if !is_accepted(&answer) {
            return check_disk_stalled(&answer, gauge);
        }
        assert_eq!(readiness(&fleet), Some(503));
        number += 1;
    }
    fleet.wait_for_exit("edge-1");
    assert!(terminated_at.elapsed() < GRACE_PERIOD, "{:?}", terminated_at.elapsed());
    gauge.stop();
    RunOutcome::Passed
}

fn is_accepted(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 202 ")
}

/// Checks that an answer other than 202 is excused by a disk stall: it has to be a 502 (no store has confirmed or rejected the message)
/// while a write of the gauge took at least `STORE_RESPONSE_TIMEOUT`. Any other answer fails the test.
fn check_disk_stalled(answer: &str, gauge: DiskGauge) -> RunOutcome {
    let longest_write = gauge.stop();
    let is_caused_by_disk = answer.starts_with("HTTP/1.1 502 ") && longest_write >= STORE_RESPONSE_TIMEOUT;
    assert!(is_caused_by_disk, "{answer}longest write of the disk gauge: {longest_write:?}");
    RunOutcome::DiskStalled(longest_write)
}
