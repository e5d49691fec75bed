//! Every key of a settings file and of a configuration, in each form that is accepted.

use stileroute_config::{
    Config, FaultTolerance, HttpLimits, NodeSettings, PortRange, ResourceLimits, Route, RouteKind, Service,
    TimeBounds,
};

const SETTINGS: &str = r#"{
 "node_name":"gate-3","role":"keeper","machine_class":"stone","serves":["edge","storage","control"],
 "ip":"10.9.0.3","zone":"weir-a","region":"weir","zones":{"weir-a":"weir","dune-a":"dune"},
 "bind_addresses":{"front":"10.9.0.3:8011","readiness":"10.9.0.3:8013","control":"10.9.0.3:8012","figures":"127.0.0.1:9000"},
 "internal_ports":[7100,7115],"seed_nodes":["10.9.0.4:8012","10.9.0.5:8012"],"first_start":true,"counted":true,
 "limits":{"cpu_share":0.5,"memory_mb":512,"max_open_files":8192,"bandwidth_mbps":250.5,"disk_mb":64},
 "data_dir":"/var/keeper","beat_interval_ms":900,
 "tolerate":{"machine_losses":2,"zones":1,"region_losses":3},
 "bounds":{"seed_lag_s":1,"reuse_after_s":2.5,"contact_ms":3,"ack_ms":4,"catch_up_s":5,"drain_ms":6,"grace_s":7,
  "loss_slack_ms":8,"config_apply_ms":9,"rollback_slack_ms":10,"max_stretch_ms":11,"recovery_s":12,"done_within_s":13,
  "status_s":14,"callback_timeout_s":15,"visible_ms":16,"early_slack_ms":17,"ceiling_window_s":18,"origin_overrun":1.5,
  "revoke_everywhere":true,"revoke_ms":19,"key_window_s":20,"quota_window_s":21,"quota_overrun":0.25,"quota_slack":22}}"#;

const MINIMAL_SETTINGS: &str = r#"{"node_name":"gate-3","role":"keeper","machine_class":"stone","ip":"10.9.0.3",
 "zone":"weir-a","region":"weir","internal_ports":[7100,7100]}"#;

#[test]
fn every_key_of_a_settings_file_is_read() {
    let boot = NodeSettings::parse("node.json", SETTINGS).unwrap();
    assert_eq!(boot.node_name, "gate-3");
    assert_eq!(boot.role, "keeper");
    assert_eq!(boot.machine_class, "stone");
    assert_eq!(boot.serves, ["edge", "storage", "control"]);
    assert_eq!(boot.ip.octets(), [10, 9, 0, 3]);
    assert_eq!(boot.zone, "weir-a");
    assert_eq!(boot.region, "weir");
    let zones: Vec<(&str, &str)> =
        boot.zone_regions.iter().map(|(zone, region)| (zone.as_str(), region.as_str())).collect();
    assert_eq!(zones, [("dune-a", "dune"), ("weir-a", "weir")]);
    assert_eq!(boot.front_address, "10.9.0.3:8011".parse().ok());
    assert_eq!(boot.readiness_address, "10.9.0.3:8013".parse().ok());
    assert_eq!(boot.control_address, "10.9.0.3:8012".parse().ok());
    assert_eq!(boot.metrics_address, "127.0.0.1:9000".parse().ok());
    assert_eq!(boot.internal_ports, PortRange { first: 7100, last: 7115 });
    let seeds: Vec<String> = boot.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.9.0.4:8012", "10.9.0.5:8012"]);
    assert!(boot.is_first_start);
    assert!(boot.is_counted);
    assert_eq!(
        boot.resources,
        ResourceLimits {
            cpu_share: 0.5,
            memory_mb: 512,
            max_open_files: 8192,
            bandwidth_mbps: 250.5,
            disk_mb: 64
        }
    );
    assert_eq!(boot.data_dir, Some("/var/keeper".into()));
    assert_eq!(boot.heartbeat_interval_ms, 900);
    assert_eq!(boot.fault_tolerance, FaultTolerance { machines: 2, zones: 1, regions: 3 });
    assert_eq!(
        boot.bounds,
        TimeBounds {
            seed_lag_ms: 1000,
            reuse_after_ms: 2500,
            contact_ms: 3,
            ack_ms: 4,
            catch_up_ms: 5000,
            drain_ms: 6,
            shutdown_grace_ms: 7000,
            loss_slack_ms: 8,
            config_apply_ms: 9,
            rollback_slack_ms: 10,
            max_stretch_ms: 11,
            recovery_ms: 12_000,
            done_within_ms: 13_000,
            status_retention_ms: 14_000,
            callback_timeout_ms: 15_000,
            visible_ms: 16,
            early_slack_ms: 17,
            rate_limit_window_ms: 18_000,
            rate_limit_overrun: 1.5,
            revokes_everywhere: true,
            revoke_ms: 19,
            idempotency_window_ms: 20_000,
            quota_window_ms: 21_000,
            quota_overrun: 0.25,
            quota_slack: 22,
        }
    );
}

#[test]
fn settings_that_are_missing_get_their_defaults() {
    let boot = NodeSettings::parse("node.json", MINIMAL_SETTINGS).unwrap();
    assert!(boot.serves.is_empty() && boot.seeds.is_empty());
    let zones: Vec<(&str, &str)> =
        boot.zone_regions.iter().map(|(zone, region)| (zone.as_str(), region.as_str())).collect();
    assert_eq!(zones, [("weir-a", "weir")]);
    assert_eq!(
        (boot.front_address, boot.readiness_address, boot.control_address, boot.metrics_address),
        (None, None, None, None)
    );
    assert_eq!(boot.internal_ports, PortRange { first: 7100, last: 7100 });
    assert!(!boot.is_first_start && !boot.is_counted);
    assert_eq!(
        boot.resources,
        ResourceLimits {
            cpu_share: 0.25,
            memory_mb: 256,
            max_open_files: 4096,
            bandwidth_mbps: 1000.0,
            disk_mb: 0
        }
    );
    assert_eq!((boot.data_dir, boot.heartbeat_interval_ms), (None, 1200));
    assert_eq!(boot.fault_tolerance, FaultTolerance { machines: 1, zones: 0, regions: 0 });
    assert_eq!(
        boot.bounds,
        TimeBounds {
            seed_lag_ms: 3000,
            reuse_after_ms: 2000,
            contact_ms: 4000,
            ack_ms: 5000,
            catch_up_ms: 4200,
            drain_ms: 3000,
            shutdown_grace_ms: 6000,
            loss_slack_ms: 200,
            config_apply_ms: 3000,
            rollback_slack_ms: 250,
            max_stretch_ms: 12_000,
            recovery_ms: 12_000,
            done_within_ms: 10_000,
            status_retention_ms: 120_000,
            callback_timeout_ms: 5000,
            visible_ms: 3000,
            early_slack_ms: 100,
            rate_limit_window_ms: 5000,
            rate_limit_overrun: 1.1,
            revokes_everywhere: false,
            revoke_ms: 5000,
            idempotency_window_ms: 60_000,
            quota_window_ms: 5000,
            quota_overrun: 0.1,
            quota_slack: 20,
        }
    );
}

#[test]
fn forms_of_a_setting_that_are_accepted() {
    // Each case: two JSON members; each is added to the minimal settings, and both must give the same settings.
    let with = |more: &str| {
        NodeSettings::parse("node.json", &MINIMAL_SETTINGS.replacen('{', &format!("{{{more},"), 1))
    };
    let same = [
        (r#""data_dir":null"#, r#""later":[1,{"a":null}]"#),
        (r#""bind_addresses":{"front":null}"#, r#""bind_addresses":{}"#),
        (r#""beat_interval_ms":1e3"#, r#""beat_interval_ms":1000.0"#),
        (r#""beat_interval_ms":0.4"#, r#""beat_interval_ms":1"#),
        (r#""beat_interval_ms":-0"#, r#""beat_interval_ms":0"#),
        (r#""limits":{"memory_mb":70.0}"#, r#""limits":{"memory_mb":7e1}"#),
        (r#""bounds":{"status_s":0.0004}"#, r#""bounds":{"status_s":0.001}"#),
        (r#""tolerate":{"zones":1},"tolerate":{"zones":2}"#, r#""tolerate":{"zones":2}"#),
    ];
    for (one, other) in same {
        let (read, as_other) = (with(one), with(other));
        assert!(read.is_ok(), "{one}: {read:?}");
        // The set of unread keys differs with the text and is tested in unread_keys.rs.
        let values = |settings| NodeSettings { unread_keys: Vec::new(), ..settings };
        assert_eq!(read.map(values), as_other.map(values), "{one} {other}");
    }
}

const CONFIGURATION: &str = r#"{"revision":12,
 "routes":[{"name":"jetty","hostname":"Ferry.example","path_prefix":"/quay/","route_type":"deferred","timeout_ms":1500,
  "target_ms":80,"run_target_ms":1200,"max_wait_s":7.25,"priority":-2,"backend":"crane","max_tries":4,"in_order":true,
  "callback_url":true,"public":true},
  {"name":"lock","hostname":"ferry.example","path_prefix":"/","route_type":"Deferred","timeout_ms":0.2,"target_ms":60,
  "backend":"crane"}],
 "backends":[{"name":"crane","health_path":"/well","max_conns":9,"rate_per_s":2.5,"self_dedupe":true,"pull":true,"protocol":"h2","tls":true,
  "endpoint":"10.9.8.7:8099"},{"name":"barge"}],
 "limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":30,"idle_timeout_ms":40}}"#;

#[test]
fn every_key_of_a_configuration_is_read() {
    let config = Config::parse(CONFIGURATION.as_bytes()).unwrap();
    assert_eq!((config.revision, &config.body[..]), (12, CONFIGURATION.as_bytes()));
    let routes = [
        Route {
            name: "jetty".into(),
            host: "Ferry.example".into(),
            path_prefix: "/quay/".into(),
            kind: RouteKind::Deferred,
            timeout_ms: 1500,
            latency_target_ms: 80,
            completion_target_ms: 1200,
            max_wait_ms: 7250,
            priority: -2,
            service: 0,
            max_attempts: 4,
            is_ordered: true,
            is_public: true,
            allows_callback: true,
        },
        Route {
            name: "lock".into(),
            host: "ferry.example".into(),
            path_prefix: "/".into(),
            kind: RouteKind::Other,
            timeout_ms: 1,
            latency_target_ms: 60,
            completion_target_ms: 60,
            max_wait_ms: 90_000,
            priority: 0,
            service: 0,
            max_attempts: 3,
            is_ordered: false,
            is_public: false,
            allows_callback: false,
        },
    ];
    assert_eq!(config.routes, routes);
    let services = [
        Service {
            name: "crane".into(),
            health_path: "/well".into(),
            max_connections: 9,
            rate_limit_per_s: 2.5,
            deduplicates: true,
            protocol: "h2".into(),
            wants_tls: true,
            pulls_requests: true,
            endpoint: "10.9.8.7:8099".parse().ok(),
        },
        Service {
            name: "barge".into(),
            health_path: "/health".into(),
            max_connections: 64,
            rate_limit_per_s: 0.0,
            deduplicates: false,
            protocol: "h1".into(),
            wants_tls: false,
            pulls_requests: false,
            endpoint: None,
        },
    ];
    assert_eq!(config.services, services);
    let limits = HttpLimits {
        max_header_bytes: 1000,
        max_body_bytes: 2000,
        header_timeout_ms: 30,
        idle_timeout_ms: 40,
    };
    assert_eq!(config.limits, limits);
    assert_eq!((config.service("barge"), config.service("none")), (Some(1), None));
    assert_eq!(
        (RouteKind::Deferred.to_string(), RouteKind::Other.to_string()),
        ("deferred".into(), "other".into())
    );
}

#[test]
fn limits_that_are_missing_get_their_defaults() {
    let config = Config::parse(br#"{"revision":0,"routes":[],"backends":[]}"#).unwrap();
    let limits = HttpLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 262_144,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15_000,
    };
    assert_eq!((config.limits, config.routes.len(), config.services.len()), (limits, 0, 0));
}
