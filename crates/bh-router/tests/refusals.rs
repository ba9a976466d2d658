//! Tests of forwarded requests that another entry can't serve.

use bh_membership::GrantedTarget;
use bh_membership::OwnedTargets;
use bh_protocol::target::Announcement;
use bh_router::AttemptOutcome;
use bh_router::Decision;
use bh_router::PendingRequest;
use bh_router::Router;
use std::collections::BTreeSet;
use std::sync::Arc;

fn pending_request(id: u64) -> PendingRequest {
    PendingRequest {
        id,
        customer: Arc::from("crumb"),
        weight: 1,
        request_type: Arc::from("read"),
        priority: 5,
        deadline_ms: 4_000,
        idempotent: true,
        forwarded: false,
        failed_on: BTreeSet::new(),
        refused_by: BTreeSet::new(),
        attempts: 0,
        arrived_ms: 0,
    }
}

/// An entry without a healthy worker forwards a request to another entry, which has no free slot and refuses it. A tenth of a second later, that entry
/// reports a free slot. The request must be forwarded again. Otherwise the caller would wait until its deadline although a worker is free, and would be
/// told that there was none.
#[test]
fn a_refusal_counts_until_the_entry_has_slots_again() {
    let other: Arc<str> = Arc::from("a2");
    let mut router = Router::new(OwnedTargets::new("a1", 1));
    router.set_peer_free_slots(&other, Some(1));
    let forwarded_to_other = Decision::Forward {
        id: 1,
        entry: other.clone(),
    };
    assert_eq!(
        router.arrive(0, pending_request(1)),
        vec![forwarded_to_other.clone()]
    );
    assert_eq!(router.forward_refused(5, 1, &other), Vec::new());
    router.set_peer_free_slots(&other, Some(0));
    assert_eq!(router.tick(100), Vec::new());
    router.set_peer_free_slots(&other, Some(1));
    assert_eq!(router.tick(200), vec![forwarded_to_other]);
}

fn granted(name: &str) -> GrantedTarget {
    let target = Announcement {
        name: Arc::from(name),
        incarnation: 1,
        data_centre: Arc::from("a"),
        rack: Arc::from("r0"),
        address: Arc::from("10.0.0.1:80"),
        cores: 1,
        memory_mib: 1,
        accelerators: 0,
        slots: 8,
        connections: 64,
        busy_slots: 0,
        leaving: false,
        tasks: Vec::new(),
    };
    GrantedTarget {
        target,
        withheld: 0,
        release: false,
    }
}

/// An entry without workers forwards a request to an entry that owns only a broken worker. After the request failed on that worker, it is
/// refused at once, so that the first entry can forward it to the owner of a healthy worker. If it were kept, its caller would be told at
/// the deadline that no slot came free.
#[test]
fn a_request_that_was_handed_over_is_not_kept_in_vain() {
    let mut owned_targets = OwnedTargets::new("a1", 1);
    owned_targets.accept_without_leader(0, 10_000, vec![granted("w0")]);
    let mut router = Router::new(owned_targets);
    let forwarded_request = PendingRequest {
        forwarded: true,
        ..pending_request(1)
    };
    let sent = router.arrive(0, forwarded_request);
    assert!(matches!(&sent[..], [Decision::Send { id: 1, .. }]));
    let (_, decisions) = router.finished(5, 1, &Arc::from("w0"), AttemptOutcome::Failed, 5);
    assert!(matches!(&decisions[..], [Decision::Refuse { id: 1, .. }]));
}
