//! Compatibility with data folders that an earlier build of `stilerouted` wrote: this build decodes each record in them, starts on them
//! and appends new records after the existing ones.
//!
//! `fixtures/core-1` and `fixtures/store-1` are the data folders of a control node and of a store from a fleet of nine processes that
//! accepted three configurations and eleven messages and was then killed. `state-verify.json` in each folder is the output of that
//! build's `stilerouted state verify --json`.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use jzon::JsonValue;
use stileroute_wal::verify;

const CORE: &str = "core-1";
const STORE: &str = "store-1";
/// Name of the log folder in the data folder of a control node.
const CORE_LOG_DIR: &str = "watch";
/// Name of the log folder in the data folder of a store.
const STORE_LOG_DIR: &str = "hold";
const FIRST_SEGMENT: &str = "log-0000000001";

const START_TIMEOUT: Duration = Duration::from_secs(25);

type Files = BTreeMap<PathBuf, Vec<u8>>;

fn fixture(node: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(node)
}

fn files(folder: &Path) -> Files {
    let entries = fs::read_dir(folder).unwrap().map(Result::unwrap);
    entries.map(|entry| (entry.file_name().into(), fs::read(entry.path()).unwrap())).collect()
}

/// A copy of the fixture folders and the processes that were started on it. Dropping it kills the processes and removes the copy.
struct TestFleet {
    home: PathBuf,
    network: String,
    processes: Vec<Child>,
}

impl TestFleet {
    fn new(test: &str) -> TestFleet {
        let process = std::process::id();
        let home = std::env::temp_dir().join(format!("stored-data-{test}-{process}"));
        let _ = fs::remove_dir_all(&home);
        for (node, records) in [(CORE, CORE_LOG_DIR), (STORE, STORE_LOG_DIR)] {
            let folder = home.join(node).join(records);
            fs::create_dir_all(&folder).unwrap();
            for (name, bytes) in files(&fixture(node).join(records)) {
                fs::write(folder.join(name), bytes).unwrap();
            }
        }
        let network = format!("127.{}.{}", 32 + process / 250 % 30, 1 + process % 250);
        TestFleet { home, network, processes: Vec::new() }
    }

    fn folder(&self, node: &str) -> PathBuf {
        self.home.join(node)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        format!("{}.{host}:{port}", self.network).parse().unwrap()
    }

    /// Starts a process on the copy of a node's data folder, with the control node as its seed node.
    fn start(&mut self, node: &str, role: &str, serves: &str, host: u8) {
        let control = self.address(1, 18262);
        let bind_addresses = if role == "core" { format!(r#""control":"{control}""#) } else { String::new() };
        let settings = format!(
            r#"{{"node_name":"{node}","role":"any","machine_class":"any","serves":["{serves}"],
            "ip":"{}.{host}","zone":"z1","region":"r","zones":{{"z1":"r"}},"bind_addresses":{{{bind_addresses}}},
            "internal_ports":[17300,17315],"seed_nodes":["{control}"],"first_start":false,
            "limits":{{"disk_mb":64}},"data_dir":{:?},"beat_interval_ms":200,
            "tolerate":{{"machine_losses":0}},"bounds":{{"grace_s":6}}}}"#,
            self.network,
            self.folder(node),
        );
        let path = self.home.join(format!("{node}.json"));
        fs::write(&path, settings).unwrap();
        let log = File::create(self.home.join(format!("{node}.log"))).unwrap();
        let mut command = program();
        command.arg("--boot").arg(path).arg(role).stdout(Stdio::null()).stderr(log);
        self.processes.push(command.spawn().unwrap());
    }

    /// Waits until the control node knows the store, and returns its status report on all nodes.
    fn status(&self) -> JsonValue {
        let deadline = Instant::now() + START_TIMEOUT;
        let control_node = self.address(1, 17300).to_string();
        loop {
            let output = program().args(["status", "--json", "--at", &control_node]).output().unwrap();
            let status = jzon::parse(&text(&output)).unwrap_or(JsonValue::Null);
            if status["nodes"].members().count() == 2 {
                return status;
            }
            assert!(Instant::now() < deadline, "{output:?}\n{}", self.logs());
            std::thread::park_timeout(Duration::from_millis(20));
        }
    }

    fn logs(&self) -> String {
        let log = |node| fs::read_to_string(self.home.join(format!("{node}.log"))).unwrap_or_default();
        [CORE, STORE].map(|node| format!("{node}:\n{}", log(node))).concat()
    }

    fn kill_all(&mut self) {
        for mut process in self.processes.drain(..) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        self.kill_all();
        let _ = fs::remove_dir_all(&self.home);
    }
}

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stilerouted"));
    command.env_remove("STILEROUTE_BOOT").env_remove("STILEROUTE_LOG").stdin(Stdio::null());
    command
}

fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn state_verify(folder: &Path) -> (Option<i32>, String) {
    let output = program().args(["state", "verify", "--json"]).arg(folder).output().unwrap();
    (output.status.code(), text(&output))
}

/// Checks that this build decodes each record in the folder and encodes it to the same bytes. Returns the number of records.
fn check_record_round_trips<R>(folder: &Path) -> u64
where
    R: serde::Serialize + serde::de::DeserializeOwned,
{
    let mut count = 0;
    let report = verify(folder, &mut |bytes| {
        let record: R = postcard::from_bytes(bytes).expect("this build decodes the record");
        assert_eq!(postcard::to_stdvec(&record).unwrap(), bytes, "record {count}");
        count += 1;
    });
    assert!(report.unwrap().opens());
    count
}

#[test]
fn state_verify_prints_the_same_as_the_build_that_wrote_the_folders() {
    let fleet = TestFleet::new("verify");
    for (node, records) in [(CORE, CORE_LOG_DIR), (STORE, STORE_LOG_DIR)] {
        let expected = fs::read_to_string(fixture(node).join("state-verify.json")).unwrap();
        assert_eq!(state_verify(&fleet.folder(node)), (Some(0), expected), "{node}");
        assert_eq!(files(&fleet.folder(node).join(records)), files(&fixture(node).join(records)), "{node}");
    }
}

#[test]
fn every_stored_record_decodes_and_encodes_to_the_same_bytes() {
    let control =
        check_record_round_trips::<stileroute_control_group::Record>(&fixture(CORE).join(CORE_LOG_DIR));
    let queue = check_record_round_trips::<stileroute_queue::Record>(&fixture(STORE).join(STORE_LOG_DIR));
    assert_eq!((control, queue), (7, 14));
}

#[test]
fn a_control_node_and_a_store_start_on_stored_folders_and_append_to_the_logs() {
    let mut fleet = TestFleet::new("start");
    fleet.start(CORE, "core", "control", 1);
    fleet.start(STORE, "store", "storage", 2);
    let status = fleet.status();
    let control = &status["control"];
    assert_eq!(control["epoch"], 1, "{status:#}");
    assert_eq!(control["primary"], "127.61.1.1:8262", "{status:#}");
    let voters: Vec<&str> = control["voters"].members().filter_map(JsonValue::as_str).collect();
    assert_eq!(voters, ["127.61.1.1:8262", "127.61.1.2:8262", "127.61.1.3:8262"]);
    let store = status["nodes"].members().find(|node| node["node"] == STORE).unwrap();
    assert_eq!(store["disk_trouble"], false, "{status:#}");

    // The store's log has grown: its start appends a record, and messages that had waited too long may have ended since.
    fleet.kill_all();
    for (node, records) in [(CORE, CORE_LOG_DIR), (STORE, STORE_LOG_DIR)] {
        let (before, after) = (files(&fixture(node).join(records)), files(&fleet.folder(node).join(records)));
        assert_eq!(before.keys().collect::<Vec<_>>(), after.keys().collect::<Vec<_>>());
        assert_eq!(before[Path::new("FORMAT")], after[Path::new("FORMAT")]);
        assert!(after[Path::new(FIRST_SEGMENT)].starts_with(&before[Path::new(FIRST_SEGMENT)]), "{node}");
    }
    let (code, verified) = state_verify(&fleet.folder(STORE));
    let verified = jzon::parse(&verified).unwrap();
    let expected =
        jzon::parse(&fs::read_to_string(fixture(STORE).join("state-verify.json")).unwrap()).unwrap();
    assert_eq!(code, Some(0), "{verified:#}");
    assert_eq!(verified["hold"]["disk"], expected["hold"]["disk"]);
    assert_eq!(verified["hold"]["records_by_kind"]["born"], 2, "{verified:#}");
    assert_eq!(verified["hold"]["records_by_kind"]["put"], 8, "{verified:#}");
}
