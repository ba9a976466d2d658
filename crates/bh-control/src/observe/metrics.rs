//! Counters, gauges and latency histograms of a process, served as text.

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

/// Name of a gauge, and name and value of its label.
type LabelledName = (&'static str, &'static str, &'static str);

/// Counters, gauges and histograms by name.
#[derive(Default)]
pub struct Metrics {
    counters: RefCell<BTreeMap<&'static str, u64>>,
    gauges: RefCell<BTreeMap<&'static str, u64>>,
    labelled: RefCell<BTreeMap<LabelledName, u64>>,
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
        self.labelled
            .borrow_mut()
            .insert((name, label, label_value), value);
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
        for (name, value) in self.gauges.borrow().iter() {
            let _ = writeln!(text, "{name} {value}");
        }
        for ((name, label, label_value), value) in self.labelled.borrow().iter() {
            let _ = writeln!(text, "{name}{{{label}=\"{label_value}\"}} {value}");
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
