//! What is on the disk of a machine whose process is stopped: read through, with no change to it.

use crate::args::{say, UNUSABLE};
use jzon::JsonValue;
use std::collections::BTreeMap;
use std::path::Path;
use stileroute_config::Config;
use stileroute_control_group::{PersistedState, Record as Watching};
use stileroute_queue::{End, Record, StateTable};
use stileroute_wal::{verify as read, FileState, Trouble};

/// Damage was found.
const DAMAGED: u8 = 1;

#[derive(Default)]
struct Kinds(BTreeMap<&'static str, u64>);

impl Kinds {
    fn add(&mut self, kind: &'static str) {
        *self.0.entry(kind).or_default() += 1;
    }
    fn json(&self) -> JsonValue {
        let mut object = JsonValue::new_object();
        self.0.iter().for_each(|(kind, count)| object[*kind] = (*count).into());
        object
    }
}

fn hold(dir: &Path) -> Result<JsonValue, Trouble> {
    let (mut ledger, mut kinds) = (StateTable::default(), Kinds::default());
    let report = read(dir, &mut |bytes| match postcard::from_bytes::<Record>(bytes) {
        Ok(record) => {
            kinds.add(match &record {
                Record::IncarnationStarted { .. } => "born",
                Record::Put { .. } => "put",
                Record::Ended { .. } => "end",
                Record::CallbackDelivered { .. } => "called",
                Record::OwnerChanged { .. } => "own",
                Record::Dropped { .. } => "drop",
                Record::RetirementOrdered => "retire",
            });
            ledger.apply_record(record);
        }
        Err(_) => kinds.add("unread"),
    })?;
    let ends = |test: fn(&End) -> bool| {
        ledger
            .messages
            .values()
            .filter(|kept| kept.end.as_ref().is_some_and(|stored| test(&stored.end)))
            .count()
    };
    let live = ledger.messages.values().filter(|kept| kept.end.is_none()).count();
    let owed = ledger
        .messages
        .values()
        .filter(|kept| kept.end.as_ref().is_some_and(|stored| stored.callback_pending))
        .count();
    let mut object = files(&report);
    object["disk"] = ledger.disk_id.map(|disk| format!("{disk:016x}")).into();
    object["records_by_kind"] = kinds.json();
    object["live"] = live.into();
    object["complete"] = ends(|end| matches!(end, End::Complete { .. })).into();
    object["failed"] = ends(|end| *end == End::Failed).into();
    object["callbacks_owed"] = owed.into();
    Ok(object)
}

fn watch(dir: &Path) -> Result<JsonValue, Trouble> {
    let (mut kept, mut kinds) = (PersistedState::default(), Kinds::default());
    let report = read(dir, &mut |bytes| match postcard::from_bytes::<Watching>(bytes) {
        Ok(record) => {
            kinds.add(match &record {
                Watching::View(_) => "watch",
                Watching::ControlState(_) => "state",
                Watching::LegacyConfiguration(_) => "state of an older build",
                Watching::Vote(_) => "lent",
            });
            kept.apply(record);
        }
        Err(_) => kinds.add("unread"),
    })?;
    let mut object = files(&report);
    object["records_by_kind"] = kinds.json();
    object["epoch"] = kept.view.as_ref().map_or(0, |w| w.epoch).into();
    object["primary"] = kept.view.as_ref().map(|w| w.primary.to_string()).into();
    let version = kept.state.as_ref().map_or(0, |state| state.version);
    object["version"] = version.into();
    let reads = kept.state.as_ref().is_none_or(|state| Config::parse(&state.body).is_ok());
    object["configuration_reads"] = reads.into();
    Ok(object)
}

fn files(report: &stileroute_wal::Report) -> JsonValue {
    let files: Vec<JsonValue> = report
        .files
        .iter()
        .map(|file| {
            let state = match &file.state {
                FileState::Complete => "whole".to_string(),
                FileState::TornTail { offset, reason } => {
                    format!("torn at byte {offset}, cut off at the next start: {reason}")
                }
                FileState::Corrupted(reason) => format!("damaged: {reason}"),
                FileState::Obsolete => "left over".to_string(),
                FileState::Unrecognized => "foreign".to_string(),
            };
            jzon::object! {
                "name" => file.name.clone(),
                "records" => file.records,
                "bytes" => file.bytes,
                "state" => state,
            }
        })
        .collect();
    jzon::object! {
        "opens" => report.opens(),
        "identity" => report.identity.clone(),
        "records" => report.records,
        "bytes" => report.bytes,
        "files" => files,
    }
}

fn lines(name: &str, part: &JsonValue) -> String {
    let mut text = format!("{name}:");
    for (key, value) in part.entries().filter(|(key, _)| *key != "files") {
        let value = match value {
            JsonValue::Object(kinds) => {
                kinds.iter().map(|(kind, count)| format!("{kind} {count}")).collect::<Vec<_>>().join(", ")
            }
            other => other.as_str().map_or_else(|| other.dump(), str::to_string),
        };
        text += &format!("\n  {}: {value}", key.replace('_', " "));
    }
    for file in part["files"].members() {
        let (name, state) = (&file["name"], &file["state"]);
        text += &format!("\n  {name}: {} records, {} bytes, {state}", file["records"], file["bytes"]);
    }
    text
}

/// 0: all of it opens; 1: something is damaged; 2: nothing of this program is there.
pub fn verify(dir: &Path, json: bool) -> u8 {
    type Part = (&'static str, fn(&Path) -> Result<JsonValue, Trouble>);
    let parts: [Part; 2] = [("hold", hold), ("watch", watch)];
    let (mut all, mut code) = (JsonValue::new_object(), UNUSABLE);
    for (name, read) in parts {
        let at = dir.join(name);
        if !at.is_dir() {
            continue;
        }
        code = if code == UNUSABLE { 0 } else { code };
        let part = read(&at).unwrap_or_else(|trouble| {
            jzon::object! { "opens" => false, "trouble" => trouble.to_string() }
        });
        let unread = part["records_by_kind"]["unread"].as_u64().unwrap_or(0) > 0;
        let sound = part["opens"] == true && !unread && part["configuration_reads"] != false;
        if !sound {
            code = DAMAGED;
        }
        all[name] = part;
    }
    if code == UNUSABLE {
        eprintln!("{}: all: holds neither hold nor watch", dir.display());
    } else if json {
        say(&all.pretty(2));
    } else {
        all.entries().for_each(|(name, part)| say(&lines(name, part)));
    }
    code
}
