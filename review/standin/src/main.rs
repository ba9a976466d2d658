//! Plays one case of the review: starts the project's processes, stand-ins of workers, an operator and clients, and checks one rule.
//! Usage: review-standin CASE RECORD. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.

mod cluster;
mod http;
mod json;
mod record;
mod scenes;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let record = record::Record::new(path);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("case {case}, trouble {trouble}"));
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        scenes::play(case, trouble, &record)
    }));
    match verdict {
        Ok(Ok(true)) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Ok(Ok(false)) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Err(why)) => {
            record.line(format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.line("the case could not run: the stand-in failed");
            ExitCode::from(2)
        }
    }
}
