//! Workers whose capacity shrinks and grows while tasks run on them.
mod support;

use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Timing;
use bh_workload::job::RunId;
use bh_workload::state::Command;
use bh_workload::state::WorkerChange;
use support::Site;
use support::step;
use support::worker_id;

/// Returns the runs that the leader sends start orders for now. These orders are lost, and so are probes if `lose_probes`. Answers to other probes do
/// not list the runs in `lost`.
fn starts_sent(site: &mut Site, lose_probes: bool, lost: &[RunId]) -> Vec<RunId> {
    let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    let mut started = Vec::new();
    for order in &orders {
        let answer = match &order.body {
            OrderBody::Start { run, .. } => {
                started.push(*run);
                Answer::Lost
            }
            OrderBody::Probe { .. } if lose_probes => Answer::Lost,
            OrderBody::Probe { .. } => site.probe_answer(&order.to.worker, lost),
            OrderBody::Stop { .. } | OrderBody::Pace { .. } => site.done(),
        };
        site.dispatcher
            .note_answer(site.now_ms, order, &answer, &site.workload);
    }
    started
}

/// Guards against overloading a worker by resending a start order. The start gets no answer, and before it is sent again the worker reports
/// that half of its capacity is gone. The worker does not check its capacity, so the start would slow down or kill the tasks there. The run
/// is withdrawn, and the task starts where there is capacity.
#[test]
fn a_start_is_not_sent_again_to_a_worker_that_has_shrunk() {
    let mut site = Site::new(1, 1);
    let first = site.submit(0, "other", vec![step(1, 4)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(1_000);
    let second = site.submit(0, "other", vec![step(1, 4)]);
    site.plan_and_start();
    let sent = starts_sent(&mut site, true, &[]);
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].task.step.job, second);

    site.set_accelerators(&worker_id("w00"), 4);
    for _ in 0..20 {
        site.advance(100);
        let again = starts_sent(&mut site, false, &sent);
        assert!(
            again.is_empty(),
            "the start of {again:?} is sent to a full worker"
        );
    }
    assert!(site.workload.job(first).unwrap().outcome.is_none());
}

/// Guards against stopping too few borrowers on a worker that is over its capacity. Two borrowers fill a worker, which shrinks to half. A
/// guaranteed job needs that half: stopping one borrower frees nothing for it. If the shrinkage were ignored, one borrower would lose its
/// work in vain, and the job would wait until the reservation expires, beyond its deadline.
#[test]
fn enough_borrowers_are_stopped_on_a_worker_over_its_capacity() {
    let mut site = Site::new(1, 1);
    site.submit(2, "other", vec![step(2, 4)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(1_000);
    site.set_accelerators(&worker_id("w00"), 4);
    site.submit(0, "guaranteed", vec![step(1, 4)]);
    let plan = site.plan();
    assert_eq!(plan.evictions.len(), 2);
}

/// Guards against ignoring capacity that comes back: a worker shrinks and grows again, and the waiting work starts with the next plan.
#[test]
fn capacity_that_comes_back_is_used_at_once() {
    let mut site = Site::new(1, 1);
    site.set_accelerators(&worker_id("w00"), 2);
    site.submit(0, "other", vec![step(1, 4)]);
    assert!(site.plan().starts.is_empty());
    site.set_accelerators(&worker_id("w00"), 8);
    assert_eq!(site.plan().starts.len(), 1);
}

/// Guards against overloading a worker after a delayed heartbeat. The worker shrinks, and a heartbeat that it sent before arrives last, at
/// another leader, which has seen no sequence numbers of its heartbeats. If that heartbeat counted, the worker would be filled to its
/// former capacity.
#[test]
fn a_delayed_heartbeat_does_not_restore_the_former_capacity() {
    let mut site = Site::new(1, 1);
    let mut info = site
        .workload
        .worker(&worker_id("w00"))
        .unwrap()
        .info
        .clone();
    let mut capacity_after_heartbeat = |accelerators: u64, sequence: u64| {
        info.capacity.accelerators = accelerators;
        info.sequence = sequence;
        let change = WorkerChange::Known(info.clone());
        site.workload.apply(Command::Workers(vec![change]));
        site.workload
            .worker(&worker_id("w00"))
            .unwrap()
            .info
            .capacity
            .accelerators
    };
    assert_eq!(capacity_after_heartbeat(8, 4), 8);
    assert_eq!(capacity_after_heartbeat(2, 5), 2);
    assert_eq!(capacity_after_heartbeat(8, 4), 2);
    assert_eq!(capacity_after_heartbeat(6, 6), 6);
}

/// Guards against resending a start order to a worker that has shrunk while it was unreachable. The worker answers again before its next
/// heartbeat: the start is sent again only after that heartbeat has reported its capacity.
#[test]
fn no_start_is_sent_again_after_a_silence_before_a_heartbeat() {
    let mut site = Site::new(1, 1);
    site.submit(0, "other", vec![step(1, 4)]);
    site.plan_and_start();
    let sent = starts_sent(&mut site, true, &[]);
    assert_eq!(sent.len(), 1);
    site.now_ms += 6_000;
    for _ in 0..5 {
        site.now_ms += 100;
        assert!(starts_sent(&mut site, false, &sent).is_empty());
    }
    site.heartbeats();
    site.now_ms += 100;
    assert_eq!(starts_sent(&mut site, false, &sent).len(), 1);
}

/// Guards against trusting worker information that is too old. All cores were down for longer than it is valid. The next leader probes the
/// workers and gets answers, but some workers may have shrunk meanwhile: each gets work only after its heartbeat has arrived.
#[test]
fn after_a_time_without_a_leader_workers_get_work_only_after_a_heartbeat() {
    let mut site = Site::new(2, 2);
    site.now_ms += 10_000;
    site.dispatcher = Dispatcher::new(Timing::DEFAULT, 2, site.now_ms, &site.workload)
        .with_outdated_worker_info();
    site.submit(0, "other", vec![step(2, 8)]);
    site.report();
    assert!(site.plan().starts.is_empty());
    site.dispatcher
        .note_heartbeat(site.now_ms, &worker_id("w00"), Some(site.now_ms));
    let starts = site.plan().starts;
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].worker, worker_id("w00"));
}
