//! The command tree, and the dispatch to the command that was given.

use super::completion;
use super::core_customers;
use super::core_evacuate;
use super::core_explain;
use super::core_late;
use super::core_load;
use super::core_status;
use super::job_cancel;
use super::job_list;
use super::job_status;
use super::job_submit;
use super::report_burn;
use super::report_fragmentation;
use super::request;
use super::settings_apply;
use super::settings_check;
use super::settings_diff;
use super::settings_get;
use super::settings_in_force;
use super::status;
use super::target_list;
use super::token_hash;
use crate::client::Client;
use crate::output::Output;
use bh_protocol::Failure;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// Defines the command line.
pub fn command() -> Command {
    Command::new("beechctl")
        .version(clap::crate_version!())
        .about("Operates beechhollow and sends it work")
        .after_help("Exit status: 0 when done; otherwise the class of the result code, see docs/RESULT-CODES.md.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("entry")
                .long("entry")
                .global(true)
                .env("BEECHHOLLOW_ENTRY")
                .value_delimiter(',')
                .action(ArgAction::Append)
                .default_value("127.0.0.1:8080")
                .value_name("IP:PORT")
                .help("Entries to call; the first that accepts a connection is used"),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .global(true)
                .env("BEECHHOLLOW_TOKEN")
                .hide_env_values(true)
                .value_name("TOKEN")
                .help("Token of the operator or caller; safer in the environment variable"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .global(true)
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Output format"),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .global(true)
                .value_parser(value_parser!(u64).range(1..))
                .default_value("10000")
                .value_name("MS")
                .help("Timeout of each call"),
        )
        .subcommand(
            Command::new("settings")
                .about("Reads and changes the settings")
                .subcommand_required(true)
                .subcommand(settings_apply::command())
                .subcommand(settings_check::command())
                .subcommand(settings_diff::command())
                .subcommand(settings_get::command())
                .subcommand(settings_in_force::command()),
        )
        .subcommand(
            Command::new("job")
                .about("Submits, follows and cancels long jobs")
                .subcommand_required(true)
                .subcommand(job_submit::command())
                .subcommand(job_status::command())
                .subcommand(job_list::command())
                .subcommand(job_cancel::command()),
        )
        .subcommand(request::command())
        .subcommand(Command::new("target").about("Shows the targets").subcommand_required(true).subcommand(target_list::command()))
        .subcommand(status::command())
        .subcommand(
            Command::new("core")
                .about("Calls a core of a deployment; give its metrics address as --entry")
                .subcommand_required(true)
                .subcommand(core_status::command())
                .subcommand(core_customers::command())
                .subcommand(core_load::command())
                .subcommand(core_explain::command())
                .subcommand(core_late::command())
                .subcommand(core_evacuate::start_command())
                .subcommand(core_evacuate::end_command()),
        )
        .subcommand(
            Command::new("report")
                .about("Reports on service level and fragmentation")
                .subcommand_required(true)
                .subcommand(report_burn::command())
                .subcommand(report_fragmentation::command()),
        )
        .subcommand(Command::new("token").about("Handles tokens").subcommand_required(true).subcommand(token_hash::command()))
        .subcommand(completion::command())
}

/// Runs the given command and returns the exit status.
///
/// # Errors
///
/// The failure of the command, which the caller prints.
pub async fn run(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    match command_path(matches).as_slice() {
        ["settings", "apply"] => settings_apply::run(client, output, leaf(matches)).await,
        ["settings", "check"] => settings_check::run(output, leaf(matches)),
        ["settings", "diff"] => settings_diff::run(client, output, leaf(matches)).await,
        ["settings", "get"] => settings_get::run(client, output).await,
        ["settings", "in-force"] => settings_in_force::run(client, output).await,
        ["job", "submit"] => job_submit::run(client, output, leaf(matches)).await,
        ["job", "status"] => job_status::run(client, output, leaf(matches)).await,
        ["job", "list"] => job_list::run(client, output, leaf(matches)).await,
        ["job", "cancel"] => job_cancel::run(client, output, leaf(matches)).await,
        ["request"] => request::run(client, output, leaf(matches)).await,
        ["target", "list"] => target_list::run(client, output, leaf(matches)).await,
        ["status"] => status::run(client, output).await,
        ["core", "status"] => core_status::run(client, output).await,
        ["core", "customers"] => core_customers::run(client, output).await,
        ["core", "load"] => core_load::run(client, output).await,
        ["core", "explain"] => core_explain::run(client, output, leaf(matches)).await,
        ["core", "late"] => core_late::run(output, leaf(matches)),
        ["core", "evacuate"] => core_evacuate::start(client, output, leaf(matches)).await,
        ["core", "end-evacuation"] => core_evacuate::end(client, output, leaf(matches)).await,
        ["report", "burn"] => report_burn::run(client, output, leaf(matches)).await,
        ["report", "fragmentation"] => {
            report_fragmentation::run(client, output, leaf(matches)).await
        }
        ["token", "hash"] => token_hash::run(),
        ["completion"] => completion::run(leaf(matches)),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}

/// Names of the nested subcommands that were given.
fn command_path(matches: &ArgMatches) -> Vec<&str> {
    let mut names = Vec::new();
    let mut current = matches;
    while let Some((name, inner)) = current.subcommand() {
        names.push(name);
        current = inner;
    }
    names
}

/// Arguments of the innermost subcommand.
fn leaf(matches: &ArgMatches) -> &ArgMatches {
    let mut current = matches;
    while let Some((_, inner)) = current.subcommand() {
        current = inner;
    }
    current
}
