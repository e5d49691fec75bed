use super::*;
use stileroute_config::NodeSettings;

fn bounds(text: &str) -> TimeBounds {
    let settings = format!(
        r#"{{"node_name":"n","role":"r","machine_class":"c","ip":"10.0.0.1","zone":"z","region":"r","internal_ports":[1,3],"bounds":{text}}}"#
    );
    NodeSettings::parse("node.json", &settings).unwrap().bounds
}

#[test]
fn keys_are_current_while_the_contact_is_young_enough() {
    let everywhere = bounds(r#"{"revoke_everywhere":true,"revoke_ms":5000}"#);
    assert!(are_keys_current(&everywhere, Some(10_000), 10_000));
    assert!(are_keys_current(&everywhere, Some(10_000), 14_000));
    assert!(!are_keys_current(&everywhere, Some(10_000), 14_001));
    assert!(!are_keys_current(&everywhere, None, 10), "nobody has said that the configuration is the newest");
    let short = bounds(r#"{"revoke_everywhere":true,"revoke_ms":500}"#);
    assert!(!are_keys_current(&short, Some(10_000), 10_001), "less than the control nodes need");
}

#[test]
fn where_machines_that_are_cut_off_may_lag_contact_does_not_matter() {
    let in_touch_alone = bounds(r#"{"revoke_everywhere":false,"revoke_ms":5000}"#);
    assert!(are_keys_current(&in_touch_alone, Some(0), 100_000));
    assert!(are_keys_current(&in_touch_alone, None, 100_000));
}
