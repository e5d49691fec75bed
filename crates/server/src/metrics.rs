//! Counters in the usual text form. Every name is explained in docs/server.md.

use std::fmt::{Display, Write};

/// Upper bounds in ms.
pub const BUCKETS: [u64; 10] = [5, 10, 20, 40, 80, 160, 320, 1000, 5000, 15_000];

#[derive(Clone, Copy, Debug, Default)]
pub struct Histogram {
    buckets: [u64; BUCKETS.len()],
    count: u64,
    sum: u64,
}

impl Histogram {
    pub fn record(&mut self, ms: u64) {
        if let Some(at) = BUCKETS.iter().position(|bound| ms <= *bound) {
            self.buckets[at] += 1;
        }
        self.count += 1;
        self.sum += ms;
    }
}

type Labels<'a> = &'a [(&'a str, &'a str)];

/// The text as it grows; figures of one name have to follow one another.
#[derive(Default)]
pub struct Exposition {
    pub text: String,
    last: String,
}

impl Exposition {
    fn head(&mut self, name: &str, kind: &str, help: &str) {
        if self.last != name {
            self.last = name.to_string();
            let _ = writeln!(self.text, "# HELP {name} {help}\n# TYPE {name} {kind}");
        }
    }

    fn line(&mut self, name: &str, labels: Labels, value: impl Display) {
        self.text.push_str(name);
        for (at, (label, text)) in labels.iter().enumerate() {
            let text = text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
            let _ = write!(self.text, "{}{label}=\"{text}\"", if at == 0 { '{' } else { ',' });
        }
        let _ = writeln!(self.text, "{} {value}", if labels.is_empty() { "" } else { "}" });
    }

    /// Rises only, until the process ends.
    pub fn counter(&mut self, name: &str, help: &str, labels: Labels, value: u64) {
        self.head(name, "counter", help);
        self.line(name, labels, value);
    }

    pub fn gauge(&mut self, name: &str, help: &str, labels: Labels, value: impl Display) {
        self.head(name, "gauge", help);
        self.line(name, labels, value);
    }

    /// Counted in ms, told in seconds.
    pub fn histogram(&mut self, name: &str, help: &str, of: &Histogram) {
        self.head(name, "histogram", help);
        let mut below = 0;
        for (bound, count) in BUCKETS.iter().zip(of.buckets) {
            below += count;
            let bound = (*bound as f64 / 1000.0).to_string();
            self.line(&format!("{name}_bucket"), &[("le", &bound)], below);
        }
        self.line(&format!("{name}_bucket"), &[("le", "+Inf")], of.count);
        self.line(&format!("{name}_sum"), &[], of.sum as f64 / 1000.0);
        self.line(&format!("{name}_count"), &[], of.count);
    }
}

#[cfg(test)]
mod tests;
