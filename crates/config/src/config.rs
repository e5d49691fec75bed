//! The operators' configuration.

use std::borrow::Cow;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use strum::{Display, EnumString};

use crate::error::Faults;
use crate::section::{self, Notes, Place};

/// Most routes, and most services.
const MOST: usize = 100_000;
const FILE: &str = "configuration";
const MAX_TRIES: u32 = 3;
const MAX_WAIT_MS: u64 = 90_000;
const MAX_CONNS: u32 = 64;
const HEALTH_PATH: &str = "/health";
const LIMITS: Limits = Limits {
    max_header_bytes: 16_384,
    max_body_bytes: 262_144,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
};

/// A whole configuration that holds together.
#[derive(Clone, Debug)]
pub struct Config {
    pub revision: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: Limits,
    /// The bytes as they were sent: who asks for the configuration gets these back.
    pub body: Arc<[u8]>,
    /// The routes of each host as it is compared.
    hosts: HashMap<String, Vec<Prefix>>,
    names: HashMap<String, usize>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub kind: RouteKind,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub run_target_ms: u64,
    pub max_wait_ms: u64,
    /// 0 is the highest.
    pub priority: i64,
    /// Index into the services.
    pub service: usize,
    pub max_tries: u32,
    pub in_order: bool,
    pub callback: bool,
}

/// What a route does with its requests.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// They are messages.
    Deferred,
    /// Anything that is not known here.
    Other,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    pub health_path: String,
    pub max_conns: u32,
    /// 0: no ceiling.
    pub rate_per_s: f64,
    pub self_dedupe: bool,
    pub pull: bool,
    /// Its one address; none where executors announce themselves.
    pub endpoint: Option<SocketAddrV4>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

/// A route among those of its host, which stand in the order of their prefixes.
#[derive(Clone, Debug)]
struct Prefix {
    route: usize,
    /// The longest other prefix with which this one begins.
    parent: Option<usize>,
}

impl Config {
    /// Reads a configuration, or tells all that is wrong with it; then nothing of it may come into force.
    pub fn read(body: &[u8]) -> Result<Config, Faults> {
        let notes = Notes::new(FILE);
        let object = match section::object(body) {
            Ok(object) => object,
            Err(reason) => return Err(notes.refuse(reason)),
        };
        let top = Place { notes: &notes, object: &object, key: "", index: None };
        let revision = top.whole("revision", None);
        let limits = Limits::from_place(top.inner("limits"));

        let mut names = HashMap::new();
        let mut services = Vec::new();
        for (at, place) in top.list("backends", MOST).into_iter().enumerate() {
            let service = Service::from_place(place);
            if let Some(first) = names.insert(service.name.clone(), at).filter(|_| !service.name.is_empty()) {
                place.fault(
                    "name",
                    format_args!("{} is the name of backends[{first}] too", section::quoted(&service.name)),
                );
            }
            services.push(service);
        }
        let routes = top.list("routes", MOST);
        let routes: Vec<Route> = routes.into_iter().map(|place| Route::from_place(place, &names)).collect();
        let hosts = by_host(&routes, &notes);
        notes.check(())?;
        Ok(Config { revision, routes, services, limits, body: body.into(), hosts, names })
    }

    /// The route of a request: of its host, in any case and with any port, the longest prefix with which the
    /// path begins, as it is written. A query is not part of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let path = path.split('?').next().unwrap_or_default();
        let prefixes = self.hosts.get(compared(host).as_ref())?;
        let text = |at: usize| self.routes[prefixes[at].route].prefix.as_str();
        // All that stands between the longest fitting prefix and the path begins with that prefix. So the
        // last one that is not after the path is the one, or one it begins with is.
        let mut at =
            prefixes.partition_point(|one| self.routes[one.route].prefix.as_str() <= path).checked_sub(1)?;
        while !path.starts_with(text(at)) {
            at = prefixes[at].parent?;
        }
        Some(prefixes[at].route)
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }
}

impl Route {
    fn from_place(place: Place, services: &HashMap<String, usize>) -> Route {
        let backend = place.text("backend");
        let service = services.get(&backend).copied();
        if service.is_none() && !backend.is_empty() {
            place.fault("backend", format_args!("no service has the name {}", section::quoted(&backend)));
        }
        let target_ms = place.span("target_ms", None);
        let route = Route {
            name: place.text("name"),
            host: place.text("hostname"),
            prefix: place.text("path_prefix"),
            kind: place.text("route_type").parse().unwrap_or(RouteKind::Other),
            timeout_ms: place.get("timeout_ms", None, "a span of time above 0", |value| {
                section::span(value, 1.0).filter(|ms| *ms > 0)
            }),
            target_ms,
            run_target_ms: place.span("run_target_ms", Some(target_ms)),
            max_wait_ms: place.span("max_wait_s", Some(MAX_WAIT_MS)),
            priority: place.get("priority", Some(0), "a whole number", section::signed),
            service: service.unwrap_or_default(),
            max_tries: place.get("max_tries", Some(MAX_TRIES), "a whole number above 0", |value| {
                u32::try_from(section::whole(value)?).ok().filter(|tries| *tries > 0)
            }),
            in_order: place.flag("in_order"),
            callback: place.flag("callback_url"),
        };
        if !route.prefix.is_empty() && !route.prefix.starts_with('/') {
            place.fault("path_prefix", "must begin with /");
        }
        if !route.host.is_empty() && compared(&route.host).is_empty() {
            place.fault("hostname", "names a port alone");
        }
        route
    }
}

impl Service {
    fn from_place(place: Place) -> Service {
        Service {
            name: place.text("name"),
            health_path: place.get(
                "health_path",
                Some(HEALTH_PATH.into()),
                "a path that begins with /",
                |value| section::text(value).filter(|path| path.starts_with('/')),
            ),
            max_conns: place.small("max_conns", MAX_CONNS),
            rate_per_s: place.number("rate_per_s", 0.0),
            self_dedupe: place.flag("self_dedupe"),
            pull: place.flag("pull"),
            endpoint: place.address("endpoint"),
        }
    }
}

impl Limits {
    fn from_place(place: Place) -> Limits {
        Limits {
            max_header_bytes: place.small("max_header_bytes", LIMITS.max_header_bytes),
            max_body_bytes: place.small("max_body_bytes", LIMITS.max_body_bytes),
            header_timeout_ms: place.span("header_timeout_ms", Some(LIMITS.header_timeout_ms)),
            idle_timeout_ms: place.span("idle_timeout_ms", Some(LIMITS.idle_timeout_ms)),
        }
    }
}

/// A host as it is compared: without a port, in lower case. Copied only where it has capitals.
fn compared(host: &str) -> Cow<'_, str> {
    let host = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    match host.bytes().any(|b| b.is_ascii_uppercase()) {
        true => host.to_ascii_lowercase().into(),
        false => host.into(),
    }
}

/// The routes of each host in the order of their prefixes; two that are alike are a fault.
fn by_host(routes: &[Route], notes: &Notes) -> HashMap<String, Vec<Prefix>> {
    let mut hosts: HashMap<String, Vec<Prefix>> = HashMap::new();
    let told =
        routes.iter().enumerate().filter(|(_, route)| !route.host.is_empty() && !route.prefix.is_empty());
    for (route, told) in told {
        hosts.entry(compared(&told.host).into_owned()).or_default().push(Prefix { route, parent: None });
    }
    for prefixes in hosts.values_mut() {
        prefixes.sort_by_key(|one| (&routes[one.route].prefix, one.route));
        for at in 1..prefixes.len() {
            let prefix = &routes[prefixes[at].route].prefix;
            let before = prefixes[at - 1].route;
            if *prefix == routes[before].prefix {
                let reason = format!("host and prefix are those of routes[{before}] too");
                notes.add(format_args!("routes[{}].path_prefix", prefixes[at].route), reason);
            }
            let mut parent = Some(at - 1);
            while let Some(one) =
                parent.filter(|one| !prefix.starts_with(&routes[prefixes[*one].route].prefix))
            {
                parent = prefixes[one].parent;
            }
            prefixes[at].parent = parent;
        }
    }
    hosts
}
