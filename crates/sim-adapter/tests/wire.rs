//! Runs batches of wire text through the adapter.

use std::io::Write;
use std::process::{Command, Stdio};

fn run_adapter(input: &str) -> (String, String, Option<i32>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stileroute-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may exit before it has read all input; the exit code shows that.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let out = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (text(out.stdout), text(out.stderr), out.status.code())
}

const SPAWN: &str = concat!(
    r#"{"op":"SPAWN","node":"crates/node/0","init-seed":5,"conf":{"balancers":2,"caps":{"cancel":true,"max-pushes":4},"#,
    r#""categories":[{"target-latency-ns":500000000,"semantics":"repeatable","ttl-ns":8000000000}],"#,
    r#""discovery":"subscribe","granularity-ns":2000000,"rules":{"overload-factor":2.5,"start-capacity":0.14,"#,
    r#""tip-after-ns":1000000000,"warm-within-ns":23000000000},"strange":1}},"#,
    r#"{"op":"MEMBERS","node":"crates/node/0","scope":"remembered","generation":4,"elements":"#,
    r#"[{"executor":"10.0.0.1:9","stage-state":"active"},{"executor":"10.0.0.2:9","stage-state":"active"}]}"#
);

fn batch(clock: i64, msgs: &str) -> String {
    format!("{{\"clock-ns\":{clock},\"msgs\":[{msgs}]}}\n")
}

#[test]
fn an_op_is_pushed_and_acked() {
    let ingress =
        r#"{"op":"INGRESS","node":"crates/node/0","ticket":"00c5","grade":0,"drop-dead-ns":8000000000}"#;
    let result = |executor: &str| {
        format!(
            r#"{{"op":"RESULT","node":"crates/node/0","ticket":"00000000000000c5","round-no":0,"executor":"{executor}","status":"S","took-ns":1,"final":true}}"#
        )
    };
    let start = batch(1, SPAWN) + &batch(2, "") + &batch(3_000_000, ingress);
    let (out, err, code) = run_adapter(&start);
    assert_eq!((err.as_str(), code), ("", Some(0)));
    let lines: Vec<&str> = out.lines().collect();
    assert!(lines[0].contains(r#""op":"OBSERVE","node":"crates/node/0","active":true"#), "{out}");
    assert_eq!(lines[1], r#"{"out":[]}"#);
    assert!(
        lines[2].contains(r#""op":"ATTEMPT","node":"crates/node/0","ticket":"00000000000000c5""#),
        "{out}"
    );
    let executor = if lines[2].contains("10.0.0.1:9") { "10.0.0.1:9" } else { "10.0.0.2:9" };
    // A late outcome, a withdrawal of an op already dropped and an unknown message change nothing.
    let rest = [
        result(executor),
        result(executor),
        r#"{"op":"WITHDRAWN","node":"crates/node/0","ticket":"00c5"}"#.into(),
        r#"{"op":"NEWS","node":"crates/node/0"}"#.into(),
    ];
    let (out, err, code) = run_adapter(&(start + &batch(9_000_000, &rest.join(","))));
    assert_eq!((err.lines().count(), code), (1, Some(0)), "{err}");
    assert!(!out.lines().nth(3).unwrap().contains("00c5"), "{out}");
}

#[test]
fn an_instance_can_be_killed_and_spawned_again_in_one_batch() {
    let respawn = format!(r#"{{"op":"KILLED","node":"crates/node/0"}},{SPAWN}"#);
    let ingress =
        r#"{"op":"INGRESS","node":"crates/node/0","ticket":"01","grade":0,"drop-dead-ns":8000000000}"#;
    let (out, _, code) = run_adapter(&(batch(1, SPAWN) + &batch(5, &respawn) + &batch(3_000_000, ingress)));
    assert_eq!(code, Some(0));
    assert!(out.lines().nth(1).unwrap().contains("OBSERVE"), "{out}");
    assert!(out.lines().nth(2).unwrap().contains("ATTEMPT"), "{out}");
}

#[test]
fn an_error_names_the_field_that_is_wrong() {
    let cases = [
        ("no json", "line 1"),
        (r#"{"clock-ns":"soon","msgs":[]}"#, "clock-ns"),
        (r#"{"msgs":[]}"#, "clock-ns"),
        (r#"{"clock-ns":1,"msgs":[{"op":"BELL"}]}"#, "node"),
        (r#"{"clock-ns":1,"msgs":[{"op":"SPAWN","node":"crates/node/1","init-seed":1}]}"#, "conf"),
        (
            r#"{"clock-ns":1,"msgs":[{"op":"SPAWN","node":"crates/node/1","init-seed":1,"conf":{}}]}"#,
            "balancers",
        ),
        (r#"{"clock-ns":1,"msgs":[{"op":"INGRESS","node":"crates/node/0","ticket":7}]}"#, "ticket"),
    ];
    for (input, field) in cases {
        let (_, err, code) = run_adapter(&format!("{input}\n"));
        assert_eq!(code, Some(2), "{input}");
        assert!(err.contains(field) && err.lines().count() == 1, "{input}: {err}");
    }
    let grade =
        r#"{"op":"INGRESS","node":"crates/node/0","ticket":"01","grade":9,"drop-dead-ns":8000000000}"#;
    let (_, err, code) = run_adapter(&(batch(1, SPAWN) + &batch(2, grade)));
    assert!(code == Some(2) && err.contains("grade"), "{err}");
}
