use super::*;

fn heartbeat(id: &str, state: ExecutorState, sequence: u64) -> Heartbeat {
    Heartbeat {
        id: id.to_string(),
        backend: "b".to_string(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".to_string(),
        capacity: 4,
        state,
        warmup_left_ms: 0,
        sequence,
        age_ms: 0,
    }
}

#[test]
fn a_departed_executor_is_not_admitted_again_by_later_heartbeats() {
    let mut departed = DepartedExecutors::default();
    assert!(departed.admits(0, &heartbeat("a", ExecutorState::Serving, 4)));
    assert!(departed.admits(10, &heartbeat("a", ExecutorState::Offline, FINAL_SEQUENCE)));
    assert!(!departed.admits(20, &heartbeat("a", ExecutorState::Serving, 6)));
    assert!(!departed.admits(9000, &heartbeat("a", ExecutorState::Draining, 7)));
    assert!(departed.admits(20, &heartbeat("b", ExecutorState::Serving, 6)));
}

#[test]
fn an_executor_that_timed_out_is_admitted_with_its_next_heartbeat() {
    let mut departed = DepartedExecutors::default();
    assert!(departed.admits(10, &heartbeat("a", ExecutorState::Offline, 5)));
    assert!(departed.admits(20, &heartbeat("a", ExecutorState::Serving, 6)));
}
