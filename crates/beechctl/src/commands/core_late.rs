//! `beechctl core late`: which jobs were late and why, from the logs of entries and cores.

use crate::output::Output;
use crate::output::table;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_report::late::Cause;
use bh_report::late::LateJob;
use bh_report::late::LateReport;
use bh_report::late::late_report;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use std::collections::BTreeSet;

pub fn command() -> Command {
    Command::new("late")
        .about("Counts late jobs by cause, from the logs of entries and cores")
        .arg(
            Arg::new("FILE")
                .required(true)
                .action(ArgAction::Append)
                .help("Log files of entries and cores, as text"),
        )
        .arg(
            Arg::new("times")
                .long("times")
                .default_value("1")
                .value_parser(value_parser!(u64).range(1..))
                .help("Report only jobs that took more than this multiple of their objective"),
        )
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .action(ArgAction::SetTrue)
                .help("List each late job as well"),
        )
        .after_help("Example:\n  beechctl core late --times 3 core-*.log entry-*.log")
}

pub fn run(output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let mut all_logs = String::new();
    for path in matches.get_many::<String>("FILE").into_iter().flatten() {
        let log = std::fs::read(path)
            .map_err(|error| Failure::new(Code::UnreadableFile, format!("{path}: {error}")))?;
        all_logs.push_str(&String::from_utf8_lossy(&log));
        all_logs.push('\n');
    }
    let factor = matches.get_one::<u64>("times").copied().unwrap_or(1);
    let report = late_report(all_logs.lines(), factor);
    output.show(&report, |report| text(report, matches.get_flag("jobs")));
    Ok(0)
}

fn text(report: &LateReport, with_jobs: bool) -> String {
    let priorities: BTreeSet<u64> = report.ended.keys().copied().collect();
    let mut head = vec!["cause".to_owned()];
    head.extend(
        priorities
            .iter()
            .map(|priority| format!("priority {priority}")),
    );
    let head: Vec<&str> = head.iter().map(String::as_str).collect();
    let counts = report.counts();
    let row = |cause: Cause| {
        let late_jobs = |priority: &u64| counts.get(&(cause, *priority)).copied().unwrap_or(0);
        let cells = priorities
            .iter()
            .map(|priority| late_jobs(priority).to_string());
        let mut row = vec![cause.label().to_owned()];
        row.extend(cells);
        row
    };
    let mut rows: Vec<Vec<String>> = Cause::ALL.into_iter().map(row).collect();
    let late_count = |priority: &u64| {
        report
            .late
            .iter()
            .filter(|job| job.priority == *priority)
            .count()
    };
    let mut totals = vec!["late, of all that ended".to_owned()];
    totals.extend(
        priorities
            .iter()
            .map(|priority| format!("{} of {}", late_count(priority), report.ended[priority])),
    );
    rows.push(totals);
    let mut text = table(&head, &rows);
    if with_jobs {
        let rows: Vec<Vec<String>> = report.late.iter().map(job_row).collect();
        let head = [
            "job",
            "priority",
            "took ms",
            "objective ms",
            "cause",
            "where its time went",
        ];
        text.push_str("\n\n");
        text.push_str(&table(&head, &rows));
    }
    text
}

fn job_row(job: &LateJob) -> Vec<String> {
    let parts: Vec<String> = job
        .parts
        .iter()
        .map(|(cause, ms)| format!("{} {ms}", cause.label()))
        .collect();
    vec![
        job.job.clone(),
        job.priority.to_string(),
        job.took_ms.to_string(),
        job.objective_ms.to_string(),
        job.cause.label().to_owned(),
        parts.join(", "),
    ]
}
