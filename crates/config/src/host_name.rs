//! Normalization of the host names of routes and requests for comparison.

use std::borrow::Cow;

/// Normalizes a host for comparison: without the port and in lower case (RFC 9110, section 4.2.3). The host is copied only if it
/// has capital letters.
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
