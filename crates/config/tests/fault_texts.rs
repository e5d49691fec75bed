//! The whole text of every fault that operators see: file, key and reason, byte by byte.

use miette::Diagnostic;
use stileroute_config::{Config, NodeSettings};

const SETTINGS: &str = r#"{"node_name":"gate-3","role":"keeper","machine_class":"stone","ip":"10.9.0.3","zone":"weir-a",
 "region":"weir","internal_ports":[7100,7115]}"#;

/// Returns the faults of the minimal settings with these keys added; an added key hides an earlier key of the same name.
fn settings_with(more: &str) -> String {
    let text = SETTINGS.replace("[7100,7115]}", &format!("[7100,7115],{more}}}"));
    NodeSettings::parse("node.json", &text).map(|_| String::new()).unwrap_or_else(|faults| faults.to_string())
}

fn configuration(body: &str) -> String {
    Config::parse(body.as_bytes()).map(|_| String::new()).unwrap_or_else(|faults| faults.to_string())
}

/// A test case: a key with a value that is rejected, and the complete text of the fault.
const WRONG_SETTINGS: &[(&str, &str)] = &[
        (r#""node_name":"""#, r#"node.json: node_name: must be text that is not empty, is """#),
        (r#""role":7"#, "node.json: role: must be text that is not empty, is 7.0"),
        (r#""machine_class":null"#, "node.json: machine_class: must be text that is not empty, is null"),
        (r#""zone":{}"#, "node.json: zone: must be text that is not empty, is an object"),
        (r#""region":[]"#, "node.json: region: must be text that is not empty, is a list"),
        (r#""serves":["edge",""]"#, "node.json: serves: must be a list of text, is a list"),
        (r#""ip":"::1""#, r#"node.json: ip: must be an IPv4 address, is "::1""#),
        (r#""zones":{"a":1}"#, "node.json: zones: must be an object of text, is an object"),
        (r#""bind_addresses":7"#, "node.json: bind_addresses: must be an object, is 7.0"),
        (
            r#""bind_addresses":{"front":"a:1"}"#,
            r#"node.json: bind_addresses.front: must be ip:port or null, is "a:1""#,
        ),
        (
            r#""bind_addresses":{"readiness":"10.9.0.3:0"}"#,
            r#"node.json: bind_addresses.readiness: must be ip:port or null, is "10.9.0.3:0""#,
        ),
        (
            r#""bind_addresses":{"control":true}"#,
            "node.json: bind_addresses.control: must be ip:port or null, is true",
        ),
        (
            r#""bind_addresses":{"figures":[]}"#,
            "node.json: bind_addresses.figures: must be ip:port or null, is a list",
        ),
        (r#""internal_ports":[7,6]"#, "node.json: internal_ports: must be two ports, the lower first, is a list"),
        (r#""seed_nodes":["a"]"#, "node.json: seed_nodes: must be a list of ip:port, is a list"),
        (r#""first_start":1"#, "node.json: first_start: must be true or false, is 1.0"),
        (r#""counted":"yes""#, r#"node.json: counted: must be true or false, is "yes""#),
        (r#""limits":null"#, "node.json: limits: must be an object, is null"),
        (
            r#""limits":{"cpu_share":-0.5}"#,
            "node.json: limits.cpu_share: must be a finite number from 0 up, is -0.5",
        ),
        (
            r#""limits":{"memory_mb":1.5}"#,
            "node.json: limits.memory_mb: must be a whole number from 0 up, is 1.5",
        ),
        (
            r#""limits":{"max_open_files":-1}"#,
            "node.json: limits.max_open_files: must be a whole number from 0 up, is -1.0",
        ),
        (
            r#""limits":{"bandwidth_mbps":false}"#,
            "node.json: limits.bandwidth_mbps: must be a finite number from 0 up, is false",
        ),
        (
            r#""limits":{"disk_mb":"1"}"#,
            r#"node.json: limits.disk_mb: must be a whole number from 0 up, is "1""#,
        ),
        (r#""data_dir":"""#, r#"node.json: data_dir: must be a path or null, is """#),
        (
            r#""beat_interval_ms":1e13"#,
            "node.json: beat_interval_ms: must be a span of time from 0 up that is not too long, is 10000000000000.0",
        ),
        (
            r#""tolerate":{"machine_losses":-1}"#,
            "node.json: tolerate.machine_losses: must be a whole number from 0 up that is not too large, is -1.0",
        ),
        (
            r#""tolerate":{"zones":0.5}"#,
            "node.json: tolerate.zones: must be a whole number from 0 up that is not too large, is 0.5",
        ),
        (
            r#""tolerate":{"region_losses":null}"#,
            "node.json: tolerate.region_losses: must be a whole number from 0 up that is not too large, is null",
        ),
        (
            r#""bounds":{"grace_s":-1}"#,
            "node.json: bounds.grace_s: must be a span of time from 0 up that is not too long, is -1.0",
        ),
        (
            r#""bounds":{"origin_overrun":[]}"#,
            "node.json: bounds.origin_overrun: must be a finite number from 0 up, is a list",
        ),
];

#[test]
fn each_wrong_setting_is_named_with_its_reason() {
    for (more, expected) in WRONG_SETTINGS {
        assert_eq!(settings_with(more), *expected, "{more}");
    }
    let spans = [
        "seed_lag_s",
        "reuse_after_s",
        "contact_ms",
        "ack_ms",
        "catch_up_s",
        "drain_ms",
        "grace_s",
        "loss_slack_ms",
        "config_apply_ms",
        "rollback_slack_ms",
        "max_stretch_ms",
        "recovery_s",
        "done_within_s",
        "status_s",
        "callback_timeout_s",
        "visible_ms",
        "early_slack_ms",
        "ceiling_window_s",
    ];
    for key in spans {
        let expected = format!(
            "node.json: bounds.{key}: must be a span of time from 0 up that is not too long, is true"
        );
        assert_eq!(settings_with(&format!(r#""bounds":{{"{key}":true}}"#)), expected);
    }
}

#[test]
fn a_settings_file_of_which_nothing_can_be_read_has_one_fault() {
    let cases = [
        ("", "node.json: all: not JSON: Unexpected end of JSON"),
        ("[]", "node.json: all: must be an object, is a list"),
        ("7", "node.json: all: must be an object, is 7.0"),
        ("{\"a\":1", "node.json: all: not JSON: Unexpected end of JSON"),
        ("{\u{b}}", "node.json: all: not JSON: holds a blank that JSON does not know"),
    ];
    for (text, expected) in cases {
        assert_eq!(NodeSettings::parse("node.json", text).unwrap_err().to_string(), expected, "{text:?}");
    }
    let missing = ["node_name", "role", "machine_class", "ip", "zone", "region", "internal_ports"];
    let lines: Vec<String> = missing.iter().map(|key| format!("a\\nb: {key}: missing")).collect();
    assert_eq!(NodeSettings::parse("a\nb", "{}").unwrap_err().to_string(), lines.join("\n"));
    let path = std::env::temp_dir().join(format!("stileroute-config-none-{}.json", std::process::id()));
    let faults = NodeSettings::read(&path).unwrap_err().to_string();
    assert_eq!(
        faults,
        format!("{}: all: cannot be read: No such file or directory (os error 2)", path.display())
    );
    std::fs::write(&path, b"{\"a\":\"\xff\"}").unwrap();
    let faults = NodeSettings::read(&path).unwrap_err().to_string();
    std::fs::remove_file(&path).unwrap();
    let expected = "all: not UTF-8: invalid utf-8 sequence of 1 bytes from index 6";
    assert_eq!(faults, format!("{}: {expected}", path.display()));
}

const MINIMAL_ROUTE: &str = r#""name":"jetty","hostname":"ferry.example","path_prefix":"/","route_type":"deferred",
 "timeout_ms":1500,"target_ms":80,"backend":"crane""#;

fn route_with(more: &str) -> String {
    let routes = format!(r#"[{{{MINIMAL_ROUTE},{more}}}]"#);
    configuration(&format!(r#"{{"revision":1,"routes":{routes},"backends":[{{"name":"crane"}}]}}"#))
}

fn service_with(more: &str) -> String {
    configuration(&format!(r#"{{"revision":1,"routes":[],"backends":[{{"name":"crane",{more}}}]}}"#))
}

#[test]
fn each_wrong_key_of_a_route_is_named_with_its_reason() {
    let text = "must be text that is not empty, is null";
    let span = "must be a span of time from 0 up that is not too long, is -1.0";
    let flag = "must be true or false, is 0.0";
    let cases = [
        (r#""name":null"#, "name", text),
        (r#""hostname":null"#, "hostname", text),
        (r#""hostname":":80""#, "hostname", "names a port alone"),
        (r#""path_prefix":null"#, "path_prefix", text),
        (r#""path_prefix":"quay""#, "path_prefix", "must begin with /"),
        (r#""route_type":null"#, "route_type", text),
        (r#""timeout_ms":0"#, "timeout_ms", "must be a span of time above 0, is 0.0"),
        (r#""target_ms":-1"#, "target_ms", span),
        (r#""run_target_ms":-1"#, "run_target_ms", span),
        (r#""max_wait_s":-1"#, "max_wait_s", span),
        (r#""priority":0.5"#, "priority", "must be a whole number, is 0.5"),
        (r#""backend":null"#, "backend", text),
        (r#""backend":"a\"b""#, "backend", r#"no service has the name "a\"b""#),
        (r#""max_tries":0"#, "max_tries", "must be a whole number above 0, is 0.0"),
        (r#""in_order":0"#, "in_order", flag),
        (r#""callback_url":0"#, "callback_url", flag),
    ];
    for (more, key, reason) in cases {
        assert_eq!(route_with(more), format!("configuration: routes[0].{key}: {reason}"), "{more}");
    }
}

#[test]
fn each_wrong_key_of_a_service_is_named_with_its_reason() {
    let number = "must be a whole number from 0 up that is not too large, is 4294967296.0";
    let cases = [
        (r#""name":7"#, "name", "must be text that is not empty, is 7.0"),
        (r#""health_path":"well""#, "health_path", r#"must be a path that begins with /, is "well""#),
        (r#""max_conns":4294967296"#, "max_conns", number),
        (r#""rate_per_s":-2.5"#, "rate_per_s", "must be a finite number from 0 up, is -2.5"),
        (r#""self_dedupe":0"#, "self_dedupe", "must be true or false, is 0.0"),
        (r#""pull":0"#, "pull", "must be true or false, is 0.0"),
        (r#""endpoint":"10.9.8.7""#, "endpoint", r#"must be ip:port or null, is "10.9.8.7""#),
    ];
    for (more, key, reason) in cases {
        assert_eq!(service_with(more), format!("configuration: backends[0].{key}: {reason}"), "{more}");
    }
}

#[test]
fn faults_of_a_whole_configuration_have_these_texts() {
    let service = r#"{"name":"crane"}"#;
    let cases = [
        (
            "{}".to_string(),
            "configuration: revision: missing\nconfiguration: backends: missing\nconfiguration: routes: missing",
        ),
        (
            format!(r#"{{"revision":-1,"routes":{{}},"backends":[7,{service}],"limits":[]}}"#),
            "configuration: revision: must be a whole number from 0 up, is -1.0\n\
             configuration: limits: must be an object, is a list\n\
             configuration: backends[0]: must be an object, is 7.0\n\
             configuration: routes: must be a list, is an object",
        ),
        (
            format!(r#"{{"revision":1,"routes":[],"backends":[{service},{service}]}}"#),
            "configuration: backends[1].name: \"crane\" is the name of backends[0] too",
        ),
        (
            format!(r#"{{"revision":1,"routes":[{{{MINIMAL_ROUTE}}},{{{MINIMAL_ROUTE}}}],"backends":[{service}]}}"#),
            "configuration: routes[1].path_prefix: host and prefix are those of routes[0] too",
        ),
        (
            r#"{"revision":1,"routes":[{}],"backends":[]}"#.to_string(),
            "configuration: routes[0].backend: missing\nconfiguration: routes[0].target_ms: missing\n\
             configuration: routes[0].name: missing\nconfiguration: routes[0].hostname: missing\n\
             configuration: routes[0].path_prefix: missing\nconfiguration: routes[0].route_type: missing\n\
             configuration: routes[0].timeout_ms: missing",
        ),
        (
            r#"{"revision":1,"routes":[],"backends":[],"limits":{"max_header_bytes":-1,"max_body_bytes":"",
            "header_timeout_ms":null,"idle_timeout_ms":{}}}"#
                .to_string(),
            "configuration: limits.max_header_bytes: must be a whole number from 0 up that is not too large, is -1.0\n\
             configuration: limits.max_body_bytes: must be a whole number from 0 up that is not too large, is \"\"\n\
             configuration: limits.header_timeout_ms: must be a span of time from 0 up that is not too long, is null\n\
             configuration: limits.idle_timeout_ms: must be a span of time from 0 up that is not too long, is an object",
        ),
        (
            format!(r#"{{"revision":1,"routes":[],"backends":[{}]}}"#, vec!["0"; 100_001].join(",")),
            "configuration: backends: holds more than 100000",
        ),
        (" ".repeat((8 << 20) + 1), "configuration: all: longer than 8388608 bytes"),
        (format!("{{\"a\":[{}[]]}}", "[],".repeat(400_000)), "configuration: all: holds too many values"),
        (
            format!("{{\"a\":0.{}}}", "0".repeat(1100)),
            "configuration: all: holds a number of more than 1100 characters",
        ),
        (
            "{\"a\":12345678901234567890e1}".to_string(),
            "configuration: all: holds a number with too many digits",
        ),
        (
            format!(r#"{{"revision":"{}\n","routes":[],"backends":[]}}"#, "x".repeat(39)),
            "configuration: revision: must be a whole number from 0 up, \
             is \"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\\n\"",
        ),
    ];
    for (body, expected) in cases {
        assert_eq!(configuration(&body), expected, "{:?}", body.get(..60).unwrap_or(&body));
    }
}

#[test]
fn beyond_64_faults_the_rest_are_counted() {
    let body = format!(r#"{{"revision":1,"routes":[{}0],"backends":[]}}"#, "0,".repeat(69));
    let mut lines: Vec<String> =
        (0..64).map(|at| format!("configuration: routes[{at}]: must be an object, is 0.0")).collect();
    lines.push("configuration: all: 6 more faults are not told".into());
    assert_eq!(configuration(&body), lines.join("\n"));
}

#[test]
fn a_refusal_has_a_code_and_a_help_text() {
    let faults = Config::parse(b"{}").unwrap_err();
    assert_eq!(faults.code().unwrap().to_string(), "charter::refused");
    let help = "nothing of it is in force; mend every line and hand it in again";
    assert_eq!(faults.help().unwrap().to_string(), help);
}
