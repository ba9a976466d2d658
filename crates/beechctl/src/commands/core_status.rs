//! `beechctl core status`: the role and state of a core of a deployment.

use crate::client::Client;
use crate::output::Output;
use crate::output::table;
use bh_control::core::CoreReport;
use bh_control::core::Evacuation;
use bh_protocol::Failure;
use clap::Command;

pub fn command() -> Command {
    Command::new("status")
        .about("Shows a core's role and state, and the free capacity of the workers")
        .after_help("Example:\n  beechctl core status --entry 10.1.0.22:9464")
}

pub async fn run(client: &Client, output: &Output) -> Result<u8, Failure> {
    let report: CoreReport = client.get("/v1/status").await?;
    output.show(&report, text);
    Ok(0)
}

fn evacuation_text(evacuation: &Evacuation) -> String {
    let Evacuation {
        data_centre,
        for_ms,
        runs,
    } = evacuation;
    format!("{data_centre} for {for_ms} ms, {runs} runs left")
}

fn disk_text(report: &CoreReport) -> String {
    let mut text = format!(
        "journal of {} bytes, last snapshot {}",
        report.journal_bytes, report.snapshot_bytes
    );
    if report.low_on_space {
        text.push_str(", little space left");
    }
    if let Some(shortage) = &report.shortage {
        text.push_str(&format!(", new jobs and rules are refused: {shortage}"));
    }
    text
}

fn text(report: &CoreReport) -> String {
    let role = match (report.leads, report.is_voter) {
        (true, _) => "leads",
        (false, true) => "votes",
        (false, false) => "observes",
    };
    let last_contact = report
        .heard_ms_ago
        .map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
    let waves: Vec<String> = report.waves.iter().map(u64::to_string).collect();
    let evacuated: Vec<String> = report.evacuations.iter().map(evacuation_text).collect();
    let rows = [
        ("role", role.to_owned()),
        ("leader", report.leader.clone().unwrap_or("-".to_owned())),
        ("leader heard", last_contact),
        ("term", report.term.to_string()),
        ("voters", report.voters.join(",")),
        ("applied", report.applied.to_string()),
        ("disk", disk_text(report)),
        ("rules", report.rules_version.to_string()),
        ("jobs", report.active_jobs.to_string()),
        ("workers", report.workers.to_string()),
        ("runs", report.runs.to_string()),
        (
            "free accelerators",
            format!("{} of {}", report.free_accelerators, report.accelerators),
        ),
        ("waves", waves.join(",")),
        ("evacuated", evacuated.join(", ")),
    ];
    let rows: Vec<Vec<String>> = rows
        .into_iter()
        .map(|(name, value)| vec![name.to_owned(), value])
        .collect();
    table(&["core", &report.core], &rows)
}
