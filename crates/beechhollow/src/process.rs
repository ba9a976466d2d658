//! What the subcommands that run a process have in common.

use crate::check_config::report;
use bh_net::runtime;
use bh_protocol::Code;
use bh_protocol::Failure;
use clap::Arg;
use clap::ArgMatches;
use std::future::Future;
use std::process::ExitCode;

/// The option that names the process's file.
pub fn config_argument() -> Arg {
    Arg::new("config")
        .long("config")
        .short('c')
        .required(true)
        .value_name("FILE")
        .help("The process's YAML file")
}

/// The file that was named.
pub fn config_path(arguments: &ArgMatches) -> &str {
    arguments
        .get_one::<String>("config")
        .map_or("", String::as_str)
}

/// Runs `main` to its end and turns its result into an exit status.
pub fn run_to_end(
    disk_threads: usize,
    main: impl Future<Output = Result<(), Failure>>,
) -> ExitCode {
    match runtime::run(disk_threads, main) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(failure)) => report(failure),
        Err(error) => report(Failure::new(
            Code::Internal,
            format!("no event loop: {error}"),
        )),
    }
}
