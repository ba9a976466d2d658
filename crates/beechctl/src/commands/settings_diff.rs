//! `beechctl settings diff FILE`: shows what applying a file would change.

use super::arguments::text;
use super::settings_check::load;
use super::settings_get::fetch_settings;
use crate::client::Client;
use crate::output::Output;
use bh_protocol::Failure;
use bh_settings::Settings;
use bh_settings::diff;
use bh_settings::diff::Difference;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;

pub fn command() -> Command {
    Command::new("diff")
        .about("Shows what a settings file would change before it is applied")
        .arg(Arg::new("FILE").required(true))
        .arg(Arg::new("team").long("team").value_name("NAME").help("Compare only this team's subtree"))
        .after_help("Example:\n  beechctl settings diff settings.yaml\n  beechctl settings diff bakery.yaml --team bakery")
}

pub async fn run(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let new = match load(output, text(matches, "FILE"))? {
        Ok(settings) => settings,
        Err(status) => return Ok(status),
    };
    let (revision, mut old) = fetch_settings(client).await?;
    let mut new = new;
    if let Some(team) = matches.get_one::<String>("team") {
        old = only_team(old, team);
        new = only_team(new, team);
    }
    let differences = diff::between(&old, &new)?;
    output.show(&differences, |rows| diff_text(revision, rows));
    Ok(0)
}

/// Reduces the settings to one team, without the system settings.
fn only_team(mut settings: Settings, team: &str) -> Settings {
    settings.teams.retain(|name, _| **name == *team);
    settings.system = Default::default();
    settings
}

fn diff_text(revision: u64, rows: &[Difference]) -> String {
    if rows.is_empty() {
        return format!("no difference to revision {revision}");
    }
    let mut text = format!("against revision {revision}:");
    for row in rows {
        let line = match (&row.before, &row.after) {
            (Some(before), Some(after)) => format!("~ {}: {before} -> {after}", row.path),
            (None, Some(after)) => format!("+ {}: {after}", row.path),
            (Some(before), None) => format!("- {}: {before}", row.path),
            (None, None) => continue,
        };
        text.push('\n');
        text.push_str(&line);
    }
    text
}
