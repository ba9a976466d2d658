//! Announcements that were written before an order was carried out, and arrive after it: an entry that passes them on sends them
//! again over a new link when the first one broke.

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
/// After the time in which workers may still have to announce themselves.
const SETTLED_MS: u64 = 2 * LEASE_MS;

/// A worker's announcement that lists no task.
fn announced(name: &str) -> Event {
    Event::WorkerAnnounced {
        name: Arc::from(name),
        incarnation: 1,
        rack: Arc::from("r0"),
        accelerators: 8,
        leaving: false,
        tasks: Vec::new(),
    }
}

/// A gang of two, one task on each of two workers.
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

/// Both members of a gang run; the answer of one to its start is lost, so that the gang is stopped whole. The other's stop is still on its way when
/// an announcement arrives that it wrote before it held anything. The gang waits for that stop, or for the lease: begun anew at once, the member
/// would run twice.
#[test]
fn an_announcement_from_before_the_start_confirms_no_stop() {
    let mut scheduler = Scheduler::new(1, Limits::default(), LEASE_MS, 0);
    let mut now_ms = SETTLED_MS;
    for name in ["w0", "w1"] {
        scheduler.step(now_ms, announced(name));
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
    let ends = |actions: &[Action]| {
        let mut actions = actions.iter();
        actions.any(|action| matches!(action, Action::RecordRequeue { .. }))
    };
    assert!(!ends(&scheduler.step(now_ms, stopped("w1"))));
    now_ms += 100;
    let actions = scheduler.step(now_ms, announced("w0"));
    assert!(
        !ends(&actions),
        "begun anew beside a member that runs: {actions:?}"
    );
    // After a lease that nobody renewed the member has ended by itself, and what its worker reports counts.
    now_ms += LEASE_MS;
    assert!(ends(&scheduler.step(now_ms, announced("w0"))));
}
