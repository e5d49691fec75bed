//! `stilerouted message`: shows what each store knows about one message.

use super::discovery::Fleet;
use super::error::CommandError;
use super::internal_client::request_json;
use super::output::{print, ExitStatus, OutputFormat};
use super::query::Query;
use super::status::join_with_spaces;
use crate::protocol::Frame;
use jzon::JsonValue;
use stileroute_queue::{Key, KeyLocation};

/// Shows what each store knows about the message; returns [`ExitStatus::Failure`] if no store knows the message.
///
/// # Errors
///
/// If the message id is invalid, the entry point can't be used, or no process answers.
pub fn message(id: &str, query: &Query<'_>) -> Result<ExitStatus, CommandError> {
    let KeyLocation { key, .. } =
        Key::parse(id).ok_or_else(|| CommandError::InvalidMessageId(id.to_string()))?;
    let fleet = Fleet::discover(&query.entry)?;
    let mut stores = JsonValue::new_object();
    let mut unreachable: Vec<String> = fleet.unreachable.values().map(ToString::to_string).collect();
    for (name, process) in &fleet.reports {
        if process.report["class"] != "store" {
            continue;
        }
        match request_json(process.address, &Frame::TraceRequest { request_id: 1, key }) {
            Ok(trace) => stores[&**name] = trace,
            Err(error) => unreachable.push(error.to_string()),
        }
    }
    let is_known = stores.entries().any(|(_, trace)| !trace.is_null());
    match query.format {
        OutputFormat::Json => {
            print(&jzon::object! { "message" => id, "stores" => stores, "silent" => unreachable }.pretty(2));
        }
        OutputFormat::Text => {
            stores.entries().for_each(|(store, trace)| print(&format!("{store}: {}", trace_as_text(trace))));
            unreachable.iter().for_each(|reason| print(&format!("SILENT {reason}")));
        }
    }
    Ok(if is_known { ExitStatus::Success } else { ExitStatus::Failure })
}

fn trace_as_text(trace: &JsonValue) -> String {
    if trace.is_null() {
        return "knows nothing of it".to_string();
    }
    let mut text = format!(
        "{}, owner {}, copies {}, term {}, tries {}",
        trace["stage"],
        trace["owner"],
        join_with_spaces(&trace["copies"]),
        trace["term"],
        trace["tries"]
    );
    let due_in_ms = trace["due_in_ms"].as_i64().unwrap_or(0);
    match &trace["end"] {
        JsonValue::Null if due_in_ms > 0 => text += &format!(", due in {due_in_ms} ms"),
        JsonValue::Null => text += &format!(", due for {} ms", -due_in_ms),
        end => {
            text += &format!(", {}", end["state"]);
            if !end["seal"].is_null() {
                text += &format!(" with seal {}", end["seal"]);
            }
            if trace["callback_owed"] == true {
                text += ", call-back not taken yet";
            }
        }
    }
    text
}
