//! `beechhollow check-config FILE`: reports the mistakes in the file of an entry or a core, without starting it.

use bh_control::config::is_deployment_config;
use bh_control::config::problems;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_settings::EntryConfig;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use miette::Report;
use std::process::ExitCode;

pub fn command() -> Command {
    Command::new("check-config")
        .about("Checks the file of an entry or a core and reports every mistake, without starting")
        .arg(
            Arg::new("FILE")
                .required(true)
                .help("The process's YAML file, for `run` or for `serve`"),
        )
        .after_help("Example:\n  beechhollow check-config entry.yaml")
}

pub fn main(arguments: &ArgMatches) -> ExitCode {
    let path = arguments
        .get_one::<String>("FILE")
        .map_or("", String::as_str);
    if let Some(status) = check_deployment(path) {
        return status;
    }
    match load(path) {
        Ok(config) => {
            println!(
                "{path} is valid: entry `{}` in data centre `{}`",
                config.own.name, config.own.data_centre
            );
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

/// Checks the file of an entry or a core of a deployment. Returns `None` for any other file.
fn check_deployment(path: &str) -> Option<ExitCode> {
    let bytes = std::fs::read(path).ok()?;
    if !is_deployment_config(&bytes) {
        return None;
    }
    let problems = problems(&bytes);
    if problems.is_empty() {
        println!("{path} is valid");
        return Some(ExitCode::SUCCESS);
    }
    let mut status = ExitCode::SUCCESS;
    for problem in problems {
        status = print_failure(Failure::new(
            Code::BadConfigFile,
            format!("{path}: {problem}"),
        ));
    }
    Some(status)
}

/// Reads an entry's file. If the file has mistakes, prints them all and returns the exit status.
pub fn load(path: &str) -> Result<EntryConfig, ExitCode> {
    let bytes = std::fs::read(path).map_err(|error| {
        print_failure(Failure::new(
            Code::UnreadableFile,
            format!("{path}: {error}"),
        ))
    })?;
    EntryConfig::parse(path, &bytes).map_err(|problems| {
        for problem in problems {
            eprintln!("{:?}", Report::new(problem));
        }
        ExitCode::from(Code::BadConfigFile.exit_status())
    })
}

/// Prints a failure and returns its exit status.
pub fn print_failure(failure: Failure) -> ExitCode {
    let status = failure.code.exit_status();
    eprintln!("{:?}", Report::new(failure));
    ExitCode::from(status)
}
