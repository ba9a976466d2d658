//! Orders that another core carries to a worker, when that core is lost.
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

/// A site of one worker on which one task runs, and the run.
fn site_with_run() -> (Site, RunId) {
    let mut site = Site::new(1, 1);
    site.submit(0, "other", vec![step(1, 1)]);
    site.plan_and_start();
    site.send_starts();
    let run = site.open_runs()[0].1;
    (site, run)
}

/// Returns the orders that are due.
fn orders(site: &mut Site) -> Vec<Order> {
    site.dispatcher.orders(site.now_ms, &site.workload, true).0
}

/// Returns the only order that is due, which must be a probe.
fn probe(site: &mut Site) -> Order {
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

/// The leader receives `answer` to an order.
fn answer(site: &mut Site, order: &Order, answer: &Answer) {
    site.dispatcher
        .note_answer(site.now_ms, order, answer, &site.workload);
}

/// Answer of a worker that still has the run.
fn running_answer(site: &Site, run: RunId) -> Answer {
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

/// Guards against treating workers as silent when the core that carries their probes is lost. That says nothing about the workers, so they are
/// probed through another core at once. If they counted as silent, a lost core that carries the probes of a fifth of the fleet would leave urgent
/// work without that fifth.
#[test]
fn a_worker_whose_carrier_was_lost_is_probed_through_another_at_once() {
    let (mut site, run) = site_with_run();
    let first = probe(&mut site);
    site.advance(100);
    answer(&mut site, &first, &Answer::CarrierLost);
    site.advance(50);
    let second = probe(&mut site);
    let running = running_answer(&site, run);
    answer(&mut site, &second, &running);
    let target = site.dispatcher.view(&worker_id("w00")).unwrap();
    assert!(target.answers() && !target.is_silent());
}

/// Guards against renewing a lease for ever without an answer. Carriers are lost again and again, each after it has passed the probe on: the worker
/// receives every probe, but no answer reaches the leader. If each probe renewed the lease, it would never expire and the run could never be given
/// up. So the lease keeps its end until an answer arrives.
#[test]
fn probes_through_lost_carriers_renew_no_lease() {
    let (mut site, run) = site_with_run();
    let first = probe(&mut site);
    let running = running_answer(&site, run);
    answer(&mut site, &first, &running);
    let granted = lease_of(&probe(&mut site)).unwrap();
    let mut lost = first;
    for _ in 0..20 {
        answer(&mut site, &lost, &Answer::CarrierLost);
        site.advance(400);
        lost = probe(&mut site);
        assert_eq!(lease_of(&lost), Some(granted));
    }
    let running = running_answer(&site, run);
    answer(&mut site, &lost, &running);
    site.advance(10);
    assert!(lease_of(&probe(&mut site)).unwrap() > granted);
}

/// Guards against starting a task elsewhere when the core that carried its start is lost before an answer arrives. The run may have started, so the
/// same start is sent again through another core; a worker that already has the run answers so.
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

/// Guards against an idle worker that gets no work after its carrier is lost: only a worker that is known to answer gets work, so it must be probed
/// again.
#[test]
fn an_idle_worker_whose_carrier_was_lost_is_probed_again() {
    let (mut site, run) = site_with_run();
    let in_flight = probe(&mut site);
    site.end(run, bh_workload::state::EndKind::Done);
    answer(&mut site, &in_flight, &Answer::CarrierLost);
    site.advance(50);
    let next = probe(&mut site);
    let idle = Answer::Done {
        clock_ms: Some(site.now_ms),
        report: Some(Report::default()),
    };
    answer(&mut site, &next, &idle);
    assert!(site.dispatcher.answers(&worker_id("w00")));
}
