//! `beechhollow run --config FILE`: runs an entry until SIGTERM.

use crate::check_config::load;
use crate::process::config_argument;
use crate::process::config_path;
use crate::process::run_to_end;
use clap::ArgMatches;
use clap::Command;
use std::process::ExitCode;

/// Helper threads: one for the disk syncs of each group that an entry usually has, and one for parsing large bodies.
const HELPER_THREADS: usize = 3;

pub fn command() -> Command {
    Command::new("run")
        .about("Runs the entry until SIGTERM, then finishes what is in progress")
        .arg(config_argument())
        .after_help("Example:\n  beechhollow run --config entry.yaml")
}

pub fn main(arguments: &ArgMatches) -> ExitCode {
    let config = match load(config_path(arguments)) {
        Ok(config) => config,
        Err(code) => return code,
    };
    bh_node::logging::start(&config);
    run_to_end(HELPER_THREADS, bh_node::run(config))
}
