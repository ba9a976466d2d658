//! Command-line client for operators and callers of beechhollow. It talks to an entry, the process of a VM that takes callers' requests.

mod client;
mod commands;
mod output;

use client::Client;
use output::Output;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = commands::command().get_matches();
    let output = Output::new(&matches);
    let result = Client::new(&matches).and_then(|client| {
        let run = commands::run(&client, &output, &matches);
        bh_net::runtime::run(1, run).unwrap_or_else(|error| {
            Err(bh_protocol::Failure::new(
                bh_protocol::Code::Internal,
                format!("the event loop does not start: {error}"),
            ))
        })
    });
    match result {
        Ok(status) => ExitCode::from(status),
        Err(failure) => output.fail(failure),
    }
}
