//! Scenarios under load with overlapping faults: the program with the testbed's executors, discovery and
//! clients, checked by the testbed's judge. Also a test of the judge itself with pushes that a faulty node
//! might send.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use stileroute_testbed::executor::{specs, ExecutorModel};
use stileroute_testbed::experiment::read;
use stileroute_testbed::faults::Weather;
use stileroute_testbed::judge::{Answer, Judge, Saw};
use stileroute_testbed::load::Source;
use stileroute_testbed::plan::Plan;
use stileroute_testbed::play::executors::Executor;
use stileroute_testbed::play::world::{locked, World};
use stileroute_testbed::play::{play, SLACK_MS};

fn plan(effect: &str, more: &str) -> Plan {
    let text = format!(
        "name = 'day'\nseconds = 8.0\nseeds = [1]\n[fleet]\ndomains = ['a', 'b']\nfar-ms = 2.0\ngrace-ms = 500.0\n\
         [fleet.list]\nlate-s = [0.2, 0.8]\n[[fleet.kind]]\nname = 'k'\ncount = 6\nslots = 4.0\nspeed = [1.0, 1.2]\n\
         [nodes]\ncount = 2\n[load]\nper-second = 60.0\nretries = 1\nretry-wait-ms = 50.0\nrude = 2\n\
         [[category]]\nname = 'c'\npart = 1.0\nwork-ms = 60.0\nspread = 0.3\nhint = 0.2\ntarget-ms = 400.0\n\
         ttl-ms = 3000.0\neffect = '{effect}'\nwindow-ms = 3000.0\n{more}"
    );
    read("day.toml", &text).unwrap().plan
}

#[test]
fn overlapping_faults_break_no_rule() {
    let faults = "[[fault]]\nwhat = 'killed'\nfrom-s = 1.0\nfor-s = 1.5\non = 'part:0.3'\n\
                  [[fault]]\nwhat = 'domain-cut'\nfrom-s = 2.0\nfor-s = 2.0\non = 'domain:b'\n\
                  [[fault]]\nwhat = 'reset'\nfrom-s = 3.0\nfor-s = 3.0\npart = 0.1\nbytes = 40\n\
                  [[fault]]\nwhat = 'list-backward'\nfrom-s = 4.0\nfor-s = 1.0\nms = 2500.0\n\
                  [[fault]]\nwhat = 'node-reload'\nfrom-s = 1.5\nfor-s = 1.0\nnode = 0\n\
                  [[fault]]\nwhat = 'node-killed'\nfrom-s = 5.0\nfor-s = 0.5\nnode = 1\n";
    for effect in ["at-most-once", "deduplicated"] {
        let played = play(&plan(effect, faults), 1, Path::new(env!("CARGO_BIN_EXE_stileroute"))).unwrap();
        assert!(played.broken.is_empty(), "{effect}: {:?}", played.broken.first());
        assert!(
            played.jobs > 300 && played.acked * 10 > played.jobs * 6,
            "{effect}: {} of {}",
            played.acked,
            played.jobs
        );
        let rude = played.log.iter().find(|line| line.starts_with("rude: ")).unwrap();
        assert!(rude.contains(" 0 left with neither"), "{rude}");
    }
}

/// Sends a push of an op directly to an executor and reads until the response contains `until`.
fn push(stream: &mut TcpStream, op: usize, until: &str) -> String {
    let text = format!("POST /x HTTP/1.1\r\nX-Call-Id: {op:016x}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(text.as_bytes()).unwrap();
    let mut held = String::new();
    let mut bytes = [0; 1024];
    while !held.contains(until) {
        let read = stream.read(&mut bytes).unwrap();
        assert!(read > 0, "ended after {held}");
        held.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    held
}

#[test]
fn judge_detects_a_faulty_node() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let entered = runtime.enter();
    let plan = plan("at-most-once", "");
    let specs = specs(&plan, 1);
    let (weather, _) = Weather::new(&plan, &specs, 1);
    let groups = specs.iter().map(|spec| (spec.domain, spec.cell)).collect();
    let world = Arc::new(World::new(&plan, weather, groups).unwrap());
    let (fell, _fallen) = tokio::sync::mpsc::unbounded_channel();
    let executors: Vec<Arc<Executor>> = (0..2)
        .map(|x| {
            let machine = ExecutorModel::new(&plan, specs[x].clone(), 1000, None);
            Executor::start(&world, x, machine, fell.clone()).unwrap()
        })
        .collect();
    let mut source = Source::new(&plan, &specs, 1);
    for _ in 0..4 {
        let asked = world.weather(|weather| source.draw(world.now(), weather));
        let now = world.now();
        locked(&world.asked).push(asked);
        let job = locked(&world.asked).len() - 1;
        locked(&world.ledger).open(job, 0, 0, now, now + 30_000);
    }
    let connect = |x: usize| {
        let stream = TcpStream::connect(executors[x].at).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream
    };
    // Op 0 is pushed correctly and answered; op 1 runs twice; op 2 goes to an executor after its node was
    // notified that it is leaving; op 3 is never answered. A push with an id that no client sent is rejected
    // and recorded.
    let (mut first, mut second) = (connect(0), connect(1));
    assert!(push(&mut first, 0, "\"done\"").contains("\"load\""));
    world.answered(0, Answer::Acked);
    push(&mut first, 1, "\"done\"");
    push(&mut second, 1, "\"done\"");
    world.answered(1, Answer::Acked);
    locked(&world.ledger).told(0, 1, world.now(), false);
    std::thread::sleep(Duration::from_millis(700));
    push(&mut second, 2, "\"done\"");
    world.answered(2, Answer::Acked);
    push(&mut second, 77, "404");
    assert_eq!(locked(&world.foreign).len(), 1);
    let broken = Judge::new(&plan, SLACK_MS).read(&locked(&world.ledger));
    let found: Vec<(u8, usize)> = broken.iter().map(|b| (b.rule, b.op)).collect();
    assert_eq!(found, [(1, 3), (2, 1), (3, 2)], "{broken:?}");
    assert!(broken[1].line.iter().any(|line| line.ends_with("begun at executor 1")), "{:?}", broken[1].line);
    // A killed executor resets its connections and later listens again at the same address.
    executors[0].kill();
    assert!(matches!(first.read(&mut [0; 8]), Err(_) | Ok(0)));
    // Waits until the old listener is closed: a connection that it still accepted would be reset.
    let start = std::time::Instant::now();
    while TcpStream::connect(executors[0].at).is_ok() {
        assert!(start.elapsed() < Duration::from_secs(5), "its listener is still open");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(executors[0].revive());
    let mut again = None;
    for _ in 0..200 {
        again = TcpStream::connect(executors[0].at).ok();
        if again.is_some() {
            break;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    push(&mut again.unwrap(), 3, "\"done\"");
    assert!(locked(&world.ledger).sheets[3].seen.iter().any(|(_, saw)| *saw == Saw::Began(0)));
    drop(entered);
}
