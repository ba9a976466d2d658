//! `beechctl settings check FILE`: reports every mistake in a file, without calling an entry.

use super::arguments::text;
use crate::output::Output;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_settings::Problem;
use bh_settings::Settings;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use miette::Report;
use serde_json::json;

pub fn command() -> Command {
    Command::new("check")
        .about("Reports every mistake in a settings file")
        .arg(Arg::new("FILE").required(true))
        .after_help("Example:\n  beechctl settings check settings.yaml")
}

pub fn run(output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let path = text(matches, "FILE");
    match load(output, path)? {
        Ok(settings) => {
            let customers: usize = settings
                .teams
                .values()
                .map(|team| team.customers.len())
                .sum();
            output.show(
                &json!({ "valid": true, "teams": settings.teams.len(), "customers": customers }),
                |_| {
                    format!(
                        "{path} is valid: {} teams, {customers} customers",
                        settings.teams.len()
                    )
                },
            );
            Ok(0)
        }
        Err(status) => Ok(status),
    }
}

/// Reads a settings file. If the file has mistakes, prints them all and returns the exit status.
///
/// # Errors
///
/// [`Code::UnreadableFile`].
pub fn load(output: &Output, path: &str) -> Result<Result<Settings, u8>, Failure> {
    let bytes = std::fs::read(path)
        .map_err(|error| Failure::new(Code::UnreadableFile, format!("{path}: {error}")))?;
    Ok(Settings::parse(path, &bytes).map_err(|problems| {
        print_problems(output, problems);
        Code::InvalidSettings.exit_status()
    }))
}

fn print_problems(output: &Output, problems: Vec<Problem>) {
    if output.is_json() {
        let rows: Vec<_> = problems
            .iter()
            .map(|problem| json!({ "code": problem.code.number(), "file": &*problem.file, "line": problem.line, "column": problem.column, "label": problem.label, "help": problem.help }))
            .collect();
        eprintln!(
            "{}",
            serde_json::to_string_pretty(&rows).unwrap_or_default()
        );
        return;
    }
    for problem in problems {
        eprintln!("{:?}", Report::new(problem));
    }
}
