use super::*;
use crate::net::fault_injection;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Instant;
use stileroute_config::{Boot, Config};
use stileroute_queue::Message;

const CONFIG: &[u8] =
    br#"{"revision":7,"routes":[{"name":"quick","hostname":"quay.example","path_prefix":"/in/",
    "route_type":"deferred","timeout_ms":1500,"target_ms":80,"priority":1,"backend":"crane","max_tries":4,
    "max_wait_s":60,"run_target_ms":1000}],"backends":[{"name":"crane"}]}"#;
const EDGE: Node = 7;

/// A store with a disk of its own, and with no other store to copy to.
struct Lone {
    store: Store,
    dir: PathBuf,
}

impl Drop for Lone {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Lone {
    fn new(name: &str) -> Lone {
        let dir = std::env::temp_dir().join(format!("stileroute-store-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let text = format!(
            r#"{{"node_name":"store","role":"any","machine_class":"any","serves":["storage"],"ip":"127.0.0.1",
            "zone":"z","region":"r","zones":{{"z":"r"}},"bind_addresses":{{}},"internal_ports":[9,9],
            "seed_nodes":["127.0.0.1:1"],"first_start":true,"limits":{{"disk_mb":64}},"data_dir":{dir:?},
            "beat_interval_ms":200,"tolerate":{{"machine_losses":0}},"bounds":{{"grace_s":6}}}}"#
        );
        let file = dir.join("boot.json");
        std::fs::write(&file, text).unwrap();
        let mut boot = Boot::read(&file).unwrap();
        (boot.ip, boot.internal_ports) = (Ipv4Addr::LOCALHOST, (0, 0));
        let mut store =
            Store::new(NodeRuntime::start(boot, Path::new(""), NodeRole::Store).unwrap()).unwrap();
        let (now, fine) = (store.common.net.now(), store.common.net.now_tenths_ms());
        store.queue.configure(now, fine, Arc::new(Config::read(CONFIG).unwrap()));
        store.carry_out();
        Lone { store, dir }
    }

    fn takes(&mut self) {
        let (id, host) = ("m".to_string(), "quay.example".to_string());
        let (method, target) = ("POST".to_string(), "/in/x".to_string());
        let message =
            Message { id, host, method, target, accepted_at_ms: wall_clock_ms(), ..Message::default() };
        self.store.link_event(LinkEvent::Received(
            EDGE,
            NodeRole::Edge,
            Frame::Submit { request_id: 5, message },
        ));
        self.store.carry_out();
    }

    /// Whether its edge still waits for an answer.
    fn waits(&self) -> bool {
        !self.store.askers.is_empty()
    }
}

/// The disk's word is read only when the loop is woken by it, so that none is read before.
fn answered_before_the_disk(name: &str) -> bool {
    let mut lone = Lone::new(name);
    lone.takes();
    let before = !lone.waits();
    let given_up = Instant::now() + Duration::from_secs(20);
    while lone.waits() && Instant::now() < given_up {
        lone.store.event(Event::WakeUp);
        lone.store.carry_out();
        std::thread::yield_now();
    }
    assert!(!lone.waits(), "the disk has it, and its edge waits");
    before
}

#[test]
fn a_message_is_answered_when_the_disk_has_it() {
    assert!(!answered_before_the_disk("kept"));
    let fault = Some(fault_injection::InjectedFault::AnswerBeforeDisk);
    assert!(
        fault_injection::with_fault(fault, || answered_before_the_disk("planted")),
        "the planted fault is not found"
    );
}

#[test]
fn each_outcome_of_a_delivery_is_counted_under_its_label() {
    let mut lone = Lone::new("outcomes");
    let outcomes = [
        (AttemptOutcome::Completed { seal: String::new() }, "done"),
        (AttemptOutcome::Rejected, "refused"),
        (AttemptOutcome::Failed, "failed"),
        (AttemptOutcome::ExecutorFull, "full"),
        (AttemptOutcome::RateLimited, "over"),
        (AttemptOutcome::AlreadyRunning, "running"),
        (AttemptOutcome::WrongServer, "wrong"),
        (AttemptOutcome::NotRun, "not_run"),
        (AttemptOutcome::TimedOut, "stopped"),
        (AttemptOutcome::NotConnected, "not_connected"),
        (AttemptOutcome::NoFreeConnection, "no_room"),
        (AttemptOutcome::ConnectionBroken, "broken"),
        (AttemptOutcome::NoResponse, "late"),
        (AttemptOutcome::MalformedResponse, "garbled"),
    ];
    outcomes.iter().for_each(|(outcome, _)| lone.store.tally.ended(outcome));
    let mut sheet = crate::metrics::Exposition::default();
    lone.store.figures(&mut sheet);
    for (outcome, label) in &outcomes {
        let line = format!("stileroute_deliveries_total{{outcome=\"{label}\"}} 1");
        assert!(sheet.text.lines().any(|shown| shown == line), "{outcome:?}: {line}");
    }
}
