//! `stilerouted state verify`: reads the data folder of a machine whose process is stopped, and changes nothing in it.

use super::output::{print, ExitStatus, OutputFormat};
use crate::disk_owner;
use crate::store::kept_ends::FILE_NAME as KEPT_ENDS_FILE;
use crate::store::kept_failures::FILE_NAME as KEPT_FAILURES_FILE;
use jzon::JsonValue;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::path::Path;
use stileroute_config::Config;
use stileroute_control_group::{PersistedState, Record as ControlRecord};
use stileroute_queue::{End, Record as MessageRecord, StateTable};
use stileroute_wal::{FileState, ReadError, Report};

/// Subfolder of the data folder that holds the log of a store.
const STORE_FOLDER: &str = "hold";
/// Subfolder of the data folder that holds the log of a control node.
const CONTROL_FOLDER: &str = "watch";
/// The record kind under which records that can't be decoded are counted.
const UNDECODABLE_KIND: &str = "unread";

/// The number of records of each kind.
#[derive(Default)]
struct KindCounts(BTreeMap<&'static str, u64>);

impl KindCounts {
    fn add(&mut self, kind: &'static str) {
        *self.0.entry(kind).or_default() += 1;
    }

    fn as_json(&self) -> JsonValue {
        let mut object = JsonValue::new_object();
        self.0.iter().for_each(|(kind, count)| object[*kind] = (*count).into());
        object
    }
}

/// Reads a complete log, and passes each record that can be decoded to `apply`. Returns the report on the log files, and the
/// number of records of each kind.
fn read_records<R: DeserializeOwned>(
    folder: &Path,
    kind_of: fn(&R) -> &'static str,
    mut apply: impl FnMut(R),
) -> Result<(Report, KindCounts), ReadError> {
    let mut kinds = KindCounts::default();
    let report = stileroute_wal::verify(folder, &mut |bytes| match postcard::from_bytes::<R>(bytes) {
        Ok(record) => {
            kinds.add(kind_of(&record));
            apply(record);
        }
        Err(_) => kinds.add(UNDECODABLE_KIND),
    })?;
    Ok((report, kinds))
}

/// Reads the log of a store, and summarizes the state that its records give.
fn verify_store(folder: &Path) -> Result<JsonValue, ReadError> {
    let mut table = StateTable::default();
    let (report, kinds) = read_records(folder, message_record_kind, |record| table.apply_record(record))?;
    let unwritten_ends = apply_crash_buffer(folder, KEPT_ENDS_FILE, |record| table.apply_kept_end(record));
    let unwritten_failures =
        apply_crash_buffer(folder, KEPT_FAILURES_FILE, |record| table.apply_kept_failure(record));
    let ends = || table.messages.values().filter_map(|message| message.end.as_ref());
    let live = table.messages.values().filter(|message| message.end.is_none()).count();
    let complete = ends().filter(|stored| matches!(stored.end, End::Complete { .. })).count();
    let failed = ends().filter(|stored| stored.end == End::Failed).count();
    let callbacks_owed = ends().filter(|stored| stored.callback_pending).count();
    let mut object = files_as_json(&report);
    object["disk"] = table.disk_id.map(|disk| format!("{disk:016x}")).into();
    object["records_by_kind"] = kinds.as_json();
    object["live"] = live.into();
    object["complete"] = complete.into();
    object["failed"] = failed.into();
    object["callbacks_owed"] = callbacks_owed.into();
    if let Some(unwritten_ends) = unwritten_ends {
        object["ends_unwritten"] = unwritten_ends;
    }
    if let Some(unwritten_failures) = unwritten_failures {
        object["failures_unwritten"] = unwritten_failures;
    }
    Ok(object)
}

/// Applies the records of a crash buffer file beside the log, as the next start of the store would do. Returns the number of
/// records that the log lacks, or the reason why the file can't be read; `None` if there is no such file.
fn apply_crash_buffer(
    folder: &Path,
    file_name: &str,
    mut apply: impl FnMut(&[u8]) -> bool,
) -> Option<JsonValue> {
    let file = folder.with_file_name(file_name);
    if !file.exists() {
        return None;
    }
    Some(match stileroute_crash_buffer::read(&file) {
        Ok(records) => records.iter().filter(|record| apply(record)).count().into(),
        Err(error) => error.to_string().into(),
    })
}

fn message_record_kind(record: &MessageRecord) -> &'static str {
    match record {
        MessageRecord::IncarnationStarted { .. } => "born",
        MessageRecord::Put { .. } => "put",
        MessageRecord::Ended { .. } => "end",
        MessageRecord::CallbackDelivered { .. } => "called",
        MessageRecord::OwnerChanged { .. } => "own",
        MessageRecord::Dropped { .. } => "drop",
        MessageRecord::RetirementOrdered => "retire",
        MessageRecord::PeerDiskKnown { .. } => "peer disk",
        MessageRecord::AttemptFailed { .. } => "attempt failed",
        MessageRecord::ShardsGranted { .. } => "shards",
        MessageRecord::ShardTermsMissing(_) => "shard terms",
        MessageRecord::MessageHolderGone { is_gone: true, .. } => "store gone",
        MessageRecord::MessageHolderGone { is_gone: false, .. } => "store heard",
        MessageRecord::EndRetentionSet { .. } => "end retention",
    }
}

/// Reads the log of a control node, and summarizes the state that its records give.
fn verify_control_node(folder: &Path) -> Result<JsonValue, ReadError> {
    let mut persisted = PersistedState::default();
    let (report, kinds) = read_records(folder, control_record_kind, |record| persisted.apply(record))?;
    let (view, state) = (persisted.view.as_ref(), persisted.state.as_ref());
    let configuration_reads = state.is_none_or(|state| Config::parse(&state.body).is_ok());
    let mut object = files_as_json(&report);
    object["records_by_kind"] = kinds.as_json();
    object["epoch"] = view.map_or(0, |view| view.epoch).into();
    object["primary"] = view.map(|view| view.primary.to_string()).into();
    object["version"] = state.map_or(0, |state| state.version).into();
    object["configuration_reads"] = configuration_reads.into();
    Ok(object)
}

fn control_record_kind(record: &ControlRecord) -> &'static str {
    match record {
        ControlRecord::View(_) => "watch",
        ControlRecord::ControlState(_) => "state",
        ControlRecord::LegacyConfiguration(_) => "state of an older build",
        ControlRecord::Vote(_) => "lent",
    }
}

fn files_as_json(report: &Report) -> JsonValue {
    let file_as_json = |file: &stileroute_wal::FileReport| {
        jzon::object! {
            "name" => file.name.clone(),
            "records" => file.records,
            "bytes" => file.bytes,
            "state" => file_state_as_text(&file.state),
        }
    };
    jzon::object! {
        "opens" => report.opens(),
        "identity" => report.identity.clone(),
        "records" => report.records,
        "bytes" => report.bytes,
        "files" => report.files.iter().map(file_as_json).collect::<Vec<_>>(),
    }
}

fn file_state_as_text(state: &FileState) -> String {
    match state {
        FileState::Complete => "whole".to_string(),
        FileState::TornTail { offset, reason } => {
            format!("torn at byte {offset}, cut off at the next start: {reason}")
        }
        FileState::Corrupted(reason) => format!("damaged: {reason}"),
        FileState::Obsolete => "left over".to_string(),
        FileState::Unrecognized => "foreign".to_string(),
    }
}

/// Formats one line for each value of the summary, then one line for each log file.
fn folder_as_text(name: &str, folder: &JsonValue) -> String {
    let mut text = format!("{name}:");
    for (key, value) in folder.entries().filter(|(key, _)| *key != "files") {
        text += &format!("\n  {}: {}", key.replace('_', " "), value_as_text(value));
    }
    for file in folder["files"].members() {
        let (name, state) = (&file["name"], &file["state"]);
        text += &format!("\n  {name}: {} records, {} bytes, {state}", file["records"], file["bytes"]);
    }
    text
}

fn value_as_text(value: &JsonValue) -> String {
    match value {
        JsonValue::Object(kinds) => {
            let kinds: Vec<String> = kinds.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
            kinds.join(", ")
        }
        other => other.as_str().map_or_else(|| other.dump(), str::to_string),
    }
}

fn is_intact(folder: &JsonValue) -> bool {
    let has_undecodable = folder["records_by_kind"][UNDECODABLE_KIND].as_u64().unwrap_or(0) > 0;
    folder["opens"] == true && !has_undecodable && folder["configuration_reads"] != false
}

/// Reads and checks a complete data folder. Returns [`ExitStatus::Failure`] if a log is damaged, and [`ExitStatus::Unusable`] if
/// the folder holds no log of any role.
pub fn verify(data_dir: &Path, format: OutputFormat) -> ExitStatus {
    type Verify = fn(&Path) -> Result<JsonValue, ReadError>;
    let roles: [(&str, Verify); 2] = [(STORE_FOLDER, verify_store), (CONTROL_FOLDER, verify_control_node)];
    let mut folders = JsonValue::new_object();
    for (name, verify_folder) in roles {
        let folder = data_dir.join(name);
        if folder.is_dir() {
            let mut verified = verify_folder(&folder).unwrap_or_else(|error| {
                jzon::object! { "opens" => false, "trouble" => error.to_string() }
            });
            if let Ok(Some(owner)) = disk_owner::read(data_dir, name) {
                verified["owner"] = owner.into();
            }
            folders[name] = verified;
        }
    }
    if folders.is_empty() {
        eprintln!("{}: all: holds neither hold nor watch", data_dir.display());
        return ExitStatus::Unusable;
    }
    match format {
        OutputFormat::Json => print(&folders.pretty(2)),
        OutputFormat::Text => {
            folders.entries().for_each(|(name, folder)| print(&folder_as_text(name, folder)));
        }
    }
    if folders.entries().all(|(_, folder)| is_intact(folder)) {
        ExitStatus::Success
    } else {
        ExitStatus::Failure
    }
}
