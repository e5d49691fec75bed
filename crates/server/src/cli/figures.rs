//! `stilerouted figures`: shows the metrics of one process.

use super::error::CommandError;
use super::internal_client::send_request;
use super::output::{print, ExitStatus, OutputFormat};
use super::query::{Query, SettingsScope};
use crate::protocol::Frame;
use jzon::JsonValue;

/// Shows the metrics of the first process at the entry point that answers.
///
/// # Errors
///
/// If the entry point can't be used, or no process answers.
pub fn figures(query: &Query<'_>) -> Result<ExitStatus, CommandError> {
    let mut reasons = Vec::new();
    for address in query.entry.addresses(SettingsScope::Machine)? {
        match send_request(address, &Frame::MetricsRequest { request_id: 1 }) {
            Ok(text) => {
                match query.format {
                    OutputFormat::Json => print(&samples_as_json(&text).pretty(2)),
                    OutputFormat::Text => print(&text),
                }
                return Ok(ExitStatus::Success);
            }
            Err(error) => reasons.push(error.to_string()),
        }
    }
    Err(CommandError::NoAnswer { reasons })
}

/// Builds a JSON object with one member for each sample: the key is the metric name with its labels, the value is that of the
/// sample.
fn samples_as_json(text: &str) -> JsonValue {
    let mut object = JsonValue::new_object();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        object[name] = value.parse::<f64>().map_or(JsonValue::Null, JsonValue::from);
    }
    object
}
