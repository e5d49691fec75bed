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
fn an_executor_that_has_left_is_not_admitted_again_whatever_control_nodes_say_later() {
    let mut departed = DepartedExecutors::default();
    assert!(departed.admits(0, &heartbeat("a", ExecutorState::Serving, 4)));
    assert!(departed.admits(10, &heartbeat("a", ExecutorState::Offline, FINAL_SEQUENCE)));
    assert!(!departed.admits(20, &heartbeat("a", ExecutorState::Serving, 6)));
    assert!(!departed.admits(9000, &heartbeat("a", ExecutorState::Draining, 7)));
    assert!(departed.admits(20, &heartbeat("b", ExecutorState::Serving, 6)));
}

#[test]
fn an_executor_that_was_silent_is_admitted_when_it_is_heard_again() {
    let mut departed = DepartedExecutors::default();
    assert!(departed.admits(10, &heartbeat("a", ExecutorState::Offline, 5)));
    assert!(departed.admits(20, &heartbeat("a", ExecutorState::Serving, 6)));
}
