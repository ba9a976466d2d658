//! `beechctl target list`: lists the targets of a data centre.

use super::arguments::data_centre_option;
use super::arguments::data_centre_query;
use crate::client::Client;
use crate::output::Output;
use crate::output::table;
use bh_membership::TargetView;
use bh_protocol::Failure;
use clap::ArgMatches;
use clap::Command;

pub fn command() -> Command {
    Command::new("list")
        .about("Lists the targets of a data centre")
        .arg(data_centre_option())
        .after_help("Example:\n  beechctl target list --data-centre kadaka")
}

pub async fn run(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let targets: Vec<TargetView> = client
        .get(&format!("/v1/targets{}", data_centre_query(matches)))
        .await?;
    output.show(&targets, |targets| text(targets));
    Ok(0)
}

fn text(targets: &[TargetView]) -> String {
    let rows: Vec<Vec<String>> = targets
        .iter()
        .map(|view| {
            let target = &view.target;
            vec![
                target.name.to_string(),
                target.rack.to_string(),
                target.accelerators.to_string(),
                format!("{}/{}", target.busy_slots, target.slots),
                target.tasks.len().to_string(),
                view.owner.as_deref().unwrap_or("-").to_owned(),
                format!("{} ms", view.remaining_ms),
                if target.leaving { "leaving" } else { "here" }.to_owned(),
            ]
        })
        .collect();
    table(
        &[
            "target",
            "rack",
            "accelerators",
            "slots",
            "tasks",
            "owner",
            "lease left",
            "state",
        ],
        &rows,
    )
}
