//! Requests that another entry could not take.

use bh_membership::Holdings;
use bh_router::Decision;
use bh_router::Router;
use bh_router::Ticket;
use std::collections::BTreeSet;
use std::sync::Arc;

fn ticket(id: u64) -> Ticket {
    Ticket {
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

/// An entry owns no sound worker and hands a request to another one, which has no slot for the moment and refuses it. A tenth of a second later that
/// entry says that it has one. Were the refusal held against it, the caller would wait for its whole time beside a worker that is free, and be told
/// that there was none.
#[test]
fn a_refusal_counts_until_the_entry_has_slots_again() {
    let other: Arc<str> = Arc::from("a2");
    let mut router = Router::new(Holdings::new("a1", 1));
    router.note_sibling(&other, Some(1));
    let handed = Decision::Forward {
        id: 1,
        entry: other.clone(),
    };
    assert_eq!(router.arrive(0, ticket(1)), vec![handed.clone()]);
    assert_eq!(router.forward_refused(5, 1, &other), Vec::new());
    router.note_sibling(&other, Some(0));
    assert_eq!(router.tick(100), Vec::new());
    router.note_sibling(&other, Some(1));
    assert_eq!(router.tick(200), vec![handed]);
}
