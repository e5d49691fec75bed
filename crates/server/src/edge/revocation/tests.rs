use super::*;
use stileroute_config::NodeSettings;

fn bounds(text: &str) -> TimeBounds {
    let settings = format!(
        r#"{{"node_name":"n","role":"r","machine_class":"c","ip":"10.0.0.1","zone":"z","region":"r","internal_ports":[1,3],"bounds":{text}}}"#
    );
    NodeSettings::parse("node.json", &settings).unwrap().bounds
}

#[test]
fn keys_are_current_while_the_last_contact_is_recent_enough() {
    let bounds_everywhere = bounds(r#"{"revoke_everywhere":true,"revoke_ms":5000}"#);
    assert!(are_keys_current(&bounds_everywhere, Some(10_000), 10_000));
    assert!(are_keys_current(&bounds_everywhere, Some(10_000), 14_000));
    assert!(!are_keys_current(&bounds_everywhere, Some(10_000), 14_001));
    assert!(
        !are_keys_current(&bounds_everywhere, None, 10),
        "no control node has been in contact with its peers"
    );
    let short_bounds = bounds(r#"{"revoke_everywhere":true,"revoke_ms":500}"#);
    assert!(
        !are_keys_current(&short_bounds, Some(10_000), 10_001),
        "the bound is below the delay reserved for the control nodes"
    );
}

#[test]
fn contact_is_irrelevant_where_partitioned_machines_may_lag() {
    let bounds_in_contact_only = bounds(r#"{"revoke_everywhere":false,"revoke_ms":5000}"#);
    assert!(are_keys_current(&bounds_in_contact_only, Some(0), 100_000));
    assert!(are_keys_current(&bounds_in_contact_only, None, 100_000));
}
