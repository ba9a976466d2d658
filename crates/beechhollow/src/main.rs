//! The process that runs an entry or a core, on its VM.

mod check_config;
mod process;
mod run;
mod serve;

use clap::Command;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("run", arguments)) => run::main(arguments),
        Some(("serve", arguments)) => serve::main(arguments),
        Some(("check-config", arguments)) => check_config::main(arguments),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}

fn command() -> Command {
    Command::new("beechhollow")
        .version(clap::crate_version!())
        .about("Schedules multi-accelerator jobs and short requests under customer guarantees")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run::command())
        .subcommand(serve::command())
        .subcommand(check_config::command())
}
