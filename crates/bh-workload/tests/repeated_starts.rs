//! Start orders that are sent twice: the answer to the second send says little about the first.
mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Denial;
use bh_workload::dispatch::Ended;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Report;
use bh_workload::job::JobId;
use bh_workload::job::RunId;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use rstest::rstest;
use support::START_WALL_MS;
use support::Site;
use support::step;
use support::task;
use support::worker_id;

/// A site of two workers, a job of one task, and the order that starts the task.
fn site_with_start() -> (Site, JobId, Order) {
    let mut site = Site::new(2, 1);
    let job = site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let mut orders = site.orders();
    orders.retain(|order| matches!(order.body, OrderBody::Start { .. }));
    (site, job, orders.remove(0))
}

/// Returns the run that an order starts or stops.
fn run_of(order: &Order) -> RunId {
    match order.body {
        OrderBody::Start { run, .. } | OrderBody::Stop { run } => run,
        _ => panic!("{order:?} neither starts nor stops a run"),
    }
}

fn denied_answer(site: &Site, denial: Denial) -> Answer {
    Answer::Denied {
        clock_ms: Some(site.now_ms),
        denial,
    }
}

/// Answer of a worker that reports no runs.
fn empty_report_answer(site: &Site) -> Answer {
    Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report::default()),
    }
}

/// The leader receives an answer; the command that follows from it is recorded and returned.
fn answer(site: &mut Site, order: &Order, answer: &Answer) -> Option<Command> {
    let command = site
        .dispatcher
        .note_answer(site.now_ms, order, answer, &site.workload);
    if let Some(command) = command.clone() {
        site.workload.apply(command.at(START_WALL_MS + site.now_ms));
        site.take_events();
    }
    command
}

/// Returns the runs that orders stop.
fn stopped_runs(orders: &[Order]) -> Vec<RunId> {
    let stops = orders.iter();
    let stops = stops.filter(|order| matches!(order.body, OrderBody::Stop { .. }));
    stops.map(run_of).collect()
}

/// Gives every order that is due the answer that `make_answer` returns, and returns the orders.
fn answer_all(site: &mut Site, make_answer: impl Fn(&Site) -> Answer) -> Vec<Order> {
    let orders = site.orders();
    for order in &orders {
        let made = make_answer(site);
        answer(site, order, &made);
    }
    orders
}

/// Guards against running a task twice when a repeated start is refused: the first send may have been carried out, or may still arrive. The worker's
/// next report does not list the run. The run is then stopped, so that a delayed send starts nothing, and the task starts nowhere else until the stop
/// is confirmed.
#[rstest]
#[case(Denial::Unhealthy)]
#[case(Denial::NoRoom)]
#[case(Denial::Late)]
#[case(Denial::NoPermission)]
#[case(Denial::Malformed)]
fn a_refused_repeated_start_does_not_end_the_run(#[case] denial: Denial) {
    let (mut site, _, start) = site_with_start();
    site.dispatcher.note_repeated(&start);
    let refused = denied_answer(&site, denial);
    assert_eq!(answer(&mut site, &start, &refused), None);
    assert_eq!(site.plan().starts, Vec::new());
    site.advance(100);
    let asked = answer_all(&mut site, empty_report_answer);
    assert_eq!(stopped_runs(&asked), [], "a report comes first");
    site.advance(100);
    let stopped = answer_all(&mut site, empty_report_answer);
    assert_eq!(stopped_runs(&stopped), [run_of(&start)]);
    assert_eq!(
        site.open_runs().len(),
        1,
        "the report is older than the stop"
    );
    site.advance(100);
    answer_all(&mut site, empty_report_answer);
    assert_eq!(site.open_runs(), Vec::new());
}

/// Guards against stopping a run that the first send started when the second send is refused: the worker reports it as running.
#[test]
fn a_run_started_by_the_first_send_goes_on_when_the_second_is_refused() {
    let (mut site, _, start) = site_with_start();
    site.dispatcher.note_repeated(&start);
    let refused = denied_answer(&site, Denial::Unhealthy);
    answer(&mut site, &start, &refused);
    for _ in 0..20 {
        site.advance(100);
        let asked = answer_all(&mut site, |site| site.probe_answer(&worker_id("w00"), &[]));
        assert_eq!(stopped_runs(&asked), []);
    }
    assert_eq!(site.open_runs().len(), 1);
}

/// Guards against waiting after a start that was sent only once is refused: it was never carried out, so the task may start elsewhere at once.
#[test]
fn a_refusal_of_the_only_send_ends_the_run() {
    let (mut site, _, start) = site_with_start();
    let refused = denied_answer(&site, Denial::Unhealthy);
    let command = answer(&mut site, &start, &refused);
    assert!(matches!(command, Some(Command::Ends { .. })));
    assert_eq!(site.open_runs(), Vec::new());
}

/// Guards against losing a failure of the run that the first send started, because the second send was refused.
#[test]
fn a_failure_after_a_refused_repeated_start_counts() {
    let (mut site, job, start) = site_with_start();
    site.dispatcher.note_repeated(&start);
    let refused = denied_answer(&site, Denial::Unhealthy);
    answer(&mut site, &start, &refused);
    let failed = Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report {
            ended: vec![Ended {
                number: 1,
                run: run_of(&start),
                kind: EndKind::Failed,
                checkpoint: None,
            }],
            ..Report::default()
        }),
    };
    site.answer_for(&start.to.worker, &failed);
    let recorded = site.workload.task(task(job, 0, 0));
    assert_eq!(recorded.map(|task| task.failures), Some(1));
}

/// Guards against clearing a run of suspicion that may have crashed its worker. The worker crashes after the first send, and another
/// incarnation answers the second send after the time that a restart takes.
#[test]
fn a_run_stays_suspect_when_another_incarnation_answers_its_repeated_start() {
    const RESTART_MS: u64 = 200;
    let (mut site, _, start) = site_with_start();
    site.dispatcher.note_repeated(&start);
    site.advance(RESTART_MS);
    let Some(Command::Ends {
        crash: Some(crash), ..
    }) = answer(&mut site, &start, &Answer::OtherIncarnation)
    else {
        panic!("a crash is recorded");
    };
    let suspects: Vec<RunId> = crash.suspects.iter().map(|suspect| suspect.run).collect();
    assert_eq!(suspects, [run_of(&start)]);
}

/// Report of a worker on which a run has ended as done.
fn done_report(site: &Site, run: RunId) -> Answer {
    Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report {
            ended: vec![Ended {
                number: 1,
                run,
                kind: EndKind::Done,
                checkpoint: None,
            }],
            ..Report::default()
        }),
    }
}

/// Guards against running a task that is done once more: its worker has reported the end, and the start order that had no answer is sent again until
/// the end is recorded. A worker that has restarted meanwhile carries it out.
#[rstest]
#[case::lost_before_the_report(true)]
#[case::lost_after_the_report(false)]
fn a_start_is_not_sent_again_once_its_run_has_ended(#[case] lost_before: bool) {
    const REPEATED_MS: u64 = 2_000;
    let (mut site, _, start) = site_with_start();
    if lost_before {
        answer(&mut site, &start, &Answer::Lost);
    }
    site.advance(100);
    let done = done_report(&site, run_of(&start));
    let probe = site
        .orders()
        .into_iter()
        .find(|order| order.to.worker == start.to.worker)
        .unwrap_or_else(|| Order {
            body: OrderBody::Probe {
                lease_until_ms: None,
                recorded_to: 0,
                wait_ms: 0,
            },
            sent_ms: site.now_ms,
            ..start.clone()
        });
    // The end is on its way into the record from here on.
    let ends = site
        .dispatcher
        .note_answer(site.now_ms, &probe, &done, &site.workload);
    assert!(matches!(ends, Some(Command::Ends { .. })), "{ends:?}");
    if !lost_before {
        answer(&mut site, &start, &Answer::Lost);
    }
    for _ in 0..REPEATED_MS / 100 {
        site.advance(100);
        let repeated = site
            .orders()
            .into_iter()
            .find(|order| matches!(order.body, OrderBody::Start { .. }));
        assert_eq!(repeated, None);
    }
}
