//! `stilerouted check`: reports all faults of a file before any process uses the file.

use super::output::{print, ExitStatus, OutputFormat};
use crate::calls::LARGEST_CONFIGURATION;
use crate::protocol::NodeRole;
use crate::settings::{self, Findings};
use jzon::JsonValue;
use std::path::Path;
use stileroute_config::{Config, FaultReason, NodeSettings, SettingsFault};

/// The warning for an unknown key.
const UNKNOWN_KEY_REASON: &str = "nothing reads this key: what it asks for is not carried out";
/// The warning for a known key whose value requests a feature that the program does not have.
const UNSUPPORTED_VALUE_REASON: &str = "asks for what is not done: it has no effect";

/// Checks the configuration file of an operator.
pub fn check_config(path: &Path, format: OutputFormat) -> ExitStatus {
    let file = path.display().to_string();
    match read_config(path) {
        Ok(config) => {
            let (version, routes, services) = (config.revision, config.routes.len(), config.services.len());
            let summary =
                format!("{file}: version {version}, {routes} routes, {services} services: can be sent");
            let unread = config.unread_keys.iter().map(|key| ineffective_key(&file, key, UNKNOWN_KEY_REASON));
            let unserved = config
                .unserved_keys()
                .into_iter()
                .map(|key| ineffective_key(&file, key, UNSUPPORTED_VALUE_REASON));
            let warnings = unread.chain(unserved).collect();
            print_findings(&summary, &Findings { faults: Vec::new(), warnings }, format)
        }
        Err(faults) => {
            // `Config::parse` reports faults without a file name, because control nodes receive configurations over the network.
            let faults =
                faults.into_iter().map(|fault| SettingsFault { file: file.clone(), ..fault }).collect();
            print_findings("", &Findings { faults, warnings: Vec::new() }, format)
        }
    }
}

/// The warning for a key that is accepted but whose value has no effect.
fn ineffective_key(file: &str, key: &str, reason: &str) -> SettingsFault {
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
    // Control nodes reject a longer configuration with 413 before they parse it.
    if body.len() > LARGEST_CONFIGURATION {
        let reason = format!("{} bytes; at most {LARGEST_CONFIGURATION} can be sent", body.len());
        return Err(fault_of_file(FaultReason::FailedCheck(reason)));
    }
    Config::parse(&body).map_err(|faults| faults.faults)
}

/// Checks a settings file for the roles that its key `serves` names.
pub fn check_boot(path: &Path, format: OutputFormat) -> ExitStatus {
    let node_settings = match NodeSettings::read(path) {
        Ok(node_settings) => node_settings,
        Err(faults) => {
            return print_findings("", &Findings { faults: faults.faults, warnings: Vec::new() }, format);
        }
    };
    let file = path.display().to_string();
    let roles: Vec<NodeRole> = node_settings.serves.iter().filter_map(|name| role_served(name)).collect();
    let role_names: Vec<String> = roles.iter().map(NodeRole::to_string).collect();
    let summary = format!("{file}: {} can run as {}", node_settings.node_name, role_names.join(", "));
    print_findings(&summary, &settings::check(&file, &node_settings, &roles), format)
}

/// The role that a value of the settings key `serves` names.
fn role_served(name: &str) -> Option<NodeRole> {
    match name {
        "edge" => Some(NodeRole::Edge),
        "storage" => Some(NodeRole::Store),
        "control" => Some(NodeRole::Control),
        _ => None,
    }
}

/// Prints faults and warnings. Text output also has the `summary` if there are no faults.
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
