//! Settings of a request type.

use crate::section::Section;
use serde::Deserialize;
use serde::Serialize;

/// Priority, limits and objective of one type of request or job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestType {
    /// Priority; higher values are served first.
    pub priority: u8,
    /// Longest time a caller waits for its answer, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request may run again if its outcome is unknown.
    pub idempotent: bool,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Share of requests that must succeed in time, in parts per million.
    pub objective_ppm: u32,
    /// Answer time within which a request counts as good, in milliseconds.
    pub objective_ms: u64,
}

impl RequestType {
    /// Reads one section of `request_types`.
    pub fn read(mut section: Section<'_>) -> Self {
        let request_type = Self {
            priority: u8::try_from(section.number("priority")).unwrap_or(u8::MAX),
            deadline_ms: section.number("deadline_ms"),
            idempotent: section.flag("idempotent"),
            max_body_bytes: section.number("max_body_bytes"),
            objective_ppm: section.number_u32("objective_ppm"),
            objective_ms: section.number("objective_ms"),
        };
        section.finish();
        request_type
    }
}
