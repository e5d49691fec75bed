//! Configurations: which are accepted, which are rejected, and that no input bytes cause a panic.

use assert_matches::assert_matches;
use stileroute_config::{Config, HttpLimits, RouteKind};

const COMPLETE_CONFIGURATION: &str = r#"{"revision":12,"future":[{}],"routes":[
 {"name":"jetty","hostname":"Ferry.example","path_prefix":"/quay/","route_type":"deferred","timeout_ms":1500,
  "target_ms":80,"priority":2,"backend":"crane","max_tries":4,"in_order":true,"max_wait_s":7.25,"callback_url":true,
  "run_target_ms":1200},
 {"name":"lock","hostname":"ferry.example","path_prefix":"/quay/north/","route_type":"direct","timeout_ms":900,
  "target_ms":70,"backend":"barge"},
 {"name":"slip","hostname":"canal.example","path_prefix":"/","route_type":"deferred","timeout_ms":0.2,"target_ms":60,
  "backend":"crane"}],"backends":[
 {"name":"barge","health_path":"/well","max_conns":9,"rate_per_s":2.5,"self_dedupe":true,"pull":true,"endpoint":null},
 {"name":"crane","endpoint":"10.9.8.7:8099"}],"limits":{"max_body_bytes":5000}}"#;

/// Returns the keys and reasons of the faults of a configuration, one line each; empty if the configuration is accepted.
fn faults(body: impl AsRef<[u8]>) -> String {
    Config::parse(body.as_ref()).err().map(|faults| faults.to_string()).unwrap_or_default()
}

#[test]
fn a_complete_configuration_is_read() {
    let config = Config::parse(COMPLETE_CONFIGURATION.as_bytes()).unwrap();
    assert_eq!((config.revision, &config.body[..]), (12, COMPLETE_CONFIGURATION.as_bytes()));
    let limits = HttpLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 5000,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15_000,
    };
    assert_eq!(config.limits, limits);
    let [jetty, lock, slip] = &config.routes[..] else { panic!() };
    assert_eq!((jetty.kind, lock.kind), (RouteKind::Deferred, RouteKind::Other));
    assert_eq!(
        (jetty.service, jetty.max_wait_ms, jetty.max_attempts, jetty.completion_target_ms),
        (1, 7250, 4, 1200)
    );
    assert_eq!(
        (lock.service, lock.max_wait_ms, lock.max_attempts, lock.completion_target_ms),
        (0, 90_000, 3, 70)
    );
    assert_eq!((jetty.priority, lock.priority, slip.timeout_ms), (2, 0, 1));
    assert!(jetty.is_ordered && jetty.allows_callback && !lock.is_ordered && !lock.allows_callback);
    let [barge, crane] = &config.services[..] else { panic!() };
    assert_eq!((barge.max_connections, barge.rate_limit_per_s, barge.endpoint), (9, 2.5, None));
    assert!(barge.deduplicates && barge.pulls_requests && !crane.deduplicates && !crane.pulls_requests);
    assert_eq!((crane.endpoint, crane.health_path.as_str()), ("10.9.8.7:8099".parse().ok(), "/health"));
    assert_eq!((config.service("crane"), config.service("Crane")), (Some(1), None));
}

#[test]
fn the_longest_prefix_takes_the_path() {
    let rows = [
        ("ferry.example", "/quay/", Some(0)),
        ("FERRY.example:8080", "/quay/south?to=/quay/north/", Some(0)),
        ("ferry.example", "/quay/north/7?x", Some(1)),
        ("ferry.example", "/quay/north", Some(0)),
        ("ferry.example", "/quay/zz", Some(0)),
        ("ferry.example", "/quay?/", None),
        ("ferry.example", "/Quay/", None),
        ("ferry.example", "", None),
        ("canal.example:", "/any", Some(2)),
        ("canal.example:x", "/any", None),
        ("", "/any", None),
    ];
    let config = Config::parse(COMPLETE_CONFIGURATION.as_bytes()).unwrap();
    for (host, path, route) in rows {
        assert_eq!(config.route(host, path), route, "{host} {path}");
    }
    // Compares the route table with a linear search of all routes, for every path of a few letters.
    let routes: Vec<String> =
        (0..64).filter(|n| n % 3 > 0).map(|n| format!("{n:b}").replace('0', "/")).collect();
    let rest = r#""hostname":"h","route_type":"deferred","timeout_ms":1,"target_ms":1,"backend":"s""#;
    let one = |prefix| format!(r#"{{"name":"r","path_prefix":"/{prefix}",{rest}}}"#);
    let all: Vec<String> = routes.iter().map(one).collect();
    let body = format!(r#"{{"revision":0,"routes":[{}],"backends":[{{"name":"s"}}]}}"#, all.join(","));
    let config = Config::parse(body.as_bytes()).unwrap();
    for n in 0..1024 {
        let path = format!("/{n:b}").replace('0', "/");
        let fit = config.routes.iter().enumerate().filter(|(_, route)| path.starts_with(&route.path_prefix));
        let longest = fit.max_by_key(|(_, route)| route.path_prefix.len()).map(|(at, _)| at);
        assert_eq!(config.route("h", &path), longest, "{path}");
    }
}

#[test]
fn what_is_wrong_is_refused_by_its_key() {
    // Each case: the text to replace, its replacement, and the key and reason of the fault that is reported.
    let rows = [
        ("\"revision\":12,", "", "revision: missing"),
        (":12,", ":-1,", "revision: must be a whole number from 0 up, is -1.0"),
        (":12,", ":1.5,", "revision: must be"),
        (":12,", ":\"12\",", "revision: must be"),
        (":12,", ":null,", "revision: must be"),
        (":12,", ":12e-1,", "revision: must be"),
        (":12,", ":18446744073709551616,", "revision: must be"),
        (":12,", ":1e20,", "revision: must be"),
        (":12,", ":1e99999,", "revision: must be"),
        (":12,", ":7.00000000000000000000001,", "revision: must be"),
        (":12,", ":1844674407370955161.55e1,", "all: holds a number with too many digits"),
        (":12,", ":012,", "all: not JSON"),
        ("[{}]", "[\"\u{b}\"]", "all: not JSON"),
        ("[{}]", "\u{c}0", "all: not JSON"),
        ("\"routes\":", "\"r\":", "routes: missing"),
        ("\"routes\":[", "\"routes\":[7,", "routes[0]: must be an object, is 7.0"),
        ("\"limits\":{\"max_body_bytes\":5000}", "\"limits\":[]", "limits: must be an object, is a list"),
        ("5000", "-5", "limits.max_body_bytes: must be"),
        (
            "\"backend\":\"barge\"",
            "\"backend\":\"raft\"",
            "routes[1].backend: no service has the name \"raft\"",
        ),
        (",\n  \"backend\":\"crane\"}],", "}],", "routes[2].backend: missing"),
        ("/quay/north/", "/quay/", "routes[1].path_prefix: host and prefix are those of routes[0] too"),
        (
            "\"backends\":[",
            "\"backends\":[{\"name\":\"crane\"},",
            "backends[2].name: \"crane\" is the name of backends[0] too",
        ),
        ("\"timeout_ms\":1500,", "", "routes[0].timeout_ms: missing"),
        ("1500", "0", "routes[0].timeout_ms: must be a span of time above 0, is 0.0"),
        ("1500", "0e9999", "routes[0].timeout_ms: must be"),
        ("1500", "-0.0", "routes[0].timeout_ms: must be"),
        ("1500", "-1500", "routes[0].timeout_ms: must be"),
        ("1500", "1e400", "routes[0].timeout_ms: must be"),
        ("1500", "1e13", "routes[0].timeout_ms: must be"),
        ("1500", "true", "routes[0].timeout_ms: must be"),
        ("7.25", "\"7\"", "routes[0].max_wait_s: must be"),
        ("\"max_tries\":4", "\"max_tries\":0", "routes[0].max_tries: must be a whole number above 0"),
        ("\"max_tries\":4", "\"max_tries\":4294967296", "routes[0].max_tries: must be"),
        ("\"priority\":2", "\"priority\":0.5", "routes[0].priority: must be a whole number"),
        ("\"in_order\":true", "\"in_order\":1", "routes[0].in_order: must be true or false"),
        ("\"/quay/\"", "\"quay/\"", "routes[0].path_prefix: must begin with /"),
        ("\"Ferry.example\"", "\"\"", "routes[0].hostname: must be text that is not empty"),
        ("\"Ferry.example\"", "\":80\"", "routes[0].hostname: names a port alone"),
        ("2.5", "-2.5", "backends[0].rate_per_s: must be a finite number from 0 up"),
        ("2.5", "1e309", "backends[0].rate_per_s: must be"),
        ("2.5", "null", "backends[0].rate_per_s: must be"),
        ("10.9.8.7:8099", "10.9.8.7", "backends[1].endpoint: must be ip:port or null"),
        ("10.9.8.7:8099", "10.9.8.7:0", "backends[1].endpoint: must be"),
        ("\"endpoint\":null", "\"endpoint\":false", "backends[0].endpoint: must be"),
    ];
    for (of, with, expected) in rows {
        assert!(COMPLETE_CONFIGURATION.contains(of), "{of}");
        let faults = faults(COMPLETE_CONFIGURATION.replacen(of, with, 1));
        assert!(faults.starts_with(&format!("configuration: {expected}")), "{of} -> {with}: {faults}");
        assert_eq!(faults.lines().count(), 1, "{faults}");
    }
    for (of, with) in
        [(":12,", ":12.0,"), (":12,", ":18446744073709551615,"), ("y\":2", "y\":-9223372036854775808")]
    {
        assert_eq!(faults(COMPLETE_CONFIGURATION.replacen(of, with, 1)), "");
    }
}

#[test]
fn all_faults_are_reported_at_once_and_a_flood_is_counted() {
    let many =
        COMPLETE_CONFIGURATION.replace("1500", "0").replace(":12,", ":-1,").replace("8099", "no\\nline");
    let expected = faults(many);
    assert_eq!(expected.lines().count(), 3, "{expected}");
    // Faults that follow from another fault are reported too.
    let expected = faults(COMPLETE_CONFIGURATION.replace("\"backends\":[", "\"backends\":{},\"b\":["));
    assert!(expected.starts_with("configuration: backends: must be a list, is an object\n"), "{expected}");
    assert_eq!(expected.lines().count(), 4, "{expected}");
    let flood = faults(format!("{{\"routes\":[{}0]}}", "0,".repeat(5000)));
    assert_eq!(flood.lines().count(), 65);
    assert!(flood.ends_with("more faults are not told"), "{flood}");
}

#[test]
fn what_is_too_large_or_too_deep_is_refused() {
    let rows = [
        (" ".repeat(9 << 20), "longer than"),
        (format!("{{\"a\":{}", "[".repeat(9000)), "not JSON"),
        (format!("{{\"a\":[{}[]]}}", "[],".repeat(400_000)), "holds too many values"),
        (format!("{{\"a\":0.{}}}", "0".repeat(40_000)), "holds a number of more than"),
        (format!("{{\"a\":1{}}}", "0".repeat(40_000)), "holds a number of more than"),
        (format!("{{\"routes\":[{}0]}}", "0,".repeat(100_000)), "routes: holds more than 100000"),
    ];
    for (body, expected) in rows {
        assert!(faults(&body).contains(expected), "{expected}");
    }
}

#[test]
fn a_truncated_or_altered_configuration_causes_no_panic() {
    for cut in 0..COMPLETE_CONFIGURATION.len() {
        assert_matches!(Config::parse(&COMPLETE_CONFIGURATION.as_bytes()[..cut]), Err(faults) if !faults.faults.is_empty(), "{cut}");
    }
    let mut body = COMPLETE_CONFIGURATION.as_bytes().to_vec();
    for at in 0..body.len() {
        for byte in
            [0, 0x0c, b'"', b'\\', b'0', b'-', b'e', b'}', b',', 0xc3, 0xff, body[at] ^ 1, body[at] ^ 0x20]
        {
            let kept = std::mem::replace(&mut body[at], byte);
            let read = Config::parse(&body);
            assert!(byte != 0xff || read.is_err());
            if let Ok(config) = read {
                assert!(config.routes.iter().all(|r| r.service < config.services.len() && r.timeout_ms > 0));
                config.route("ferry.example", "/quay/north/7");
            }
            body[at] = kept;
        }
    }
}
