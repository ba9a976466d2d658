//! `beechhollow check-config FILE`: says what is wrong with an entry's file, without starting.

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
        .about("Checks an entry's file and reports every mistake, without starting")
        .arg(
            Arg::new("FILE")
                .required(true)
                .help("The entry's YAML file"),
        )
        .after_help("Example:\n  beechhollow check-config entry.yaml")
}

pub fn main(arguments: &ArgMatches) -> ExitCode {
    let path = arguments
        .get_one::<String>("FILE")
        .map_or("", String::as_str);
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

/// Reads an entry's file; prints every mistake and returns the exit status when there is one.
pub fn load(path: &str) -> Result<EntryConfig, ExitCode> {
    let bytes = std::fs::read(path).map_err(|error| {
        report(Failure::new(
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

/// Prints a failure; returns its exit status.
pub fn report(failure: Failure) -> ExitCode {
    let status = failure.code.exit_status();
    eprintln!("{:?}", Report::new(failure));
    ExitCode::from(status)
}
