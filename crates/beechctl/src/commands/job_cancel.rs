//! `beechctl job cancel`: cancels jobs, all of them or none.

use super::arguments::customer_option;
use super::arguments::data_centre_option;
use super::arguments::data_centre_query;
use super::arguments::text;
use crate::client::Client;
use crate::output::Output;
use bh_protocol::Failure;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde_json::Value;
use serde_json::json;

pub fn command() -> Command {
    Command::new("cancel")
        .about("Cancels jobs of one customer, all of them or none")
        .arg(
            Arg::new("JOB")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(u64)),
        )
        .arg(customer_option())
        .arg(data_centre_option())
        .after_help("Example:\n  beechctl job cancel 7 8 9 --customer lumen")
}

pub async fn run(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let jobs: Vec<u64> = matches
        .get_many::<u64>("JOB")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let path = format!(
        "/v1/customers/{}/jobs/cancel{}",
        text(matches, "customer"),
        data_centre_query(matches)
    );
    let answer: Value = client.post(&path, &json!({ "jobs": jobs })).await?;
    output.show(&answer, |answer| {
        format!("cancelled {}", answer["cancelled"])
    });
    Ok(0)
}
