//! Metrics in the text exposition format of Prometheus (version 0.0.4). Each name is explained in docs/server.md.

use std::fmt::{Display, Write};

/// Upper bounds of a histogram's buckets, in milliseconds.
const BUCKETS_MS: [u64; 10] = [5, 10, 20, 40, 80, 160, 320, 1000, 5000, 15_000];

/// How often durations of each length occurred.
#[derive(Clone, Copy, Debug, Default)]
pub struct Histogram {
    /// Durations up to each of [`BUCKETS_MS`], and above the one before.
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: u64,
}

impl Histogram {
    /// Counts a duration, in milliseconds.
    pub fn record(&mut self, duration_ms: u64) {
        if let Some(index) = BUCKETS_MS.iter().position(|bound| duration_ms <= *bound) {
            self.buckets[index] += 1;
        }
        self.count += 1;
        self.sum_ms += duration_ms;
    }
}

/// The labels of a sample: names and values.
type Labels<'a> = &'a [(&'a str, &'a str)];

/// The metrics of a process, as they are written one after the other. All samples of one name have to follow one another,
/// since its description is written before the first of them.
#[derive(Default)]
pub struct Exposition {
    /// What has been written.
    pub text: String,
    /// The name that was described last.
    described: String,
}

impl Exposition {
    fn describe(&mut self, name: &str, kind: &str, help: &str) {
        if self.described != name {
            self.described = name.to_string();
            // Writing to a `String` can't fail.
            let _ = writeln!(self.text, "# HELP {name} {help}\n# TYPE {name} {kind}");
        }
    }

    fn sample(&mut self, name: &str, labels: Labels, value: impl Display) {
        self.text.push_str(name);
        for (index, (label, text)) in labels.iter().enumerate() {
            let separator = if index == 0 { '{' } else { ',' };
            let text = text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
            let _ = write!(self.text, "{separator}{label}=\"{text}\"");
        }
        let end = if labels.is_empty() { "" } else { "}" };
        let _ = writeln!(self.text, "{end} {value}");
    }

    /// A number that only rises while the process runs.
    pub fn counter(&mut self, name: &str, help: &str, labels: Labels, value: u64) {
        self.describe(name, "counter", help);
        self.sample(name, labels, value);
    }

    /// A number that rises and falls.
    pub fn gauge(&mut self, name: &str, help: &str, labels: Labels, value: impl Display) {
        self.describe(name, "gauge", help);
        self.sample(name, labels, value);
    }

    /// A histogram, recorded in milliseconds and written in seconds.
    pub fn histogram(&mut self, name: &str, help: &str, histogram: &Histogram) {
        self.describe(name, "histogram", help);
        let bucket_name = format!("{name}_bucket");
        let mut cumulative = 0;
        for (bound_ms, count) in BUCKETS_MS.iter().zip(histogram.buckets) {
            cumulative += count;
            let bound = seconds(*bound_ms).to_string();
            self.sample(&bucket_name, &[("le", &bound)], cumulative);
        }
        self.sample(&bucket_name, &[("le", "+Inf")], histogram.count);
        self.sample(&format!("{name}_sum"), &[], seconds(histogram.sum_ms));
        self.sample(&format!("{name}_count"), &[], histogram.count);
    }
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}

#[cfg(test)]
mod tests;
