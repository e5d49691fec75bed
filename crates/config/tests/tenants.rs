//! Tenants of a configuration: look-up by key, rejected values, and that no key is ever printed.

use stileroute_config::Config;

fn parse(customers: &str) -> Result<Config, String> {
    let text = format!(r#"{{"revision":1,"routes":[],"backends":[],"customers":{customers}}}"#);
    Config::parse(text.as_bytes()).map_err(|error| error.to_string())
}

fn owner(config: &Config, key: &str) -> Option<String> {
    config.tenants.as_ref()?.tenant_of(key).map(|tenant| tenant.name.to_string())
}

const TWO_TENANTS: &str = r#"[{"name":"ferry","api_keys":["secret-a","secret-b"],"priority":1,"rate_per_s":207,"burst":20.5},
    {"name":"lugger","api_keys":["secret-c","secret-c"]}]"#;

#[test]
fn a_key_identifies_its_tenant() {
    let config = parse(TWO_TENANTS).unwrap();
    assert_eq!(owner(&config, "secret-a").as_deref(), Some("ferry"));
    assert_eq!(owner(&config, "secret-b").as_deref(), Some("ferry"));
    assert_eq!(owner(&config, "secret-c").as_deref(), Some("lugger"));
    for other in ["", "secret", "secret-aa", "Secret-a", "ferry"] {
        assert_eq!(owner(&config, other), None, "{other:?}");
    }
    let table = config.tenants.as_ref().unwrap();
    assert_eq!((table.tenants.len(), table.key_count()), (2, 3));
    let ferry = &table.tenants[0];
    assert_eq!((ferry.priority, ferry.rate_limit_per_s, ferry.burst), (1, 207.0, 20.5));
    assert!(config.unread_keys.is_empty(), "{:?}", config.unread_keys);
    assert!(config.unserved_keys().is_empty());
}

#[test]
fn without_customers_nobody_needs_a_key() {
    let config = Config::parse(br#"{"revision":1,"routes":[],"backends":[]}"#).unwrap();
    assert!(config.tenants.is_none());
    assert!(parse("[]").unwrap().tenants.is_some(), "an empty list has no key that is in force");
    let keyless = parse(r#"[{"name":"ferry","api_keys":[]},{"name":"lugger"}]"#).unwrap();
    assert_eq!(keyless.tenants.unwrap().key_count(), 0, "the last key of a tenant may be taken away");
}

#[test]
fn ambiguous_or_invalid_tenants_and_keys_are_rejected_by_name() {
    let rows = [
        (
            r#"[{"name":"a","api_keys":["secret-1"]},{"name":"b","api_keys":["secret-2","secret-1"]}]"#,
            "configuration: customers[1].api_keys: holds a key that customers[0] has too",
        ),
        (
            r#"[{"name":"a","api_keys":["secret-1"]},{"name":"a","api_keys":["secret-2"]}]"#,
            "configuration: customers[1].name: \"a\" is the name of customers[0] too",
        ),
        (
            r#"[{"name":"","api_keys":["secret-1"]}]"#,
            "configuration: customers[0].name: must be text that can stand in a header, is \"\"",
        ),
        (r#"[{"api_keys":["secret-1"]}]"#, "configuration: customers[0].name: missing"),
        (
            r#"[{"name":"a\r\nX-Tenant: b","api_keys":["secret-1"]}]"#,
            "configuration: customers[0].name: must be text that can stand in a header",
        ),
        (
            r#"[{"name":"a","api_keys":"secret-1"}]"#,
            "configuration: customers[0].api_keys: must be a list of text that is not empty",
        ),
        (
            r#"[{"name":"a","api_keys":["secret-1",""]}]"#,
            "configuration: customers[0].api_keys: must be a list of text that is not empty",
        ),
        (
            r#"[{"name":"a","api_keys":["secret-1",7]}]"#,
            "configuration: customers[0].api_keys: must be a list of text that is not empty",
        ),
        (r#"{"name":"a"}"#, "configuration: customers: must be a list"),
    ];
    for (customers, expected) in rows {
        let error = parse(customers).unwrap_err();
        assert!(error.starts_with(expected), "{customers}: {error}");
        assert!(!error.contains("secret"), "{error}");
    }
}

#[test]
fn nothing_that_prints_a_configuration_prints_a_key() {
    let printed = format!("{:?}", parse(TWO_TENANTS).unwrap());
    assert!(printed.contains("ferry"), "{printed}");
    // The key must not be printed as text, nor as a list of byte values.
    assert!(!printed.contains("secret") && !printed.contains("115, 101, 99, 114, 101, 116"), "{printed}");
}
