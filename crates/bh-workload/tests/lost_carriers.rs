//! Orders that other cores carry, and cores that are lost with them.
mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Running;
use bh_workload::job::RunId;
use support::Site;
use support::step;
use support::worker_id;

/// A site of one worker on which one task runs; the run.
fn one_run() -> (Site, RunId) {
    let mut site = Site::new(1, 1);
    site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    site.send_starts();
    let run = site.open_runs()[0].1;
    (site, run)
}

fn orders(site: &mut Site) -> Vec<Order> {
    site.dispatcher.orders(site.now_ms, &site.workload, true).0
}

fn look(site: &mut Site) -> Order {
    let mut orders = orders(site);
    assert_eq!(orders.len(), 1, "{orders:?}");
    let order = orders.remove(0);
    assert!(matches!(order.body, OrderBody::Probe { .. }));
    order
}

fn lease_of(order: &Order) -> Option<u64> {
    match order.body {
        OrderBody::Probe { lease_until_ms, .. } => lease_until_ms,
        _ => None,
    }
}

fn answer(site: &mut Site, order: &Order, answer: &Answer) {
    site.dispatcher
        .note_answer(site.now_ms, order, answer, &site.workload);
}

fn going_on(site: &Site, run: RunId) -> Answer {
    Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report {
            running: vec![Running {
                run,
                checkpoint: None,
                percent: 10,
                load: 0,
            }],
            ..Report::default()
        }),
    }
}

/// The core that carries the looks at a fifth of a fleet is lost. Nothing is known of the workers by that, so they are looked at over another
/// core at once. Were they taken for silent, as workers that do not answer are, urgent work would find a fifth of the fleet missing.
#[test]
fn a_worker_whose_carrier_was_lost_is_looked_at_over_another_at_once() {
    let (mut site, run) = one_run();
    let first = look(&mut site);
    site.advance(100);
    answer(&mut site, &first, &Answer::CarrierLost);
    site.advance(50);
    let second = look(&mut site);
    let on = going_on(&site, run);
    answer(&mut site, &second, &on);
    let target = site.dispatcher.view(&worker_id("w00")).unwrap();
    assert!(target.answers() && !target.is_silent());
}

/// Carriers are lost again and again, each after it has sent the look on. The worker hears every look, and nobody hears the worker: a lease that
/// is renewed with each of them never runs out, and the run can never be given up. So the end of the lease stays where it was until an answer
/// comes.
#[test]
fn lost_carriers_renew_no_lease() {
    let (mut site, run) = one_run();
    let first = look(&mut site);
    let on = going_on(&site, run);
    answer(&mut site, &first, &on);
    let granted = lease_of(&look(&mut site)).unwrap();
    let mut lost = first;
    for _ in 0..20 {
        answer(&mut site, &lost, &Answer::CarrierLost);
        site.advance(400);
        lost = look(&mut site);
        assert_eq!(lease_of(&lost), Some(granted));
    }
    let on = going_on(&site, run);
    answer(&mut site, &lost, &on);
    site.advance(10);
    assert!(lease_of(&look(&mut site)).unwrap() > granted);
}

/// The core that carried a start is lost before anybody heard whether the worker has it. The run may have begun, so it is not placed elsewhere; the
/// same start is sent again over another core, and a worker that has it says so.
#[test]
fn a_start_whose_carrier_was_lost_is_sent_again() {
    let mut site = Site::new(1, 1);
    site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    let starts = orders(&mut site);
    let [start] = &starts[..] else {
        panic!("{starts:?}")
    };
    answer(&mut site, start, &Answer::CarrierLost);
    assert!(site.plan().starts.is_empty());
    site.advance(400);
    let again = orders(&mut site);
    let is_same = |order: &&Order| match (&order.body, &start.body) {
        (OrderBody::Start { run, .. }, OrderBody::Start { run: first, .. }) => run == first,
        _ => false,
    };
    assert_eq!(again.iter().filter(is_same).count(), 1, "{again:?}");
}

/// A carrier goes while its worker has nothing to run. It must be looked at all the same: whoever is not known to answer gets no work.
#[test]
fn an_idle_worker_whose_carrier_was_lost_is_looked_at() {
    let (mut site, run) = one_run();
    let waiting = look(&mut site);
    site.end(run, bh_workload::state::EndKind::Done);
    answer(&mut site, &waiting, &Answer::CarrierLost);
    site.advance(50);
    let next = look(&mut site);
    let idle = Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report::default()),
    };
    answer(&mut site, &next, &idle);
    assert!(site.dispatcher.answers(&worker_id("w00")));
}
