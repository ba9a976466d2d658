//! `beechctl job list`: lists the jobs of a customer.

use super::arguments::customer_option;
use super::arguments::data_centre_option;
use super::arguments::data_centre_query;
use super::arguments::text;
use crate::client::Client;
use crate::output::Output;
use crate::output::table;
use bh_protocol::Failure;
use bh_protocol::job::Phase;
use bh_protocol::job::Status;
use clap::ArgMatches;
use clap::Command;

pub fn command() -> Command {
    Command::new("list")
        .about("Lists a customer's jobs")
        .arg(customer_option())
        .arg(data_centre_option())
        .after_help("Example:\n  beechctl job list --customer lumen")
}

pub async fn run(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let path = format!(
        "/v1/customers/{}/jobs{}",
        text(matches, "customer"),
        data_centre_query(matches)
    );
    let jobs: Vec<Status> = client.get(&path).await?;
    output.show(&jobs, |jobs| job_table(jobs));
    Ok(0)
}

/// Formats jobs as a table.
pub fn job_table(jobs: &[Status]) -> String {
    let rows: Vec<Vec<String>> = jobs
        .iter()
        .map(|status| {
            let workers: Vec<String> = status
                .placement
                .per_worker()
                .iter()
                .map(|(worker, tasks)| format!("{worker}x{tasks}"))
                .collect();
            let phase = match (status.phase, status.running) {
                (Phase::Started, true) => "running".to_owned(),
                (phase, _) => format!("{phase:?}").to_lowercase(),
            };
            vec![
                status.job.to_string(),
                status.customer.to_string(),
                status.shape.to_string(),
                phase,
                status.attempt.to_string(),
                workers.join(" "),
                status.reason.clone(),
            ]
        })
        .collect();
    table(
        &[
            "job", "customer", "shape", "phase", "attempt", "workers", "reason",
        ],
        &rows,
    )
}
