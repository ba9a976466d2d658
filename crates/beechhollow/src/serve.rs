//! `beechhollow serve --config FILE`: runs an entry or a core of a deployment until SIGTERM.

use crate::check_config::print_failure;
use crate::process::config_argument;
use crate::process::config_path;
use crate::process::run_to_end;
use bh_control::config::LocalConfig;
use bh_control::observe::logging;
use clap::ArgMatches;
use clap::Command;
use std::process::ExitCode;

/// Helper threads: one for disk syncs, since a core has one replica with one journal, and one for parsing large bodies.
const HELPER_THREADS: usize = 2;

pub fn command() -> Command {
    Command::new("serve")
        .about("Runs an entry or a core until SIGTERM, then finishes what is in progress")
        .arg(config_argument())
        .after_help("Example:\n  beechhollow serve --config local.yaml")
}

pub fn main(arguments: &ArgMatches) -> ExitCode {
    let config = match LocalConfig::load(config_path(arguments)) {
        Ok(config) => config,
        Err(failure) => return print_failure(failure),
    };
    logging::start(config.log_json);
    let main = bh_control::run(config, bh_platform::dialect());
    let status = run_to_end(HELPER_THREADS, main);
    logging::flush();
    status
}
