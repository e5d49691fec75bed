//! Metrics in the text exposition format of Prometheus (version 0.0.4). Each name is explained in docs/server.md.
//!
//! The samples are made anew for each question, from counters that their owners keep; the format is the `prometheus` package's.

use prometheus::proto::{
    Bucket, Counter, Gauge, Histogram as EncodedHistogram, LabelPair, Metric, MetricFamily, MetricType,
};
use prometheus::TextEncoder;

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

/// What a gauge can show. Whole numbers are exact below 2^53.
pub trait GaugeValue {
    /// The value of the sample.
    fn as_sample(&self) -> f64;
}

macro_rules! gauge_values {
    ($($kind:ty),*) => {
        $(impl GaugeValue for $kind {
            fn as_sample(&self) -> f64 {
                *self as f64
            }
        })*
    };
}
gauge_values!(u8, u64, usize, f64);

/// The metrics of a process, in the order in which they are written.
#[derive(Default)]
pub struct Exposition {
    families: Vec<MetricFamily>,
}

impl Exposition {
    /// Adds a sample to the metric of this name, which is described with its first sample. All samples of one metric have to
    /// follow one another.
    fn add(&mut self, name: &str, kind: MetricType, help: &str, sample: Metric) {
        if self.families.last().is_none_or(|family| family.name() != name) {
            let mut family = MetricFamily::default();
            family.set_name(name.to_string());
            family.set_help(help.to_string());
            family.set_field_type(kind);
            self.families.push(family);
        }
        if let Some(family) = self.families.last_mut() {
            family.mut_metric().push(sample);
        }
    }

    /// A number that only rises while the process runs.
    pub fn counter(&mut self, name: &str, help: &str, labels: Labels, value: u64) {
        let mut counter = Counter::default();
        counter.set_value(value.as_sample());
        let mut sample = labelled(labels);
        sample.set_counter(counter);
        self.add(name, MetricType::COUNTER, help, sample);
    }

    /// A number that rises and falls.
    pub fn gauge(&mut self, name: &str, help: &str, labels: Labels, value: impl GaugeValue) {
        let mut gauge = Gauge::default();
        gauge.set_value(value.as_sample());
        let mut sample = labelled(labels);
        sample.set_gauge(gauge);
        self.add(name, MetricType::GAUGE, help, sample);
    }

    /// A histogram, recorded in milliseconds and written in seconds.
    pub fn histogram(&mut self, name: &str, help: &str, histogram: &Histogram) {
        let mut cumulative = 0;
        let buckets = BUCKETS_MS.iter().zip(histogram.buckets).map(|(bound_ms, count)| {
            cumulative += count;
            let mut bucket = Bucket::default();
            bucket.set_upper_bound(seconds(*bound_ms));
            bucket.set_cumulative_count(cumulative);
            bucket
        });
        let mut encoded = EncodedHistogram::default();
        encoded.set_bucket(buckets.collect());
        encoded.set_sample_count(histogram.count);
        encoded.set_sample_sum(seconds(histogram.sum_ms));
        let mut sample = Metric::default();
        sample.set_histogram(encoded);
        self.add(name, MetricType::HISTOGRAM, help, sample);
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.families).unwrap_or_else(|error| {
            tracing::error!(%error, "metrics not encoded");
            String::new()
        })
    }
}

fn labelled(labels: Labels) -> Metric {
    let pairs = labels.iter().map(|(name, value)| {
        let mut pair = LabelPair::default();
        pair.set_name((*name).to_string());
        pair.set_value((*value).to_string());
        pair
    });
    Metric::from_label(pairs.collect())
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}

#[cfg(test)]
mod tests;
