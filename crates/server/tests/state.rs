//! Tests of `stilerouted state verify` on data folders of control nodes.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use stileroute_control_group::{ControlState, Record};
use stileroute_wal::{Options, StateMachine, Wal};

#[derive(Default)]
struct NoState;

impl StateMachine for NoState {
    fn apply(&mut self, _: &[u8]) {}
    fn snapshot(&self, _: &mut dyn FnMut(&[u8])) {}
}

const CONFIGURATION: &[u8] = b"{\"revision\":1,\"routes\":[],\"backends\":[],\"limits\":{}}";

struct Machine(PathBuf);

impl Machine {
    /// Creates the data folder of a control node whose log contains one configuration.
    fn new(name: &str) -> Machine {
        let machine = Machine(std::env::temp_dir().join(format!("state-{name}-{}", std::process::id())));
        let state =
            ControlState { serial: 1, version: 1, body: CONFIGURATION.to_vec(), ..ControlState::default() };
        let record = postcard::to_stdvec(&Record::ControlState(state)).unwrap();
        let (log, _) = Wal::open::<NoState>(&machine.log_dir(), Options::new("watch"), |_, _| {}).unwrap();
        log.append(1, vec![record], true);
        log.close();
        machine
    }

    fn log_dir(&self) -> PathBuf {
        self.0.join("watch")
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn verify(dir: &Path) -> (Option<i32>, String) {
    let run = Command::new(env!("CARGO_BIN_EXE_stilerouted")).args(["state", "verify"]).arg(dir).output();
    let Output { status, stdout, .. } = run.unwrap();
    (status.code(), String::from_utf8(stdout).unwrap())
}

#[test]
fn verify_shows_the_identity_and_names_a_file_of_another_machine() {
    let (one, other) = (Machine::new("one"), Machine::new("other"));
    let format = fs::read_to_string(one.log_dir().join("FORMAT")).unwrap();
    let identity = format.split_whitespace().last().unwrap().to_string();
    let (code, shown) = verify(&one.0);
    assert!(code == Some(0) && shown.contains(&format!("identity: {identity}")), "{code:?} {shown}");

    fs::copy(other.log_dir().join("log-0000000001"), one.log_dir().join("log-0000000001")).unwrap();
    let (code, shown) = verify(&one.0);
    let line = shown.lines().find(|line| line.contains("log-0000000001")).unwrap_or_default();
    assert!(
        line.contains("folder: it was written in ") && line.ends_with(&format!("and this is {identity}")),
        "{shown}"
    );
    assert_eq!(code, Some(1), "{shown}");
}
