//! `beechctl core load`: the load of each queue of a deployment, and whether the leader sheds load.

use super::optional_figure::count;
use crate::client::Client;
use crate::output::Output;
use crate::output::table;
use bh_control::core::LoadReport;
use bh_protocol::Failure;
use bh_workload::plan::QueueLoad;
use clap::Command;

pub fn command() -> Command {
    Command::new("load")
        .about("Shows what waits and runs in each queue; call the leading core")
        .after_help("Example:\n  beechctl core load --entry 10.1.0.22:9464")
}

pub async fn run(client: &Client, output: &Output) -> Result<u8, Failure> {
    let report: LoadReport = client.get("/v1/load").await?;
    output.show(&report, text);
    Ok(0)
}

fn text(report: &LoadReport) -> String {
    let head = [
        "queue",
        "priority",
        "pool",
        "jobs",
        "waiting jobs",
        "waiting tasks",
        "runs",
        "accelerators",
        "expected wait ms",
        "refused",
    ];
    let rows: Vec<Vec<String>> = report.queues.iter().map(row).collect();
    let level = count(report.shedding_level);
    format!(
        "core {} leads in term {}; load shedding level {level}\n\n{}",
        report.core,
        report.term,
        table(&head, &rows)
    )
}

fn row(load: &QueueLoad) -> Vec<String> {
    let removed = if load.is_in_rules { "" } else { " (removed)" };
    vec![
        format!("{}{removed}", load.queue),
        load.priority.to_string(),
        load.pool.to_string(),
        load.counts.active_jobs.to_string(),
        load.counts.waiting_jobs.to_string(),
        load.counts.waiting_tasks.to_string(),
        load.counts.runs.to_string(),
        load.counts.accelerators.to_string(),
        count(load.expected_wait_ms),
        count(load.refused_submissions),
    ]
}
