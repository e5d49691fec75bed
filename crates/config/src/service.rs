//! A service of the operators' configuration, whose executors execute the requests of routes.

use crate::section::Section;
use crate::values;
use std::net::SocketAddrV4;

const DEFAULT_HEALTH_PATH: &str = "/health";
/// Default protocol for requests to executors.
pub(crate) const DEFAULT_PROTOCOL: &str = "h1";
const DEFAULT_MAX_CONNECTIONS: u32 = 64;

/// A service, as described by an entry of `backends`.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service, unique in the configuration; routes and executors refer to it.
    pub name: String,
    /// Path of the health check on the service's executors.
    pub health_path: String,
    /// Maximum number of connections to one executor, of all stores together.
    pub max_connections: u32,
    /// Rate limit of the whole service, in requests per second; 0 for no limit.
    pub rate_limit_per_s: f64,
    /// Whether the service recognises a request that it has already executed, so that requests are idempotent.
    pub deduplicates: bool,
    /// The key `protocol`: read and checked, but requests are always sent to executors by HTTP/1.1.
    pub protocol: String,
    /// The key `tls`: read and checked, but connections to executors are never encrypted.
    pub wants_tls: bool,
    /// The key `pull`: read and checked, but no process acts on it.
    pub pulls_requests: bool,
    /// The single address of the service; `None` if its executors register with heartbeats.
    pub endpoint: Option<SocketAddrV4>,
}

impl Service {
    pub(crate) fn from_section(section: Section) -> Service {
        let health_path = section.value(
            "health_path",
            Some(DEFAULT_HEALTH_PATH.into()),
            "a path that begins with /",
            |value| values::text(value).filter(|path| path.starts_with('/')),
        );
        Service {
            name: section.text("name"),
            health_path,
            max_connections: section.narrow_unsigned("max_conns", DEFAULT_MAX_CONNECTIONS),
            rate_limit_per_s: section.non_negative("rate_per_s", 0.0),
            deduplicates: section.flag("self_dedupe"),
            protocol: section.value(
                "protocol",
                Some(DEFAULT_PROTOCOL.into()),
                "text that is not empty",
                values::text,
            ),
            wants_tls: section.flag("tls"),
            pulls_requests: section.flag("pull"),
            endpoint: section.address("endpoint"),
        }
    }
}
