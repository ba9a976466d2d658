//! Runs the stand-in worker as a process, for the demo.

use bh_testkit::worker::Worker;
use bh_testkit::worker::WorkerOptions;
use clap::Arg;
use clap::Command;
use clap::value_parser;
use std::io::Read;

fn main() {
    let matches = Command::new("bh-worker")
        .about("Stand-in for a worker; test only. Ends when standard input closes")
        .arg(
            Arg::new("free-ports")
                .long("free-ports")
                .value_parser(value_parser!(usize))
                .help("Print free ports and end"),
        )
        .arg(Arg::new("name").long("name"))
        .arg(Arg::new("data-centre").long("data-centre"))
        .arg(Arg::new("rack").long("rack"))
        .arg(
            Arg::new("entries")
                .long("entries")
                .value_delimiter(',')
                .num_args(1..),
        )
        .arg(
            Arg::new("accelerators")
                .long("accelerators")
                .default_value("8")
                .value_parser(value_parser!(u32)),
        )
        .get_matches();
    if let Some(count) = matches.get_one::<usize>("free-ports") {
        let ports: Vec<String> = bh_testkit::ports::free(*count)
            .iter()
            .map(|address| address.port().to_string())
            .collect();
        println!("{}", ports.join(" "));
        return;
    }
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let entries: Vec<String> = matches
        .get_many::<String>("entries")
        .into_iter()
        .flatten()
        .cloned()
        .collect();
    let mut options =
        WorkerOptions::new(&text("name"), &text("data-centre"), &text("rack"), entries);
    options.accelerators = matches.get_one::<u32>("accelerators").copied().unwrap_or(8);
    let worker = Worker::start(options);
    println!("{}", worker.address());
    let _ = std::io::stdin().read_to_end(&mut Vec::new());
}
