//! Identifier of a job, chosen by its caller.

use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// Number of hexadecimal digits in the text form.
const DIGITS: usize = 16;

/// Identifier of a job. Its text form is sixteen lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses the text form. Returns `None` unless the text is exactly sixteen lower-case hexadecimal digits.
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
