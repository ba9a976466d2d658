//! `beechhollow serve --config FILE`: runs an entry or a core of a deployment until SIGTERM.

use crate::check_config::report;
use bh_control::config::LocalConfig;
use bh_control::observe::logging;
use bh_net::runtime;
use bh_protocol::Code;
use bh_protocol::Failure;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use std::process::ExitCode;

/// Helper threads for disk syncs: the one replica of a core has one journal.
const DISK_THREADS: usize = 1;

pub fn command() -> Command {
    Command::new("serve")
        .about("Runs an entry or a core until SIGTERM, then finishes what is in progress")
        .arg(
            Arg::new("config")
                .long("config")
                .short('c')
                .required(true)
                .value_name("FILE")
                .help("The process's YAML file"),
        )
        .after_help("Example:\n  beechhollow serve --config local.yaml")
}

pub fn main(arguments: &ArgMatches) -> ExitCode {
    let path = arguments
        .get_one::<String>("config")
        .map_or("", String::as_str);
    let config = match LocalConfig::load(path) {
        Ok(config) => config,
        Err(failure) => return report(failure),
    };
    logging::start(config.log_json);
    let result = runtime::run(
        DISK_THREADS,
        bh_control::run(config, bh_platform::dialect()),
    );
    match result {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(failure)) => report(failure),
        Err(error) => report(Failure::new(
            Code::Internal,
            format!("no event loop: {error}"),
        )),
    }
}
