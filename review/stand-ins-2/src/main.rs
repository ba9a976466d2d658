//! Stand-ins and checks of the review's scripts. Usage: `review-stand-ins-2 CASE BINARY RECORD`; the variable `TROUBLE=0` leaves the
//! disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cancel;
mod cluster;
mod flap;
mod gang;
mod http;
mod lost;
mod reclaim;
mod record;
mod setup;
mod worker;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, binary, record] = arguments.as_slice() else {
        eprintln!("usage: review-stand-ins-2 CASE BINARY RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match case.as_str() {
        "cancel" => cancel::run(binary, record, trouble),
        "flap" => flap::run(binary, record, trouble),
        "gang" => gang::run(binary, record, trouble),
        "lost" => lost::run(binary, record, trouble),
        "reclaim" => reclaim::run(binary, record, trouble),
        _ => Err(format!("no case is named {case}")),
    };
    match result {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
        }
        Ok(broken) => {
            for line in broken {
                println!("BROKEN {line}");
            }
            exit(1);
        }
        Err(why) => {
            println!("the case could not run: {why}");
            exit(2);
        }
    }
}
