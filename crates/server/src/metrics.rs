//! Metrics in the Prometheus text exposition format, version 0.0.4. docs/server.md explains each metric name.
//!
//! Samples are created for each scrape from counters that other modules keep; the `prometheus` package formats the
//! text.

use prometheus::proto::{
    Bucket, Counter, Gauge, Histogram as EncodedHistogram, LabelPair, Metric, MetricFamily, MetricType,
};
use prometheus::TextEncoder;

/// Upper bounds of the histogram buckets, in milliseconds.
const BUCKETS_MS: [u64; 10] = [5, 10, 20, 40, 80, 160, 320, 1000, 5000, 15_000];

/// Histogram of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Histogram {
    /// Count of durations in each bucket: up to its bound in [`BUCKETS_MS`] and above the bound of the previous
    /// bucket.
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: u64,
}

impl Histogram {
    /// Records a duration in milliseconds.
    pub fn record(&mut self, duration_ms: u64) {
        if let Some(index) = BUCKETS_MS.iter().position(|bound| duration_ms <= *bound) {
            self.buckets[index] += 1;
        }
        self.count += 1;
        self.sum_ms += duration_ms;
    }
}

/// Label names and values of a sample.
type Labels<'a> = &'a [(&'a str, &'a str)];

/// Value type that a gauge can hold. Integers are exact below 2^53.
pub trait GaugeValue {
    /// Converts the gauge value to a metric sample.
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

/// Metrics of a process, in output order.
#[derive(Default)]
pub struct Exposition {
    families: Vec<MetricFamily>,
}

impl Exposition {
    /// Adds a sample to the metric with this name; the first sample also sets the metric's help text. All samples of
    /// one metric must be added consecutively.
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

    /// Adds a counter sample: a value that only increases while the process runs.
    pub fn counter(&mut self, name: &str, help: &str, labels: Labels, value: u64) {
        let mut counter = Counter::default();
        counter.set_value(value.as_sample());
        let mut sample = labelled(labels);
        sample.set_counter(counter);
        self.add(name, MetricType::COUNTER, help, sample);
    }

    /// Adds a gauge sample: a value that can increase and decrease.
    pub fn gauge(&mut self, name: &str, help: &str, labels: Labels, value: impl GaugeValue) {
        let mut gauge = Gauge::default();
        gauge.set_value(value.as_sample());
        let mut sample = labelled(labels);
        sample.set_gauge(gauge);
        self.add(name, MetricType::GAUGE, help, sample);
    }

    /// Adds a histogram, converting its milliseconds to seconds.
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

    /// Returns all metrics in the text exposition format.
    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.families).unwrap_or_else(|error| {
            tracing::error!(%error, "metrics could not be encoded as text");
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
