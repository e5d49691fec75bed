//! `stilerouted status`: shows the nodes, the control group and the services of a running system.

use super::discovery::{Fleet, ProcessReport, UnreachableProcess};
use super::error::CommandError;
use super::output::{print, ExitStatus, OutputFormat};
use super::query::Query;
use super::services::services;
use crate::protocol::NodeRole;
use jzon::JsonValue;

/// Keys of a report that are left out, because they are shown elsewhere or only serve to discover other processes.
const OMITTED_KEYS: [&str; 5] = ["known", "links", "executors", "services", "ports"];

/// Shows the state of the running system.
///
/// # Errors
///
/// If the entry point can't be used, or no process answers.
pub fn status(query: &Query<'_>) -> Result<ExitStatus, CommandError> {
    let fleet = Fleet::discover(&query.entry)?;
    match query.format {
        OutputFormat::Json => print(&as_json(&fleet).pretty(2)),
        OutputFormat::Text => print(&as_text(&fleet)),
    }
    Ok(ExitStatus::Success)
}

fn as_json(fleet: &Fleet) -> JsonValue {
    let unreachable: Vec<JsonValue> =
        fleet.unreachable.values().map(|process| process.to_string().into()).collect();
    let leading = fleet.leading_control_report();
    let control = leading.map_or(JsonValue::Null, |report| report["duty"].clone());
    let storage = leading.map_or(JsonValue::Null, |report| report["storage"].clone());
    let nodes: Vec<JsonValue> = fleet.reports.values().map(node_as_json).collect();
    jzon::object! {
        "control" => control,
        "storage" => storage,
        "nodes" => nodes,
        "silent" => unreachable,
        "services" => services(fleet),
    }
}

fn node_as_json(process: &ProcessReport) -> JsonValue {
    let mut node = process.report.clone();
    for key in OMITTED_KEYS {
        node.remove(key);
    }
    node["internal"] = process.address.to_string().into();
    node
}

fn as_text(fleet: &Fleet) -> String {
    let mut text = control_as_text(fleet);
    text += "nodes:\n";
    fleet.reports.values().for_each(|process| text += &node_as_text(process));
    fleet
        .unreachable
        .values()
        .for_each(|process: &UnreachableProcess| text += &format!("  SILENT {process}\n"));
    text += "services:\n";
    services(fleet).entries().for_each(|(name, service)| text += &service_as_text(name, service));
    text
}

fn control_as_text(fleet: &Fleet) -> String {
    let Some(report) = fleet.leading_control_report() else {
        return "control: no control node answers\n".to_string();
    };
    let control = &report["duty"];
    let leader = fleet.reports_of(NodeRole::Control).find(|report| report["duty"]["leads"] == true);
    let leader = leader.map_or("nobody leads now".to_string(), |report| format!("{} leads", report["node"]));
    let mut text = format!("control: epoch {}, primary {}, {leader}\n", control["epoch"], control["primary"]);
    let (replicas, voters) = (join_with_spaces(&control["copies"]), join_with_spaces(&control["voters"]));
    text += &format!("  copies: {replicas}\n  voters: {voters}\n");
    text += &storage_as_text(&report["storage"]);
    for report in fleet.reports_of(NodeRole::Control).filter(|report| report["duty"]["blank"] == true) {
        text += &format!("  blank: {}\n", report["node"]);
    }
    text
}

/// Formats how many stores may be lost while messages are still accepted; empty if an older process does not report it.
fn storage_as_text(storage: &JsonValue) -> String {
    if storage.is_null() {
        return String::new();
    }
    let warning = if storage["spare"] == 0 { ": THE LOSS OF ANOTHER STOPS INTAKE" } else { "" };
    format!("  stores: {} in service, {} spare{warning}\n", storage["in_service"], storage["spare"])
}

/// Joins the members of a JSON array with spaces.
pub fn join_with_spaces(values: &JsonValue) -> String {
    values.members().map(JsonValue::to_string).collect::<Vec<_>>().join(" ")
}

fn node_as_text(process: &ProcessReport) -> String {
    let ProcessReport { address, report } = process;
    let session = session_as_text(report);
    let readiness = if report["ready"] == false { ", not ready" } else { "" };
    let shutdown = if report["leaving"] == true { ", ends" } else { "" };
    let disk = if report["disk_trouble"] == true { ", DISK REFUSES" } else { "" };
    let intake = if report["accepts"] == false { ", ACCEPTS NO MESSAGES" } else { "" };
    let mut text = format!(
        "  {} {} in {} at {address}: version {}{session}{readiness}{shutdown}{disk}{intake}\n",
        report["class"], report["node"], report["zone"], report["version"]
    );
    let messages = &report["messages"];
    if messages.is_object() {
        text += &format!(
            "    messages: {} waiting, {} out, {} landing, {} held, {} copies, {} ended, oldest {} ms\n",
            messages["waiting"],
            messages["out"],
            messages["landing"],
            messages["held"],
            messages["copy"],
            messages["ended"],
            messages["oldest_ms"]
        );
        text += &replication_as_text(report);
    }
    text
}

/// Formats the warning of a store about missing replicas; empty if the loss of another store is tolerated, or if an older process
/// does not report it.
fn replication_as_text(report: &JsonValue) -> String {
    if report["fully_replicated"] != false {
        return String::new();
    }
    let messages = &report["messages"];
    format!(
        "    NOT FULLY REPLICATED: {} messages and {} ends on too few disks: take no other machine away\n",
        messages["thin"], messages["thin_ends"]
    )
}

/// Formats the session of an edge or a store with a control node.
fn session_as_text(report: &JsonValue) -> String {
    if report["class"] == "core" {
        return String::new();
    }
    let control = &report["control"];
    match control["session"].as_str().filter(|_| control["heard"] == true) {
        Some(control_node) => {
            let seconds = control["session_ms"].as_u64().unwrap_or(0) / 1000;
            format!(", session with {control_node} for {seconds} s")
        }
        None => ", HEARS NOTHING of the control nodes".to_string(),
    }
}

fn service_as_text(name: &str, service: &JsonValue) -> String {
    let mut text = format!(
        "  {name}: {} waiting, {} out, oldest {} ms",
        service["waiting"], service["out"], service["oldest_ms"]
    );
    if !service["ceiling"].is_null() {
        let holders = join_with_spaces(&service["ceiling"]["holders"]);
        let holders = if holders.is_empty() { "nobody".to_string() } else { holders };
        text += &format!(", at most {}/s, tokens by {holders}", service["ceiling"]["rate_per_s"]);
    }
    let retries = &service["repeats"];
    if retries["again"].as_u64().is_some_and(|count| count > 0) {
        text += &format!(
            ", {} repeats of {} first attempts, {} wait, {} were held back, at most {} at one executor",
            retries["again"],
            retries["first"],
            retries["waiting"],
            retries["held_back"],
            retries["most_at_one"]
        );
    }
    text.push('\n');
    service["executors"].entries().for_each(|(id, executor)| text += &executor_as_text(id, executor));
    text
}

fn executor_as_text(id: &str, executor: &JsonValue) -> String {
    // Endpoints that are listed in the configuration have no executor id.
    let id = if id.is_empty() { "endpoint" } else { id };
    let mut text = format!("    {id}");
    if executor["address"].is_string() {
        text += &format!(" at {} in {}, {}", executor["address"], executor["zone"], executor["standing"]);
        text += &format!(", {} slots, heartbeat {} ms ago", executor["capacity"], executor["beat_ms"]);
    }
    text += &format!(", {} out", executor["out"].as_u64().unwrap_or(0));
    let shares: Vec<String> = executor["shares"]
        .entries()
        .map(|(store, share)| format!("{store} {:.2}", share.as_f64().unwrap_or(0.0)))
        .collect();
    if !shares.is_empty() {
        text += &format!(", shares: {}", shares.join(", "));
    }
    text.push('\n');
    text
}
