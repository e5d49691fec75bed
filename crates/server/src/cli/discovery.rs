//! Discovers all processes of a running system, starting from one process or from a settings file.

use super::error::CommandError;
use super::internal_client::{request_json, RequestError};
use super::query::{EntryPoint, SettingsScope};
use crate::links;
use crate::protocol::{Frame, NodeRole};
use jzon::JsonValue;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddrV4;

/// Number of processes that are asked concurrently, each by a separate thread.
const MAX_CONCURRENT_REQUESTS: usize = 32;
/// Largest number of processes that one discovery asks.
const MAX_PROCESSES: usize = 5000;

/// The answer of one process to a report request.
pub struct ProcessReport {
    /// The internal address of the process.
    pub address: SocketAddrV4,
    /// The report of the process about itself: `NodeRuntime::report` and the additions of its role.
    pub report: JsonValue,
}

/// A process that did not answer.
pub struct UnreachableProcess {
    /// The node name of the process, if the report of another process names it.
    name: Option<String>,
    error: RequestError,
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
    /// The report of each process, by its node name.
    pub reports: BTreeMap<String, ProcessReport>,
    /// Processes that a report names and that do not answer; if no process answers at all, every address that was asked.
    pub unreachable: BTreeMap<SocketAddrV4, UnreachableProcess>,
}

impl Fleet {
    /// Asks the processes at the entry point, then all processes that the reports name, until no report names
    /// a new one.
    ///
    /// # Errors
    ///
    /// If the entry point can't be used, or no process answers.
    pub fn discover(entry: &EntryPoint<'_>) -> Result<Fleet, CommandError> {
        let mut discovery = Discovery::default();
        discovery.run(entry.addresses(SettingsScope::MachineAndSeeds)?);
        let fleet = discovery.into_fleet();
        if fleet.reports.is_empty() {
            let reasons = fleet.unreachable.values().map(UnreachableProcess::to_string).collect();
            return Err(CommandError::NoAnswer { reasons });
        }
        Ok(fleet)
    }

    /// The reports of all processes with the given role.
    pub fn reports_of(&self, class: NodeRole) -> impl Iterator<Item = &JsonValue> {
        let class = class.to_string();
        let reports = self.reports.values().map(|process| &process.report);
        reports.filter(move |report| report["class"].as_str() == Some(&class))
    }

    /// The authoritative report among those of the control nodes: the leader's, or without a leader the one with the highest epoch.
    pub fn leading_control_report(&self) -> Option<&JsonValue> {
        let rank = |report: &&JsonValue| {
            (report["duty"]["leads"] == true, report["duty"]["epoch"].as_u64().unwrap_or(0))
        };
        self.reports_of(NodeRole::Control).max_by_key(rank)
    }

    /// The operator API addresses of the control nodes that answered, the leader first.
    pub fn control_addresses(&self) -> Vec<SocketAddrV4> {
        let mut reports: Vec<&JsonValue> = self.reports_of(NodeRole::Control).collect();
        reports.sort_by_key(|report| report["duty"]["leads"] != true);
        reports.iter().filter_map(|report| report["duty"]["control"].as_str()?.parse().ok()).collect()
    }
}

/// The state of a discovery in progress.
#[derive(Default)]
struct Discovery {
    fleet: Fleet,
    asked: BTreeSet<SocketAddrV4>,
    /// Node names of the processes that reports name, by internal address.
    names: BTreeMap<SocketAddrV4, String>,
}

impl Discovery {
    fn run(&mut self, first: Vec<SocketAddrV4>) {
        let first: BTreeSet<SocketAddrV4> = first.into_iter().collect();
        let mut next: Vec<SocketAddrV4> = first.into_iter().collect();
        while !next.is_empty() && self.asked.len() < MAX_PROCESSES {
            self.asked.extend(next.iter().copied());
            let answers: Vec<_> = next.chunks(MAX_CONCURRENT_REQUESTS).flat_map(request_reports).collect();
            next.clear();
            for (address, answer) in answers {
                self.add_answer(address, answer, &mut next);
            }
        }
    }

    fn add_answer(
        &mut self,
        address: SocketAddrV4,
        answer: Result<JsonValue, RequestError>,
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
        // An address from the settings file may have no process, so only processes that a report names count as unreachable.
        if !self.fleet.reports.is_empty() {
            self.fleet.unreachable.retain(|address, _| self.names.contains_key(address));
        }
        for (address, process) in &mut self.fleet.unreachable {
            process.name = self.names.get(address).cloned();
        }
        self.fleet
    }
}

/// Asks the processes at the given addresses for their reports concurrently.
fn request_reports(addresses: &[SocketAddrV4]) -> Vec<(SocketAddrV4, Result<JsonValue, RequestError>)> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = addresses
            .iter()
            .map(|address| {
                (*address, scope.spawn(|| request_json(*address, &Frame::ReportRequest { request_id: 1 })))
            })
            .collect();
        threads
            .into_iter()
            .map(|(address, thread)| (address, thread.join().unwrap_or(Err(RequestError::Panicked))))
            .collect()
    })
}

/// Node names and internal addresses of the processes that the given report names.
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
