//! The operators' file: what the platform's settings do not contain, namely routes, the log format and
//! membership. A file with any fault is rejected as a whole.

use super::members_section::{self, MembersSettings};
use super::settings::NodeSettings;
use std::path::Path;
use std::sync::Arc;
use stileroute_dispatch::types::InstanceSettings;
use stileroute_operator_file::{load, Fault, Section};
use stileroute_route_limits::table::Table;
use stileroute_route_limits::PlatformSettings;

/// The environment variable that names the file if the command line does not.
pub const PATH_VARIABLE: &str = "STILEROUTE_OPERATOR";

#[derive(Debug)]
pub struct OperatorSettings {
    pub routes: Arc<Table>,
    /// Whether the log is written as JSON.
    pub json: bool,
    /// Where this instance listens for other instances; `None` if membership is off.
    pub members: Option<MembersSettings>,
}

/// Reads a file and checks it against the current settings.
pub fn read(path: &Path, route_context: &PlatformSettings) -> Result<OperatorSettings, Vec<Fault>> {
    let text = load(path)?;
    check(&path.display().to_string(), &text, route_context)
}

pub fn check(
    file: &str,
    text: &str,
    route_context: &PlatformSettings,
) -> Result<OperatorSettings, Vec<Fault>> {
    stileroute_operator_file::read(file, text, |keys: &Section| {
        let routes = Table::read(keys, route_context);
        let json = keys.table("log").and_then(|table| {
            let json = table.choice("form", &[("text", false), ("json", true)]);
            table.finish();
            json
        });
        let members = keys.table("members").and_then(|table| {
            let members = members_section::read(&table, route_context.terms.peers);
            table.finish();
            members
        });
        let json = json.is_some_and(|json| json.value);
        Some(OperatorSettings { routes: Arc::new(routes?), json, members })
    })
}

/// The faults as lines, up to a limit, followed by the number of further ones.
pub fn fault_lines(faults: &[Fault]) -> Vec<String> {
    const MAX_LINES: usize = 50;
    let mut lines: Vec<String> = faults.iter().take(MAX_LINES).map(Fault::to_string).collect();
    if faults.len() > MAX_LINES {
        lines.push(format!("and {} more", faults.len() - MAX_LINES));
    }
    lines
}

impl NodeSettings {
    /// The settings that routes are checked against.
    pub fn route_context(&self) -> PlatformSettings {
        let mut categories = vec![None; self.tariff.categories.len()];
        for (name, rules) in &self.request_rules.categories {
            let ttl = if rules.ttl == stileroute_dispatch::types::Time::MAX { 0 } else { rules.ttl };
            categories[rules.position] =
                Some((name.clone(), ttl, self.tariff.categories[rules.position].clone()));
        }
        PlatformSettings {
            categories: categories.into_iter().flatten().collect(),
            kinds: self.kinds.clone(),
            domains: self.domains.clone(),
            // Whether messages among instances are permitted, even if none are configured yet.
            terms: InstanceSettings { peers: self.peers_allowed, ..self.tariff.terms.clone() },
        }
    }
}
