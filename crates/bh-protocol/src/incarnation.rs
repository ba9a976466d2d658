//! Identity of one worker process.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use std::fmt;
use std::sync::Arc;

/// Separates the worker id from the start time in the text form.
const SEPARATOR: char = '@';

/// One incarnation of a worker. A worker that crashes may restart under the same id but keeps no state, so incarnations are treated as separate
/// workers.
///
/// The text form is `ID` or `ID@STARTED_MS`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Worker id, shared by all of its incarnations.
    pub id: Arc<str>,
    /// Start time in milliseconds since 1970, by the worker's own clock; `None` if the worker does not report it.
    pub started_ms: Option<u64>,
}

impl Incarnation {
    /// The incarnation of worker `id` that started at `started_ms`; `None` if `id` is not a valid worker id.
    pub fn new(id: impl Into<Arc<str>>, started_ms: Option<u64>) -> Option<Self> {
        let id = id.into();
        let is_valid = !id.is_empty() && !id.contains(SEPARATOR);
        is_valid.then_some(Self { id, started_ms })
    }

    /// Parses the text form; `None` if `text` is not valid.
    pub fn parse(text: &str) -> Option<Self> {
        match text.split_once(SEPARATOR) {
            None => Self::new(text, None),
            Some((id, started_ms)) => Self::new(id, Some(started_ms.parse().ok()?)),
        }
    }

    /// Whether `other` is a different incarnation of the same worker.
    pub fn is_other_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.started_ms != other.started_ms
    }

    /// Range of all possible incarnations of the worker, in key order.
    pub fn id_range(&self) -> std::ops::RangeInclusive<Self> {
        let with = |started_ms| Self {
            id: self.id.clone(),
            started_ms,
        };
        with(None)..=with(Some(u64::MAX))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)?;
        match self.started_ms {
            Some(started_ms) => write!(f, "{SEPARATOR}{started_ms}"),
            None => Ok(()),
        }
    }
}

impl Serialize for Incarnation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Incarnation {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'_, str>>::deserialize(deserializer)?;
        Self::parse(&text)
            .ok_or_else(|| D::Error::custom(format!("`{text}` is not a valid worker incarnation")))
    }
}
