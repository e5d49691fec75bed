//! `stilerouted check config` applies the configuration size limit of the control nodes.

use std::fs;
use std::process::Command;

/// Largest configuration, in bytes, that control nodes accept; they reject a larger one with 413.
const MAX_CONFIGURATION_BYTES: usize = 4 << 20;

/// Builds a valid configuration of the given length in bytes; an unknown key, which is ignored, pads it.
fn configuration(bytes: usize) -> String {
    let (head, tail) = (r#"{"revision":1,"routes":[],"backends":[],"note":""#, r#""}"#);
    format!("{head}{}{tail}", "x".repeat(bytes - head.len() - tail.len()))
}

#[test]
fn check_config_rejects_a_configuration_that_control_nodes_would_reject() {
    let file = std::env::temp_dir().join(format!("configuration-{}.json", std::process::id()));
    let check = |bytes: usize| {
        fs::write(&file, configuration(bytes)).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_stilerouted"));
        let output = command.args(["check", "config"]).arg(&file).output().unwrap();
        (output.status.code(), String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned())
    };
    let (accepted, text) = check(MAX_CONFIGURATION_BYTES);
    assert_eq!(accepted, Some(0), "{text}");
    let (rejected, text) = check(MAX_CONFIGURATION_BYTES + 1);
    assert_eq!(rejected, Some(2), "{text}");
    assert!(text.contains("4194305 bytes; at most 4194304 can be sent"), "{text}");
    fs::remove_file(&file).unwrap();
}
