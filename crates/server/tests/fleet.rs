//! Runs a small system on loopback addresses: one control node, two stores, one edge, and an executor that the test simulates.
//! Each command that docs/server.md shows is run on this system as the page has it.

mod support;

use std::collections::BTreeSet;
use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::Output;
use std::time::Duration;

use jzon::JsonValue;
use support::{http, program, texts, Answer, Fleet, CONFIGURATION};

const DOCS: &str = include_str!("../../../docs/server.md");
/// The message id that the examples of the docs use.
const EXAMPLE_MESSAGE: &str = "9c41d07b.655f3c0000002.2b1f8e06";
const FIRST_NET: u32 = 64;
/// Time limit of the complete test: a sync takes seconds while the disk stalls.
const TIME_LIMIT: Duration = Duration::from_secs(28);

/// Replaces the example values in a command of the docs with those of this fleet.
fn with_fleet_values(fleet: &Fleet, line: &str, message: &str) -> String {
    line.replace("10.1.0.14:7300", &fleet.at(1, 17300))
        .replace("10.1.0.12:7301", &fleet.at(2, 17301))
        .replace("/etc/stileroute/node.json", fleet.dir.join("store-1.json").to_str().unwrap())
        .replace("/var/lib/stilerouted", fleet.dir.join("store-1").to_str().unwrap())
        .replace("config.json", fleet.dir.join("config.json").to_str().unwrap())
        .replace("10.1.0.14:8262", &fleet.at(1, 18262))
        .replace(EXAMPLE_MESSAGE, message)
}

fn run_docs_command(fleet: &Fleet, line: &str, message: &str) -> Output {
    let line = with_fleet_values(fleet, line, message);
    program().args(line.split(' ').skip(1)).output().unwrap()
}

/// The lines of all code blocks in the docs, each of which is a command.
fn commands_of_docs() -> Vec<&'static str> {
    let mut is_inside = false;
    let mut lines = Vec::new();
    for line in DOCS.lines() {
        if line.starts_with("```") {
            is_inside = !is_inside;
        } else if is_inside {
            lines.push(line);
        }
    }
    lines
}

fn with_status(status: u16, answer: Option<Answer>) -> Option<Answer> {
    answer.filter(|answer| answer.0 == status)
}

#[test]
fn a_system_is_started_asked_and_stopped() {
    let mut fleet = Fleet::new("whole", FIRST_NET, TIME_LIMIT);
    let metrics_address = fleet.at(4, 18299);
    fleet.start(&["--figures", &metrics_address]);
    fs::write(fleet.dir.join("config.json"), CONFIGURATION).unwrap();
    // The first message is delivered; the service of the second one has no executor, so that message stays in the queue.
    let (done, stuck) = (fleet.accepted_message("/in/1", "m-1"), fleet.accepted_message("/stuck/1", "m-2"));
    fleet.wait_for_delivery(&done, "m-1");

    check_bodies_of_any_length(&fleet);
    check_an_incomplete_request(&fleet);
    check_that_messages_are_not_logged(&fleet);
    check_status_text(&fleet);
    check_status_json(&fleet);
    check_traces(&fleet, &done, &stuck);
    check_exit_codes_of_orders(&fleet);
    check_answers_to_a_configuration(&fleet);
    check_metrics(&fleet, &metrics_address);
    let offline = run_each_command_of_the_docs(&fleet, &done);
    stop_gracefully(&mut fleet, &metrics_address);
    check_stored_state(&fleet, &offline, &done);
    check_that_damage_is_reported_and_not_repaired(&fleet);
}

/// A long configuration must be accepted, and a message body beyond the size limit rejected, however fast the body arrives.
fn check_bodies_of_any_length(fleet: &Fleet) {
    let long = format!("{}{CONFIGURATION}", " ".repeat(2 << 20));
    fleet.wait_for("a long configuration is taken", || {
        with_status(200, fleet.http("1:18262", "POST", "/v1/settings/replace", "", &long))
    });
    let answer = fleet.http("4:18263", "POST", "/in/1", "X-Request-Id: m-3\r\n", &long);
    assert_eq!(answer.map(|answer| answer.0), Some(413));
}

/// A complete request must be answered, and so must the incomplete request that follows it in the same write.
fn check_an_incomplete_request(fleet: &Fleet) {
    let mut stream = TcpStream::connect(fleet.at(4, 18263)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(b"GET /none HTTP/1.1\r\nHost: h\r\n\r\nPOST /in/1 HTTP/1.1\r\nHost: qu").unwrap();
    let mut answers = String::new();
    stream.read_to_string(&mut answers).unwrap();
    assert!(answers.starts_with("HTTP/1.1 404 ") && answers.contains("HTTP/1.1 408 "), "{answers}");
}

/// State changes must be logged, and individual messages must not be logged.
fn check_that_messages_are_not_logged(fleet: &Fleet) {
    let lines = || ["store-1", "store-2", "edge-1"].map(|name| fleet.log(name).lines().count());
    let before = lines();
    for number in 0..30 {
        fleet.accepted_message("/in/more", &format!("n-{number}"));
    }
    // If the machine stalls, links fail and are logged; logging thirty messages would add many more lines.
    let more = lines().into_iter().zip(before).map(|(after, before)| after - before).max();
    assert!(more < Some(25), "{}", fleet.log("store-1"));
    assert!(fleet.log("edge-1").contains("control nodes are reachable"), "{}", fleet.log("edge-1"));
}

fn check_status_text(fleet: &Fleet) {
    let text = fleet.wait_for("the queue of crane is empty and all nodes have version 7", || {
        let text = texts(&run_docs_command(fleet, "stilerouted status --at 10.1.0.14:7300", "")).0;
        let has_run = text.contains("crane: 0 waiting, 0 out") && text.matches("version 7").count() == 4;
        (has_run && !text.contains("HEARS NOTHING") && !text.contains("SILENT")).then_some(text)
    });
    for part in
        ["epoch 1", "core-1 leads", "store store-1 in z1", "store store-2", "edge edge-1", "version 7"]
    {
        assert!(text.contains(part), "{part}: {text}");
    }
    for part in ["lock: ", "at most 5/s, tokens by store-", "i-crane-1 at"] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

fn check_status_json(fleet: &Fleet) {
    let json = texts(&run_docs_command(fleet, "stilerouted status --json --at 10.1.0.12:7301", "")).0;
    let json = jzon::parse(&json).unwrap();
    assert_eq!((json["nodes"].len(), json["silent"].len()), (4, 0), "{json}");
    assert!(json["nodes"].members().all(|node| node["version"] == 7), "{json}");
    assert_eq!(json["control"]["epoch"], 1);
    assert!(!json["services"]["crane"]["executors"]["i-crane-1"]["shares"].is_empty(), "{json}");
    assert!(json["services"]["crane"]["repeats"]["first"].as_u64().is_some_and(|count| count > 0), "{json}");
}

fn trace(fleet: &Fleet, message: &str) -> JsonValue {
    let line = format!("stilerouted message {EXAMPLE_MESSAGE} --at 10.1.0.14:7300 --json");
    jzon::parse(&texts(&run_docs_command(fleet, &line, message)).0).unwrap()
}

fn check_traces(fleet: &Fleet, done: &str, stuck: &str) {
    fleet.wait_for("the replica knows the end of the message", || {
        let json = trace(fleet, done);
        let ends = json["stores"].entries().filter(|(_, trace)| trace["end"]["seal"] == "s-m-1").count();
        (ends == 2).then_some(())
    });
    let json = trace(fleet, stuck);
    let stages = json["stores"].entries().map(|(_, trace)| trace["stage"].to_string());
    let stages: BTreeSet<String> = stages.collect();
    assert_eq!(stages, BTreeSet::from(["copy".to_string(), "waiting".to_string()]), "{json}");
}

/// Checks the exit code of operator commands for each of their outcomes.
fn check_exit_codes_of_orders(fleet: &Fleet) {
    let (own, other, lower) = fleet.configurations();
    let broken = fleet.write_file("broken.json", "{\"routes\":7}");
    for (words, code, part) in [
        (&["apply", &own][..], 0, "revision 7 is in force"),
        (&["apply", &other], 3, "CONFLICT"),
        (&["apply", &lower], 3, "revision 7 is in force, not 6"),
        (&["apply", &broken], 2, ""),
        (&["apply", "/nowhere.json"], 2, ""),
        (&["diff", &own], 0, "revision 7 is in force"),
        (&["diff", &other], 3, "route quick: differs"),
        (&["read"], 0, CONFIGURATION),
        (&["retire", "store-1"], 3, "too few would be left"),
        (&["retire", "store-9"], 2, ""),
        (&["retire", "store-9", "--status"], 2, ""),
        (&["retire", "../x"], 2, ""),
    ] {
        let output = fleet.ask(words);
        let text = texts(&output).0;
        assert_eq!((output.status.code(), text.contains(part)), (Some(code), true), "{words:?}: {text}");
    }
}

/// Checks the answer of a control node to a configuration, and the JSON output of the command that sends one.
fn check_answers_to_a_configuration(fleet: &Fleet) {
    let (_, other, _) = fleet.configurations();
    let sent = |text: &str| {
        let answer = fleet.http("1:18262", "POST", "/v1/settings/replace", "", text).unwrap();
        assert_eq!(answer.0, 200, "acknowledged, as the operators' pages want it");
        jzon::parse(&answer.2).unwrap()
    };
    let (same, different) = (sent(CONFIGURATION), sent(&fs::read_to_string(&other).unwrap()));
    assert_eq!((same["applied"] == true, different["applied"] == false), (true, true));
    assert_eq!((&same["revision"], &same["digest"]), (&different["revision"], &different["digest"]));
    let json = fleet.json(&["apply", &other]);
    assert!(
        json["ok"] == false && json["digest"] == same["digest"] && json["sent"] != json["digest"],
        "{json}"
    );
}

/// Checks the metrics of each role, and that the docs explain each metric.
fn check_metrics(fleet: &Fleet, metrics_address: &str) {
    let mut metrics = http(metrics_address, "GET", "/metrics", "", "").unwrap().2;
    assert_eq!(http(metrics_address, "GET", "/", "", "").unwrap().0, 404);
    for (host, port) in [(1, 17300), (2, 17301), (3, 17301), (4, 17302)] {
        let output = fleet.ask_at(&fleet.at(host, port), &["figures"]);
        assert!(output.status.success(), "{output:?}");
        metrics += &texts(&output).0;
    }
    let names = metrics.lines().filter_map(|line| line.strip_prefix("# HELP ")?.split(' ').next());
    for name in names.collect::<BTreeSet<_>>() {
        assert!(DOCS.contains(&format!("`{name}`")), "docs/server.md says nothing of {name}");
    }
    for part in
        ["stileroute_control_heard 1", "door=\"front\",status=\"202\"} 3", "stileroute_config_version 7"]
    {
        assert!(metrics.contains(part), "{part}: {metrics}");
    }
    assert!(metrics.contains("stileroute_deliveries_total{outcome=\"done\"}"), "{metrics}");
}

/// Runs each command of the docs, except those that start a role, because the roles already run, and those that need a stopped
/// process, which are returned.
fn run_each_command_of_the_docs(fleet: &Fleet, message: &str) -> Vec<&'static str> {
    let (mut offline, mut starts) = (Vec::new(), 0);
    for line in commands_of_docs() {
        match line.split(' ').collect::<Vec<_>>()[..] {
            ["stilerouted", "state", ..] => offline.push(line),
            ["stilerouted", "--boot", _, "core" | "store" | "edge"] => starts += 1,
            ["stilerouted", ..] => {
                let output = run_docs_command(fleet, line, message);
                assert!(output.status.success(), "{line}: {output:?}");
            }
            ["curl", ref words @ .., url] => {
                let url = with_fleet_values(fleet, url, message);
                let (at, path) = url.strip_prefix("http://").unwrap().split_once('/').unwrap();
                let method = if words == ["--data-binary", "@config.json"] { "POST" } else { "GET" };
                let (status, _, body) = http(at, method, &format!("/{path}"), "", CONFIGURATION).unwrap();
                assert_eq!((status, body == CONFIGURATION), (200, path.ends_with("read")), "{line}: {body}");
            }
            _ => panic!("not tried: {line}"),
        }
    }
    assert_eq!((offline.len(), starts), (2, 3));
    offline
}

/// A node without contact to the control nodes must report it in its metrics; then all nodes must shut down gracefully.
fn stop_gracefully(fleet: &mut Fleet, metrics_address: &str) {
    fleet.end("core-1");
    fleet.wait_for("the edge has no contact to control nodes", || {
        let metrics = http(metrics_address, "GET", "/metrics", "", "")?.2;
        metrics.contains("stileroute_control_heard 0").then_some(())
    });
    // Without a control node, no process can say which configuration is in force.
    let (own, _, _) = fleet.configurations();
    let output = fleet.ask_at(&fleet.at(4, 17302), &["apply", &own]);
    assert_eq!(output.status.code(), Some(4), "{output:?}");
    ["edge-1", "store-2", "store-1"].into_iter().for_each(|name| fleet.end(name));
}

fn verify(fleet: &Fleet, name: &str) -> Output {
    program().args(["state", "verify", "--json"]).arg(fleet.dir.join(name)).output().unwrap()
}

fn check_stored_state(fleet: &Fleet, offline: &[&str], message: &str) {
    for line in offline {
        let output = run_docs_command(fleet, line, message);
        assert!(output.status.success(), "{line}: {output:?}");
    }
    let store = jzon::parse(&texts(&verify(fleet, "store-1")).0).unwrap();
    let store = &store["hold"];
    // If the disk is slow, an edge may send a message to a second store, and the message is stored twice.
    let (live, complete) = (store["live"].as_u64().unwrap(), store["complete"].as_u64().unwrap());
    assert!(store["opens"] == true && live >= 1 && complete >= 31, "{store}");
    let core = jzon::parse(&texts(&verify(fleet, "core-1")).0).unwrap();
    assert_eq!((core["watch"]["epoch"] == 1, core["watch"]["version"] == 7), (true, true), "{core}");
    assert_eq!(verify(fleet, "nothing").status.code(), Some(2));
}

/// A damaged byte in the middle of synced log data must be reported, and the log file must not be changed.
fn check_that_damage_is_reported_and_not_repaired(fleet: &Fleet) {
    let folder = fleet.dir.join("store-1/hold");
    let files = fs::read_dir(&folder).unwrap().flatten().map(|entry| entry.path());
    let is_log = |path: &PathBuf| path.file_name().unwrap().to_string_lossy().starts_with("log-");
    let log = files.filter(is_log).max().unwrap();
    let mut bytes = fs::read(&log).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x55;
    fs::write(&log, &bytes).unwrap();
    let output = verify(fleet, "store-1");
    assert_eq!((output.status.code(), fs::read(&log).unwrap() == bytes), (Some(1), true), "{output:?}");
}

/// Changes that make valid settings unusable: the original text, its replacement, and the start of the fault's text.
const UNUSABLE_SETTINGS: [(&str, &str, &str); 11] = [
    ("17315", "17301", "internal_ports: must span three ports"),
    ("\"disk_mb\":64", "\"disk_mb\":3", "limits.disk_mb: must be"),
    ("\"machine_losses\":1", "\"machine_losses\":9", "tolerate.machine_losses: must be"),
    ("\"tolerate\":{", "\"tolerate\":{\"zones\":1,", "tolerate.zones: must be less"),
    ("\"data_dir\":\"", "\"data_dir_\":\"", "data_dir: missing, and a store needs it"),
    ("\"beat_interval_ms\":200", "\"beat_interval_ms\":0", "beat_interval_ms: must be"),
    ("\"bounds\":{", "\"bounds\":{\"ceiling_window_s\":0,", "bounds.ceiling_window_s: must be"),
    ("\"limits\":{", "\"limits\":{\"max_open_files\":100,", "limits.max_open_files: must be"),
    ("\"seed_nodes\":[\"", "\"seed_nodes\":[],\"x\":[\"", "seed_nodes: must name"),
    (
        "addresses\":{",
        "addresses\":{\"figures\":\"10.0.0.1:9\"",
        "bind_addresses.figures: must be a loopback",
    ),
    ("\"zone\":\"z1\"", "\"zone\":7", "zone: must be text"),
];

#[test]
fn unusable_settings_end_with_2_and_a_line_for_each() {
    let fleet = Fleet::new("settings", FIRST_NET, TIME_LIMIT);
    let boot = fleet.write_settings("store-1", 2, "storage");
    let valid = fs::read_to_string(&boot).unwrap();
    for (original, replacement, fault) in UNUSABLE_SETTINGS {
        assert!(valid.contains(original), "{original}");
        fs::write(&boot, valid.replacen(original, replacement, 1)).unwrap();
        check_that_settings_are_rejected(&boot, fault);
    }
    check_that_every_fault_is_named(&boot);
    check_unusable_arguments();
    let nobody = program().args(["status", "--at", &fleet.at(200, 17300)]).output().unwrap();
    assert_eq!((nobody.status.code(), texts(&nobody).1.lines().count()), (Some(1), 1), "{nobody:?}");
}

/// Checks that unusable settings are rejected by the start of a role and by `check boot`.
fn check_that_settings_are_rejected(boot: &Path, fault: &str) {
    let line = format!("{}: {fault}", boot.display());
    let run = program().arg("--boot").arg(boot).arg("store").output().unwrap();
    let (_, errors) = texts(&run);
    assert_eq!(
        (run.status.code(), errors.starts_with(&line), errors.lines().count()),
        (Some(2), true, 1),
        "{errors}"
    );
    let check = program().args(["check", "boot"]).arg(boot).output().unwrap();
    assert_eq!((check.status.code(), texts(&check).0.starts_with(&line)), (Some(2), true), "{check:?}");
}

fn check_that_every_fault_is_named(file: &Path) {
    fs::write(file, "{}").unwrap();
    let check = program().args(["check", "boot", "--json"]).arg(file).output().unwrap();
    assert!(jzon::parse(&texts(&check).0).unwrap()["faults"].len() > 5, "{check:?}");
    fs::write(file, CONFIGURATION.replace("\"lock\",\"max", "\"dock\",\"max").replacen("1500", "0", 1))
        .unwrap();
    let check = program().args(["check", "config"]).arg(file).output().unwrap();
    let text = texts(&check).0;
    assert_eq!((check.status.code(), text.lines().count()), (Some(2), 2), "{text}");
    for fault in ["routes[0].timeout_ms: must be", "routes[1].backend: no service has the name"] {
        assert!(text.contains(&format!("{}: {fault}", file.display())), "{text}");
    }
}

fn check_unusable_arguments() {
    for words in [
        &["--log", "loud", "core"][..],
        &["core"],
        &["status"],
        &["message", "x"],
        &["nonsense"],
        &["--boot", "x", "--figures", "10.0.0.1:1", "edge"],
    ] {
        let output = program().args(words).output().unwrap();
        let errors = texts(&output).1;
        assert_eq!((output.status.code(), errors.is_empty()), (Some(2), false), "{words:?}: {output:?}");
    }
}
