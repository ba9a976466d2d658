//! Logging to standard error, as text or JSON.

use bh_settings::EntryConfig;
use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;

/// Starts logging as the entry's configuration says. Log lines of other libraries below the level `warn` are left out.
pub fn start(config: &EntryConfig) {
    let level = match &*config.log_level {
        "debug" => LevelFilter::Debug,
        "warn" => LevelFilter::Warn,
        "error" => LevelFilter::Error,
        _ => LevelFilter::Info,
    };
    let append = if config.log_json {
        Stderr::default().with_layout(JsonLayout::default())
    } else {
        Stderr::default().with_layout(TextLayout::default().no_color())
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .apply();
    log::set_max_level(level);
}
