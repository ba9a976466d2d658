//! Tests announcements that a worker wrote before it carried out an order and that arrive after the order. This happens when an entry
//! forwards announcements, its link breaks, and it sends them again over a new link.

use bh_protocol::job::Phase;
use bh_protocol::job::Placement;
use bh_protocol::job::Spec;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;
use bh_scheduler::Action;
use bh_scheduler::Event;
use bh_scheduler::Limits;
use bh_scheduler::RecordedJob;
use bh_scheduler::Scheduler;
use std::collections::BTreeSet;
use std::sync::Arc;

const LEASE_MS: u64 = 3_000;
/// A time after which all workers have announcement themselves to the leader.
const SETTLED_MS: u64 = 2 * LEASE_MS;

/// Returns a worker's announcement that lists no tasks.
fn announcement(name: &str) -> Event {
    Event::WorkerAnnounced {
        name: Arc::from(name),
        incarnation: 1,
        rack: Arc::from("r0"),
        accelerators: 8,
        leaving: false,
        tasks: Vec::new(),
    }
}

/// Returns a gang of two tasks, one on each of two workers.
fn gang() -> RecordedJob {
    RecordedJob {
        job: 1,
        spec: Spec {
            team: Arc::from("team"),
            customer: Arc::from("crumb"),
            key: Arc::from("k"),
            shape_name: Arc::from("two"),
            shape: Shape::new(2, 8, Adjacency::Rack),
            priority: 5,
            declared_ms: 60_000,
            payload: String::new(),
        },
        submitted_ms: SETTLED_MS,
        phase: Phase::Queued,
        epoch: 0,
        placement: Placement::default(),
    }
}

/// Both tasks of a gang run, but one worker's answer to the start order is lost, so the whole gang is stopped. Before the other worker confirms its
/// stop order, an announcement arrives that this worker wrote before it held any task. The scheduler must wait for the confirmation or for the end
/// of the lease. If it restarted the gang at once, the task would run twice at the same time.
#[test]
fn an_announcement_from_before_the_start_confirms_no_stop() {
    let mut scheduler = Scheduler::new(1, Limits::default(), LEASE_MS, 0);
    let mut now_ms = SETTLED_MS;
    for name in ["w0", "w1"] {
        scheduler.step(now_ms, announcement(name));
    }
    let actions = scheduler.step(now_ms, Event::JobRecorded(gang()));
    let Some(Action::Prepare { job, epoch, .. }) = actions.first().cloned() else {
        panic!("not prepared: {actions:?}");
    };
    let refused = BTreeSet::new();
    scheduler.step(
        now_ms,
        Event::Prepared {
            job,
            epoch,
            refused,
        },
    );
    let accepted = true;
    scheduler.step(
        now_ms,
        Event::StartRecorded {
            job,
            epoch,
            accepted,
        },
    );
    let refused = BTreeSet::from([Arc::from("w1")]);
    let actions = scheduler.step(
        now_ms,
        Event::StartSent {
            job,
            epoch,
            refused,
        },
    );
    assert!(
        matches!(actions.as_slice(), [Action::Stop { workers, .. }] if workers.len() == 2),
        "{actions:?}"
    );
    let stopped = |worker: &str| Event::StopSent {
        job,
        epoch,
        worker: Arc::from(worker),
        confirmed: true,
    };
    let is_requeued = |actions: &[Action]| {
        let mut actions = actions.iter();
        actions.any(|action| matches!(action, Action::RecordRequeue { .. }))
    };
    assert!(!is_requeued(&scheduler.step(now_ms, stopped("w1"))));
    now_ms += 100;
    let actions = scheduler.step(now_ms, announcement("w0"));
    assert!(
        !is_requeued(&actions),
        "requeued while a task still runs: {actions:?}"
    );
    // After the lease has expired, the task has ended by itself, and the worker's announcement counts.
    now_ms += LEASE_MS;
    assert!(is_requeued(&scheduler.step(now_ms, announcement("w0"))));
}
