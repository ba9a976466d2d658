//! `beechctl job submit`: submits a gang.

use super::arguments::customer_option;
use super::arguments::data_centre_option;
use super::arguments::data_centre_query;
use super::arguments::text;
use crate::client::Client;
use crate::output::Output;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::job::Submission;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde_json::Value;
use std::sync::Arc;

pub fn command() -> Command {
    Command::new("submit")
        .about("Submits a job")
        .arg(customer_option())
        .arg(Arg::new("shape").long("shape").required(true).value_name("NAME").help("Name of the gang's shape"))
        .arg(Arg::new("type").long("type").required(true).value_name("NAME").help("Request type, which decides the priority"))
        .arg(Arg::new("declared-ms").long("declared-ms").required(true).value_parser(value_parser!(u64)).value_name("MS").help("Expected run time"))
        .arg(Arg::new("payload").long("payload").default_value("").value_name("TEXT").help("Payload that every task gets"))
        .arg(Arg::new("key").long("key").value_name("KEY").help("Idempotency key; a resend with it returns the same job"))
        .arg(data_centre_option())
        .after_help("Example:\n  beechctl job submit --customer lumen --shape rack16 --type train --declared-ms 3600000")
}

pub async fn run(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let key = match matches.get_one::<String>("key") {
        Some(key) => key.clone(),
        None => format!(
            "beechctl-{:016x}",
            getrandom::u64().map_err(|error| Failure::new(Code::Internal, error.to_string()))?
        ),
    };
    let submission = Submission {
        key: Arc::from(key),
        shape: Arc::from(text(matches, "shape")),
        request_type: Arc::from(text(matches, "type")),
        declared_ms: matches.get_one::<u64>("declared-ms").copied().unwrap_or(0),
        payload: text(matches, "payload").to_owned(),
    };
    let path = format!(
        "/v1/customers/{}/jobs{}",
        text(matches, "customer"),
        data_centre_query(matches)
    );
    let answer: Value = client.post(&path, &submission).await?;
    output.show(&answer, |answer| {
        format!(
            "job {} in data centre {}",
            answer["job"],
            answer["data_centre"].as_str().unwrap_or("?")
        )
    });
    Ok(0)
}
