//! `beechctl status`: the groups, links and load of an entry.

use crate::client::Client;
use crate::output::Output;
use crate::output::table;
use bh_node::http_api::EntryStatus;
use bh_protocol::Failure;
use clap::Command;

pub fn command() -> Command {
    Command::new("status")
        .about("Shows an entry's groups, links and load")
        .after_help("Example:\n  beechctl status --entry 10.0.0.7:8080")
}

pub async fn run(client: &Client, output: &Output) -> Result<u8, Failure> {
    let status: EntryStatus = client.get("/v1/status").await?;
    output.show(&status, text);
    Ok(0)
}

fn text(status: &EntryStatus) -> String {
    let groups: Vec<Vec<String>> = status
        .groups
        .iter()
        .map(|group| {
            let confirmed = group
                .confirmed_ms
                .map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
            let leader = group.leader.clone().unwrap_or_else(|| "-".to_owned());
            vec![
                group.name.to_string(),
                group.role.clone(),
                leader,
                group.term.to_string(),
                group.applied.to_string(),
                group.voters.join(","),
                confirmed,
            ]
        })
        .collect();
    let peers: Vec<Vec<String>> = status
        .peers
        .iter()
        .map(|peer| {
            vec![
                peer.name.to_string(),
                peer.data_centre.to_string(),
                if peer.linked { "open" } else { "closed" }.to_owned(),
                peer.free_slots.to_string(),
            ]
        })
        .collect();
    format!(
        "entry {} in {}: {}, settings revision {}{}\nrequests in progress {}, waiting {}, free slots {} of {}\n\n{}\n\n{}",
        status.in_force.entry,
        status.in_force.data_centre,
        if status.ready { "ready" } else { "not ready" },
        status.in_force.revision,
        if status.in_force.cut_off {
            " (cut off)"
        } else {
            ""
        },
        status.in_progress,
        status.queued,
        status.free_slots,
        status.slots,
        table(
            &[
                "group",
                "role",
                "leader",
                "term",
                "applied",
                "voters",
                "leader heard"
            ],
            &groups
        ),
        table(&["peer", "data centre", "link", "free slots"], &peers),
    )
}
