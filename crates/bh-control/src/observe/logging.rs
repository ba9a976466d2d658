//! Structured logs on standard output.

use log::LevelFilter;
use logforth::append::Stdout;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;

/// Starts logging, as text or JSON.
pub fn start(json: bool) {
    let append = if json {
        Stdout::default().with_layout(JsonLayout::default())
    } else {
        Stdout::default().with_layout(TextLayout::default().no_color())
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .apply();
    log::set_max_level(LevelFilter::Info);
}
