//! Host names of routes and requests in the form in which they are compared.

use std::borrow::Cow;

/// A host as it is compared: without a port, in lower case (RFC 9110, section 4.2.3). Copied only where it has capitals.
pub fn normalized_host(host: &str) -> Cow<'_, str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        name.to_ascii_lowercase().into()
    } else {
        name.into()
    }
}
