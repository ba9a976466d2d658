//! `beechctl settings apply FILE`: puts the settings in a file into force.

use super::arguments::text;
use super::settings_check::load;
use super::settings_get::fetch;
use crate::client::Client;
use crate::output::Output;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::settings::Accepted;
use bh_protocol::settings::Change;
use bh_protocol::settings::Scope;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use std::sync::Arc;

/// Number of resends of a change whose outcome is unknown. They are safe, since the change id makes the change idempotent.
const MAX_RESENDS: usize = 3;

pub fn command() -> Command {
    Command::new("apply")
        .about("Puts the settings in a file into force")
        .arg(Arg::new("FILE").required(true))
        .arg(Arg::new("team").long("team").value_name("NAME").help("Replace only this team's subtree"))
        .arg(
            Arg::new("base-revision")
                .long("base-revision")
                .value_parser(value_parser!(u64))
                .value_name("N")
                .help("Revision that the file is based on; by default the one in force"),
        )
        .arg(Arg::new("change-id").long("change-id").value_name("ID").help("Id of the change; sending a change again with the same id returns the first result"))
        .after_help("Examples:\n  beechctl settings apply settings.yaml\n  beechctl settings apply bakery.yaml --team bakery --base-revision 12")
}

pub async fn run(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let path = text(matches, "FILE");
    if let Err(status) = load(output, path)? {
        return Ok(status);
    }
    let yaml = std::fs::read_to_string(path)
        .map_err(|error| Failure::new(Code::UnreadableFile, format!("{path}: {error}")))?;
    let base_revision = match matches.get_one::<u64>("base-revision") {
        Some(revision) => *revision,
        None => fetch(client).await?.0,
    };
    let change = Change {
        change_id: change_id(matches)?,
        base_revision,
        scope: matches
            .get_one::<String>("team")
            .map_or(Scope::All, |team| Scope::Team(Arc::from(team.as_str()))),
        yaml,
    };
    let accepted = send(client, &change).await?;
    output.show(&accepted, |accepted| {
        format!("accepted as revision {}", accepted.revision)
    });
    Ok(0)
}

fn change_id(matches: &ArgMatches) -> Result<Arc<str>, Failure> {
    if let Some(id) = matches.get_one::<String>("change-id") {
        return Ok(Arc::from(id.as_str()));
    }
    let number =
        getrandom::u64().map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
    Ok(Arc::from(format!("beechctl-{number:016x}")))
}

async fn send(client: &Client, change: &Change) -> Result<Accepted, Failure> {
    let mut last_failure = Failure::new(Code::Unreachable, "the change was not sent");
    for _ in 0..=MAX_RESENDS {
        match client.post("/v1/settings", change).await {
            Err(failure)
                if matches!(
                    failure.code,
                    Code::Unreachable | Code::OutcomeUnknown | Code::NoQuorum
                ) =>
            {
                last_failure = failure
            }
            result => return result,
        }
    }
    Err(last_failure)
}
