//! What is told of jobs that stand still, and the gauges of work that waits.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_control::core::RunnableWatch;
use bh_control::core::StandstillEnd;
use bh_control::core::WatchNews;
use bh_control::observe::Metrics;
use bh_protocol::Incarnation;
use bh_workload::dispatch::RunPhase;
use bh_workload::job::JobId;
use bh_workload::job::Resources;
use bh_workload::job::StepId;
use bh_workload::plan::BlockingRun;
use bh_workload::plan::RunnableStep;
use bh_workload::plan::StallCheck;
use bh_workload::plan::Survey;
use bh_workload::plan::WaitReason;
use rstest::rstest;

const SURVEY_MS: u64 = 500;

/// One of two tasks in a pool of which nothing is in use, held by a run that its worker does not report.
fn step(job: u64) -> RunnableStep {
    RunnableStep {
        step: StepId {
            job: JobId(job),
            occurrence: 0,
            step: 0,
        },
        tasks: 2,
        wait: WaitReason::Ordered {
            phase: RunPhase::Unreported,
        },
        held_by: Some(BlockingRun {
            run: format!("{}.0.0.0#1", JobId(job)),
            worker: Incarnation::parse("w00").unwrap(),
            phase: RunPhase::Unreported,
            held_ms: 100,
        }),
        ready_ms: 0,
        results: 0,
        stall_check: StallCheck {
            runs: 0,
            tasks: 2,
            places: 4,
            in_use: Resources::default(),
            capacity: Resources {
                cpu_millis: 8,
                ..Resources::default()
            },
        },
    }
}

fn survey(steps: Vec<RunnableStep>) -> Survey {
    Survey { steps, left_out: 0 }
}

/// What follows from the same survey made every half second from `from_ms` on, for `for_ms`.
fn stand(
    watch: &mut RunnableWatch,
    (from_ms, for_ms): (u64, u64),
    steps: &[RunnableStep],
) -> Vec<WatchNews> {
    let times = (0..=for_ms / SURVEY_MS).map(|turn| from_ms + turn * SURVEY_MS);
    times
        .map(|now_ms| watch.note(now_ms, &survey(steps.to_vec()), |_| false))
        .collect()
}

fn lines(news: &[WatchNews]) -> usize {
    news.iter().map(|news| news.lines.len()).sum()
}

/// Guards against a job that stands still being told of at every survey, too early, or never.
#[test]
fn a_stretch_has_one_line_when_it_is_long_and_one_when_it_is_over() {
    let mut watch = RunnableWatch::new();
    let early = stand(&mut watch, (10_000, 1_500), &[step(1)]);
    assert_eq!(lines(&early), 0);
    assert_eq!(watch.standing_still(), 0);
    let late = stand(&mut watch, (12_000, 20_000), &[step(1)]);
    assert_eq!(lines(&late), 1);
    assert_eq!(late[0].lines[0].stood_ms, 2_000);
    assert_eq!(late[0].lines[0].step.held_by, step(1).held_by);
    assert_eq!(watch.standing_still(), 1);
    let over = watch.note(32_500, &Survey::default(), |_| false);
    assert_eq!(over.over_ms, vec![22_500]);
    assert_eq!(over.lines[0].end, Some(StandstillEnd::Runs));
    assert_eq!(over.lines[0].stood_ms, 22_500);
    let after = watch.note(33_000, &Survey::default(), |_| false);
    assert_eq!(after, WatchNews::default());
}

/// Guards against the end of a stretch being told with the wrong cause.
#[rstest]
#[case::it_runs(RunnableStep { stall_check: StallCheck { runs: 1, ..step(1).stall_check }, ..step(1) }, StandstillEnd::Runs)]
#[case::it_has_run(RunnableStep { results: 1, ..step(1) }, StandstillEnd::Runs)]
#[case::less_room(
    RunnableStep { stall_check: StallCheck { places: 3, ..step(1).stall_check }, ..step(1) },
    StandstillEnd::LessRoom
)]
fn the_cause_of_an_end_is_told(#[case] last: RunnableStep, #[case] cause: StandstillEnd) {
    let mut watch = RunnableWatch::new();
    stand(&mut watch, (0, 2_000), &[step(1)]);
    let news = watch.note(2_500, &survey(vec![last]), |_| false);
    assert_eq!(news.lines[0].end, Some(cause));
}

/// Guards against a job that its caller took back being told as running.
#[test]
fn a_job_that_is_over_ends_its_stretch() {
    let mut watch = RunnableWatch::new();
    stand(&mut watch, (0, 2_000), &[step(1)]);
    let news = watch.note(2_500, &Survey::default(), |_| true);
    assert_eq!(news.lines[0].end, Some(StandstillEnd::JobOver));
}

/// Guards against short runs between two surveys going unseen, so that a job that runs them one after the other counts as standing still.
#[test]
fn a_job_that_ran_between_two_surveys_begins_anew() {
    let mut watch = RunnableWatch::new();
    for results in 0..10 {
        let step = RunnableStep { results, ..step(1) };
        let news = watch.note(results * SURVEY_MS, &survey(vec![step]), |_| false);
        assert_eq!(news, WatchNews::default());
        assert_eq!(watch.oldest_ms, 0);
    }
}

/// Guards against a log that is flooded when everything stands still at once; what is left out is counted.
#[test]
fn lines_of_many_jobs_are_bounded_and_counted() {
    const JOBS: u64 = 300;
    const MOST_LINES: usize = 4;
    let mut watch = RunnableWatch::new();
    let steps: Vec<RunnableStep> = (1..=JOBS).map(step).collect();
    let news = stand(&mut watch, (0, 2_000), &steps);
    let last = news.last().unwrap();
    assert_eq!(last.lines.len(), MOST_LINES);
    assert_eq!(last.begun, 300);
    assert_eq!(last.left_out, 300 - MOST_LINES);
    let over = watch.note(2_500, &Survey::default(), |_| false);
    assert_eq!(over.over_ms.len(), 300);
    assert_eq!(over.lines.len(), MOST_LINES, "those that were told");
    assert_eq!(over.left_out, 0);
}

/// Guards against a job that a survey left out being told as running.
#[test]
fn a_job_that_was_left_out_goes_on_standing_still() {
    let mut watch = RunnableWatch::new();
    stand(&mut watch, (0, 2_000), &[step(1), step(2)]);
    let cut = Survey {
        steps: vec![step(1)],
        left_out: 1,
    };
    let news = watch.note(2_500, &cut, |_| false);
    assert_eq!(news.lines, Vec::new());
    assert_eq!(watch.standing_still(), 2);
}

/// Guards against waits being summed under the wrong reason, and their age beginning anew at every survey.
#[test]
fn waits_are_summed_by_reason_and_have_an_age() {
    let mut watch = RunnableWatch::new();
    let room = RunnableStep {
        wait: WaitReason::NoRoom {
            tasks: 2,
            places: 0,
        },
        ..step(2)
    };
    stand(&mut watch, (0, 3_000), &[step(1), room.clone(), room]);
    assert_eq!(watch.tasks.get("run_unreported"), Some(&2));
    assert_eq!(watch.tasks.get("no_room"), Some(&4));
    assert_eq!(watch.oldest_ms, 3_000);
}

/// Guards against gauges of one name that overwrite each other.
#[test]
fn a_gauge_has_a_value_for_each_label() {
    let metrics = Metrics::new();
    metrics.gauge_with("runnable_tasks", ("reason", "no_room"), 3);
    metrics.gauge_with("runnable_tasks", ("reason", "not_planned"), 0);
    metrics.gauge_with("runnable_tasks", ("reason", "no_room"), 5);
    let text = metrics.text();
    assert!(text.contains("runnable_tasks{reason=\"no_room\"} 5\n"));
    assert!(text.contains("runnable_tasks{reason=\"not_planned\"} 0\n"));
}
