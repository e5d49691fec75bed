//! Operator commands that call the control nodes: they apply, read or compare a configuration, or retire a store. A command
//! reports a configuration as being in force only after it has read the configuration back.

mod differences;

use super::args::RetireRequest;
use super::control_api::{ControlApi, Reply};
use super::error::CommandError;
use super::order_error::OrderError;
use super::output::{print, ExitStatus, OutputFormat};
use super::query::Query;
use crate::calls::content_digest;
use differences::differences;
use jzon::JsonValue;
use std::path::Path;
use stileroute_config::Config;

/// The outcome of an operator command.
#[derive(Debug)]
struct Outcome {
    status: ExitStatus,
    /// The human-readable result.
    text: String,
    /// A JSON object with the members that JSON output has in addition to the text.
    details: JsonValue,
}

impl Outcome {
    fn new(status: ExitStatus, text: impl Into<String>) -> Outcome {
        Outcome { status, text: text.into(), details: JsonValue::new_object() }
    }

    fn with_detail(mut self, key: &str, value: impl Into<JsonValue>) -> Outcome {
        self.details[key] = value.into();
        self
    }

    fn print(self, format: OutputFormat) -> ExitStatus {
        match format {
            OutputFormat::Json => {
                let is_success = self.status == ExitStatus::Success;
                let mut object = jzon::object! { "ok" => is_success, "outcome" => self.text };
                self.details.entries().for_each(|(key, value)| object[key] = value.clone());
                print(&object.pretty(2));
            }
            OutputFormat::Text => print(&self.text),
        }
        self.status
    }
}

impl From<OrderError> for Outcome {
    fn from(error: OrderError) -> Outcome {
        Outcome::new(error.exit_status(), error.to_string())
    }
}

fn print_result(result: Result<Outcome, OrderError>, format: OutputFormat) -> ExitStatus {
    result.unwrap_or_else(Outcome::from).print(format)
}

/// A valid configuration file, which can be sent to the control nodes.
struct ConfigurationFile {
    body: Vec<u8>,
    revision: u64,
}

impl ConfigurationFile {
    fn read(path: &Path) -> Result<ConfigurationFile, CommandError> {
        let file = || path.to_path_buf();
        let body =
            std::fs::read(path).map_err(|source| CommandError::UnreadableFile { file: file(), source })?;
        match Config::parse(&body) {
            Ok(config) => Ok(ConfigurationFile { body, revision: config.revision }),
            Err(faults) => Err(CommandError::Configuration { file: file(), faults }),
        }
    }

    /// Compares this file with the configuration that is in force.
    fn compare(&self, in_force: &[u8]) -> Outcome {
        let (own, other) = (self.revision, revision_of(in_force));
        let outcome = if self.body == in_force {
            Outcome::new(ExitStatus::Success, format!("revision {own} is in force"))
        } else if own == other {
            let text = "CONFLICT: another content is in force under this number; read it, and send yours under a higher one";
            Outcome::new(ExitStatus::Differs, format!("{text} (revision {own})"))
        } else {
            Outcome::new(ExitStatus::Differs, format!("revision {other} is in force, not {own}"))
        };
        outcome
            .with_detail("revision", other)
            .with_detail("digest", content_digest(in_force))
            .with_detail("sent", content_digest(&self.body))
    }
}

/// The revision of a configuration; 0 if the configuration can't be parsed.
fn revision_of(body: &[u8]) -> u64 {
    Config::parse(body).map_or(0, |config| config.revision)
}

/// Sends a configuration to the control nodes, and reports whether it is in force.
///
/// # Errors
///
/// If the file or the entry point can't be used, or no process answers.
pub fn apply(path: &Path, query: &Query<'_>) -> Result<ExitStatus, CommandError> {
    let file = ConfigurationFile::read(path)?;
    let control = ControlApi::find(&query.entry)?;
    Ok(print_result(send(&file, &control), query.format))
}

fn send(file: &ConfigurationFile, control: &ControlApi) -> Result<Outcome, OrderError> {
    let reply = control.call("POST", "/v1/settings/replace", &file.body)?;
    if reply.status != 200 {
        return Err(OrderError::ConfigurationRejected { reason: reply.reason() });
    }
    // The configuration is read back, because another operator may have sent a newer one since the answer.
    Ok(file.compare(&control.configuration_in_force()?))
}

/// Shows the configuration that is in force, as the operator sent it.
///
/// # Errors
///
/// If the entry point can't be used, or no process answers.
pub fn read(query: &Query<'_>) -> Result<ExitStatus, CommandError> {
    let control = ControlApi::find(&query.entry)?;
    let body = match control.configuration_in_force() {
        Ok(body) => body,
        Err(error) => return Ok(Outcome::from(error).print(query.format)),
    };
    let text = String::from_utf8_lossy(&body);
    match query.format {
        OutputFormat::Json => {
            let object = jzon::object! {
                "revision" => revision_of(&body),
                "digest" => content_digest(&body),
                "configuration" => jzon::parse(&text).unwrap_or(JsonValue::Null),
            };
            print(&object.pretty(2));
        }
        OutputFormat::Text => print(&text),
    }
    Ok(ExitStatus::Success)
}

/// Reports whether the configuration in a file is in force, and otherwise lists the differences.
///
/// # Errors
///
/// If the file or the entry point can't be used, or no process answers.
pub fn diff(path: &Path, query: &Query<'_>) -> Result<ExitStatus, CommandError> {
    let file = ConfigurationFile::read(path)?;
    let control = ControlApi::find(&query.entry)?;
    Ok(print_result(compare_with_in_force(&file, &control), query.format))
}

fn compare_with_in_force(file: &ConfigurationFile, control: &ControlApi) -> Result<Outcome, OrderError> {
    let in_force = control.configuration_in_force()?;
    let mut outcome = file.compare(&in_force);
    let changes = differences(&in_force, &file.body);
    for change in &changes {
        outcome.text += &format!("\n  {change}");
    }
    Ok(outcome.with_detail("differences", changes))
}

/// Starts the retirement of a store, which empties the store, or reports its progress.
///
/// # Errors
///
/// If the store name or the entry point can't be used, or no process answers.
pub fn retire(name: &str, request: RetireRequest, query: &Query<'_>) -> Result<ExitStatus, CommandError> {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if name.is_empty() || !name.chars().all(is_allowed) {
        return Err(CommandError::InvalidNodeName(name.to_string()));
    }
    let control = ControlApi::find(&query.entry)?;
    let reply = match request {
        RetireRequest::Status => control.call("GET", &format!("/v1/retire/{name}/read"), b""),
        RetireRequest::Begin => control.call("POST", &format!("/v1/retire/{name}/begin"), b"{}"),
    };
    Ok(print_result(reply.and_then(|reply| retirement(name, &reply)), query.format))
}

/// Converts the answer of a control node about a retirement to an outcome.
fn retirement(name: &str, reply: &Reply) -> Result<Outcome, OrderError> {
    let body = reply.json();
    let state = body["state"].as_str().unwrap_or("ordered").to_string();
    let (status, text) = match (reply.status, state.as_str()) {
        (200, "complete") => (ExitStatus::Success, format!("{name} is empty: take it away with its disk")),
        (200, "rolling") => (ExitStatus::Differs, format!("{name} is being emptied: leave it running")),
        (200, _) => {
            (ExitStatus::Success, format!("{name} has the order: ask with --status until it is empty"))
        }
        (404, _) => return Err(OrderError::UnknownStore { name: name.to_string(), reason: reply.reason() }),
        _ => return Err(OrderError::RetirementRejected { reason: reply.reason() }),
    };
    let warning = body["warning"].as_str();
    let text = warning.map_or(text.clone(), |warning| format!("{text}\nWARNING: {warning}"));
    let outcome = Outcome::new(status, text).with_detail("state", state);
    Ok(match body["spare_stores"].as_u64() {
        Some(spare_stores) => outcome.with_detail("spare_stores", spare_stores),
        None => outcome,
    })
}

#[cfg(test)]
mod tests;
