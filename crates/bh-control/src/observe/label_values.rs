//! Values of one metric by label value.

use std::borrow::Cow;
use std::collections::BTreeMap;

/// Maximum number of label values that have a series of their own. Customers come and go with the operator's rules, and the store of a
/// monitoring system grows with each series.
const MAX_LABEL_VALUES: usize = 16;
/// Label value for everything beyond [`MAX_LABEL_VALUES`], and for what has no label value of its own.
const OTHER: &str = "other";

/// Values of a metric by label value. A bounded set names at most 16 label values, and adds up all others under `other`.
#[derive(Clone, Debug, Default)]
pub(super) struct LabelValues(BTreeMap<Cow<'static, str>, u64>);

impl LabelValues {
    /// Creates a bounded set with a value of 0 under `other`.
    pub fn bounded() -> Self {
        Self(BTreeMap::from([(Cow::Borrowed(OTHER), 0)]))
    }

    /// Sets the value for a label value.
    pub fn set(&mut self, label_value: &'static str, value: u64) {
        self.0.insert(Cow::Borrowed(label_value), value);
    }

    /// Adds to the value for a label value of a bounded set. `None` counts under `other`.
    pub fn add(&mut self, label_value: Option<&str>, by: u64) {
        // The key `other` takes no place of a named label value.
        let has_place = self.0.len() <= MAX_LABEL_VALUES;
        let own = label_value.filter(|name| has_place || self.0.contains_key(*name));
        let key = own.map_or(Cow::Borrowed(OTHER), |name| Cow::Owned(name.to_owned()));
        let value = self.0.entry(key).or_default();
        *value = value.saturating_add(by);
    }

    /// All label values with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.0.iter().map(|(name, value)| (&**name, *value))
    }
}
