//! `beechctl core evacuate` and `beechctl core end-evacuation`: start and end the evacuation of a data centre. A core is a
//! process that keeps the replicated record and may lead; for these commands `--entry` names the operators' address of a core.

use super::arguments::text as argument;
use crate::client::Client;
use crate::client::parse;
use crate::output::Output;
use bh_control::core::EvacuationStatus;
use bh_protocol::Failure;
use bytes::Bytes;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;

pub fn start_command() -> Command {
    Command::new("evacuate")
        .about("Stops new work from starting in a data centre; running work continues")
        .arg(data_centre())
        .after_help("Example:\n  beechctl core evacuate ulemiste --entry 10.1.0.22:9464")
}

pub fn end_command() -> Command {
    Command::new("end-evacuation")
        .about("Lets work start in a data centre again")
        .arg(data_centre())
        .after_help("Example:\n  beechctl core end-evacuation ulemiste --entry 10.1.0.22:9464")
}

fn data_centre() -> Arg {
    Arg::new("DATA_CENTRE")
        .required(true)
        .help("The data centre's name")
}

pub async fn start(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    send_order(client, output, matches, "POST").await
}

pub async fn end(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    send_order(client, output, matches, "DELETE").await
}

/// Sends the order with `method` and prints the resulting state of the evacuation.
async fn send_order(
    client: &Client,
    output: &Output,
    matches: &ArgMatches,
    method: &str,
) -> Result<u8, Failure> {
    let path = format!("/v1/evacuations/{}", argument(matches, "DATA_CENTRE"));
    let response = client.call(method, &path, Bytes::new(), &[]).await?;
    let status: EvacuationStatus = parse(response.body())?;
    output.show(&status, describe);
    Ok(0)
}

fn describe(status: &EvacuationStatus) -> String {
    let name = &status.data_centre;
    if status.is_evacuated {
        format!("nothing more begins in {name}; `beechctl core status` tells what still runs there")
    } else {
        format!("work may begin in {name} again")
    }
}
