//! The scripts of the cases: `review-3 CASE FOLDER` writes FOLDER/record.txt and ends with 0 if the rule held, 1 if it was broken, and 2 if the
//! case couldn't run. With TROUBLE=0 the disruption is left out.

mod adviser;
mod cases;
mod cluster;
mod http;
mod json;
mod record;
mod worker;

use record::Record;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Longest time that a case takes; it can't run if it takes longer.
const LIMIT: Duration = Duration::from_secs(115);

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("review-3 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new(&PathBuf::from(folder).join("record.txt")));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        println!("the case took too long");
        exit(2);
    });
    record.line(format!(
        "case {case}, {} disruption",
        if trouble { "with" } else { "without" }
    ));
    let (code, text) = match cases::run(case, &record, trouble) {
        Verdict::Held(text) => (0, format!("the rule held: {text}")),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("the case couldn't run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
