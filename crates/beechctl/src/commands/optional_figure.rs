//! Formats figures that a core may not determine.

/// Text for a figure that the core does not determine.
const MISSING: &str = "-";

/// Formats a count, in whatever unit the column names.
pub(super) fn count(figure: Option<u64>) -> String {
    figure.map_or(MISSING.to_owned(), |figure| figure.to_string())
}

/// Formats a share, of which 1 is the whole, in percent.
pub(super) fn percent(share: Option<f64>) -> String {
    share.map_or(MISSING.to_owned(), |share| format!("{:.1}%", share * 100.0))
}
