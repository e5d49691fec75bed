//! The log: lines on standard error, and not more of them a second than someone can use.

use crossbeam_channel::{bounded, Sender};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Lines a second; what goes beyond is counted and told. Ended connections get a part of them only: a crowd of
/// clients must not hide what else happens.
const MOST: u64 = 200;
const MOST_ENDED: u64 = 100;

/// The second and the lines already written in it, and the lines dropped since last told.
static WRITTEN: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Whether a line may be written in this second, and how many were dropped before it.
pub fn leave(ended: bool) -> Option<u64> {
    let most = if ended { MOST_ENDED } else { MOST };
    let second = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs()) << 16;
    let step = |old: u64| {
        let lines = if old & !0xFFFF == second { old & 0xFFFF } else { 0 };
        (lines < most).then_some(second | (lines + 1))
    };
    match WRITTEN.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step) {
        Ok(_) => Some(DROPPED.swap(0, Ordering::Relaxed)),
        Err(_) => {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            None
        }
    }
}

enum Line {
    Text(String),
    /// All before it is written.
    Flush(Sender<()>),
}

static LINES: OnceLock<Sender<Line>> = OnceLock::new();
/// Lines that may wait, and how long the end of the process waits for them.
const QUEUE: usize = 512;
const FLUSH: Duration = Duration::from_millis(200);

/// From now on lines are written by a thread of their own: whoever reads them may be slow, or stand still, and
/// the desk must not stand still with him.
pub fn open() -> std::io::Result<()> {
    let (lines, to_write) = bounded(QUEUE);
    super::spawn("log", move || {
        for line in to_write {
            match line {
                Line::Text(text) => put(&text),
                Line::Flush(done) => drop(done.send(())),
            }
        }
    })?;
    let _ = LINES.set(lines);
    Ok(())
}

/// That a line can't be written is no reason to end, as it would be for `eprintln`.
fn put(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

/// Writes a line, or counts it as dropped.
pub fn write(line: std::fmt::Arguments) {
    match LINES.get() {
        None => put(&line.to_string()),
        Some(lines) => {
            if lines.try_send(Line::Text(line.to_string())).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Waits a moment for what is still to be written.
pub fn close() {
    let (done, written) = bounded(1);
    if LINES.get().is_some_and(|lines| lines.send_timeout(Line::Flush(done), FLUSH).is_ok()) {
        let _ = written.recv_timeout(FLUSH);
    }
}

/// Writes one line of the log; `ended` marks those of ended connections.
#[macro_export]
macro_rules! say {
    (ended $($text:tt)*) => {
        $crate::say!(@ true, $($text)*)
    };
    (@ $ended:expr, $($text:tt)*) => {
        if let Some(dropped) = $crate::life::log::leave($ended) {
            if dropped > 0 {
                $crate::life::log::write(format_args!("log: {dropped} lines dropped"));
            }
            $crate::life::log::write(format_args!($($text)*));
        }
    };
    ($($text:tt)*) => {
        $crate::say!(@ false, $($text)*)
    };
}
