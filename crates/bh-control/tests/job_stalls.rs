//! Reports of stalled jobs, and gauges of waiting work.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_control::core::RunnableTracker;
use bh_control::core::StallEnd;
use bh_control::core::SurveyChanges;
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

/// One of two tasks in an unused pool, held by a run that its worker does not report.
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

/// Results of the same survey made every half second from `from_ms` on, for `for_ms`.
fn survey_repeatedly(
    tracker: &mut RunnableTracker,
    (from_ms, for_ms): (u64, u64),
    steps: &[RunnableStep],
) -> Vec<SurveyChanges> {
    let times = (0..=for_ms / SURVEY_MS).map(|count| from_ms + count * SURVEY_MS);
    times
        .map(|now_ms| tracker.update(now_ms, &survey(steps.to_vec()), |_| false))
        .collect()
}

fn lines(changes: &[SurveyChanges]) -> usize {
    changes.iter().map(|changes| changes.lines.len()).sum()
}

/// Guards against a stalled job being reported at every survey, too early, or never.
#[test]
fn a_stall_has_one_line_when_it_is_long_and_one_when_it_is_over() {
    let mut tracker = RunnableTracker::new();
    let early = survey_repeatedly(&mut tracker, (10_000, 1_500), &[step(1)]);
    assert_eq!(lines(&early), 0);
    assert_eq!(tracker.stalled_jobs(), 0);
    let late = survey_repeatedly(&mut tracker, (12_000, 20_000), &[step(1)]);
    assert_eq!(lines(&late), 1);
    assert_eq!(late[0].lines[0].stalled_ms, 2_000);
    assert_eq!(late[0].lines[0].step.held_by, step(1).held_by);
    assert_eq!(tracker.stalled_jobs(), 1);
    let over = tracker.update(32_500, &Survey::default(), |_| false);
    assert_eq!(over.ended_durations_ms, vec![22_500]);
    assert_eq!(over.lines[0].end, Some(StallEnd::Runs));
    assert_eq!(over.lines[0].stalled_ms, 22_500);
    let after = tracker.update(33_000, &Survey::default(), |_| false);
    assert_eq!(after, SurveyChanges::default());
}

/// Guards against the end of a stall being reported with the wrong cause.
#[rstest]
#[case::it_runs(RunnableStep { stall_check: StallCheck { runs: 1, ..step(1).stall_check }, ..step(1) }, StallEnd::Runs)]
#[case::it_has_run(RunnableStep { results: 1, ..step(1) }, StallEnd::Runs)]
#[case::less_room(
    RunnableStep { stall_check: StallCheck { places: 3, ..step(1).stall_check }, ..step(1) },
    StallEnd::LessRoom
)]
fn the_cause_of_an_end_is_told(#[case] last: RunnableStep, #[case] cause: StallEnd) {
    let mut tracker = RunnableTracker::new();
    survey_repeatedly(&mut tracker, (0, 2_000), &[step(1)]);
    let changes = tracker.update(2_500, &survey(vec![last]), |_| false);
    assert_eq!(changes.lines[0].end, Some(cause));
}

/// Guards against a job that its caller cancelled being reported as running.
#[test]
fn a_job_that_has_ended_ends_its_stall() {
    let mut tracker = RunnableTracker::new();
    survey_repeatedly(&mut tracker, (0, 2_000), &[step(1)]);
    let changes = tracker.update(2_500, &Survey::default(), |_| true);
    assert_eq!(changes.lines[0].end, Some(StallEnd::JobOver));
}

/// Guards against short runs between two surveys being missed, so that a job with one such run after another counts as stalled.
#[test]
fn a_job_that_ran_between_two_surveys_is_not_stalled() {
    let mut tracker = RunnableTracker::new();
    for results in 0..10 {
        let step = RunnableStep { results, ..step(1) };
        let changes = tracker.update(results * SURVEY_MS, &survey(vec![step]), |_| false);
        assert_eq!(changes, SurveyChanges::default());
        assert_eq!(tracker.oldest_ms, 0);
    }
}

/// Guards against flooding the log when all jobs stall at once; the lines left out are counted.
#[test]
fn lines_of_many_jobs_are_bounded_and_counted() {
    const JOBS: u64 = 300;
    const MAX_LINES: usize = 4;
    let mut tracker = RunnableTracker::new();
    let steps: Vec<RunnableStep> = (1..=JOBS).map(step).collect();
    let changes = survey_repeatedly(&mut tracker, (0, 2_000), &steps);
    let last = changes.last().unwrap();
    assert_eq!(last.lines.len(), MAX_LINES);
    assert_eq!(last.started, 300);
    assert_eq!(last.omitted_lines, 300 - MAX_LINES);
    let over = tracker.update(2_500, &Survey::default(), |_| false);
    assert_eq!(over.ended_durations_ms.len(), 300);
    assert_eq!(over.lines.len(), MAX_LINES, "those that were told");
    assert_eq!(over.omitted_lines, 0);
}

/// Guards against a job that a survey left out being reported as running.
#[test]
fn a_job_left_out_of_a_survey_remains_stalled() {
    let mut tracker = RunnableTracker::new();
    survey_repeatedly(&mut tracker, (0, 2_000), &[step(1), step(2)]);
    let cut = Survey {
        steps: vec![step(1)],
        left_out: 1,
    };
    let changes = tracker.update(2_500, &cut, |_| false);
    assert_eq!(changes.lines, Vec::new());
    assert_eq!(tracker.stalled_jobs(), 2);
}

/// Guards against waits being summed under the wrong reason, and their age restarting at every survey.
#[test]
fn waits_are_summed_by_reason_and_have_an_age() {
    let mut tracker = RunnableTracker::new();
    let room = RunnableStep {
        wait: WaitReason::NoRoom {
            tasks: 2,
            places: 0,
        },
        ..step(2)
    };
    survey_repeatedly(&mut tracker, (0, 3_000), &[step(1), room.clone(), room]);
    assert_eq!(tracker.tasks.get("run_unreported"), Some(&2));
    assert_eq!(tracker.tasks.get("no_room"), Some(&4));
    assert_eq!(tracker.oldest_ms, 3_000);
}

/// Guards against gauges with the same name and different labels overwriting each other.
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
