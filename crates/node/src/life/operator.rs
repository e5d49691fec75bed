//! The operator file: what the platform's settings do not hold. Routes and the form of the log for now; each later
//! subsystem adds its section here. One that has a fault anywhere is not taken at all.

use super::members::{self, MembersAt};
use super::start::Start;
use std::path::Path;
use std::sync::Arc;
use stileroute_dispatch::types::InstanceSettings;
use stileroute_operator_file::{load, Fault, Section};
use stileroute_route_limits::table::Table;
use stileroute_route_limits::Ground;

/// The variable that names the file where the words of the command line don't.
pub const VARIABLE: &str = "STILEROUTE_OPERATOR";

#[derive(Debug)]
pub struct Operator {
    pub routes: Arc<Table>,
    /// Lines of the log as JSON.
    pub json: bool,
    /// Where it hears other instances, where they may talk.
    pub members: Option<MembersAt>,
}

/// Reads and checks a file against the settings that hold.
pub fn read(path: &Path, ground: &Ground) -> Result<Operator, Vec<Fault>> {
    let text = load(path)?;
    check(&path.display().to_string(), &text, ground)
}

pub fn check(file: &str, text: &str, ground: &Ground) -> Result<Operator, Vec<Fault>> {
    stileroute_operator_file::read(file, text, |keys: &Section| {
        let routes = Table::read(keys, ground);
        let json = keys.table("log").and_then(|table| {
            let json = table.word("form", &[("text", false), ("json", true)]);
            table.finish();
            json
        });
        let members = keys.table("members").and_then(|table| {
            let members = members::read(&table, ground.terms.peers);
            table.finish();
            members
        });
        let json = json.is_some_and(|json| json.value);
        Some(Operator { routes: Arc::new(routes?), json, members })
    })
}

/// The faults as lines, at most so many, and how many there are beyond.
pub fn told(faults: &[Fault]) -> Vec<String> {
    const MOST: usize = 50;
    let mut lines: Vec<String> = faults.iter().take(MOST).map(Fault::to_string).collect();
    if faults.len() > MOST {
        lines.push(format!("and {} more", faults.len() - MOST));
    }
    lines
}

impl Start {
    /// What routes are held against.
    pub fn ground(&self) -> Ground {
        let mut categories = vec![None; self.tariff.categories.len()];
        for (name, kind) in &self.door.categories {
            let ttl = if kind.ttl == stileroute_dispatch::types::Time::MAX { 0 } else { kind.ttl };
            categories[kind.at] = Some((name.clone(), ttl, self.tariff.categories[kind.at].clone()));
        }
        Ground {
            categories: categories.into_iter().flatten().collect(),
            kinds: self.kinds.clone(),
            domains: self.domains.clone(),
            // Whether messages are allowed, not whether some go out already.
            terms: InstanceSettings { peers: self.may_talk, ..self.tariff.terms.clone() },
        }
    }
}
