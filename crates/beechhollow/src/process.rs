//! Code shared by the subcommands that run an entry or a core until it is told to stop.

use crate::check_config::print_failure;
use bh_net::runtime;
use bh_protocol::Code;
use bh_protocol::Failure;
use clap::Arg;
use clap::ArgMatches;
use std::future::Future;
use std::process::ExitCode;

/// The option that names the process's configuration file.
pub fn config_argument() -> Arg {
    Arg::new("config")
        .long("config")
        .short('c')
        .required(true)
        .value_name("FILE")
        .help("The process's YAML file")
}

/// Path of the configuration file.
pub fn config_path(arguments: &ArgMatches) -> &str {
    arguments
        .get_one::<String>("config")
        .map_or("", String::as_str)
}

/// Runs `main` on the event loop until it ends, and returns the exit status. A failure is printed and determines the status.
pub fn run_to_end(
    helper_threads: usize,
    main: impl Future<Output = Result<(), Failure>>,
) -> ExitCode {
    match runtime::run(helper_threads, main) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(failure)) => print_failure(failure),
        Err(error) => print_failure(Failure::new(
            Code::Internal,
            format!("the event loop does not start: {error}"),
        )),
    }
}
