//! `beechctl settings in-force`: shows the settings revision that each entry has in force.

use crate::client::Client;
use crate::output::Output;
use crate::output::table;
use bh_protocol::Failure;
use bh_protocol::settings::InForceEverywhere;
use clap::Command;

pub fn command() -> Command {
    Command::new("in-force")
        .about("Shows the settings revision in force on each entry, its age, and which entries are cut off or silent")
        .after_help("Example:\n  beechctl settings in-force")
}

pub async fn run(client: &Client, output: &Output) -> Result<u8, Failure> {
    let everywhere: InForceEverywhere = client.get("/v1/settings/in-force").await?;
    output.show(&everywhere, text);
    Ok(0)
}

fn text(everywhere: &InForceEverywhere) -> String {
    let mut rows: Vec<Vec<String>> = everywhere
        .entries
        .iter()
        .map(|row| {
            let confirmed = if row.confirmed_ms == u64::MAX {
                "never".to_owned()
            } else {
                format!("{} ms ago", row.confirmed_ms)
            };
            let state = if row.cut_off { "cut off" } else { "up to date" };
            vec![
                row.entry.to_string(),
                row.data_centre.to_string(),
                row.revision.to_string(),
                confirmed,
                state.to_owned(),
            ]
        })
        .collect();
    for name in &everywhere.silent {
        rows.push(vec![
            name.to_string(),
            "?".to_owned(),
            "?".to_owned(),
            "no answer".to_owned(),
            "silent".to_owned(),
        ]);
    }
    table(
        &["entry", "data centre", "revision", "confirmed", "state"],
        &rows,
    )
}
