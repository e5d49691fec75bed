//! Finds all processes of a running system, from one of them or from a settings file.

use super::error::CommandError;
use super::internal_client::{ask_for_json, AskError};
use super::query::{EntryPoint, SettingsScope};
use crate::links;
use crate::protocol::{Frame, NodeRole};
use jzon::JsonValue;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddrV4;

/// Processes that are asked at the same time, each by a thread.
const PARALLEL_REQUESTS: usize = 32;
/// Processes that are asked at most.
const MAX_PROCESSES: usize = 5000;

/// What a process answered.
pub struct ProcessReport {
    /// Its internal address.
    pub address: SocketAddrV4,
    /// What it reports of itself: `Common::report` and what its role adds.
    pub report: JsonValue,
}

/// A process that did not answer.
pub struct UnreachableProcess {
    /// Its node name, where another process names it.
    name: Option<String>,
    error: AskError,
}

impl fmt::Display for UnreachableProcess {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.name {
            Some(name) => write!(formatter, "{name}: {}", self.error),
            None => write!(formatter, "{}", self.error),
        }
    }
}

/// The processes of a running system.
#[derive(Default)]
pub struct Fleet {
    /// What each process reports, by its node name.
    pub reports: BTreeMap<String, ProcessReport>,
    /// Those that a report names and that do not answer; where nobody answers, all that were asked.
    pub unreachable: BTreeMap<SocketAddrV4, UnreachableProcess>,
}

impl Fleet {
    /// Asks the processes at the entry point, then all that these name, and so on.
    ///
    /// # Errors
    ///
    /// Where the entry point can't be used, or no process answers.
    pub fn discover(entry: &EntryPoint<'_>) -> Result<Fleet, CommandError> {
        let mut search = Search::default();
        search.run(entry.addresses(SettingsScope::MachineAndSeeds)?);
        let fleet = search.into_fleet();
        if fleet.reports.is_empty() {
            let reasons = fleet.unreachable.values().map(UnreachableProcess::to_string).collect();
            return Err(CommandError::NoAnswer { reasons });
        }
        Ok(fleet)
    }

    /// The reports of the processes of one class.
    pub fn reports_of(&self, class: NodeRole) -> impl Iterator<Item = &JsonValue> {
        let class = class.to_string();
        let reports = self.reports.values().map(|process| &process.report);
        reports.filter(move |report| report["class"].as_str() == Some(&class))
    }

    /// Of the reports of the control nodes the one that counts: of the leader, or else of the highest epoch.
    pub fn leading_control_report(&self) -> Option<&JsonValue> {
        let rank = |report: &&JsonValue| {
            (report["duty"]["leads"] == true, report["duty"]["epoch"].as_u64().unwrap_or(0))
        };
        self.reports_of(NodeRole::Control).max_by_key(rank)
    }

    /// Where the control nodes that answer take the calls of operators, the leader first.
    pub fn control_addresses(&self) -> Vec<SocketAddrV4> {
        let mut reports: Vec<&JsonValue> = self.reports_of(NodeRole::Control).collect();
        reports.sort_by_key(|report| report["duty"]["leads"] != true);
        reports.iter().filter_map(|report| report["duty"]["control"].as_str()?.parse().ok()).collect()
    }
}

/// The search as it goes on.
#[derive(Default)]
struct Search {
    fleet: Fleet,
    asked: BTreeSet<SocketAddrV4>,
    /// Node names of the processes that reports name.
    names: BTreeMap<SocketAddrV4, String>,
}

impl Search {
    fn run(&mut self, first: Vec<SocketAddrV4>) {
        let first: BTreeSet<SocketAddrV4> = first.into_iter().collect();
        let mut next: Vec<SocketAddrV4> = first.into_iter().collect();
        while !next.is_empty() && self.asked.len() < MAX_PROCESSES {
            self.asked.extend(next.iter().copied());
            let answers: Vec<_> = next.chunks(PARALLEL_REQUESTS).flat_map(ask_all).collect();
            next.clear();
            for (address, answer) in answers {
                self.add_answer(address, answer, &mut next);
            }
        }
    }

    fn add_answer(
        &mut self,
        address: SocketAddrV4,
        answer: Result<JsonValue, AskError>,
        next: &mut Vec<SocketAddrV4>,
    ) {
        let report = match answer {
            Ok(report) => report,
            Err(error) => {
                self.fleet.unreachable.insert(address, UnreachableProcess { name: None, error });
                return;
            }
        };
        for (name, named) in named_processes(&report) {
            self.names.insert(named, name);
            if !self.asked.contains(&named) && !next.contains(&named) {
                next.push(named);
            }
        }
        let name = report["node"].as_str().unwrap_or_default().to_string();
        self.fleet.reports.insert(name, ProcessReport { address, report });
    }

    fn into_fleet(mut self) -> Fleet {
        // At an address of the settings file there may be no process: only those that somebody names count as unreachable.
        if !self.fleet.reports.is_empty() {
            self.fleet.unreachable.retain(|address, _| self.names.contains_key(address));
        }
        for (address, process) in &mut self.fleet.unreachable {
            process.name = self.names.get(address).cloned();
        }
        self.fleet
    }
}

/// Asks some processes for their reports, all at the same time.
fn ask_all(addresses: &[SocketAddrV4]) -> Vec<(SocketAddrV4, Result<JsonValue, AskError>)> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = addresses
            .iter()
            .map(|address| {
                (*address, scope.spawn(|| ask_for_json(*address, &Frame::ReportRequest { request_id: 1 })))
            })
            .collect();
        threads
            .into_iter()
            .map(|(address, thread)| (address, thread.join().unwrap_or(Err(AskError::Panicked))))
            .collect()
    })
}

/// Node names and internal addresses of the processes that a report names.
fn named_processes(report: &JsonValue) -> Vec<(String, SocketAddrV4)> {
    let port = |index: usize| report["ports"][index].as_u16().unwrap_or(0);
    let ports = (port(0), port(1));
    let process = |member: &JsonValue| {
        let class = class_by_name(member["class"].as_str()?)?;
        let ip = member["ip"].as_str()?.parse().ok()?;
        Some((member["node"].as_str()?.to_string(), links::listen_address(ports, ip, class)))
    };
    report["known"].members().chain(report["links"].members()).filter_map(process).collect()
}

fn class_by_name(name: &str) -> Option<NodeRole> {
    [NodeRole::Control, NodeRole::Store, NodeRole::Edge].into_iter().find(|class| class.to_string() == name)
}
