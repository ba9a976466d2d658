//! Short texts of answers and commands, for the trace of a case that broke a rule.

use bh_workload::dispatch::Answer;
use bh_workload::state::Command;

/// Summarizes an answer.
pub fn summarize_answer(answer: &Answer) -> String {
    let Answer::Done {
        report: Some(report),
        clock_ms,
    } = answer
    else {
        return format!("{answer:?}");
    };
    let running = report.running.iter().map(|running| running.run.to_string());
    let ended = report.ended.iter();
    let ended = ended.map(|end| format!("{}: {} {:?}", end.number, end.run, end.kind));
    format!(
        "clock {clock_ms:?}, running {:?}, ended {:?}",
        running.collect::<Vec<String>>(),
        ended.collect::<Vec<String>>()
    )
}

/// Summarizes a command.
pub fn summarize_command(command: &Command) -> String {
    match command {
        Command::Starts(starts) => {
            let starts = starts.iter();
            let starts = starts.map(|start| format!("{} on {}", start.run, start.worker));
            format!("starts {:?}", starts.collect::<Vec<String>>())
        }
        Command::Ends { ends, crash, .. } => {
            let ends = ends.iter();
            let ends = ends.map(|end| format!("{} on {} {:?}", end.run, end.worker, end.kind));
            let crashed = crash.as_ref().map(|crash| &crash.worker);
            format!(
                "ends {:?}, crashed {crashed:?}",
                ends.collect::<Vec<String>>()
            )
        }
        command => format!("{command:?}"),
    }
}
