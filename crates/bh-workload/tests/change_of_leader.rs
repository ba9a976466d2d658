//! Work goes on when another core leads.

mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Timing;
use bh_workload::plan::Planner;
use std::collections::BTreeSet;
use support::Site;
use support::step;

/// The leader ends, and urgent jobs are handed in to its successor. It knows all workers from the record, but gives no work to one whose
/// clock it has not read. Idle workers would be heard with their next heartbeats, up to 1.5 s later, and the jobs be late; so they are looked
/// at right away, once each.
#[test]
fn a_new_leader_uses_idle_workers_before_their_next_heartbeat() {
    const WORKERS: usize = 4;
    let mut site = Site::new(WORKERS, 2);
    site.now_ms += 10_000;
    site.dispatcher = Dispatcher::new(Timing::DEFAULT, 2, site.now_ms, &site.workload);
    site.planner = Planner::new();
    site.submit(0, "guaranteed", vec![step(2, 8)]);
    assert!(site.plan().starts.is_empty(), "no worker was heard yet");

    let (orders, ends) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    assert!(ends.is_empty());
    let looked_at: BTreeSet<_> = orders.iter().map(|order| order.to.worker.clone()).collect();
    assert_eq!((orders.len(), looked_at.len()), (WORKERS, WORKERS));
    let again = site.dispatcher.orders(site.now_ms, &site.workload, true);
    assert!(again.0.is_empty(), "one look at a time");
    site.now_ms += 5;
    for order in &orders {
        assert!(matches!(
            order.body,
            OrderBody::Probe {
                lease_until_ms: None,
                wait_ms: 0,
                ..
            }
        ));
        let answer = Answer::Done {
            clock_ms: Some(site.now_ms),
            report: Some(Default::default()),
        };
        site.dispatcher
            .note_answer(site.now_ms, order, &answer, &site.workload);
    }
    assert_eq!(site.plan().starts.len(), 2);
    let later = site.dispatcher.orders(site.now_ms, &site.workload, true);
    assert!(
        later.0.is_empty(),
        "an idle worker that was heard needs no look"
    );
}

/// The same, and one worker does not answer its first look: it gets no work and no more looks until it is heard.
#[test]
fn a_new_leader_leaves_a_silent_worker_alone() {
    let mut site = Site::new(1, 1);
    site.now_ms += 10_000;
    site.dispatcher = Dispatcher::new(Timing::DEFAULT, 2, site.now_ms, &site.workload);
    let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    site.now_ms += 800;
    for order in &orders {
        site.dispatcher
            .note_answer(site.now_ms, order, &Answer::Lost, &site.workload);
    }
    site.now_ms += 5_000;
    let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    assert!(orders.is_empty());
    site.heartbeats();
    let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    assert_eq!(orders.len(), 1);
}
