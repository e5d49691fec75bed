use super::*;
use crate::links::LinkEvent;
use crate::net::fault_injection;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use stileroute_config::{Config, NodeSettings, PortRange};
use stileroute_queue::{AttemptOutcome, Message};

const CONFIG: &[u8] =
    br#"{"revision":7,"routes":[{"name":"quick","hostname":"quay.example","path_prefix":"/in/",
    "route_type":"deferred","timeout_ms":1500,"target_ms":80,"priority":1,"backend":"crane","max_tries":4,
    "max_wait_s":60,"run_target_ms":1000}],"backends":[{"name":"crane"}]}"#;
const EDGE: Node = 7;

/// A single store with its own data folder and without peers for replicas.
struct SingleStore {
    store: Store,
    dir: PathBuf,
}

impl Drop for SingleStore {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl SingleStore {
    fn new(name: &str) -> SingleStore {
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
        let mut boot = NodeSettings::read(&file).unwrap();
        (boot.ip, boot.internal_ports) = (Ipv4Addr::LOCALHOST, PortRange::default());
        let mut store =
            Store::new(NodeRuntime::start(boot, Path::new(""), NodeRole::Store).unwrap()).unwrap();
        let (now, now_tenths_ms) = (store.runtime.net.now(), store.runtime.net.now_tenths_ms());
        store.queue.configure(now, now_tenths_ms, Arc::new(Config::parse(CONFIG).unwrap()));
        store.apply_queue_effects();
        SingleStore { store, dir }
    }

    fn submit(&mut self) {
        let (id, host) = ("m".to_string(), "quay.example".to_string());
        let (method, target) = ("POST".to_string(), "/in/x".to_string());
        let message =
            Message { id, host, method, target, accepted_at_ms: wall_clock_ms(), ..Message::default() };
        self.store.handle_link_event(LinkEvent::Received(
            EDGE,
            NodeRole::Edge,
            Frame::Submit { request_id: 5, message },
        ));
        self.store.apply_queue_effects();
    }

    /// Whether the submitting edge still waits for an answer.
    fn has_waiting_edge(&self) -> bool {
        !self.store.submitters.is_empty()
    }
}

/// Whether the edge is answered before the disk has confirmed the write. Disk results are read only on `Event::WakeUp`, so that none is
/// read before that check.
fn is_answered_before_disk_write(name: &str) -> bool {
    let mut store = SingleStore::new(name);
    store.submit();
    let answered_early = !store.has_waiting_edge();
    let deadline = Instant::now() + Duration::from_secs(20);
    while store.has_waiting_edge() && Instant::now() < deadline {
        store.store.handle_event(Event::WakeUp);
        store.store.apply_queue_effects();
        std::thread::yield_now();
    }
    assert!(!store.has_waiting_edge(), "the edge got no answer within 20 s of the submission");
    answered_early
}

#[test]
fn a_submission_is_answered_once_the_disk_has_the_message() {
    assert!(!is_answered_before_disk_write("kept"));
    let fault = Some(fault_injection::InjectedFault::AnswerBeforeDisk);
    assert!(
        fault_injection::with_fault(fault, || is_answered_before_disk_write("planted")),
        "the injected fault was not detected"
    );
}

#[test]
fn each_outcome_of_a_delivery_is_counted_under_its_label() {
    let mut store = SingleStore::new("outcomes");
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
    outcomes.iter().for_each(|(outcome, _)| store.store.statistics.record_outcome(outcome));
    let mut metrics = crate::metrics::Exposition::default();
    store.store.write_metrics(&mut metrics);
    for (outcome, label) in &outcomes {
        let line = format!("stileroute_deliveries_total{{outcome=\"{label}\"}} 1");
        assert!(metrics.text().lines().any(|shown| shown == line), "{outcome:?}: {line}");
    }
}
