//! The settings file of a process: its name, addresses, failure domain and resource limits.

use crate::document::{parse_object, MAX_TEXT_BYTES};
use crate::error::ConfigError;
use crate::fault_collector::FaultCollector;
use crate::fault_tolerance::FaultTolerance;
use crate::key_use::KeyUse;
use crate::reason::FaultReason;
use crate::section::Section;
use crate::time_bounds::TimeBounds;
use crate::values;
use jzon::JsonValue;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

const DEFAULT_HEARTBEAT_INTERVAL_MS: u64 = 1200;

/// Settings of one process. A missing setting gets the safe or the usual value.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Node name, unique in the system; the node identifier is derived from it.
    pub node_name: String,
    /// The key `role`: the deployment's name for the purpose of the machine. The command line, not this key, decides what the
    /// process does.
    pub role: String,
    /// Machine class.
    pub machine_class: String,
    /// The parts of the system that run on the machine: `edge`, `storage` or `control`.
    pub serves: Vec<String>,
    /// IP address of this machine.
    pub ip: Ipv4Addr,
    /// Zone (failure domain) of this machine.
    pub zone: String,
    /// Region of the machine's zone.
    pub region: String,
    /// Region of each zone of the system, including the machine's own zone.
    pub zone_regions: BTreeMap<String, String>,
    /// Addresses on which an edge accepts client requests.
    pub front_address: Option<SocketAddrV4>,
    /// Address on which an edge reports whether it is ready.
    pub readiness_address: Option<SocketAddrV4>,
    /// Address on which a control node accepts calls of executors and operators.
    pub control_address: Option<SocketAddrV4>,
    /// Address on which metrics can be read; without it, nothing listens for them.
    pub metrics_address: Option<SocketAddrV4>,
    /// Range of ports for the traffic between nodes.
    pub internal_ports: PortRange,
    /// Control nodes to contact first. After the first start of the system any of them may be down or removed for good.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the system starts for the first time ever; only then is an empty disk not a loss of data.
    pub is_first_start: bool,
    /// The key `counted`: read and checked, but no process acts on it.
    pub is_counted: bool,
    /// Machine resources that the process may use.
    pub resources: ResourceLimits,
    /// Directory for the files of the process; `None` for a process that stores nothing.
    pub data_dir: Option<PathBuf>,
    /// Interval at which executors send heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Losses of machines and failure domains that must be tolerated.
    pub fault_tolerance: FaultTolerance,
    /// Time bounds of the deployment's guarantees.
    pub bounds: TimeBounds,
    /// Keys present in the settings file that this program does not read.
    pub unread_keys: Vec<String>,
}

/// The range of ports from `first` to `last`, both included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PortRange {
    /// Lowest port of the range.
    pub first: u16,
    /// Highest port of the range.
    pub last: u16,
}

/// Machine resources that a process may use, from the key `limits`.
#[derive(Clone, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Processor limit, in processors; may be a fraction of one.
    pub cpu_share: f64,
    /// Memory limit, in MB.
    pub memory_mb: u64,
    /// Maximum number of file descriptors.
    pub max_open_files: u64,
    /// Network bandwidth limit, in Mbit/s.
    pub bandwidth_mbps: f64,
    /// Disk space limit, in MB; 0 if it is unknown.
    pub disk_mb: u64,
}

/// Distance of another node by failure domain; a nearer node compares as less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneDistance {
    /// The other node is in this node's own zone.
    SameZone,
    /// The other node is in another zone of this node's region.
    SameRegion,
    /// The other node is in another region, or in a zone that the settings do not name.
    OtherRegion,
}

impl NodeSettings {
    /// Reads a settings file. The file may be replaced while it is read: a truncated text is rejected, and the file may be read
    /// again.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or its text has faults; all of them are returned.
    pub fn read(path: &Path) -> Result<NodeSettings, ConfigError> {
        let name = path.display().to_string();
        let mut bytes = Vec::new();
        let limit = MAX_TEXT_BYTES as u64 + 1;
        match File::open(path).and_then(|file| file.take(limit).read_to_end(&mut bytes)) {
            Ok(_) => NodeSettings::from_bytes(&name, &bytes),
            Err(error) => {
                let reason = FaultReason::Unreadable(error.to_string());
                Err(FaultCollector::new(&name).refuse(reason))
            }
        }
    }

    /// Parses the text of a settings file; `file` is the file name in the faults.
    ///
    /// # Errors
    ///
    /// All faults of the text.
    pub fn parse(file: &str, text: &str) -> Result<NodeSettings, ConfigError> {
        NodeSettings::from_bytes(file, text.as_bytes())
    }

    fn from_bytes(file: &str, bytes: &[u8]) -> Result<NodeSettings, ConfigError> {
        let (faults, key_use) = (FaultCollector::new(file), KeyUse::default());
        let object = match parse_object(bytes) {
            Ok(object) => object,
            Err(reason) => return Err(faults.refuse(reason)),
        };
        let mut settings = NodeSettings::from_section(Section::root(&object, &faults, &key_use));
        settings.unread_keys = key_use.unread(&object);
        let own_region = || settings.region.clone();
        settings.zone_regions.entry(settings.zone.clone()).or_insert_with(own_region);
        faults.finish(settings)
    }

    fn from_section(root: Section) -> NodeSettings {
        let bind = root.section("bind_addresses");
        NodeSettings {
            node_name: root.text("node_name"),
            role: root.text("role"),
            machine_class: root.text("machine_class"),
            serves: read_list(root, "serves", "a list of text", values::text),
            ip: read_ip(root),
            zone: root.text("zone"),
            region: root.text("region"),
            zone_regions: root.value("zones", Some(BTreeMap::new()), "an object of text", zone_regions),
            front_address: bind.address("front"),
            readiness_address: bind.address("readiness"),
            control_address: bind.address("control"),
            metrics_address: bind.address("figures"),
            internal_ports: root.value("internal_ports", None, "two ports, the lower first", port_range),
            seeds: read_list(root, "seed_nodes", "a list of ip:port", values::address),
            is_first_start: root.flag("first_start"),
            is_counted: root.flag("counted"),
            resources: ResourceLimits::from_section(root.section("limits")),
            data_dir: root.value("data_dir", Some(None), "a path or null", path_or_null),
            heartbeat_interval_ms: root.duration_ms("beat_interval_ms", Some(DEFAULT_HEARTBEAT_INTERVAL_MS)),
            fault_tolerance: FaultTolerance::from_section(root.section("tolerate")),
            bounds: TimeBounds::from_section(root.section("bounds")),
            unread_keys: Vec::new(),
        }
    }

    /// Returns the region of each zone as a number, in the order of the zones: zones with equal numbers are in the same region.
    pub fn region_numbers(&self) -> Vec<usize> {
        let names: BTreeSet<&String> = self.zone_regions.values().collect();
        let number = |name: &String| names.iter().position(|other| *other == name).unwrap_or(0);
        self.zone_regions.values().map(number).collect()
    }

    /// Returns the distance from this node to a zone.
    pub fn distance_to(&self, zone: &str) -> ZoneDistance {
        if zone == self.zone {
            return ZoneDistance::SameZone;
        }
        match self.zone_regions.get(zone) {
            Some(region) if *region == self.region => ZoneDistance::SameRegion,
            _ => ZoneDistance::OtherRegion,
        }
    }

    /// Whether the stores are enough to tolerate the losses named in the settings; `zones` has one entry, the zone, for each
    /// store.
    pub fn are_stores_sufficient<'a>(&self, zones: impl Iterator<Item = &'a str>) -> bool {
        let stores: Vec<&str> = zones.collect();
        let zones: BTreeSet<&str> = stores.iter().copied().collect();
        let regions: BTreeSet<Option<&String>> =
            zones.iter().map(|zone| self.zone_regions.get(*zone)).collect();
        stores.len() > self.fault_tolerance.additional_replicas()
            && zones.len() > self.fault_tolerance.zones
            && regions.len() > self.fault_tolerance.regions
    }

    /// Returns the key that already uses this address of the machine for another purpose than metrics, if there is one.
    pub fn key_of_address(&self, address: SocketAddrV4) -> Option<&'static str> {
        let named = [
            ("bind_addresses.front", self.front_address),
            ("bind_addresses.readiness", self.readiness_address),
            ("bind_addresses.control", self.control_address),
        ];
        let PortRange { first, last } = self.internal_ports;
        let is_internal = *address.ip() == self.ip && (first..=last).contains(&address.port());
        let used = named.into_iter().find(|(_, other)| *other == Some(address)).map(|(key, _)| key);
        used.or(is_internal.then_some("internal_ports"))
    }

    /// Returns how many stores may be lost before messages are rejected because too few stores are left for their replicas: 0 if
    /// the loss of any single store may be enough for that. `zones` has one entry, the zone, for each store.
    pub fn spare_stores<'a>(&self, zones: impl Iterator<Item = &'a str>) -> usize {
        let zones: Vec<&str> = zones.collect();
        let needed = self.fault_tolerance.additional_replicas() + 1;
        let is_dispensable = |lost: usize| self.are_stores_sufficient(without_one(&zones, lost));
        if (0..zones.len()).all(is_dispensable) {
            zones.len().saturating_sub(needed)
        } else {
            0
        }
    }
}

/// Returns the zones of all stores but one.
fn without_one<'a>(zones: &'a [&'a str], lost: usize) -> impl Iterator<Item = &'a str> {
    zones.iter().enumerate().filter(move |(index, _)| *index != lost).map(|(_, zone)| *zone)
}

impl ResourceLimits {
    fn from_section(section: Section) -> ResourceLimits {
        ResourceLimits {
            cpu_share: section.non_negative("cpu_share", 0.25),
            memory_mb: section.unsigned("memory_mb", Some(256)),
            max_open_files: section.unsigned("max_open_files", Some(4096)),
            bandwidth_mbps: section.non_negative("bandwidth_mbps", 1000.0),
            disk_mb: section.unsigned("disk_mb", Some(0)),
        }
    }
}

fn read_list<T>(
    section: Section,
    key: &str,
    expected: &'static str,
    read: impl Fn(&JsonValue) -> Option<T>,
) -> Vec<T> {
    section.value(key, Some(Vec::new()), expected, |value| values::list(value, &read))
}

fn read_ip(root: Section) -> Ipv4Addr {
    let read = |value: &JsonValue| value.as_str()?.parse().ok().map(Some);
    root.value("ip", None, "an IPv4 address", read).unwrap_or(Ipv4Addr::UNSPECIFIED)
}

fn path_or_null(value: &JsonValue) -> Option<Option<PathBuf>> {
    match value {
        JsonValue::Null => Some(None),
        other => values::text(other).map(|path| Some(PathBuf::from(path))),
    }
}

fn zone_regions(value: &JsonValue) -> Option<BTreeMap<String, String>> {
    let entries = value.as_object()?.iter();
    entries.map(|(zone, region)| Some((zone.to_string(), values::text(region)?))).collect()
}

fn port_range(value: &JsonValue) -> Option<PortRange> {
    let ports = values::list(value, |port| u16::try_from(values::unsigned(port)?).ok())?;
    match ports[..] {
        [first, last] if 0 < first && first <= last => Some(PortRange { first, last }),
        _ => None,
    }
}
