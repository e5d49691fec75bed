//! A service of the operators' configuration: what a route's requests are executed by.

use crate::section::Section;
use crate::values;
use std::net::SocketAddrV4;

const DEFAULT_HEALTH_PATH: &str = "/health";
/// The protocol that executors are spoken to in.
pub(crate) const DEFAULT_PROTOCOL: &str = "h1";
const DEFAULT_MAX_CONNECTIONS: u32 = 64;

/// A service, as an entry of `backends` describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique among the services; routes and executors refer to it.
    pub name: String,
    /// Path of the health check at its executors.
    pub health_path: String,
    /// Most connections to one executor, of all stores together.
    pub max_connections: u32,
    /// Rate limit of the whole service in requests per second; 0 for none.
    pub rate_limit_per_s: f64,
    /// The service recognises a request that it has executed already.
    pub deduplicates: bool,
    /// The key `protocol`: read and checked, but executors are always spoken to in HTTP/1.1.
    pub protocol: String,
    /// The key `tls`: read and checked, but executors are always spoken to in clear.
    pub wants_tls: bool,
    /// The key `pull`: read and checked, but nothing acts on it.
    pub pulls_requests: bool,
    /// The service's one address; `None` where executors register with heartbeats.
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
