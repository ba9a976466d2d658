//! `beechctl request`: sends a short request and prints the whole answer.

use super::arguments::customer_option;
use super::arguments::text;
use crate::client::Client;
use crate::output::Output;
use bh_protocol::Code;
use bh_protocol::Failure;
use bytes::Bytes;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use serde_json::json;
use std::io::Read;

pub fn command() -> Command {
    Command::new("request")
        .about("Sends a short request and prints the whole answer")
        .arg(customer_option())
        .arg(Arg::new("type").long("type").required(true).value_name("NAME").help("Request type"))
        .arg(Arg::new("key").long("key").value_name("KEY").help("Idempotency key; a request that is sent again with the same key runs only once"))
        .arg(Arg::new("body").long("body").value_name("TEXT").help("Body; by default standard input"))
        .after_help("Example:\n  beechctl request --customer lumen --type receipt --key r-17 --body '{\"till\":4}'")
}

pub async fn run(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let path = format!(
        "/v1/customers/{}/requests/{}",
        text(matches, "customer"),
        text(matches, "type")
    );
    let mut headers = Vec::new();
    if let Some(key) = matches.get_one::<String>("key") {
        headers.push((bh_protocol::request::IDEMPOTENCY_KEY, key.as_str()));
    }
    let response = client.call("POST", &path, body(matches)?, &headers).await?;
    let text = String::from_utf8_lossy(response.body()).into_owned();
    output.show(
        &json!({ "status": response.status().as_u16(), "body": text }),
        |_| text.clone(),
    );
    Ok(0)
}

fn body(matches: &ArgMatches) -> Result<Bytes, Failure> {
    if let Some(body) = matches.get_one::<String>("body") {
        return Ok(Bytes::from(body.clone()));
    }
    let mut bytes = Vec::new();
    std::io::stdin()
        .read_to_end(&mut bytes)
        .map_err(|error| Failure::new(Code::UnreadableFile, format!("standard input: {error}")))?;
    Ok(Bytes::from(bytes))
}
