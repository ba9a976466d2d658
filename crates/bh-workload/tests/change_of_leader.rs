//! Tests of work that continues under another leader.

mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Timing;
use bh_workload::plan::Planner;
use std::collections::BTreeSet;
use support::Site;
use support::step;

/// A new leader knows all workers from the record, but gives no work to one whose clock it has not read. Idle workers would send their next
/// heartbeats up to 1.5 s later, and urgent jobs would be late; so the leader probes each of them once at once.
#[test]
fn a_new_leader_uses_idle_workers_before_their_next_heartbeat() {
    const WORKERS: usize = 4;
    let mut site = Site::new(WORKERS, 2);
    site.now_ms += 10_000;
    site.dispatcher = Dispatcher::new(Timing::DEFAULT, 2, site.now_ms, &site.workload);
    site.planner = Planner::new();
    site.submit(0, "guaranteed", vec![step(2, 8)]);
    assert!(
        site.plan().starts.is_empty(),
        "no worker has sent a heartbeat yet"
    );

    let (orders, ends) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    assert!(ends.is_empty());
    let probed: BTreeSet<_> = orders.iter().map(|order| order.to.worker.clone()).collect();
    assert_eq!((orders.len(), probed.len()), (WORKERS, WORKERS));
    let repeated = site.dispatcher.orders(site.now_ms, &site.workload, true);
    assert!(repeated.0.is_empty(), "one probe at a time");
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
        "an idle worker that has answered needs no probe"
    );
}

/// An idle worker does not answer the first probe of a new leader: it gets no work and no more probes until its next heartbeat.
#[test]
fn a_new_leader_does_not_probe_a_silent_worker_again_before_its_heartbeat() {
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
