//! Checks of settings that need to know what the program does with them, and the commands that check files.
//!
//! Refused is only what the program cannot work with: a process that does not start is worse than one with an odd
//! figure. What it works with, but not as one may expect, is warned of.

use crate::args::{say, UNUSABLE};
use crate::calls::LARGEST_CONFIGURATION;
use crate::signals::NodeRole;
use jzon::JsonValue;
use std::path::Path;
use stileroute_config::{Config, ConfigError, FaultReason, NodeSettings, PortRange, SettingsFault};

/// More would be copied to more stores than any deployment has.
const LOSSES: usize = 8;
/// Descriptors that a process needs at the least.
const FILES: u64 = 324;
/// The least disk in which a snapshot and a log have room side by side, in MB, and the most, a sixteenth of an EB.
const DISK: (u64, u64) = (8, 1 << 36);
const DAY: u64 = 86_400_000;

struct Check<'a> {
    file: &'a str,
    faults: Vec<SettingsFault>,
    warnings: Vec<SettingsFault>,
}

impl Check<'_> {
    fn fault(&self, key: &str, reason: impl Into<String>) -> SettingsFault {
        SettingsFault {
            file: self.file.to_string(),
            key: key.to_string(),
            reason: FaultReason::FailedCheck(reason.into()),
        }
    }
    fn must(&mut self, holds: bool, key: &str, reason: impl Into<String>) {
        if !holds {
            self.faults.push(self.fault(key, reason));
        }
    }
    fn should(&mut self, holds: bool, key: &str, reason: impl Into<String>) {
        if !holds {
            self.warnings.push(self.fault(key, reason));
        }
    }
}

/// What is wrong with the settings for these roles, and what is odd.
pub fn check(
    file: &str,
    boot: &NodeSettings,
    classes: &[NodeRole],
) -> (Vec<SettingsFault>, Vec<SettingsFault>) {
    let mut c = Check { file, faults: Vec::new(), warnings: Vec::new() };
    let PortRange { first, last } = boot.internal_ports;
    c.must(
        last >= first.saturating_add(2),
        "internal_ports",
        "must span three ports at least, one for each role",
    );
    c.must(!boot.seeds.is_empty(), "seed_nodes", "must name one control node at least");
    c.must(!boot.ip.is_unspecified(), "ip", "must be the machine's own address");
    let addresses = [
        ("bind_addresses.front", boot.front_address),
        ("bind_addresses.readiness", boot.readiness_address),
        ("bind_addresses.control", boot.control_address),
        ("bind_addresses.figures", boot.metrics_address),
    ];
    for (at, (key, address)) in addresses.iter().enumerate() {
        let Some(address) = address else { continue };
        let inside = (first..=last).contains(&address.port()) && *address.ip() == boot.ip;
        c.must(!inside, key, "must not lie in internal_ports");
        let same = addresses[..at].iter().find(|(_, other)| *other == Some(*address));
        c.must(same.is_none(), key, format!("is {} too", same.map_or("", |s| s.0)));
    }
    let loopback = boot.metrics_address.is_none_or(|at| at.ip().is_loopback());
    c.must(
        loopback,
        "bind_addresses.figures",
        "must be a loopback address: anyone who reaches it may read it",
    );
    c.must(
        (10..=600_000).contains(&boot.heartbeat_interval_ms),
        "beat_interval_ms",
        "must be from 10 to 600000",
    );
    c.must(
        boot.resources.max_open_files >= FILES,
        "limits.max_open_files",
        format!("must be {FILES} or more"),
    );
    c.must(
        boot.fault_tolerance.machines <= LOSSES,
        "tolerate.machine_losses",
        format!("must be {LOSSES} or less"),
    );
    let zones = boot.zone_regions.len();
    c.must(
        boot.fault_tolerance.zones < zones,
        "tolerate.zones",
        format!("must be less than the {zones} there are"),
    );
    c.must(boot.bounds.shutdown_grace_ms <= DAY, "bounds.grace_s", "must be a day or less");
    c.should(boot.bounds.shutdown_grace_ms >= 3500, "bounds.grace_s", "an edge needs 3.5 s to end in order");
    for class in classes {
        role(&mut c, boot, *class);
    }
    (c.faults, c.warnings)
}

fn role(c: &mut Check, boot: &NodeSettings, class: NodeRole) {
    match class {
        NodeRole::Edge => {
            c.must(boot.front_address.is_some(), "bind_addresses.front", "missing, and an edge needs it");
            c.must(
                boot.readiness_address.is_some(),
                "bind_addresses.readiness",
                "missing, and an edge needs it",
            );
        }
        NodeRole::Store => {
            c.must(boot.bounds.status_retention_ms <= DAY, "bounds.status_s", "must be a day or less");
            let window = boot.bounds.rate_limit_window_ms;
            c.must(
                (1..=DAY).contains(&window),
                "bounds.ceiling_window_s",
                "must be above 0 and a day or less",
            );
            c.must(boot.bounds.rate_limit_overrun <= 100.0, "bounds.origin_overrun", "must be 100 or less");
            c.should(boot.bounds.rate_limit_overrun >= 1.0, "bounds.origin_overrun", "below 1 counts as 1");
        }
        NodeRole::Control => {
            c.must(
                boot.control_address.is_some(),
                "bind_addresses.control",
                "missing, and a control node needs it",
            );
            let enough = boot.seeds.len() > 2 * boot.fault_tolerance.machines;
            let reason = "the seeds are too few to have a majority after so many losses";
            c.should(enough, "tolerate.machine_losses", reason);
        }
        NodeRole::CommandLine => {}
    }
    if matches!(class, NodeRole::Store | NodeRole::Control) {
        c.must(boot.data_dir.is_some(), "data_dir", format!("missing, and a {class} needs it"));
        let disk = boot.resources.disk_mb;
        let fits = disk == 0 || (DISK.0..=DISK.1).contains(&disk);
        c.must(fits, "limits.disk_mb", format!("must be 0 (unknown) or from {} to {}", DISK.0, DISK.1));
    }
}

/// The settings of a role that is to run, or all that is wrong with them.
pub fn read(path: &Path, class: NodeRole) -> Result<NodeSettings, ConfigError> {
    let boot = NodeSettings::read(path)?;
    let (faults, warnings) = check(&path.display().to_string(), &boot, &[class]);
    for warning in warnings {
        tracing::warn!("{warning}");
    }
    if faults.is_empty() {
        Ok(boot)
    } else {
        Err(ConfigError { faults })
    }
}

fn told(fault: &SettingsFault) -> JsonValue {
    jzon::object! { "file" => fault.file.clone(), "key" => fault.key.clone(), "reason" => fault.reason.to_string() }
}

/// Says what is wrong and gives the exit code.
fn verdict(what: &str, faults: &[SettingsFault], warnings: &[SettingsFault], json: bool) -> u8 {
    if json {
        let list =
            |faults: &[SettingsFault]| -> JsonValue { faults.iter().map(told).collect::<Vec<_>>().into() };
        let object = jzon::object! { "ok" => faults.is_empty(), "faults" => list(faults), "warnings" => list(warnings) };
        say(&object.pretty(2));
    } else {
        faults.iter().for_each(|fault| say(&fault.to_string()));
        warnings.iter().for_each(|fault| say(&format!("warning: {fault}")));
        if faults.is_empty() {
            say(what);
        }
    }
    if faults.is_empty() {
        0
    } else {
        UNUSABLE
    }
}

pub fn check_config(path: &Path, json: bool) -> u8 {
    let file = path.display().to_string();
    let read = match std::fs::read(path) {
        // Control nodes refuse it with 413 before they read it.
        Ok(body) if body.len() > LARGEST_CONFIGURATION => {
            let reason = format!("{} bytes; at most {LARGEST_CONFIGURATION} can be sent", body.len());
            let reason = FaultReason::FailedCheck(reason);
            Err(vec![SettingsFault { file: file.clone(), key: String::new(), reason }])
        }
        Ok(body) => Config::parse(&body).map_err(|faults| faults.faults),
        Err(e) => {
            let reason = FaultReason::Unreadable(e.to_string());
            Err(vec![SettingsFault { file: file.clone(), key: String::new(), reason }])
        }
    };
    match read {
        Ok(c) => {
            let (version, routes, services) = (c.revision, c.routes.len(), c.services.len());
            let what =
                format!("{file}: version {version}, {routes} routes, {services} services: can be sent");
            verdict(&what, &[], &[], json)
        }
        Err(faults) => {
            let named: Vec<SettingsFault> =
                faults.into_iter().map(|f| SettingsFault { file: file.clone(), ..f }).collect();
            verdict("", &named, &[], json)
        }
    }
}

/// For the roles that the file's `serves` names.
pub fn check_boot(path: &Path, json: bool) -> u8 {
    let file = path.display().to_string();
    match NodeSettings::read(path) {
        Err(faults) => verdict("", &faults.faults, &[], json),
        Ok(boot) => {
            let class = |serves: &String| match serves.as_str() {
                "edge" => Some(NodeRole::Edge),
                "storage" => Some(NodeRole::Store),
                "control" => Some(NodeRole::Control),
                _ => None,
            };
            let classes: Vec<NodeRole> = boot.serves.iter().filter_map(class).collect();
            let (faults, warnings) = check(&file, &boot, &classes);
            let names: Vec<String> = classes.iter().map(NodeRole::to_string).collect();
            let what = format!("{file}: {} can run as {}", boot.node_name, names.join(", "));
            verdict(&what, &faults, &warnings, json)
        }
    }
}
