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

/// What faults name as their file: a configuration comes in a request.
const FILE: &str = "configuration";
/// Most routes, and most services.
const MAX_ENTRIES: usize = 100_000;

const DEFAULT_MAX_HEADER_BYTES: usize = 16_384;
const DEFAULT_MAX_BODY_BYTES: usize = 262_144;
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3000;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// A complete and consistent configuration.
#[derive(Clone)]
pub struct Config {
    /// Version that the operators gave it; a higher one replaces it.
    pub revision: u64,
    /// All routes, as listed.
    pub routes: Vec<Route>,
    /// All services, as listed.
    pub services: Vec<Service>,
    /// The tenants, one of whose keys each request on a route that isn't public has to carry; `None`: no route asks for a key.
    pub tenants: Option<TenantTable>,
    /// What clients' connections and requests are held to.
    pub limits: HttpLimits,
    /// The bytes that it was read from, which are sent on unchanged.
    pub body: Arc<[u8]>,
    /// Keys that stand in it and that nothing here reads, such as `routes[].split`: what they ask for is not carried out.
    pub unread_keys: Vec<String>,
    table: RouteTable,
    /// Index of each service by its name.
    service_indices: HashMap<String, usize>,
}

/// Limits of clients' connections and requests.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpLimits {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// A head must arrive within this time from its first byte.
    pub header_timeout_ms: u64,
    /// A connection without a request is closed after this time.
    pub idle_timeout_ms: u64,
}

impl fmt::Debug for Config {
    /// Without the bytes that it was read from: these hold the tenants' keys.
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
    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// All that is wrong with it. Then nothing of it may come into force.
    pub fn parse(body: &[u8]) -> Result<Config, ConfigError> {
        let (faults, key_use) = (FaultCollector::new(FILE), KeyUse::default());
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
        let routes: Vec<Route> = root.sections("routes", MAX_ENTRIES).into_iter().map(route).collect();
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

    /// The index of a request's route: of the routes of its host, the one with the longest prefix with which the path begins.
    /// Hosts are compared without case and port, paths as they are written and without their query.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        self.table.find(&self.routes, host, path)
    }

    /// Keys that are read, and whose values ask for something that the program does not do.
    pub fn unserved_keys(&self) -> Vec<&'static str> {
        let asked_for = [
            ("routes[].route_type", self.routes.iter().any(|route| route.kind == RouteKind::Other)),
            ("backends[].protocol", self.services.iter().any(|service| service.protocol != DEFAULT_PROTOCOL)),
            ("backends[].tls", self.services.iter().any(|service| service.wants_tls)),
            ("backends[].pull", self.services.iter().any(|service| service.pulls_requests)),
        ];
        asked_for.into_iter().filter(|(_, is_asked_for)| *is_asked_for).map(|(key, _)| key).collect()
    }

    /// The index of the service of this name.
    pub fn service(&self, name: &str) -> Option<usize> {
        self.service_indices.get(name).copied()
    }
}

/// The services, and the index of each by its name; two of one name are a fault.
fn read_services(root: Section) -> (Vec<Service>, HashMap<String, usize>) {
    let mut indices = HashMap::new();
    let mut services = Vec::new();
    for (index, section) in root.sections("backends", MAX_ENTRIES).into_iter().enumerate() {
        let service = Service::from_section(section);
        let earlier = indices.insert(service.name.clone(), index);
        // An empty name is a fault already.
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
