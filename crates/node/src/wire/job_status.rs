//! Parses the status lines that an executor sends about a job, and load reports.

use super::names;
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::ops::Range;

/// The meaning of one status line.
#[derive(Debug, PartialEq)]
pub enum StatusLine {
    Started,
    /// With the completed fraction of the job, from 0 to 1; zero if it is missing or invalid.
    Running(f64),
    /// The job is done; the result is in this byte range of the status line.
    Done(Range<usize>),
    Failed,
    Returned,
    Lost,
    /// A state unknown to this node; it is ignored.
    Unknown,
    Malformed,
}

#[derive(Deserialize)]
struct StatusFields<'a> {
    #[serde(borrow)]
    id: Option<Cow<'a, str>>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    #[serde(borrow)]
    result: Option<Cow<'a, str>>,
    /// Any JSON value: an invalid fraction must not make the whole line invalid.
    share: Option<serde_json::Value>,
    #[serde(borrow)]
    load: Option<BTreeMap<Cow<'a, str>, f64>>,
}

/// Parses a status line of the job `id`. If the result has escapes, the decoded text, which is never longer, is
/// written over the start of the line.
pub fn parse_line(bytes: &mut [u8], id: &str, gauges: &[String]) -> (StatusLine, Option<Vec<f64>>) {
    let trimmed = bytes.trim_ascii();
    if trimmed.is_empty() {
        return (StatusLine::Unknown, None);
    }
    let Ok(line) = serde_json::from_slice::<StatusFields>(trimmed) else {
        return (StatusLine::Malformed, None);
    };
    // A line with another job's id is malformed: otherwise one client could receive the result of another.
    if line.id.as_ref().is_some_and(|value| value != id) {
        return (StatusLine::Malformed, None);
    }
    let load = line.load.as_ref().and_then(|load| {
        values_in_order(gauges, |gauge| {
            load.iter().find(|(name, _)| names::is_gauge(name, gauge)).map(|(_, v)| *v)
        })
    });
    let status = match line.state.as_ref() {
        names::JOB_STARTED => StatusLine::Started,
        names::JOB_RUNNING => StatusLine::Running(parse_share(line.share.as_ref())),
        names::JOB_FAILED => StatusLine::Failed,
        names::JOB_RETURNED => StatusLine::Returned,
        names::JOB_LOST => StatusLine::Lost,
        names::JOB_DONE => match line.result {
            // A `done` line without a result is malformed: the client must not get a response that no executor
            // made.
            None => StatusLine::Malformed,
            Some(Cow::Borrowed(text)) => {
                let start = text.as_ptr() as usize - bytes.as_ptr() as usize;
                StatusLine::Done(start..start + text.len())
            }
            Some(Cow::Owned(text)) => {
                bytes[..text.len()].copy_from_slice(text.as_bytes());
                StatusLine::Done(0..text.len())
            }
        },
        _ => StatusLine::Unknown,
    };
    (status, load)
}

fn parse_share(value: Option<&serde_json::Value>) -> f64 {
    value.and_then(serde_json::Value::as_f64).filter(|share| (0.0..=1.0).contains(share)).unwrap_or(0.0)
}

/// Parses the text form of a load report: `TEXT inflight=7, queue=2`.
pub fn read_load_text(text: &str, gauges: &[String]) -> Option<Vec<f64>> {
    let fields = text.trim().strip_prefix("TEXT").unwrap_or(text);
    let value = |gauge: &str| {
        let mut pairs = fields.split(',').filter_map(|field| field.split_once('='));
        let (_, value) = pairs.find(|(name, _)| names::is_gauge(name.trim(), gauge))?;
        value.trim().parse().ok()
    };
    values_in_order(gauges, value)
}

/// The gauge values in the order of the settings. A report that lacks one of them is ignored.
fn values_in_order(gauges: &[String], value: impl Fn(&str) -> Option<f64>) -> Option<Vec<f64>> {
    let values: Option<Vec<f64>> = gauges.iter().map(|g| value(g).filter(|v| v.is_finite())).collect();
    values.filter(|values| !values.is_empty())
}
