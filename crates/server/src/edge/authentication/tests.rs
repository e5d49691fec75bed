use super::*;
use stileroute_config::Config;

const CONFIGURATION: &str = r#"{"revision":1,"routes":[],"backends":[],
 "customers":[{"name":"ferry","api_keys":["one","two"]},{"name":"lugger","api_keys":["three"]},{"name":"barge","api_keys":[]}]}"#;

fn tenant(authorization: Option<&str>) -> Result<String, AuthenticationError> {
    let config = Config::parse(CONFIGURATION.as_bytes()).unwrap();
    let tenants = config.tenants.as_ref().unwrap();
    authenticate(tenants, authorization).map(|tenant| tenant.name.to_string())
}

#[test]
fn each_key_authenticates_its_tenant() {
    assert_eq!(tenant(Some("Bearer one")).as_deref(), Ok("ferry"));
    assert_eq!(tenant(Some("bearer  two ")).as_deref(), Ok("ferry"));
    assert_eq!(tenant(Some("BEARER three")).as_deref(), Ok("lugger"));
}

#[test]
fn unknown_keys_and_malformed_headers_authenticate_no_tenant() {
    for unknown in ["Bearer four", "Bearer on", "Bearer onee", "Bearer ONE", "Bearer one two", "Bearer ferry"]
    {
        assert_eq!(tenant(Some(unknown)), Err(AuthenticationError::UnknownKey), "{unknown}");
    }
    for missing in
        [None, Some(""), Some("Bearer"), Some("Bearer "), Some("one"), Some("Basic one"), Some("Bearerone")]
    {
        assert_eq!(tenant(missing), Err(AuthenticationError::MissingKey), "{missing:?}");
    }
}
