//! The log: lines on standard error, and not more of them a second than someone can use.

use crossbeam_channel::{bounded, Sender};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// Lines a second; what goes beyond is counted and told. Ended connections get a part of them only: a crowd of
/// clients must not hide what else happens.
const MAX_LINES_PER_SECOND: u64 = 200;
const MAX_CONNECTION_LINES_PER_SECOND: u64 = 100;

/// The second and the lines already written in it, and the lines dropped since last told.
static LINES_THIS_SECOND: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Whether a line may be written in this second, and how many were dropped before it.
pub fn admit_line(is_connection_end: bool) -> Option<u64> {
    let limit = if is_connection_end { MAX_CONNECTION_LINES_PER_SECOND } else { MAX_LINES_PER_SECOND };
    let second = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs()) << 16;
    let step = |old: u64| {
        let lines = if old & !0xFFFF == second { old & 0xFFFF } else { 0 };
        (lines < limit).then_some(second | (lines + 1))
    };
    match LINES_THIS_SECOND.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step) {
        Ok(_) => Some(DROPPED.swap(0, Ordering::Relaxed)),
        Err(_) => {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            None
        }
    }
}

enum LogMessage {
    Text(String),
    /// All before it is written.
    Flush(Sender<()>),
}

static WRITER: OnceLock<Sender<LogMessage>> = OnceLock::new();
/// Lines that may wait, and how long the end of the process waits for them.
const QUEUE_LINES: usize = 512;
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// From now on lines are written by a thread of their own: whoever reads them may be slow, or stand still, and
/// the desk must not stand still with him.
pub fn open(json: bool) -> std::io::Result<()> {
    let (lines, queued) = bounded(QUEUE_LINES);
    super::spawn("log", move || {
        for line in queued {
            match line {
                LogMessage::Text(text) => put(&text),
                LogMessage::Flush(done) => drop(done.send(())),
            }
        }
    })?;
    let _ = WRITER.set(lines);
    let _ = tracing::subscriber::set_global_default(LogSubscriber { json });
    Ok(())
}

/// That a line can't be written is no reason to end, as it would be for `eprintln`.
fn put(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

/// Writes a line, or counts it as dropped.
pub fn write(line: std::fmt::Arguments) {
    match WRITER.get() {
        None => put(&line.to_string()),
        Some(lines) => {
            if lines.try_send(LogMessage::Text(line.to_string())).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Waits a moment for what is still to be written.
pub fn close() {
    let (done, written) = bounded(1);
    if WRITER.get().is_some_and(|lines| lines.send_timeout(LogMessage::Flush(done), FLUSH_TIMEOUT).is_ok()) {
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Targets of events: what belongs to an ended connection, what to the fate of an op.
pub const CONNECTION_ENDED: &str = "stileroute::ended";
pub const OP_OUTCOME: &str = "stileroute::op";

/// Writes events as lines: their message alone, or all their fields as JSON.
struct LogSubscriber {
    json: bool,
}

/// What an event says.
#[derive(Default)]
struct EventFields {
    message: String,
    fields: serde_json::Map<String, serde_json::Value>,
    json: bool,
}

impl EventFields {
    fn put(&mut self, field: &Field, value: impl Into<serde_json::Value>) {
        if self.json {
            self.fields.insert(field.name().to_string(), value.into());
        }
    }
}

impl Visit for EventFields {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        if field.name() == "message" {
            self.message = format!("{value:?}");
        } else if self.json {
            self.put(field, format!("{value:?}"));
        }
    }
    fn record_str(&mut self, field: &Field, value: &str) {
        self.put(field, value);
    }
    fn record_i64(&mut self, field: &Field, value: i64) {
        self.put(field, value);
    }
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.put(field, value);
    }
    fn record_f64(&mut self, field: &Field, value: f64) {
        self.put(field, value);
    }
}

impl Subscriber for LogSubscriber {
    /// What becomes of each op is told as JSON only: as text it would drown the rest.
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("stileroute") && (self.json || metadata.target() != OP_OUTCOME)
    }
    fn event(&self, event: &Event<'_>) {
        let Some(dropped) = admit_line(event.metadata().target() != "stileroute") else { return };
        let mut event_fields = EventFields { json: self.json, ..EventFields::default() };
        if dropped > 0 {
            self.write(&format!("log: {dropped} lines dropped"), "stileroute", serde_json::Map::new());
        }
        event.record(&mut event_fields);
        self.write(&event_fields.message, event.metadata().target(), event_fields.fields);
    }
    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }
    fn record(&self, _: &Id, _: &Record<'_>) {}
    fn record_follows_from(&self, _: &Id, _: &Id) {}
    fn enter(&self, _: &Id) {}
    fn exit(&self, _: &Id) {}
}

impl LogSubscriber {
    fn write(&self, message: &str, target: &str, mut fields: serde_json::Map<String, serde_json::Value>) {
        if !self.json {
            return write(format_args!("{message}"));
        }
        let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        fields.insert("at_ms".to_string(), at_ms.into());
        let topic = target.rsplit("::").next().unwrap_or(target);
        fields.insert("about".to_string(), if topic == "stileroute" { "node" } else { topic }.into());
        fields.insert("message".to_string(), message.into());
        write(format_args!("{}", serde_json::Value::Object(fields)));
    }
}

/// Says something in the log. `ended` marks ended connections and `op` what became of an op, both with fields.
#[macro_export]
macro_rules! log_info {
    (ended { $($fields:tt)* } $($text:tt)*) => {
        tracing::info!(target: $crate::process::log::CONNECTION_ENDED, { $($fields)* }, $($text)*)
    };
    (op { $($fields:tt)* } $($text:tt)*) => {
        tracing::info!(target: $crate::process::log::OP_OUTCOME, { $($fields)* }, $($text)*)
    };
    ($($text:tt)*) => {
        tracing::info!(target: "stileroute", $($text)*)
    };
}
