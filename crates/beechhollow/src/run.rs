//! `beechhollow run --config FILE`: runs the entry until SIGTERM.

use crate::check_config::load;
use crate::check_config::report;
use bh_net::runtime;
use bh_protocol::Code;
use bh_protocol::Failure;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use std::process::ExitCode;

/// Helper threads for disk syncs: one for each group an entry usually has.
const DISK_THREADS: usize = 2;

pub fn command() -> Command {
    Command::new("run")
        .about("Runs the entry until SIGTERM, then finishes what is in progress")
        .arg(
            Arg::new("config")
                .long("config")
                .short('c')
                .required(true)
                .value_name("FILE")
                .help("The entry's YAML file"),
        )
        .after_help("Example:\n  beechhollow run --config entry.yaml")
}

pub fn main(arguments: &ArgMatches) -> ExitCode {
    let path = arguments
        .get_one::<String>("config")
        .map_or("", String::as_str);
    let config = match load(path) {
        Ok(config) => config,
        Err(code) => return code,
    };
    bh_node::logging::start(&config);
    let result = runtime::run(DISK_THREADS, bh_node::run(config));
    match result {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(failure)) => report(failure),
        Err(error) => report(Failure::new(
            Code::Internal,
            format!("no event loop: {error}"),
        )),
    }
}
