//! Keys that no code reads are reported once each, at any place in the text.

use stileroute_config::{Config, NodeSettings};

#[test]
fn keys_of_a_configuration_that_nothing_reads_are_named() {
    let text = r#"{"revision":7,"later":{"within":1},
        "routes":[
            {"name":"a","hostname":"h","path_prefix":"/a","route_type":"deferred","timeout_ms":1,"target_ms":1,"backend":"s"},
            {"name":"b","hostname":"h","path_prefix":"/b","route_type":"deferred","timeout_ms":1,"target_ms":1,"backend":"s","odd":0},
            {"name":"c","hostname":"h","path_prefix":"/c","route_type":"deferred","timeout_ms":1,"target_ms":1,"backend":"s","odd":1}],
        "backends":[{"name":"s","colour":"red"}],
        "limits":{"max_header_bytes":16384,"max_thoughts":3}}"#;
    let config = Config::parse(text.as_bytes()).unwrap();
    assert_eq!(config.unread_keys, ["backends[].colour", "later", "limits.max_thoughts", "routes[].odd"]);
}

#[test]
fn keys_of_a_settings_file_that_nothing_reads_are_named() {
    let text = r#"{"node_name":"gate-3","role":"keeper","machine_class":"stone","ip":"10.9.0.3",
        "zone":"weir-a","region":"weir","zones":{"weir-a":"weir"},"internal_ports":[7100,7115],
        "bounds":{"grace_s":6,"patience_s":3},"shape":"round"}"#;
    let settings = NodeSettings::parse("node.json", text).unwrap();
    assert_eq!(settings.unread_keys, ["bounds.patience_s", "shape"]);
}
