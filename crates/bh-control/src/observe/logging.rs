//! Structured logs on standard output.

use super::BoundedStdout;
use log::LevelFilter;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;

/// Starts logging, as JSON or as text.
pub fn start(json: bool) {
    let append = if json {
        BoundedStdout::new(JsonLayout::default())
    } else {
        BoundedStdout::new(TextLayout::default().no_color())
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .apply();
    log::set_max_level(LevelFilter::Info);
}

/// Waits for the last lines at the end of a process, for a limited time.
pub fn flush() {
    log::logger().flush();
}
