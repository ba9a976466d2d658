//! Starts that went out twice, so that the answer to the second says little of the first.
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

/// A site of two workers and a task; the order that starts it.
fn one_start() -> (Site, JobId, Order) {
    let mut site = Site::new(2, 1);
    let job = site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let mut orders = site.orders();
    orders.retain(|order| matches!(order.body, OrderBody::Start { .. }));
    (site, job, orders.remove(0))
}

fn run(order: &Order) -> RunId {
    match order.body {
        OrderBody::Start { run, .. } | OrderBody::Stop { run } => run,
        _ => panic!("{order:?} is of no run"),
    }
}

fn denied(site: &Site, denial: Denial) -> Answer {
    Answer::Denied {
        clock_ms: Some(site.now_ms),
        denial,
    }
}

fn nothing_runs(site: &Site) -> Answer {
    Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report::default()),
    }
}

/// Takes an answer, and records what follows from it.
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

fn stops(orders: &[Order]) -> Vec<RunId> {
    let stops = orders.iter();
    let stops = stops.filter(|order| matches!(order.body, OrderBody::Stop { .. }));
    stops.map(run).collect()
}

/// All that is asked now gets the answer that is made of the site.
fn answer_all(site: &mut Site, made: impl Fn(&Site) -> Answer) -> Vec<Order> {
    let orders = site.orders();
    for order in &orders {
        let made = made(site);
        answer(site, order, &made);
    }
    orders
}

/// A start whose first send may have been carried out is refused. The worker's next report does not have the run: it is stopped, so that a send that is
/// still on its way begins nothing, and the task begins nowhere else until that is confirmed.
#[rstest]
#[case(Denial::Unhealthy)]
#[case(Denial::NoRoom)]
#[case(Denial::Late)]
#[case(Denial::NoPermission)]
#[case(Denial::Malformed)]
fn a_refused_repetition_settles_nothing(#[case] denial: Denial) {
    let (mut site, _, start) = one_start();
    site.dispatcher.note_repeated(&start);
    let refused = denied(&site, denial);
    assert_eq!(answer(&mut site, &start, &refused), None);
    assert_eq!(site.plan().starts, Vec::new());
    site.advance(100);
    let asked = answer_all(&mut site, nothing_runs);
    assert_eq!(stops(&asked), [], "a report comes first");
    site.advance(100);
    let stopped = answer_all(&mut site, nothing_runs);
    assert_eq!(stops(&stopped), [run(&start)]);
    assert_eq!(
        site.open_runs().len(),
        1,
        "the report is older than the stop"
    );
    site.advance(100);
    answer_all(&mut site, nothing_runs);
    assert_eq!(site.open_runs(), Vec::new());
}

/// The worker reports that the run goes on, which its first start began: it is left alone.
#[test]
fn a_run_that_was_refused_when_it_had_begun_goes_on() {
    let (mut site, _, start) = one_start();
    site.dispatcher.note_repeated(&start);
    let refused = denied(&site, Denial::Unhealthy);
    answer(&mut site, &start, &refused);
    for _ in 0..20 {
        site.advance(100);
        let asked = answer_all(&mut site, |site| site.probe_answer(&worker_id("w00"), &[]));
        assert_eq!(stops(&asked), []);
    }
    assert_eq!(site.open_runs().len(), 1);
}

/// A start that was sent once and is refused never began: its task may begin elsewhere at once.
#[test]
fn a_refusal_of_the_only_send_settles_the_run() {
    let (mut site, _, start) = one_start();
    let refused = denied(&site, Denial::Unhealthy);
    let command = answer(&mut site, &start, &refused);
    assert!(matches!(command, Some(Command::Ends { .. })));
    assert_eq!(site.open_runs(), Vec::new());
}

/// The run that the first send began fails: that counts, though its repetition was refused.
#[test]
fn a_failure_after_a_refused_repetition_counts() {
    let (mut site, job, start) = one_start();
    site.dispatcher.note_repeated(&start);
    let refused = denied(&site, Denial::Unhealthy);
    answer(&mut site, &start, &refused);
    let failed = Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report {
            ended: vec![Ended {
                number: 1,
                run: run(&start),
                kind: EndKind::Failed,
                checkpoint: None,
            }],
            ..Report::default()
        }),
    };
    site.answer_for(&start.to.worker, &failed);
    let counted = site.workload.task(task(job, 0, 0));
    assert_eq!(counted.map(|task| task.failures), Some(1));
}

/// The worker crashes under the first send, and another incarnation answers the second after the time a restart takes: the run may have crashed it.
#[test]
fn a_repetition_that_another_incarnation_answers_clears_no_suspect() {
    const RESTART_MS: u64 = 200;
    let (mut site, _, start) = one_start();
    site.dispatcher.note_repeated(&start);
    site.advance(RESTART_MS);
    let Some(Command::Ends {
        crash: Some(crash), ..
    }) = answer(&mut site, &start, &Answer::OtherIncarnation)
    else {
        panic!("a crash is recorded");
    };
    let suspects: Vec<RunId> = crash.suspects.iter().map(|suspect| suspect.run).collect();
    assert_eq!(suspects, [run(&start)]);
}
