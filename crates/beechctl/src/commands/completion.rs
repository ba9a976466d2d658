//! `beechctl completion SHELL`: prints a shell completion script.

use bh_protocol::Failure;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;

pub fn command() -> Command {
    Command::new("completion")
        .about("Prints a completion script for a shell")
        .arg(
            Arg::new("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
        .after_help("Example:\n  beechctl completion bash > /etc/bash_completion.d/beechctl")
}

pub fn run(matches: &ArgMatches) -> Result<u8, Failure> {
    if let Some(shell) = matches.get_one::<Shell>("SHELL") {
        clap_complete::generate(
            *shell,
            &mut super::command(),
            "beechctl",
            &mut std::io::stdout(),
        );
    }
    Ok(0)
}
