//! The operators' configuration, which all processes share: routes, services and limits.

use crate::document::parse_object;
use crate::error::ConfigError;
use crate::fault_collector::FaultCollector;
use crate::key_use::KeyUse;
use crate::reason::FaultReason;
use crate::route::{Route, RouteKind};
use crate::route_table::RouteTable;
use crate::section::Section;
use crate::service::{Service, DEFAULT_PROTOCOL};
use crate::tenant::TenantTable;
use crate::values;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// File name in the faults of a configuration, which arrives in a request and not from a file.
const CONFIGURATION_FILE_NAME: &str = "configuration";
/// Maximum number of routes in a configuration, and of services.
const MAX_ROUTES_AND_SERVICES: usize = 100_000;

const DEFAULT_MAX_HEADER_BYTES: usize = 16_384;
const DEFAULT_MAX_BODY_BYTES: usize = 262_144;
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3000;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// A complete and consistent configuration.
#[derive(Clone)]
pub struct Config {
    /// Version number assigned by the operators; a configuration with a higher version replaces this one.
    pub revision: u64,
    /// All routes, in the order of the configuration.
    pub routes: Vec<Route>,
    /// All services, in the order of the configuration.
    pub services: Vec<Service>,
    /// Tenants of the configuration. A request on a route that is not public must carry a key of one of them; `None` if no route
    /// requires a key.
    pub tenants: Option<TenantTable>,
    /// Limits of client connections and requests.
    pub limits: HttpLimits,
    /// Bytes from which the configuration was parsed; they are forwarded unchanged.
    pub body: Arc<[u8]>,
    /// Keys present in the configuration that this program does not read, such as `routes[].split`: what they ask for is not
    /// carried out.
    pub unread_keys: Vec<String>,
    table: RouteTable,
    /// Index of each service in the list of services, by service name.
    service_indices: HashMap<String, usize>,
}

/// Limits of clients' connections and requests.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpLimits {
    /// Maximum length of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a complete request head, counted from its first byte.
    pub header_timeout_ms: u64,
    /// Idle time-out: a connection without a request is closed after this time.
    pub idle_timeout_ms: u64,
}

impl fmt::Debug for Config {
    /// Omits the source bytes of the configuration from debug output, because they contain the tenants' keys.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Config")
            .field("revision", &self.revision)
            .field("routes", &self.routes)
            .field("services", &self.services)
            .field("tenants", &self.tenants.as_ref().map(|table| &table.tenants))
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

impl Config {
    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// All faults of the configuration. If there is one, no part of the configuration may be applied.
    pub fn parse(body: &[u8]) -> Result<Config, ConfigError> {
        let (faults, key_use) = (FaultCollector::new(CONFIGURATION_FILE_NAME), KeyUse::default());
        let object = match parse_object(body) {
            Ok(object) => object,
            Err(reason) => return Err(faults.refuse(reason)),
        };
        let root = Section::root(&object, &faults, &key_use);
        let revision = root.unsigned("revision", None);
        let limits = HttpLimits::from_section(root.section("limits"));
        let (services, service_indices) = read_services(root);
        let tenants = TenantTable::from_root(root);
        let route = |section| Route::from_section(section, &service_indices);
        let routes: Vec<Route> =
            root.sections("routes", MAX_ROUTES_AND_SERVICES).into_iter().map(route).collect();
        let table = RouteTable::new(&routes, &faults);
        faults.finish(())?;
        let unread_keys = key_use.unread(&object);
        Ok(Config {
            revision,
            routes,
            services,
            tenants,
            limits,
            body: body.into(),
            unread_keys,
            table,
            service_indices,
        })
    }

    /// Returns the index of the route of a request: among the routes of the request's host, the one with the longest path prefix
    /// that the request path begins with. Hosts are compared without case and port, paths as they are written and without their
    /// query.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        self.table.find(&self.routes, host, path)
    }

    /// Returns the keys of the configuration that are read, but whose values ask for something that the program does not
    /// implement.
    pub fn unserved_keys(&self) -> Vec<&'static str> {
        let asked_for = [
            ("routes[].route_type", self.routes.iter().any(|route| route.kind == RouteKind::Other)),
            ("backends[].protocol", self.services.iter().any(|service| service.protocol != DEFAULT_PROTOCOL)),
            ("backends[].tls", self.services.iter().any(|service| service.wants_tls)),
            ("backends[].pull", self.services.iter().any(|service| service.pulls_requests)),
        ];
        asked_for.into_iter().filter(|(_, is_asked_for)| *is_asked_for).map(|(key, _)| key).collect()
    }

    /// Returns the index of the service with this name.
    pub fn service(&self, name: &str) -> Option<usize> {
        self.service_indices.get(name).copied()
    }
}

/// Reads the services and the index of each by its name; two services with the same name are a fault.
fn read_services(root: Section) -> (Vec<Service>, HashMap<String, usize>) {
    let mut indices = HashMap::new();
    let mut services = Vec::new();
    for (index, section) in root.sections("backends", MAX_ROUTES_AND_SERVICES).into_iter().enumerate() {
        let service = Service::from_section(section);
        let earlier = indices.insert(service.name.clone(), index);
        // An empty service name was already reported as a fault.
        if let Some(first) = earlier.filter(|_| !service.name.is_empty()) {
            let name = values::quoted(&service.name);
            section.fault("name", FaultReason::DuplicateService { name, first });
        }
        services.push(service);
    }
    (services, indices)
}

impl HttpLimits {
    fn from_section(section: Section) -> HttpLimits {
        HttpLimits {
            max_header_bytes: section.narrow_unsigned("max_header_bytes", DEFAULT_MAX_HEADER_BYTES),
            max_body_bytes: section.narrow_unsigned("max_body_bytes", DEFAULT_MAX_BODY_BYTES),
            header_timeout_ms: section.duration_ms("header_timeout_ms", Some(DEFAULT_HEADER_TIMEOUT_MS)),
            idle_timeout_ms: section.duration_ms("idle_timeout_ms", Some(DEFAULT_IDLE_TIMEOUT_MS)),
        }
    }
}
