//! The error type of all parts of beechhollow: a result code and a label.

use crate::Code;
use miette::Diagnostic;
use serde::Deserialize;
use serde::Serialize;
use std::fmt::Display;

/// A failure: a result code, and a label that names the faulty value or its location.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
#[error("{}: {label}", code.title())]
pub struct Failure {
    /// Result code.
    pub code: Code,
    /// The faulty value or its location, for people to read.
    pub label: String,
    /// Time after which a resend may succeed, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Creates a failure with `code` and `label`.
    pub fn new(code: Code, label: impl Into<String>) -> Self {
        Self {
            code,
            label: label.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the time after which a resend may succeed, in milliseconds.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Converts the failure to the form sent to callers.
    pub fn to_answer(&self) -> FailureAnswer {
        FailureAnswer {
            code: self.code.number(),
            title: self.code.title().to_owned(),
            label: self.label.clone(),
            help: self.code.help().to_owned(),
            ran: self.code.executed().as_str().to_owned(),
            retry_after_ms: self.retry_after_ms,
        }
    }
}

impl Diagnostic for Failure {
    fn code<'a>(&'a self) -> Option<Box<dyn Display + 'a>> {
        Some(Box::new(self.code))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn Display + 'a>> {
        Some(Box::new(self.code.help()))
    }
}

/// A failure as JSON, the body of every answer that reports a failure.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FailureAnswer {
    /// Number of the result code.
    pub code: u32,
    /// What happened, in one clause.
    pub title: String,
    /// The faulty value or its location.
    pub label: String,
    /// What the sender can do about it.
    pub help: String,
    /// Whether the work was executed: `no`, `yes` or `unknown`.
    pub ran: String,
    /// Time after which a resend may succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl From<FailureAnswer> for Failure {
    fn from(answer: FailureAnswer) -> Self {
        Failure {
            code: Code::from_number(answer.code).unwrap_or(Code::Internal),
            label: answer.label,
            retry_after_ms: answer.retry_after_ms,
        }
    }
}
