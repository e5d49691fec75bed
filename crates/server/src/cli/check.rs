//! `stilerouted check`: all that is wrong with a file, before anything reads it.

use super::output::{print, ExitStatus, OutputFormat};
use crate::calls::LARGEST_CONFIGURATION;
use crate::protocol::NodeRole;
use crate::settings::{self, Findings};
use jzon::JsonValue;
use std::path::Path;
use stileroute_config::{Config, FaultReason, NodeSettings, SettingsFault};

/// Of a key that is not known.
const NOTHING_READS: &str = "nothing reads this key: what it asks for is not carried out";
/// Of a key that is known, and whose value asks for what the program has not got.
const NOT_DONE: &str = "asks for what is not done: it has no effect";

/// Checks an operator's configuration.
pub fn check_config(path: &Path, format: OutputFormat) -> ExitStatus {
    let file = path.display().to_string();
    match read_config(path) {
        Ok(config) => {
            let (version, routes, services) = (config.revision, config.routes.len(), config.services.len());
            let summary =
                format!("{file}: version {version}, {routes} routes, {services} services: can be sent");
            let unread = config.unread_keys.iter().map(|key| without_effect(&file, key, NOTHING_READS));
            let unserved = config.unserved_keys().into_iter().map(|key| without_effect(&file, key, NOT_DONE));
            let warnings = unread.chain(unserved).collect();
            print_findings(&summary, &Findings { faults: Vec::new(), warnings }, format)
        }
        Err(faults) => {
            // Control nodes read configurations that come without a file: here they have one.
            let faults =
                faults.into_iter().map(|fault| SettingsFault { file: file.clone(), ..fault }).collect();
            print_findings("", &Findings { faults, warnings: Vec::new() }, format)
        }
    }
}

/// A key that is accepted, and whose value changes nothing.
fn without_effect(file: &str, key: &str, reason: &str) -> SettingsFault {
    SettingsFault {
        file: file.to_string(),
        key: key.to_string(),
        reason: FaultReason::FailedCheck(reason.into()),
    }
}

fn read_config(path: &Path) -> Result<Config, Vec<SettingsFault>> {
    let fault_of_file = |reason| vec![SettingsFault { file: String::new(), key: String::new(), reason }];
    let body =
        std::fs::read(path).map_err(|error| fault_of_file(FaultReason::Unreadable(error.to_string())))?;
    // Control nodes reject it with 413 before they read it.
    if body.len() > LARGEST_CONFIGURATION {
        let reason = format!("{} bytes; at most {LARGEST_CONFIGURATION} can be sent", body.len());
        return Err(fault_of_file(FaultReason::FailedCheck(reason)));
    }
    Config::parse(&body).map_err(|faults| faults.faults)
}

/// Checks a settings file, for the roles that its `serves` names.
pub fn check_boot(path: &Path, format: OutputFormat) -> ExitStatus {
    let boot = match NodeSettings::read(path) {
        Ok(boot) => boot,
        Err(faults) => {
            return print_findings("", &Findings { faults: faults.faults, warnings: Vec::new() }, format);
        }
    };
    let file = path.display().to_string();
    let classes: Vec<NodeRole> = boot.serves.iter().filter_map(|name| class_served(name)).collect();
    let roles: Vec<String> = classes.iter().map(NodeRole::to_string).collect();
    let summary = format!("{file}: {} can run as {}", boot.node_name, roles.join(", "));
    print_findings(&summary, &settings::check(&file, &boot, &classes), format)
}

/// The class of process that a word of the settings key `serves` names.
fn class_served(name: &str) -> Option<NodeRole> {
    match name {
        "edge" => Some(NodeRole::Edge),
        "storage" => Some(NodeRole::Store),
        "control" => Some(NodeRole::Control),
        _ => None,
    }
}

/// Prints what was found, and `summary` as text where there are no faults.
fn print_findings(summary: &str, findings: &Findings, format: OutputFormat) -> ExitStatus {
    let is_usable = findings.faults.is_empty();
    match format {
        OutputFormat::Json => {
            let object = jzon::object! {
                "ok" => is_usable,
                "faults" => faults_as_json(&findings.faults),
                "warnings" => faults_as_json(&findings.warnings),
            };
            print(&object.pretty(2));
        }
        OutputFormat::Text => {
            findings.faults.iter().for_each(|fault| print(&fault.to_string()));
            findings.warnings.iter().for_each(|warning| print(&format!("warning: {warning}")));
            if is_usable {
                print(summary);
            }
        }
    }
    if is_usable {
        ExitStatus::Success
    } else {
        ExitStatus::Unusable
    }
}

fn faults_as_json(faults: &[SettingsFault]) -> JsonValue {
    let as_json = |fault: &SettingsFault| {
        jzon::object! {
            "file" => fault.file.clone(),
            "key" => fault.key.clone(),
            "reason" => fault.reason.to_string(),
        }
    };
    faults.iter().map(as_json).collect::<Vec<_>>().into()
}
