//! The log: lines on standard error, with a rate limit.

use crossbeam_channel::{bounded, Sender};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// Maximum lines per second; further lines are dropped and counted. Lines about ended connections may use only
/// part of the limit, so that a crowd of clients cannot hide other events.
const MAX_LINES_PER_SECOND: u64 = 200;
const MAX_CONNECTION_LINES_PER_SECOND: u64 = 100;

/// The current second with the number of lines written in it, and the number of lines dropped since the last
/// report.
static LINES_THIS_SECOND: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Whether a line may be written in this second; if so, the number of lines dropped before it.
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
    /// Replies once all earlier lines are written.
    Flush(Sender<()>),
}

static WRITER: OnceLock<Sender<LogMessage>> = OnceLock::new();
/// Number of lines that may be queued, and how long the exit waits for them.
const QUEUE_LINES: usize = 512;
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts a thread that writes the log: the reader of standard error may be slow or blocked, and the dispatch
/// loop must not block with it.
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

/// Writes a line and ignores errors, where `eprintln` would panic.
fn put(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

/// Queues a line, or counts it as dropped.
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

/// Waits briefly until all queued lines are written.
pub fn close() {
    let (done, written) = bounded(1);
    if WRITER.get().is_some_and(|lines| lines.send_timeout(LogMessage::Flush(done), FLUSH_TIMEOUT).is_ok()) {
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Event targets for ended connections and for the outcomes of ops.
pub const CONNECTION_ENDED: &str = "stileroute::ended";
pub const OP_OUTCOME: &str = "stileroute::op";

/// Writes events as text lines (the message only) or as JSON with all fields.
struct LogSubscriber {
    json: bool,
}

/// The message and fields of an event.
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
    /// Outcomes of ops are logged only in JSON form; as text they would bury all other lines.
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

/// Writes a log line. `ended` marks an ended connection and `op` the outcome of an op, both with fields.
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
