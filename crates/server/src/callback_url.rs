//! Parses call-back URLs, which edges validate and stores call.

use std::net::SocketAddrV4;

/// Splits a URL such as `http://10.0.0.4:8080/path` into address and path. Returns `None` for any other form: host
/// names are not resolved.
pub fn parse_callback_url(url: &str) -> Option<(SocketAddrV4, &str)> {
    let rest = url.strip_prefix("http://")?;
    if rest.bytes().any(|byte| byte.is_ascii_control() || byte == b' ') {
        return None;
    }
    match rest.find('/') {
        Some(path_start) => Some((rest[..path_start].parse().ok()?, &rest[path_start..])),
        None => Some((rest.parse().ok()?, "/")),
    }
}
