//! Checks of settings that depend on how the program uses them.
//!
//! A value is a fault only if the program cannot work with it, because a process that does not start is worse than one that runs
//! with an unusual value. A value that the program can work with, but whose effect may surprise the operator, is a warning.

use crate::protocol::NodeRole;
use crate::store::retention;
use std::net::SocketAddrV4;
use std::path::Path;
use stileroute_config::{ConfigError, FaultReason, NodeSettings, PortRange, SettingsFault};
use stileroute_queue::RepairSettings;

/// Largest number of simultaneous machine losses that can be configured: to tolerate more losses, each message would need more
/// stores than any deployment has.
const MAX_MACHINE_LOSSES: usize = 8;
/// Smallest number of file descriptors that a process can run with.
const MIN_OPEN_FILES: u64 = 324;
/// Smallest disk size, in MB, that can hold a snapshot and a log at the same time.
const MIN_DISK_MB: u64 = 8;
/// Largest disk size, in MB, that can be configured: 2^36 MB, which is a sixteenth of an exabyte.
const MAX_DISK_MB: u64 = 1 << 36;
const DAY_MS: u64 = 86_400_000;
/// Shortest shutdown grace period, in milliseconds, that gives no warning. An edge needs this time for a graceful shutdown:
/// it still accepts new connections for a while, and then finishes its requests.
const MIN_RECOMMENDED_GRACE_MS: u64 = 3500;
/// Range of the heartbeat interval, in milliseconds, that can be configured.
const HEARTBEAT_INTERVALS_MS: std::ops::RangeInclusive<u64> = 10..=600_000;
/// Largest factor of the rate limit overrun that the key `bounds.origin_overrun` can set.
const MAX_RATE_LIMIT_OVERRUN: f64 = 100.0;

/// The faults and warnings that a check found.
#[derive(Debug, Default)]
pub struct Findings {
    /// Values that the program cannot work with.
    pub faults: Vec<SettingsFault>,
    /// Values that the program can work with, but whose effect may surprise the operator.
    pub warnings: Vec<SettingsFault>,
}

/// A check of one settings file, which collects faults and warnings.
struct Check<'a> {
    file: &'a str,
    settings: &'a NodeSettings,
    findings: Findings,
}

impl Check<'_> {
    fn fault(&self, key: &str, reason: impl Into<String>) -> SettingsFault {
        SettingsFault {
            file: self.file.to_string(),
            key: key.to_string(),
            reason: FaultReason::FailedCheck(reason.into()),
        }
    }

    /// Adds a fault for the key unless the condition holds.
    fn require(&mut self, holds: bool, key: &str, reason: impl Into<String>) {
        if !holds {
            self.findings.faults.push(self.fault(key, reason));
        }
    }

    /// Adds a warning for the key unless the condition holds.
    fn warn_unless(&mut self, holds: bool, key: &str, reason: impl Into<String>) {
        if !holds {
            self.findings.warnings.push(self.fault(key, reason));
        }
    }

    fn check_all_roles(&mut self) {
        let settings = self.settings;
        let PortRange { first, last } = settings.internal_ports;
        let reason = "must span three ports at least, one for each role";
        self.require(last >= first.saturating_add(2), "internal_ports", reason);
        self.require(!settings.seeds.is_empty(), "seed_nodes", "must name one control node at least");
        self.require(!settings.ip.is_unspecified(), "ip", "must be the machine's own address");
        self.check_bind_addresses();
        let is_in_range = HEARTBEAT_INTERVALS_MS.contains(&settings.heartbeat_interval_ms);
        self.require(is_in_range, "beat_interval_ms", "must be from 10 to 600000");
        self.check_limits();
    }

    fn check_bind_addresses(&mut self) {
        let settings = self.settings;
        let PortRange { first, last } = settings.internal_ports;
        let addresses: [(&str, Option<SocketAddrV4>); 4] = [
            ("bind_addresses.front", settings.front_address),
            ("bind_addresses.readiness", settings.readiness_address),
            ("bind_addresses.control", settings.control_address),
            ("bind_addresses.figures", settings.metrics_address),
        ];
        for (index, (key, address)) in addresses.iter().enumerate() {
            let Some(address) = address else { continue };
            let is_internal = (first..=last).contains(&address.port()) && *address.ip() == settings.ip;
            self.require(!is_internal, key, "must not lie in internal_ports");
            let duplicate = addresses[..index].iter().find(|(_, other)| *other == Some(*address));
            self.require(
                duplicate.is_none(),
                key,
                format!("is {} too", duplicate.map_or("", |(key, _)| key)),
            );
        }
        let is_loopback = settings.metrics_address.is_none_or(|address| address.ip().is_loopback());
        let reason = "must be a loopback address: anyone who reaches it may read it";
        self.require(is_loopback, "bind_addresses.figures", reason);
    }

    fn check_limits(&mut self) {
        let settings = self.settings;
        let reason = format!("must be {MIN_OPEN_FILES} or more");
        self.require(settings.resources.max_open_files >= MIN_OPEN_FILES, "limits.max_open_files", reason);
        let reason = format!("must be {MAX_MACHINE_LOSSES} or less");
        self.require(
            settings.fault_tolerance.machines <= MAX_MACHINE_LOSSES,
            "tolerate.machine_losses",
            reason,
        );
        let zones = settings.zone_regions.len();
        let reason = format!("must be less than the {zones} there are");
        self.require(settings.fault_tolerance.zones < zones, "tolerate.zones", reason);
        self.require(settings.bounds.shutdown_grace_ms <= DAY_MS, "bounds.grace_s", "must be a day or less");
        let is_long_enough = settings.bounds.shutdown_grace_ms >= MIN_RECOMMENDED_GRACE_MS;
        self.warn_unless(is_long_enough, "bounds.grace_s", "an edge needs 3.5 s to end in order");
    }

    fn check_edge(&mut self) {
        let settings = self.settings;
        self.require(
            settings.front_address.is_some(),
            "bind_addresses.front",
            "missing, and an edge needs it",
        );
        self.require(
            settings.readiness_address.is_some(),
            "bind_addresses.readiness",
            "missing, and an edge needs it",
        );
    }

    fn check_store(&mut self) {
        let bounds = &self.settings.bounds;
        self.require(bounds.status_retention_ms <= DAY_MS, "bounds.status_s", "must be a day or less");
        self.require(bounds.idempotency_window_ms <= DAY_MS, "bounds.key_window_s", "must be a day or less");
        let reason =
            "keeps the ends of messages with keys for longer than status_s does, in memory and on disk";
        self.warn_unless(!retention(bounds).is_extended_by_keys(), "bounds.key_window_s", reason);
        let is_long_enough = bounds.catch_up_ms >= RepairSettings::MIN_CATCH_UP_MS;
        let reason = format!(
            "is {} s, and a store needs {} s to recreate the replicas of one that is gone",
            bounds.catch_up_ms as f64 / 1000.0,
            RepairSettings::MIN_CATCH_UP_MS as f64 / 1000.0
        );
        self.warn_unless(is_long_enough, "bounds.catch_up_s", reason);
        let reason = "must be above 0 and a day or less";
        self.require((1..=DAY_MS).contains(&bounds.rate_limit_window_ms), "bounds.ceiling_window_s", reason);
        let overrun = bounds.rate_limit_overrun;
        self.require(overrun <= MAX_RATE_LIMIT_OVERRUN, "bounds.origin_overrun", "must be 100 or less");
        self.warn_unless(overrun >= 1.0, "bounds.origin_overrun", "below 1 counts as 1");
        self.check_disk(NodeRole::Store);
    }

    fn check_control_node(&mut self) {
        let settings = self.settings;
        let reason = "missing, and a control node needs it";
        self.require(settings.control_address.is_some(), "bind_addresses.control", reason);
        let has_majority = settings.seeds.len() > 2 * settings.fault_tolerance.machines;
        let reason = "the seeds are too few to have a majority after so many losses";
        self.warn_unless(has_majority, "tolerate.machine_losses", reason);
        self.check_disk(NodeRole::Control);
    }

    fn check_disk(&mut self, role: NodeRole) {
        let has_folder = self.settings.data_dir.is_some();
        self.require(has_folder, "data_dir", format!("missing, and a {role} needs it"));
        let disk_mb = self.settings.resources.disk_mb;
        let is_usable = disk_mb == 0 || (MIN_DISK_MB..=MAX_DISK_MB).contains(&disk_mb);
        let reason = format!("must be 0 (unknown) or from {MIN_DISK_MB} to {MAX_DISK_MB}");
        self.require(is_usable, "limits.disk_mb", reason);
    }
}

/// Checks settings for the given roles. `file` is the file name that faults and warnings show.
pub fn check(file: &str, settings: &NodeSettings, roles: &[NodeRole]) -> Findings {
    let mut check = Check { file, settings, findings: Findings::default() };
    check.check_all_roles();
    for role in roles {
        match role {
            NodeRole::Edge => check.check_edge(),
            NodeRole::Store => check.check_store(),
            NodeRole::Control => check.check_control_node(),
            NodeRole::CommandLine => {}
        }
    }
    check.findings
}

/// Reads and checks the settings for the role that this process will run. Warnings are logged.
///
/// # Errors
///
/// If the settings can't be read or have faults; the error lists all faults that were found.
pub fn read(path: &Path, role: NodeRole) -> Result<NodeSettings, ConfigError> {
    let settings = NodeSettings::read(path)?;
    let findings = check(&path.display().to_string(), &settings, &[role]);
    for warning in findings.warnings {
        tracing::warn!("{warning}");
    }
    if findings.faults.is_empty() {
        Ok(settings)
    } else {
        Err(ConfigError { faults: findings.faults })
    }
}
