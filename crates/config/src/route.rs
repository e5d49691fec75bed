//! A route of the operators' configuration: which requests go to which service, and how.

use crate::host_name::normalized_host;
use crate::reason::FaultReason;
use crate::section::Section;
use crate::values;
use std::collections::HashMap;
use strum::{Display, EnumString};

const DEFAULT_MAX_ATTEMPTS: u32 = 3;
const DEFAULT_MAX_WAIT_MS: u64 = 90_000;

/// A route, as described by an entry of `routes`.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, chosen by the operators.
    pub name: String,
    /// Host of the route's requests, as written; [`Config::route`](crate::Config::route) describes how it is compared.
    pub host: String,
    /// Prefix of the path of the route's requests.
    pub path_prefix: String,
    /// How the requests of the route are executed.
    pub kind: RouteKind,
    /// Time-out of one attempt at an executor.
    pub timeout_ms: u64,
    /// Latency target of the route.
    pub latency_target_ms: u64,
    /// Time after its due time within which a request is to be executed; the latency target if it is not set.
    pub completion_target_ms: u64,
    /// Maximum time that a request waits; after it the request is given up.
    pub max_wait_ms: u64,
    /// Priority of the route's requests; 0 is the highest.
    pub priority: i64,
    /// Index of the route's service in [`Config::services`](crate::Config::services).
    pub service: usize,
    /// Maximum number of attempts to execute a request, including the first.
    pub max_attempts: u32,
    /// Whether requests with the same order key are executed one after the other.
    pub is_ordered: bool,
    /// Whether the route is public, so that its requests need no tenant key.
    pub is_public: bool,
    /// Whether clients may name a callback URL to which the result is delivered.
    pub allows_callback: bool,
}

/// How the requests of a route are executed.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// Requests are accepted, stored and executed later.
    Deferred,
    /// Any route kind that this program does not implement.
    Other,
}

impl Route {
    /// Reads a route; `services` maps the name of each service to its index.
    pub(crate) fn from_section(section: Section, services: &HashMap<String, usize>) -> Route {
        let service_name = section.text("backend");
        let service = services.get(&service_name).copied();
        if service.is_none() && !service_name.is_empty() {
            section.fault("backend", FaultReason::UnknownService { name: values::quoted(&service_name) });
        }
        let latency_target_ms = section.duration_ms("target_ms", None);
        let route = Route {
            name: section.text("name"),
            host: section.text("hostname"),
            path_prefix: section.text("path_prefix"),
            kind: section.text("route_type").parse().unwrap_or(RouteKind::Other),
            timeout_ms: read_timeout_ms(section),
            latency_target_ms,
            completion_target_ms: section.duration_ms("run_target_ms", Some(latency_target_ms)),
            max_wait_ms: section.duration_ms("max_wait_s", Some(DEFAULT_MAX_WAIT_MS)),
            priority: section.value("priority", Some(0), "a whole number", values::signed),
            service: service.unwrap_or_default(),
            max_attempts: read_max_attempts(section),
            is_ordered: section.flag("in_order"),
            is_public: section.flag("public"),
            allows_callback: section.flag("callback_url"),
        };
        route.check(section);
        route
    }

    fn check(&self, section: Section) {
        if !self.path_prefix.is_empty() && !self.path_prefix.starts_with('/') {
            section.fault("path_prefix", FaultReason::NoLeadingSlash);
        }
        if !self.host.is_empty() && normalized_host(&self.host).is_empty() {
            section.fault("hostname", FaultReason::PortWithoutHost);
        }
    }
}

fn read_timeout_ms(section: Section) -> u64 {
    section.value("timeout_ms", None, "a span of time above 0", |value| {
        values::duration_ms(value, 1.0).filter(|timeout_ms| *timeout_ms > 0)
    })
}

fn read_max_attempts(section: Section) -> u32 {
    section.value("max_tries", Some(DEFAULT_MAX_ATTEMPTS), "a whole number above 0", |value| {
        u32::try_from(values::unsigned(value)?).ok().filter(|attempts| *attempts > 0)
    })
}
