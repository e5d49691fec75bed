//! Settings files: parsing, defaults, rejected values, and the failure domains derived from them.

use assert_matches::assert_matches;
use miette::Diagnostic;
use stileroute_config::ZoneDistance::{OtherRegion, SameRegion, SameZone};
use stileroute_config::{FaultTolerance, NodeSettings, PortRange};

const COMPLETE_SETTINGS: &str = r#"{"node_name":"gate-3","role":"keeper","machine_class":"stone","serves":["edge","control"],
 "ip":"10.9.0.3","zone":"weir-a","region":"weir","zones":{"weir-b":"weir","dune-a":"dune"},
 "bind_addresses":{"front":"10.9.0.3:8011","control":"10.9.0.3:8012"},"internal_ports":[7100,7115],
 "seed_nodes":["10.9.0.4:8012"],"first_start":true,"counted":true,"limits":{"cpu_share":0.5,"disk_mb":64},
 "data_dir":"/var/keeper","beat_interval_ms":900,"tolerate":{"machine_losses":2,"zones":1},
 "bounds":{"catch_up_s":4.35,"seed_lag_s":2,"contact_ms":3500,"origin_overrun":1.25},"config_mode":"new"}"#;

#[test]
fn a_complete_file_is_read_and_what_is_missing_gets_its_default() {
    let boot = NodeSettings::parse("node.json", COMPLETE_SETTINGS).unwrap();
    assert_eq!(
        (boot.node_name.as_str(), boot.role.as_str(), boot.machine_class.as_str()),
        ("gate-3", "keeper", "stone")
    );
    assert_eq!(
        (boot.serves.len(), boot.ip.octets(), boot.internal_ports),
        (2, [10, 9, 0, 3], PortRange { first: 7100, last: 7115 })
    );
    assert_eq!((boot.zone_regions.len(), boot.zone_regions["weir-a"].as_str()), (3, "weir"));
    assert_eq!((boot.front_address, boot.readiness_address), ("10.9.0.3:8011".parse().ok(), None));
    assert_eq!((boot.control_address, boot.seeds.len()), ("10.9.0.3:8012".parse().ok(), 1));
    assert!(boot.is_first_start && boot.is_counted);
    assert_eq!(
        (boot.resources.cpu_share, boot.resources.disk_mb, boot.resources.max_open_files),
        (0.5, 64, 4096)
    );
    assert_eq!((boot.data_dir, boot.heartbeat_interval_ms), (Some("/var/keeper".into()), 900));
    assert_eq!(boot.fault_tolerance, FaultTolerance { machines: 2, zones: 1, regions: 0 });
    let bounds = boot.bounds;
    assert_eq!((bounds.catch_up_ms, bounds.seed_lag_ms, bounds.contact_ms), (4350, 2000, 3500));
    assert_eq!(
        (bounds.rate_limit_overrun, bounds.status_retention_ms, bounds.shutdown_grace_ms),
        (1.25, 120_000, 6000)
    );
}

#[test]
fn what_is_wrong_is_refused_by_its_key() {
    let rows = [
        ("\"node_name\":\"gate-3\",", "", "node_name: missing"),
        ("\"10.9.0.3\"", "\"::1\"", "ip: must be an IPv4 address"),
        ("\"edge\",", "7,", "serves: must be a list of text"),
        ("\"dune\"", "[]", "zones: must be an object of text"),
        ("10.9.0.3:8011", "10.9.0.3:90000", "bind_addresses.front: must be ip:port or null"),
        ("7100,", "7200,", "internal_ports: must be two ports"),
        ("7100,", "", "internal_ports: must be two ports"),
        ("10.9.0.4:8012", "weir:8012", "seed_nodes: must be a list of ip:port"),
        ("\"first_start\":true", "\"first_start\":\"no\"", "first_start: must be true or false"),
        ("\"cpu_share\":0.5", "\"cpu_share\":-0.5", "limits.cpu_share: must be"),
        ("\"/var/keeper\"", "\"\"", "data_dir: must be a path or null"),
        ("\"zones\":1", "\"zones\":1.5", "tolerate.zones: must be"),
        ("4.35", "-1", "bounds.catch_up_s: must be a span of time"),
        ("{\"catch_up_s\":4.35", "7,\"x\":{\"y\":1", "bounds: must be an object, is 7.0"),
    ];
    for (of, with, expected) in rows {
        assert!(COMPLETE_SETTINGS.contains(of), "{of}");
        let faults = NodeSettings::parse("node.json", &COMPLETE_SETTINGS.replacen(of, with, 1)).unwrap_err();
        assert!(
            faults.to_string().starts_with(&format!("node.json: {expected}")),
            "{of} -> {with}: {faults}"
        );
        assert_eq!(faults.faults.len(), 1, "{faults}");
    }
    let faults = NodeSettings::parse("a\nb", "{}").unwrap_err();
    assert_eq!((faults.faults.len(), faults.to_string().lines().count()), (7, 7), "{faults}");
    assert_eq!(faults.code().unwrap().to_string(), "charter::refused");
}

#[test]
fn a_file_is_read_from_disk_and_refused_when_cut_short() {
    let path = std::env::temp_dir().join(format!("charter-boot-{}.json", std::process::id()));
    assert_matches!(NodeSettings::read(&path), Err(faults) if faults.faults[0].reason.to_string().starts_with("cannot be read"));
    std::fs::write(&path, COMPLETE_SETTINGS).unwrap();
    let read = NodeSettings::read(&path);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(read, NodeSettings::parse("node.json", COMPLETE_SETTINGS));
    for cut in 0..COMPLETE_SETTINGS.len() {
        assert_matches!(NodeSettings::parse("node.json", &COMPLETE_SETTINGS[..cut]), Err(_), "{cut}");
    }
}

#[test]
fn distances_and_tolerated_losses() {
    let boot = NodeSettings::parse("node.json", COMPLETE_SETTINGS).unwrap();
    // Zones in sorted order: dune-a, weir-a (this machine's own zone), weir-b.
    assert_eq!(boot.region_numbers(), [0, 1, 1]);
    assert_eq!(
        ["weir-a", "weir-b", "dune-a", "unknown"].map(|zone| boot.distance_to(zone)),
        [SameZone, SameRegion, OtherRegion, OtherRegion]
    );
    assert!(boot.fault_tolerance.covers_failure_domains());
    assert_eq!(boot.fault_tolerance.additional_replicas(), 2);
    let rows: [(&[&str], bool); 4] = [
        (&["weir-a", "weir-a", "weir-b"], true),
        (&["weir-a", "weir-b"], false),
        (&["weir-a", "weir-a", "weir-a"], false),
        (&["weir-a", "weir-b", "dune-a", "dune-a"], true),
    ];
    for (zones, enough) in rows {
        assert_eq!(boot.are_stores_sufficient(zones.iter().copied()), enough, "{zones:?}");
    }
}
