//! Counters, gauges and latency histograms of a process, served as text.

use super::label_values::LabelValues;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Number of significant digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Maximum value of a histogram, in milliseconds; longer times are recorded as this.
const MAX_RECORDED_MS: u64 = 600_000;
/// Percentiles that are reported.
const PERCENTILES: [f64; 3] = [50.0, 90.0, 99.0];

/// Name of a metric, and name of its label.
type LabelledName = (&'static str, &'static str);

/// Counters, gauges and histograms by name.
#[derive(Default)]
pub struct Metrics {
    counters: RefCell<BTreeMap<&'static str, u64>>,
    gauges: RefCell<BTreeMap<&'static str, u64>>,
    labelled_counters: RefCell<BTreeMap<LabelledName, LabelValues>>,
    labelled_gauges: RefCell<BTreeMap<LabelledName, LabelValues>>,
    times_ms: RefCell<BTreeMap<&'static str, Histogram<u64>>>,
}

impl Metrics {
    /// Creates an empty set of metrics.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds to a counter.
    pub fn count(&self, name: &'static str, by: u64) {
        *self.counters.borrow_mut().entry(name).or_default() += by;
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        self.gauges.borrow_mut().insert(name, value);
    }

    /// Sets a gauge that has a label.
    pub fn gauge_with(
        &self,
        name: &'static str,
        (label, label_value): (&'static str, &'static str),
        value: u64,
    ) {
        let mut gauges = self.labelled_gauges.borrow_mut();
        let gauge = gauges.entry((name, label)).or_default();
        gauge.set(label_value, value);
    }

    /// Replaces all values of a gauge that has a label. The first 16 label values are named; the other values, and those without a label
    /// value, are added up under `other`. Without any values the gauge is removed.
    pub fn replace_gauge<'a>(
        &self,
        name: &'static str,
        label: &'static str,
        values: impl IntoIterator<Item = (Option<&'a str>, u64)>,
    ) {
        let mut gauges = self.labelled_gauges.borrow_mut();
        gauges.remove(&(name, label));
        for (label_value, value) in values {
            let gauge = gauges.entry((name, label));
            let gauge = gauge.or_insert_with(LabelValues::bounded);
            gauge.add(label_value, value);
        }
    }

    /// Adds to a counter that has a label. The 16 label values that are counted first are named; later ones, and counts without a label
    /// value, are added up under `other`.
    pub fn count_with(
        &self,
        name: &'static str,
        (label, label_value): (&'static str, Option<&str>),
        by: u64,
    ) {
        let mut counters = self.labelled_counters.borrow_mut();
        let counter = counters.entry((name, label));
        let counter = counter.or_insert_with(LabelValues::bounded);
        counter.add(label_value, by);
    }

    /// Records a duration in a histogram.
    pub fn time_ms(&self, name: &'static str, took_ms: u64) {
        let mut times = self.times_ms.borrow_mut();
        if !times.contains_key(name) {
            // The bounds are constants that the library accepts.
            let Ok(histogram) = Histogram::new_with_bounds(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
            else {
                return;
            };
            times.insert(name, histogram);
        }
        if let Some(histogram) = times.get_mut(name) {
            histogram.saturating_record(took_ms.max(1));
        }
    }

    /// Returns all metrics as text, one per line: name, labels, value.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        for (name, value) in self.counters.borrow().iter() {
            let _ = writeln!(text, "{name}_total {value}");
        }
        for ((name, label), values) in self.labelled_counters.borrow().iter() {
            for (label_value, value) in values.iter().map(escape) {
                let _ = writeln!(text, "{name}_total{{{label}=\"{label_value}\"}} {value}");
            }
        }
        for (name, value) in self.gauges.borrow().iter() {
            let _ = writeln!(text, "{name} {value}");
        }
        for ((name, label), values) in self.labelled_gauges.borrow().iter() {
            for (label_value, value) in values.iter().map(escape) {
                let _ = writeln!(text, "{name}{{{label}=\"{label_value}\"}} {value}");
            }
        }
        for (name, histogram) in self.times_ms.borrow().iter() {
            for percentile in PERCENTILES {
                let value = histogram.value_at_percentile(percentile);
                let _ = writeln!(text, "{name}_ms{{percentile=\"{percentile}\"}} {value}");
            }
            let _ = writeln!(text, "{name}_ms_max {}", histogram.max());
            let _ = writeln!(text, "{name}_ms_count {}", histogram.len());
        }
        text
    }
}

/// Escapes a label value as the text format of the metrics requires. The names of customers are not restricted.
fn escape((label_value, value): (&str, u64)) -> (String, u64) {
    let escaped = label_value.replace('\\', "\\\\");
    let escaped = escaped.replace('"', "\\\"").replace('\n', "\\n");
    (escaped, value)
}
