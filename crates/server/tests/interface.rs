//! Compares the output of `stilerouted` for operators and their tools with the files in `tests/interface/`: names, labels and help
//! texts of all metrics, the keys of all JSON output in their order, help texts, exit codes, and the reasons that the checks of
//! settings give. This guards against code changes that break programs which parse the output.

mod support;

use jzon::JsonValue;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::process::Output;
use std::time::Duration;
use support::{program, Fleet, CONFIGURATION, NODES};

/// Asserts that the output equals the recorded file in `tests/interface/`. Different output is written to the target folder for
/// inspection.
fn assert_as_recorded(file: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/interface").join(file);
    let recorded = fs::read_to_string(&path).unwrap_or_default();
    if recorded != actual {
        let other = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&other, actual).unwrap();
        let differs = recorded.lines().zip(actual.lines()).find(|(one, other)| one != other);
        panic!("{} differs from {}: {differs:?}", other.display(), path.display());
    }
}

/// The transcript of a command: its exit code, standard output and standard error.
fn transcript(words: &[&str], output: &Output, replaced: &[(&str, &str)]) -> String {
    let mut text = format!("$ stilerouted {}\nexit code {:?}\n", words.join(" "), output.status.code());
    for (stream, bytes) in [("stdout", &output.stdout), ("stderr", &output.stderr)] {
        for line in String::from_utf8_lossy(bytes).lines() {
            text += &format!("{stream}: {line}\n");
        }
    }
    let text = text.replace(env!("CARGO_BIN_EXE_stilerouted"), "PROGRAM");
    replaced.iter().fold(text, |text, (of, with)| text.replace(of, with))
}

fn run(words: &[&str]) -> Output {
    program().args(words).output().unwrap()
}

/// Replaces each number, including its fraction, with one `#`.
fn without_numbers(text: &str) -> String {
    let mut masked = String::new();
    for letter in text.chars() {
        match letter {
            '0'..='9' if masked.ends_with('#') => {}
            '0'..='9' => masked.push('#'),
            other => masked.push(other),
        }
    }
    masked.replace("#.#", "#")
}

/// Collects the key paths of a JSON value in document order; all elements of an array share the same path.
fn key_paths(value: &JsonValue, path: &str, paths: &mut Vec<String>) {
    let inner: Vec<(String, &JsonValue)> = match value {
        JsonValue::Object(_) => {
            value.entries().map(|(key, value)| (format!("{path}.{key}"), value)).collect()
        }
        JsonValue::Array(_) => value.members().map(|value| (format!("{path}[]"), value)).collect(),
        _ => return,
    };
    for (path, value) in inner {
        if !paths.contains(&path) {
            paths.push(path.clone());
        }
        key_paths(value, &path, paths);
    }
}

fn keys(title: &str, value: &JsonValue) -> String {
    let mut paths = Vec::new();
    key_paths(value, "", &mut paths);
    format!("{title}\n  {}\n", paths.join("\n  "))
}

const HELP_ARGUMENTS: [&[&str]; 14] = [
    &["--help"],
    &["edge", "--help"],
    &["store", "--help"],
    &["core", "--help"],
    &["check", "--help"],
    &["status", "--help"],
    &["apply", "--help"],
    &["read", "--help"],
    &["diff", "--help"],
    &["retire", "--help"],
    &["message", "--help"],
    &["figures", "--help"],
    &["state", "--help"],
    &["version", "--help"],
];

const UNUSABLE_ARGUMENTS: [&[&str]; 24] = [
    &[],
    &["nonsense"],
    &["--nonsense"],
    &["check"],
    &["check", "config"],
    &["check", "boot"],
    &["state"],
    &["state", "verify"],
    &["apply"],
    &["diff"],
    &["retire"],
    &["message"],
    &["message", "x"],
    &["retire", "../x"],
    &["retire", ""],
    &["--log", "loud", "core"],
    &["core"],
    &["edge"],
    &["store"],
    &["status"],
    &["read"],
    &["figures"],
    &["--boot", "/nowhere.json", "--figures", "10.0.0.1:1", "edge"],
    &["--boot", "/nowhere.json", "core"],
];

#[test]
fn help_texts_versions_and_unusable_words_are_as_recorded() {
    let mut text = String::new();
    for words in
        HELP_ARGUMENTS.into_iter().chain(UNUSABLE_ARGUMENTS).chain([&["version"][..], &["version", "--json"]])
    {
        text += &transcript(words, &run(words), &[]);
    }
    for (name, value) in [("STILEROUTE_LOG", "loud"), ("STILEROUTE_BOOT", "/nowhere.json")] {
        for words in [&["core"][..], &["status"]] {
            let output = program().env(name, value).args(words).output().unwrap();
            text += &format!("{name}={value} {}", transcript(words, &output, &[]));
        }
    }
    assert_as_recorded("words.txt", &text);
}

/// Changes to the valid settings: the original text, its replacement, and the value of the key `serves`.
const SETTINGS_CHANGES: [(&str, &str, &str); 36] = [
    ("", "", "storage"),
    ("", "", "edge"),
    ("", "", "control"),
    ("", "", "other"),
    ("17315", "17301", "storage"),
    ("\"seed_nodes\":[\"127.0.0.1:18262\"]", "\"seed_nodes\":[]", "storage"),
    ("\"ip\":\"127.0.0.1\"", "\"ip\":\"0.0.0.0\"", "storage"),
    ("127.0.0.1:18263", "127.0.0.1:17301", "edge"),
    ("127.0.0.1:18268", "127.0.0.1:17301", "edge"),
    ("127.0.0.1:18262\",\"front", "127.0.0.1:17301\",\"front", "control"),
    ("127.0.0.1:18268", "127.0.0.1:18263", "edge"),
    ("\"control\":\"127.0.0.1:18262\"", "\"control\":\"127.0.0.1:18263\"", "control"),
    ("\"front\"", "\"figures\":\"127.0.0.1:17302\",\"front\"", "edge"),
    ("\"front\"", "\"figures\":\"10.0.0.1:9\",\"front\"", "edge"),
    ("\"beat_interval_ms\":200", "\"beat_interval_ms\":9", "storage"),
    ("\"beat_interval_ms\":200", "\"beat_interval_ms\":600001", "storage"),
    ("\"limits\":{", "\"limits\":{\"max_open_files\":323,", "storage"),
    ("\"machine_losses\":1", "\"machine_losses\":9", "storage"),
    ("\"machine_losses\":1", "\"machine_losses\":1,\"zones\":1", "storage"),
    ("\"grace_s\":6", "\"grace_s\":86401", "storage"),
    ("\"grace_s\":6", "\"grace_s\":3", "storage"),
    ("\"front\":\"127.0.0.1:18263\",", "", "edge"),
    (",\"readiness\":\"127.0.0.1:18268\"", "", "edge"),
    ("\"grace_s\":6", "\"grace_s\":6,\"status_s\":86401", "storage"),
    ("\"grace_s\":6", "\"grace_s\":6,\"key_window_s\":86401", "storage"),
    ("\"grace_s\":6", "\"grace_s\":6,\"status_s\":14,\"key_window_s\":110", "storage"),
    ("\"grace_s\":6", "\"grace_s\":6,\"catch_up_s\":4.1", "storage"),
    ("\"grace_s\":6", "\"grace_s\":6,\"ceiling_window_s\":0", "storage"),
    ("\"grace_s\":6", "\"grace_s\":6,\"origin_overrun\":101", "storage"),
    ("\"grace_s\":6", "\"grace_s\":6,\"origin_overrun\":0.5", "storage"),
    ("\"control\":\"127.0.0.1:18262\",", "", "control"),
    ("\"data_dir\":\"/nowhere\"", "\"data_dir\":null", "storage"),
    ("\"data_dir\":\"/nowhere\"", "\"data_dir\":null", "control"),
    ("\"disk_mb\":64", "\"disk_mb\":7", "storage"),
    ("\"disk_mb\":64", "\"disk_mb\":68719476737", "control"),
    ("\"zone\":\"z1\"", "\"zone\":7", "control"),
];

const VALID_SETTINGS: &str = r#"{"node_name":"node","role":"any","machine_class":"any","serves":["SERVES"],"ip":"127.0.0.1","zone":"z1",
"region":"r","zones":{"z1":"r"},"bind_addresses":{"control":"127.0.0.1:18262","front":"127.0.0.1:18263","readiness":"127.0.0.1:18268"},
"internal_ports":[17300,17315],"seed_nodes":["127.0.0.1:18262"],"first_start":true,"limits":{"disk_mb":64},
"data_dir":"/nowhere","beat_interval_ms":200,"tolerate":{"machine_losses":1},"bounds":{"grace_s":6}}"#;

#[test]
fn the_checks_of_settings_and_configurations_give_the_recorded_reasons() {
    let dir = std::env::temp_dir().join(format!("stilerouted-checks-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let (file, folder) = (dir.join("file.json"), dir.join("folder"));
    let (path, folder_path) = (file.to_str().unwrap(), folder.to_str().unwrap());
    let replaced = [(path, "FILE"), (folder_path, "FOLDER")];
    let mut text = String::new();
    for (of, with, serves) in SETTINGS_CHANGES {
        assert!(VALID_SETTINGS.contains(of), "{of}");
        text += &format!("# {serves}: {of:?} -> {with:?}\n");
        fs::write(&file, VALID_SETTINGS.replace("SERVES", serves).replacen(of, with, 1)).unwrap();
        text += &transcript(&["check", "boot", path], &run(&["check", "boot", path]), &replaced);
    }
    let words = ["check", "boot", "--json", path];
    for settings in
        [VALID_SETTINGS.replace("SERVES", "edge"), VALID_SETTINGS.replace("\"disk_mb\":64", "\"disk_mb\":7")]
    {
        fs::write(&file, settings.replace("SERVES", "storage").replace(":6}", ":3}")).unwrap();
        text += &transcript(&words, &run(&words), &replaced);
    }
    for configuration in [CONFIGURATION, "{\"routes\":7}", "{", &" ".repeat((4 << 20) + 1)] {
        fs::write(&file, configuration).unwrap();
        for words in [&["check", "config", path][..], &["check", "config", "--json", path], &["apply", path]]
        {
            if words[0] != "apply" || configuration.starts_with('{') && configuration != CONFIGURATION {
                text += &transcript(words, &run(words), &replaced);
            }
        }
    }
    let verify = ["state", "verify", folder_path];
    text += &transcript(&verify, &run(&verify), &replaced);
    fs::remove_file(&file).unwrap();
    for words in [["check", "config", path], ["check", "boot", path]] {
        text += &transcript(&words, &run(&words), &replaced);
    }
    fs::remove_dir_all(&dir).unwrap();
    assert_as_recorded("checks.txt", &text);
}

/// The metrics of one process without sample values: the help and type lines unchanged, and the name and labels of each sample.
/// Label values that depend on the current activity of the system are left out.
fn metrics_without_values(text: &str) -> String {
    let metrics_with_varying_labels = [
        "stileroute_said_total",
        "stileroute_said_bytes_total",
        "stileroute_answers_total",
        "stileroute_deliveries_total",
    ];
    let mut lines = Vec::new();
    for line in text.lines() {
        let line = match line.rsplit_once(' ') {
            _ if line.starts_with('#') => line.to_string(),
            Some((sample, _)) => match sample.split_once('{') {
                Some((name, labels)) if metrics_with_varying_labels.contains(&name) => {
                    let names: Vec<&str> = labels
                        .trim_end_matches('}')
                        .split(',')
                        .filter_map(|label| Some(label.split_once('=')?.0))
                        .collect();
                    format!("{name}{{{}}}", names.join(","))
                }
                _ => sample.to_string(),
            },
            None => line.to_string(),
        };
        if !lines.contains(&line) {
            lines.push(line);
        }
    }
    lines.join("\n") + "\n"
}

/// The JSON keys of `status --json`. Keys of nodes are listed by class, so that each key appears once for a class.
fn status_keys(fleet: &Fleet) -> String {
    let status = fleet.json(&["status"]);
    let mut text = String::new();
    for class in ["core", "store", "edge"] {
        let nodes = status["nodes"].members().filter(|node| node["class"] == class).cloned();
        text += &keys(&format!("status: nodes: {class}"), &nodes.collect::<Vec<_>>().into());
    }
    text += &keys("status: control", &status["control"]);
    text += &keys("status: services", &status["services"]);
    let top: Vec<&str> = status.entries().map(|(key, _)| key).collect();
    text + &format!("status\n  {}\n", top.join("\n  "))
}

/// The traces of a message at all stores, combined, because the stores that hold the message are chosen at random.
fn trace(fleet: &Fleet, message: &str) -> String {
    let output = fleet.ask(&["message", message]);
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    let lines: BTreeSet<String> =
        text.lines().map(|line| without_numbers(&line.replace(message, "ID"))).collect();
    let (mut all, json) = (Vec::from_iter(lines).join("\n"), fleet.json(&["message", message]));
    let mut paths = Vec::new();
    for (_, trace) in json["stores"].entries().filter(|(_, trace)| !trace.is_null()) {
        key_paths(trace, "", &mut paths);
    }
    let top: Vec<&str> = json.entries().map(|(key, _)| key).collect();
    all += &format!("\nmessage\n  {}\nmessage: a store's\n  {}\n", top.join("\n  "), paths.join("\n  "));
    all
}

#[test]
fn a_running_system_shows_the_recorded_names() {
    let mut fleet = Fleet::new("interface", 2, Duration::from_secs(60));
    fleet.start(&[]);
    let message = fleet.delivered_message();
    let waiting = fleet.waiting_message();

    eventually_as_recorded(&fleet, "status.txt", &|fleet| {
        let output = fleet.ask(&["status"]);
        without_numbers(&String::from_utf8_lossy(&output.stdout))
    });
    eventually_as_recorded(&fleet, "status-json.txt", &status_keys);
    eventually_as_recorded(&fleet, "message-delivered.txt", &|fleet| trace(fleet, &message));
    eventually_as_recorded(&fleet, "message-waiting.txt", &|fleet| trace(fleet, &waiting));
    fleet.addresses().iter().for_each(|(class, address)| check_figures(&fleet, class, address));
    assert_as_recorded("orders.txt", &operator_command_transcripts(&fleet));
    NODES.iter().for_each(|node| fleet.end(node.0));
    let state = state_of(&fleet, "store-1", "hold") + &state_of(&fleet, "core-1", "watch");
    assert_as_recorded("state.txt", &state);
}

/// Waits until the output equals the recorded file, because the output follows changes of the system with a delay.
fn eventually_as_recorded(fleet: &Fleet, file: &str, show: &dyn Fn(&Fleet) -> String) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/interface").join(file);
    let recorded = fs::read_to_string(path).unwrap_or_default();
    let shown = fleet.eventually(|| (show(fleet) == recorded).then_some(()));
    if shown.is_none() {
        assert_as_recorded(file, &show(fleet));
    }
}

/// Checks the metrics of one process, as text and as JSON.
fn check_figures(fleet: &Fleet, class: &str, address: &str) {
    let figures = |fleet: &Fleet| {
        let output = fleet.ask_at(address, &["figures"]);
        metrics_without_values(&String::from_utf8_lossy(&output.stdout).replace(&*fleet.net, "NET"))
    };
    eventually_as_recorded(fleet, &format!("figures-{class}.txt"), &figures);
    let shown = fleet.ask_at(address, &["figures"]);
    let names: BTreeSet<String> = String::from_utf8_lossy(&shown.stdout)
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| Some(line.rsplit_once(' ')?.0.to_string()))
        .collect();
    let output = fleet.ask_at(address, &["figures", "--json"]);
    let json = jzon::parse(&String::from_utf8_lossy(&output.stdout)).unwrap();
    let keys: BTreeSet<String> = json.entries().map(|(key, _)| key.to_string()).collect();
    assert!(names.is_subset(&keys), "each sample is a key of the object: {names:?} {keys:?}");
}

/// Transcripts of the operator commands: their output and exit codes.
fn operator_command_transcripts(fleet: &Fleet) -> String {
    let (own, other, lower) = fleet.configurations();
    let nobody = format!("{}.200:17300", fleet.net);
    let replaced = [(fleet.dir.to_str().unwrap(), "DIR"), (&*fleet.net, "NET")];
    let mut text = String::new();
    for words in [
        &["apply", &own][..],
        &["apply", &own, "--json"],
        &["apply", &other],
        &["apply", &other, "--json"],
        &["apply", &lower, "--json"],
        &["diff", &own],
        &["diff", &own, "--json"],
        &["diff", &other],
        &["diff", &other, "--json"],
        &["read"],
        &["read", "--json"],
        &["retire", "store-9"],
        &["retire", "store-9", "--json"],
        &["retire", "store-9", "--status", "--json"],
        &["retire", "store-1", "--json"],
        &["message", "1.2.3"],
    ] {
        text += &transcript(words, &fleet.ask(words), &replaced);
    }
    for words in [&["status", "--at", &nobody][..], &["read", "--at", &nobody], &["figures", "--at", &nobody]]
    {
        text += &transcript(words, &run(words), &replaced);
    }
    text
}

/// The output of `state verify` for a stopped node, without values.
fn state_of(fleet: &Fleet, name: &str, folder: &str) -> String {
    let path = fleet.dir.join(name);
    let output = run(&["state", "verify", path.to_str().unwrap()]);
    let lines = String::from_utf8_lossy(&output.stdout).to_string();
    let fields = lines.lines().filter_map(|line| line.split(": ").next());
    // Lines of log files, whose names contain a hyphen, are left out because the number of files varies.
    let fields: Vec<&str> = fields.filter(|field| !field.contains('-')).collect();
    let mut text = format!("{name}: exit code {:?}\n{}\n", output.status.code(), fields.join("\n"));
    let output = run(&["state", "verify", "--json", path.to_str().unwrap()]);
    let json = jzon::parse(&String::from_utf8_lossy(&output.stdout)).unwrap();
    text += &keys(&format!("{name} as JSON"), &without_kind_counts(&json, folder));
    let kinds: BTreeSet<&str> = json[folder]["records_by_kind"].entries().map(|(kind, _)| kind).collect();
    let known: &[&str] = match folder {
        "hold" => &[
            "born",
            "put",
            "end",
            "called",
            "own",
            "drop",
            "retire",
            "peer disk",
            "store heard",
            "store gone",
        ],
        _ => &["watch", "state", "state of an older build", "lent"],
    };
    assert!(!kinds.is_empty() && kinds.iter().all(|kind| known.contains(kind)), "{kinds:?}");
    text
}

/// Removes the counts by record kind, because the kinds that occur vary between runs.
fn without_kind_counts(json: &JsonValue, folder: &str) -> JsonValue {
    let mut json = json.clone();
    json[folder]["records_by_kind"] = JsonValue::new_object();
    json
}
