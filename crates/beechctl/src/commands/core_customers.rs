//! `beechctl core customers`: the load of each customer of a deployment.

use super::optional_figure::count;
use super::optional_figure::percent;
use crate::client::Client;
use crate::output::Output;
use crate::output::table;
use bh_control::core::CustomersReport;
use bh_protocol::Failure;
use bh_workload::plan::CustomerLoad;
use clap::Command;

pub fn command() -> Command {
    Command::new("customers")
        .about("Shows what each customer is guaranteed, uses and waits for; call the leading core")
        .after_help("Example:\n  beechctl core customers --entry 10.1.0.22:9464")
}

pub async fn run(client: &Client, output: &Output) -> Result<u8, Failure> {
    let report: CustomersReport = client.get("/v1/customers").await?;
    output.show(&report, text);
    Ok(0)
}

fn text(report: &CustomersReport) -> String {
    let head = [
        "customer",
        "guaranteed",
        "in use",
        "decayed share",
        "entitled share",
        "jobs",
        "waiting jobs",
        "waiting tasks",
        "runs",
        "displaced",
        "refused",
    ];
    let rows: Vec<Vec<String>> = report.customers.iter().map(row).collect();
    format!(
        "core {} leads in term {}; {} accelerators in all\n\n{}",
        report.core,
        report.term,
        report.accelerators,
        table(&head, &rows)
    )
}

fn row(load: &CustomerLoad) -> Vec<String> {
    let name = load.customer.as_deref().unwrap_or("nobody");
    let is_removed = load.customer.is_some() && !load.is_in_rules;
    let removed = if is_removed { " (removed)" } else { "" };
    vec![
        format!("{name}{removed}"),
        load.guaranteed_accelerators.to_string(),
        load.counts.accelerators.to_string(),
        percent(load.decayed_share),
        percent(load.entitled_share),
        load.counts.active_jobs.to_string(),
        load.counts.waiting_jobs.to_string(),
        load.counts.waiting_tasks.to_string(),
        load.counts.runs.to_string(),
        count(load.displaced_runs),
        count(load.refused_submissions),
    ]
}
