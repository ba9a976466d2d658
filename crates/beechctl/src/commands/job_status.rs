//! `beechctl job status`: shows the status of a job, and can wait until the job runs or ends.

use super::arguments::customer_option;
use super::arguments::data_centre_option;
use super::arguments::data_centre_query;
use super::arguments::text;
use super::job_list::job_table;
use crate::client::Client;
use crate::output::Output;
use bh_net::Clock;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::job::Phase;
use bh_protocol::job::Status;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use std::io::IsTerminal;
use std::io::Write;

/// Interval between status requests while waiting, in milliseconds.
const POLL_MS: u64 = 200;

pub fn command() -> Command {
    Command::new("status")
        .about("Shows the status of a job")
        .arg(
            Arg::new("JOB")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .arg(customer_option())
        .arg(data_centre_option())
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the job ends, at most --timeout-ms"),
        )
        .arg(
            Arg::new("wait-running")
                .long("wait-running")
                .action(ArgAction::SetTrue)
                .help("Wait until every task runs, at most --timeout-ms"),
        )
        .after_help("Example:\n  beechctl job status 7 --customer lumen --wait --timeout-ms 600000")
}

pub async fn run(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let job = matches.get_one::<u64>("JOB").copied().unwrap_or(0);
    let path = format!(
        "/v1/customers/{}/jobs/{job}{}",
        text(matches, "customer"),
        data_centre_query(matches)
    );
    let (until_ended, until_running) = (matches.get_flag("wait"), matches.get_flag("wait-running"));
    let clock = Clock::new();
    loop {
        let status: Status = client.get(&path).await?;
        let reached = status.phase.is_final() || (until_running && status.running);
        let must_wait = (until_ended || until_running) && !reached;
        if must_wait && clock.now_ms() < client.timeout_ms() {
            show_progress(output, &status);
            sleep_ms(POLL_MS).await;
            continue;
        }
        clear_progress(output);
        output.show(&status, |status| job_table(std::slice::from_ref(status)));
        return exit_status(&status, must_wait);
    }
}

fn exit_status(status: &Status, timed_out: bool) -> Result<u8, Failure> {
    match status.phase {
        Phase::Failed => Ok(Code::JobFailed.exit_status()),
        Phase::Cancelled => Ok(Code::Cancelled.exit_status()),
        _ if timed_out => Ok(Code::Unreachable.exit_status()),
        _ => Ok(0),
    }
}

fn show_progress(output: &Output, status: &Status) {
    if !output.is_json() && std::io::stderr().is_terminal() {
        eprint!(
            "\r\x1b[Kjob {}: {:?}, {} s old. {}",
            status.job,
            status.phase,
            status.age_ms / 1_000,
            status.reason
        );
        let _ = std::io::stderr().flush();
    }
}

fn clear_progress(output: &Output) {
    if !output.is_json() && std::io::stderr().is_terminal() {
        eprint!("\r\x1b[K");
    }
}
