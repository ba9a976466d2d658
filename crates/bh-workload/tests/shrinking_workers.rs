//! Workers whose capacity shrinks and grows while they run.
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

/// Starts that the leader sends now. They are lost, as are looks while `deaf`; what was lost is not reported by later ones.
fn starts_sent(site: &mut Site, deaf: bool, lost: &[RunId]) -> Vec<RunId> {
    let (orders, _) = site.dispatcher.orders(site.now_ms, &site.workload, true);
    let mut started = Vec::new();
    for order in &orders {
        let answer = match &order.body {
            OrderBody::Start { run, .. } => {
                started.push(*run);
                Answer::Lost
            }
            OrderBody::Probe { .. } if deaf => Answer::Lost,
            OrderBody::Probe { .. } => site.probe_answer(&order.to.worker, lost),
            OrderBody::Stop { .. } | OrderBody::Pace { .. } => site.done(),
        };
        site.dispatcher
            .note_answer(site.now_ms, order, &answer, &site.workload);
    }
    started
}

/// A start has no answer, and before it is sent again the worker says that half of it is gone. It does not guard its capacity, so the start
/// would bring it over what it has, and slow down or kill what runs there. The run is withdrawn, and the task begins where there is room.
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
            "{again:?} is sent to a worker that is full"
        );
    }
    assert!(site.workload.job(first).unwrap().outcome.is_none());
}

/// Two borrowers fill a worker, which shrinks to half. A guaranteed job needs the other half: stopping one of them gives no room at all,
/// since the worker is over its capacity. Reckoned without that, one borrower loses its work in vain and the job waits until the claim
/// lapses, past the time that its customer was promised.
#[test]
fn room_is_reclaimed_as_far_as_a_shrunk_worker_has_any() {
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

/// A worker shrinks and grows again, and work waits for it. It begins with the next plan.
#[test]
fn what_grows_again_is_used_at_once() {
    let mut site = Site::new(1, 1);
    site.set_accelerators(&worker_id("w00"), 2);
    site.submit(0, "other", vec![step(1, 4)]);
    assert!(site.plan().starts.is_empty());
    site.set_accelerators(&worker_id("w00"), 8);
    assert_eq!(site.plan().starts.len(), 1);
}

/// A worker shrinks, and a heartbeat that it sent before that was held up and comes last, to another leader, who has not counted its
/// heartbeats. Taken for news it would have the worker filled to what it had before.
#[test]
fn a_heartbeat_that_was_held_up_brings_nothing_back() {
    let mut site = Site::new(1, 1);
    let mut info = site
        .workload
        .worker(&worker_id("w00"))
        .unwrap()
        .info
        .clone();
    let mut says = |accelerators: u64, sequence: u64| {
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
    assert_eq!(says(8, 4), 8);
    assert_eq!(says(2, 5), 2);
    assert_eq!(says(8, 4), 2);
    assert_eq!(says(6, 6), 6);
}

/// A worker is cut off while a start to it has no answer, and shrinks meanwhile. It answers again before its next heartbeat: the start is
/// not sent again until that tells what it has.
#[test]
fn nothing_is_sent_after_a_silence_before_a_heartbeat() {
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

/// All cores were down for longer than what workers said of themselves is good for. The next leader looks at the workers and gets answers,
/// but some may have shrunk with nobody to tell: each gets work once its heartbeat has come, not before.
#[test]
fn after_a_time_without_a_leader_workers_are_heard_first() {
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
