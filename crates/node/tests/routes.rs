//! The program with an operators' file: its commands, its limits on sockets, and reloads under load.

use std::io::Write;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use stileroute_route_limits::limits::LIMIT_KEYS;
use stileroute_testbed::experiment::read;
use stileroute_testbed::plan::Plan;
use stileroute_testbed::play::play;
use stileroute_testbed::stand::{entries, read_message, Act, Discovery, Fleet, NodeProcess};

const BINARY: &str = env!("CARGO_BIN_EXE_stileroute");

fn deploy(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name)
}

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(BINARY);
    command.args(arguments).env("BALANCER_CONFIG", deploy("example.json")).env_remove("STILEROUTE_OPERATOR");
    command.output().unwrap()
}

fn exit_code_and_output(out: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

/// Writes a temporary file for one test.
fn temporary_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("stileroute-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn example_file_is_valid_and_has_every_key() {
    let path = deploy("operator.toml");
    let (code, out, err) = exit_code_and_output(&run(&["check", path.to_str().unwrap()]));
    assert!(code == Some(0) && out.contains("well, 6 rules") && err.is_empty(), "{out}{err}");
    let text = std::fs::read_to_string(&path).unwrap();
    for key in LIMIT_KEYS.iter().filter(|key| **key != "copy-after") {
        assert!(text.lines().any(|line| line.starts_with(&format!("{key} = "))), "{key}");
    }
}

#[test]
fn commands_print_effective_limits_and_one_line_per_fault() {
    let path = deploy("operator.toml");
    let operator = ["--operator", path.to_str().unwrap()];
    let (code, out, _) = exit_code_and_output(&run(&[
        &operator[..],
        &["explain", "--path", "/api/bulk/7", "--category", "report"],
    ]
    .concat()));
    assert!(code == Some(0) && out.starts_with("2 rules match"), "{out}");
    let more = ["--tenant", "archive", "--header", "X-Source=night"];
    let arguments = ["explain", "--path", "/api/bulk/7", "--category", "report"];
    let (code, out, _) = exit_code_and_output(&run(&[&operator[..], &arguments, &more].concat()));
    assert!(code == Some(0) && out.starts_with("3 rules match"), "{out}");
    // Each limit with the line that sets it, including inherited ones.
    let text = std::fs::read_to_string(&path).unwrap();
    for (key, value, by) in [
        ("wait", "500 ms", "bulk reports"),
        ("in-hand", "20", "bulk reports"),
        ("op", "4000 ms", "category report"),
    ] {
        let line =
            out.lines().find(|line| line.trim_start().starts_with(&format!("{key} = {value}"))).expect(&out);
        let number: usize = line.split("(line ").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
        assert!(line.contains(by) && text.lines().nth(number - 1).unwrap().starts_with(key), "{line}");
    }
    assert!(out.contains("effect: AtMostOnce, of the category: Redeliverable"), "{out}");
    let (code, out, _) = exit_code_and_output(&run(&[&operator[..], &["routes"]].concat()));
    assert!(code == Some(0) && out.lines().count() == 6, "{out}");
    assert!(out.starts_with("route one pallet (line ") || out.starts_with("route marked (line "), "{out}");
    assert_eq!(exit_code_and_output(&run(&["version"])).0, Some(0));
    assert!(exit_code_and_output(&run(&["completions", "bash"])).1.contains("stileroute"));
    // Invalid input gives exit code 2, an empty standard output, and one line per fault.
    let bad = temporary_file("bad", "[defaults]\npushes = 9\nop = '5'\n");
    let cases: [(&[&str], &[&str]); 6] = [
        (
            &["check", bad.to_str().unwrap()],
            &[":2:1: defaults.pushes: 9 pushes are more than the 4", ":3:1: defaults.op: '5' has no unit"],
        ),
        (&["check", "/nonexistent.toml"], &["/nonexistent.toml:1:1: file: "]),
        (&["check"], &["name a file"]),
        (&["routes"], &["no operators' file"]),
        (
            &["--operator", path.to_str().unwrap(), "explain", "--category", "none"],
            &["there is no 'none', only report, release"],
        ),
        (
            &["--operator", path.to_str().unwrap(), "explain", "--category", "report", "--header", "x"],
            &["is not NAME=VALUE"],
        ),
    ];
    for (arguments, expected) in cases {
        let (code, out, err) = exit_code_and_output(&run(arguments));
        assert!(
            code == Some(2) && out.is_empty() && err.lines().count() == expected.len(),
            "{arguments:?}: {out}{err}"
        );
        assert!(expected.iter().all(|line| err.contains(line)), "{arguments:?}: {err}");
    }
    // The program does not serve with an invalid file either.
    let (code, _, err) = exit_code_and_output(&run(&["--operator", bad.to_str().unwrap()]));
    assert!(code == Some(2) && err.lines().count() == 2, "{err}");
    std::fs::remove_file(bad).unwrap();
}

fn config(discovery: &str) -> String {
    let settings = std::fs::read_to_string(deploy("example.json")).unwrap();
    let mut config: serde_json::Value = serde_json::from_str(&settings).unwrap();
    config["listen"] = "127.0.0.1:0".into();
    config["discovery"] = discovery.into();
    config["known"] = serde_json::Value::Null;
    config["settings"]["failure-domains"] = serde_json::json!(["a"]);
    config["settings"]["shapes"] = serde_json::json!(["m"]);
    config.to_string()
}

/// Starts a node with an operators' file and executors that follow a script. An executor that leaves an op
/// unstarted gets no more ops of its category for a while, so there is one executor more than such ops.
fn node(script: fn(usize) -> Act, operator: &str) -> (NodeProcess, std::sync::Arc<Fleet>) {
    let (fleet, addresses) = Fleet::start(5, script);
    let (_, at) = Discovery::start(entries(&addresses));
    let node = NodeProcess::start_with(Path::new(BINARY), &config(&at.to_string()), operator).unwrap();
    let start = Instant::now();
    while ask(&node, "GET /-/ready HTTP/1.1\r\n\r\n").0 != 200 {
        assert!(start.elapsed() < Duration::from_secs(10));
    }
    (node, fleet)
}

fn ask(node: &NodeProcess, text: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(node.at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let (head, body) = read_message(&mut stream).expect("an answer");
    (head[9..12].parse().unwrap(), format!("{head}{body}"))
}

fn op_request(number: usize, category: &str, path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number:016x}\r\nX-Call-Class: {category}\r\n\
         X-Budget-Ms: 4000\r\nX-Call-Cost: 20000\r\nContent-Length: 0\r\n\r\n"
    )
}

#[test]
fn limits_apply_and_ops_keep_those_of_their_arrival() {
    let silent = |_: usize| Act::Silent;
    let short = "[log]\nform = 'json'\n[[route]]\nname = 'short'\nmatch = { path = '/short/*' }\nop = '400ms'\npushes = 1\n";
    let (node, fleet) = node(silent, short);
    let start = Instant::now();
    let (status, text) = ask(&node, &op_request(1, "release", "/short/1"));
    assert!(
        status == 500 && start.elapsed() < Duration::from_millis(900),
        "{text} after {:?}",
        start.elapsed()
    );
    // A file that is loaded while an op is in flight does not affect this op, but applies to the next one.
    let begun = Instant::now();
    let waiting = std::thread::scope(|scope| {
        let first = scope.spawn(|| (ask(&node, &op_request(2, "release", "/short/1")).0, begun.elapsed()));
        std::thread::sleep(Duration::from_millis(100));
        node.replace_operator(&short.replace("400ms", "750ms")).unwrap();
        first.join().unwrap()
    });
    assert!(waiting.0 == 500 && (350..700).contains(&waiting.1.as_millis()), "{waiting:?}");
    let start = Instant::now();
    assert_eq!(ask(&node, &op_request(3, "release", "/short/1")).0, 500);
    assert!(
        (Duration::from_millis(700)..Duration::from_millis(980)).contains(&start.elapsed()),
        "{:?}",
        start.elapsed()
    );
    // An invalid file is reported and rejected as a whole, and the previous limits stay in effect.
    node.replace_operator("[defaults]\npushes = 9\n").unwrap();
    let told = Instant::now();
    while !node.logged("operators' file not taken: ") {
        assert!(told.elapsed() < Duration::from_secs(5));
        std::thread::sleep(Duration::from_millis(5));
    }
    let start = Instant::now();
    assert_eq!(ask(&node, &op_request(4, "release", "/short/1")).0, 500);
    assert!(start.elapsed() > Duration::from_millis(650));
    assert_eq!(fleet.count(), 4);
    // The log is written by its own thread and may lag slightly behind the response.
    let start = Instant::now();
    let told =
        |node: &NodeProcess| node.log.lock().unwrap().iter().filter(|l| l.contains("dead-lettered")).count();
    while told(&node) < 4 && start.elapsed() < Duration::from_secs(5) {
        std::thread::sleep(Duration::from_millis(5));
    }
    // Each dead letter is logged as a JSON line with its fields.
    let log = node.log.lock().unwrap();
    let lines: Vec<serde_json::Value> =
        log.iter().map(|line| serde_json::from_str(line).expect(line)).collect();
    let dead: Vec<_> = lines.iter().filter(|line| line["code"] == "dead-lettered").collect();
    assert_eq!(dead.len(), 4);
    assert!(
        dead.iter()
            .all(|line| line["route"] == "short" && line["category"] == "release" && line["pushes"] == 1),
        "{dead:?}"
    );
    assert!(lines
        .iter()
        .any(|line| line["about"] == "ended" && line["peer"] == "executor" && line["code"] == "called-off"));
}

#[test]
fn op_waits_for_a_concurrency_slot_no_longer_than_allowed() {
    const SLOW: &[&str] = &["{\"state\":\"started\"}\n{\"state\":\"done\",\"result\":\"x\"}\n"];
    let slow = |_: usize| Act::Lines(400, SLOW);
    let (node, _fleet) = node(
        slow,
        "[[route]]\nname = 'r'\nmatch = { path = '/r' }\nin-hand = 1\nwait = '600ms'\nwaiting = 1\n",
    );
    let begun = Instant::now();
    let answers: Vec<(u16, String, Duration)> = std::thread::scope(|scope| {
        let asked: Vec<_> = (0..3)
            .map(|number| {
                let node = &node;
                let one = scope.spawn(move || {
                    // The category is at-most-once: an op that may be repeated would be moved to another
                    // executor after waiting so long for its start.
                    let (status, text) = ask(node, &op_request(10 + number, "release", "/r"));
                    (status, text, begun.elapsed())
                });
                std::thread::sleep(Duration::from_millis(60));
                one
            })
            .collect();
        asked.into_iter().map(|one| one.join().unwrap()).collect()
    });
    // The first op runs, the second waits and runs after it, and the third is rejected at once with a
    // retry-after time.
    assert_eq!([answers[0].0, answers[1].0, answers[2].0], [200, 200, 503], "{answers:?}");
    assert!(
        answers[1].2 > Duration::from_millis(780) && answers[2].2 < Duration::from_millis(400),
        "{answers:?}"
    );
    assert!(answers[2].1.contains("Retry-After: "), "{}", answers[2].1);
}

fn scenario(seconds: f64, more: &str) -> Plan {
    let text = format!(
        "name = 'day'\nseconds = {seconds:?}\nseeds = [1]\nreload-every-ms = 100.0\n{more}\n[fleet]\ndomains = ['a', 'b']\n\
         [[fleet.kind]]\nname = 'k'\ncount = 6\nslots = 4.0\nspeed = [1.0, 1.2]\n[nodes]\ncount = 2\n[load]\n\
         per-second = 80.0\nretries = 1\nretry-wait-ms = 50.0\n[[category]]\nname = 'c'\npart = 0.5\nwork-ms = 60.0\n\
         spread = 0.3\nhint = 0.2\ntarget-ms = 400.0\nttl-ms = 3000.0\neffect = 'redeliverable'\n[[category]]\nname = 'o'\n\
         part = 0.5\nwork-ms = 60.0\ntarget-ms = 400.0\nttl-ms = 3000.0\neffect = 'at-most-once'\n\
         [[fault]]\nwhat = 'killed'\nfrom-s = 1.0\nfor-s = 1.5\non = 'part:0.3'\n"
    );
    read("day.toml", &text).unwrap().plan
}

#[test]
fn ten_reloads_a_second_with_every_second_file_invalid_lose_no_op() {
    let more = r#"operator = "[defaults]\npushes = 3"
operator-next = ["[defaults]\npushes = 99", "[defaults]\npushes = 2\nop = '2s'", "no file", "[defaults]\nin-hand = 50\nwait = '100ms'"]"#;
    let played = play(&scenario(6.0, more), 1, Path::new(BINARY)).unwrap();
    assert!(played.broken.is_empty(), "{:?}", played.broken.first());
    assert!(played.jobs > 300 && played.acked * 10 > played.jobs * 9, "{} of {}", played.acked, played.jobs);
    let count = |word: &str| played.log.iter().filter(|line| line.contains(word)).count();
    assert!(count("operators' file not taken: ") > 20 && count("operators' file read again: ") > 20);
}
