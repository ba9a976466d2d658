//! Name of a job, chosen by its caller.

use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// Digits of a written job name.
const DIGITS: usize = 16;

/// A job's name: sixteen hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

impl JobId {
    /// Reads a written name; `None` unless it is sixteen lower-case hexadecimal digits.
    pub fn parse(text: &str) -> Option<JobId> {
        let written = text.len() == DIGITS
            && text
                .bytes()
                .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        written
            .then(|| u64::from_str_radix(text, 16).ok())
            .flatten()
            .map(JobId)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
