//! `beechctl core explain`: why a job of a deployment waits, and where its runs are.

use super::arguments::text as argument;
use crate::client::Client;
use crate::output::Output;
use crate::output::table;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_workload::dispatch::RunPhase;
use bh_workload::plan::JobReport;
use bh_workload::plan::RunReport;
use bh_workload::plan::StepReport;
use bh_workload::plan::UnusableReason;
use bh_workload::plan::WaitReason;
use bh_workload::state::GiveUp;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;

pub fn command() -> Command {
    Command::new("explain")
        .about("Explains why a job waits and where its runs are; call the leading core")
        .arg(
            Arg::new("JOB")
                .required(true)
                .help("Name of the job, 16 hexadecimal digits"),
        )
        .after_help("Example:\n  beechctl core explain 5c0e7a21d94b36f8 --entry 10.1.0.22:9464")
}

pub async fn run(client: &Client, output: &Output, matches: &ArgMatches) -> Result<u8, Failure> {
    let path = format!("/v1/jobs/{}", argument(matches, "JOB"));
    let report: JobReport = client.get(&path).await?;
    output.show(&report, text);
    Ok(0)
}

fn text(report: &JobReport) -> String {
    let customer = report.customer.as_deref().unwrap_or("nobody");
    let guaranteed = if report.is_guaranteed {
        ", within its guarantee"
    } else {
        ""
    };
    let steps: Vec<Vec<String>> = report.steps.iter().map(step_row).collect();
    let runs: Vec<Vec<String>> = report.steps.iter().flat_map(run_rows).collect();
    format!(
        "job {} of {customer} in queue {}, priority {}{guaranteed}: {:?}{}\n\n{}\n\n{}",
        report.job,
        report.queue,
        report.priority,
        report.state,
        report.given_up.map_or(String::new(), given_up_text),
        table(
            &[
                "step",
                "tasks",
                "done",
                "failed runs",
                "crashes",
                "waits for"
            ],
            &steps
        ),
        table(&["run", "worker", "percent", "reported", "state"], &runs),
    )
}

fn step_row(step: &StepReport) -> Vec<String> {
    vec![
        step.step.clone(),
        step.tasks.to_string(),
        step.done.to_string(),
        step.failures.to_string(),
        step.crashes.to_string(),
        step.wait.as_ref().map_or("-".to_owned(), wait_text)
            + &blocking_run_text(step)
            + &given_up_tasks_text(step),
    ]
}

/// Describes the tasks of a service that are given up.
fn given_up_tasks_text(step: &StepReport) -> String {
    if step.given_up.is_empty() {
        return String::new();
    }
    let runs = step.given_up.join(", ");
    format!(" (given up, since workers crashed under them: {runs})")
}

/// Describes the run that blocks the step.
fn blocking_run_text(step: &StepReport) -> String {
    step.held_by.as_ref().map_or(String::new(), |blocking| {
        let phase = phase_text(blocking.phase);
        format!(
            " (run {} on {}, for {} ms: {phase})",
            blocking.run, blocking.worker, blocking.held_ms
        )
    })
}

fn phase_text(phase: RunPhase) -> &'static str {
    match phase {
        RunPhase::Unsent => "its start is not sent",
        RunPhase::InFlight => "its start is on its way",
        RunPhase::Unsure => "its start is unanswered",
        RunPhase::Running => "runs",
        RunPhase::Unreported => "not in its worker's last report",
        RunPhase::Silent => "its worker does not answer",
        RunPhase::Stopping => "stopping",
        RunPhase::Ending => "its end is being recorded",
    }
}

/// Describes the state of a run. Cores of older versions report no phase, only whether the run is being stopped.
fn state_text(run: &RunReport) -> String {
    let without_phase = if run.is_stopping { "stopping" } else { "runs" };
    run.phase.map_or(without_phase, phase_text).to_owned()
}

fn unusable_text(why: UnusableReason) -> &'static str {
    match why {
        UnusableReason::Draining => "leaving",
        UnusableReason::Replaced => "replaced by another incarnation",
        UnusableReason::Evacuated => "under evacuation",
        UnusableReason::BesideSuspect => "with a task that may crash them",
        UnusableReason::Emptied => "whose upkeep is next",
        UnusableReason::Slow => "slow",
        UnusableReason::Silent => "silent",
        UnusableReason::Unheard => "not heard of lately",
        UnusableReason::Unverified => "not looked at since they started",
        UnusableReason::SetAside => "set aside after failures",
    }
}

fn run_rows(step: &StepReport) -> Vec<Vec<String>> {
    let row = |run: &RunReport| {
        vec![
            run.run.clone(),
            run.worker.to_string(),
            run.percent.to_string(),
            format!("{} ms ago", run.report_age_ms),
            state_text(run),
        ]
    };
    step.runs.iter().map(row).collect()
}

fn given_up_text(why: GiveUp) -> String {
    let reason = match why {
        GiveUp::Failures { step } => format!("step {step} failed as often as its queue allows"),
        GiveUp::Crashes { run } => {
            format!("workers crashed under its task, the last one under run {run}")
        }
    };
    format!(" ({}: {reason})", Code::JobFailed)
}

fn wait_text(wait: &WaitReason) -> String {
    match wait {
        WaitReason::NotDue { due_ms } => format!("its time, {due_ms} ms since 1970"),
        WaitReason::EarlierSteps { steps } => format!("earlier steps {steps:?}"),
        WaitReason::EarlierRuns => "its earlier runs to be over".to_owned(),
        WaitReason::Evacuated { data_centres } => {
            let names: Vec<&str> = data_centres.iter().map(|name| &**name).collect();
            format!("the end of the evacuation of {}", names.join(", "))
        }
        WaitReason::NoWorkerAllowed => "a worker that may run it".to_owned(),
        WaitReason::NoWorkerLargeEnough => "a worker that is large enough".to_owned(),
        WaitReason::RoomIsMade { workers } => {
            format!("room that is being made on {workers} workers")
        }
        WaitReason::NoRoom { tasks, places } => format!("room: {places} places for {tasks} tasks"),
        WaitReason::Apart { crashes } => {
            format!("workers on which nothing has just begun, since {crashes} crashed under it")
        }
        WaitReason::Ordered { phase } => format!("its recorded runs: {}", phase_text(*phase)),
        WaitReason::UncertainFailures => "word of whether its earlier attempts failed".to_owned(),
        WaitReason::Advice => "the adviser".to_owned(),
        WaitReason::WorkersUnusable { places, why } => {
            format!("workers that are {}: {places} places", unusable_text(*why))
        }
        WaitReason::RoomPromised { places, to } => {
            let to = to.join(", ");
            format!("room that is promised to other work ({to}); {places} places are left")
        }
        WaitReason::RoomKept { places } => {
            format!("room that is kept for urgent work; {places} places are left")
        }
        WaitReason::WorkersAvoided { workers } => {
            format!("room elsewhere than on {workers} workers, where it failed or was slow")
        }
        WaitReason::Rack => "room in a rack that suits it".to_owned(),
        WaitReason::StartRecording => "the record of its start".to_owned(),
        WaitReason::NotPlanned => "the next plan".to_owned(),
        WaitReason::Unexplained => "nothing that is known; please report it".to_owned(),
        WaitReason::Placing => {
            "the next plan, or room that is kept for what comes first".to_owned()
        }
    }
}
