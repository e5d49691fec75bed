//! The settings file: what a process is told about itself.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

use jzon::JsonValue;

use crate::error::Faults;
use crate::section::{self, Notes, Place};

/// What a process is told. Fields that are missing take the safe side or the usual figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Boot {
    pub node_name: String,
    pub role: String,
    /// The class of the machine.
    pub class: String,
    pub serves: Vec<String>,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub region: String,
    /// The region of each zone, its own among them.
    pub zones: BTreeMap<String, String>,
    pub front: Option<SocketAddrV4>,
    pub readiness: Option<SocketAddrV4>,
    pub control: Option<SocketAddrV4>,
    /// Where the counters can be read; nothing is opened where none is named.
    pub figures: Option<SocketAddrV4>,
    /// First and last port for traffic between nodes.
    pub internal_ports: (u16, u16),
    /// May be down, or gone, after the first start.
    pub seeds: Vec<SocketAddrV4>,
    /// Only at the first start of all is an empty disk no loss. Where nothing is told it is none.
    pub first_start: bool,
    pub counted: bool,
    pub means: Means,
    pub data_dir: Option<PathBuf>,
    pub beat_interval_ms: u64,
    pub losses: Losses,
    pub bounds: Bounds,
}

/// What the machine gives.
#[derive(Clone, Debug, PartialEq)]
pub struct Means {
    pub cpu_share: f64,
    pub memory_mb: u64,
    pub max_open_files: u64,
    pub bandwidth_mbps: f64,
    pub disk_mb: u64,
}

/// What may be lost at once with all promises kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Losses {
    pub machines: usize,
    pub zones: usize,
    pub regions: usize,
}

/// The figures of the rules; spans of time in ms, whatever unit they were told in.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub seed_lag_ms: u64,
    pub reuse_after_ms: u64,
    pub contact_ms: u64,
    pub ack_ms: u64,
    pub catch_up_ms: u64,
    pub drain_ms: u64,
    pub grace_ms: u64,
    pub loss_slack_ms: u64,
    pub config_apply_ms: u64,
    pub rollback_slack_ms: u64,
    pub max_stretch_ms: u64,
    pub recovery_ms: u64,
    pub done_within_ms: u64,
    pub status_ms: u64,
    pub callback_timeout_ms: u64,
    pub visible_ms: u64,
    pub early_slack_ms: u64,
    pub ceiling_window_ms: u64,
    pub origin_overrun: f64,
}

impl Boot {
    /// Reads a settings file. It may be changed while it is read; what is cut short is refused, and may be
    /// read again.
    pub fn read(path: &Path) -> Result<Boot, Faults> {
        let name = path.display().to_string();
        let mut bytes = Vec::new();
        let most = section::LONGEST as u64 + 1;
        match File::open(path).and_then(|file| file.take(most).read_to_end(&mut bytes)) {
            Ok(_) => Boot::from_bytes(&name, &bytes),
            Err(e) => Err(Notes::new(&name).refuse(format_args!("cannot be read: {e}"))),
        }
    }

    /// Reads the text of a settings file; `file` is what faults name.
    pub fn parse(file: &str, text: &str) -> Result<Boot, Faults> {
        Boot::from_bytes(file, text.as_bytes())
    }

    fn from_bytes(file: &str, bytes: &[u8]) -> Result<Boot, Faults> {
        let notes = Notes::new(file);
        let object = match section::object(bytes) {
            Ok(object) => object,
            Err(reason) => return Err(notes.refuse(reason)),
        };
        let top = Place { notes: &notes, object: &object, key: "", index: None };
        let ip = |value: &JsonValue| value.as_str()?.parse().ok().map(Some);
        let bind = top.inner("bind_addresses");
        let data_dir = |value: &JsonValue| {
            if value.is_null() {
                Some(None)
            } else {
                section::text(value).map(|dir| Some(PathBuf::from(dir)))
            }
        };
        let mut boot = Boot {
            node_name: top.text("node_name"),
            role: top.text("role"),
            class: top.text("machine_class"),
            serves: top.get("serves", Some(Vec::new()), "a list of text", |v| each(v, section::text)),
            ip: top.get("ip", None, "an IPv4 address", ip).unwrap_or(Ipv4Addr::UNSPECIFIED),
            zone: top.text("zone"),
            region: top.text("region"),
            zones: top.get("zones", Some(BTreeMap::new()), "an object of text", zones),
            front: bind.address("front"),
            readiness: bind.address("readiness"),
            control: bind.address("control"),
            figures: bind.address("figures"),
            internal_ports: top.get("internal_ports", None, "two ports, the lower first", ports),
            seeds: top
                .get("seed_nodes", Some(Vec::new()), "a list of ip:port", |v| each(v, section::address)),
            first_start: top.flag("first_start"),
            counted: top.flag("counted"),
            means: Means::from_place(top.inner("limits")),
            data_dir: top.get("data_dir", Some(None), "a path or null", data_dir),
            beat_interval_ms: top.span("beat_interval_ms", Some(1200)),
            losses: Losses::from_place(top.inner("tolerate")),
            bounds: Bounds::from_place(top.inner("bounds")),
        };
        boot.zones.entry(boot.zone.clone()).or_insert_with(|| boot.region.clone());
        notes.check(boot)
    }
}

impl Means {
    fn from_place(place: Place) -> Means {
        Means {
            cpu_share: place.number("cpu_share", 0.25),
            memory_mb: place.whole("memory_mb", Some(256)),
            max_open_files: place.whole("max_open_files", Some(4096)),
            bandwidth_mbps: place.number("bandwidth_mbps", 1000.0),
            disk_mb: place.whole("disk_mb", Some(0)),
        }
    }
}

impl Boot {
    /// The region of each zone, by number, in the order of `zones`.
    pub fn regions(&self) -> Vec<usize> {
        let names: std::collections::BTreeSet<&String> = self.zones.values().collect();
        self.zones.values().map(|name| names.iter().position(|n| *n == name).unwrap_or(0)).collect()
    }

    /// 0: the own zone, 1: the own region, 2: further away.
    pub fn far(&self, zone: &str) -> u8 {
        match self.zones.get(zone) {
            _ if zone == self.zone => 0,
            Some(region) if *region == self.region => 1,
            _ => 2,
        }
    }

    /// Stores in these zones are enough to bear the losses that are named.
    pub fn suffice<'a>(&self, zones: impl Iterator<Item = &'a str>) -> bool {
        let all: Vec<&str> = zones.collect();
        let apart: std::collections::BTreeSet<&str> = all.iter().copied().collect();
        let regions: std::collections::BTreeSet<_> = apart.iter().map(|zone| self.zones.get(*zone)).collect();
        all.len() > self.losses.copies()
            && apart.len() > self.losses.zones
            && regions.len() > self.losses.regions
    }
}

impl Losses {
    /// So many copies beside the first bear each of these losses: a place more than may be lost, and a machine more.
    pub fn copies(&self) -> usize {
        self.machines.max(self.zones).max(self.regions)
    }
    /// Whole places may be lost, with all machines there.
    pub fn places(&self) -> bool {
        self.zones > 0 || self.regions > 0
    }

    fn from_place(place: Place) -> Losses {
        Losses {
            machines: place.small("machine_losses", 1),
            zones: place.small("zones", 0),
            regions: place.small("region_losses", 0),
        }
    }
}

impl Bounds {
    fn from_place(place: Place) -> Bounds {
        let span = |key, usual| place.span(key, Some(usual));
        Bounds {
            seed_lag_ms: span("seed_lag_s", 3000),
            reuse_after_ms: span("reuse_after_s", 2000),
            contact_ms: span("contact_ms", 4000),
            ack_ms: span("ack_ms", 5000),
            catch_up_ms: span("catch_up_s", 4200),
            drain_ms: span("drain_ms", 3000),
            grace_ms: span("grace_s", 6000),
            loss_slack_ms: span("loss_slack_ms", 200),
            config_apply_ms: span("config_apply_ms", 3000),
            rollback_slack_ms: span("rollback_slack_ms", 250),
            max_stretch_ms: span("max_stretch_ms", 12_000),
            recovery_ms: span("recovery_s", 12_000),
            done_within_ms: span("done_within_s", 10_000),
            status_ms: span("status_s", 120_000),
            callback_timeout_ms: span("callback_timeout_s", 5000),
            visible_ms: span("visible_ms", 3000),
            early_slack_ms: span("early_slack_ms", 100),
            ceiling_window_ms: span("ceiling_window_s", 5000),
            origin_overrun: place.number("origin_overrun", 1.1),
        }
    }
}

/// A list, if all of it can be read.
fn each<T>(value: &JsonValue, read: impl Fn(&JsonValue) -> Option<T>) -> Option<Vec<T>> {
    value.as_array()?.iter().map(read).collect()
}

fn zones(value: &JsonValue) -> Option<BTreeMap<String, String>> {
    value.as_object()?.iter().map(|(zone, region)| Some((zone.to_string(), section::text(region)?))).collect()
}

fn ports(value: &JsonValue) -> Option<(u16, u16)> {
    match each(value, |port| u16::try_from(section::whole(port)?).ok())?[..] {
        [first, last] if 0 < first && first <= last => Some((first, last)),
        _ => None,
    }
}
