//! Tests when the tasks of a lost worker count as ended.

use bh_membership::TaskLeases;
use std::sync::Arc;

/// A worker's last announcement was long ago, but a start order was sent to it just before it was lost. Its tasks may run for one
/// lease after the order, and only then may they be started elsewhere.
#[test]
fn an_order_just_before_the_loss_counts() {
    let worker: Arc<str> = Arc::from("w");
    let mut leases = TaskLeases::new(100);
    leases.note_contact(1_000, &worker);
    leases.note_contact(1_090, &worker);
    assert!(
        leases
            .expire_workers(1_120, std::slice::from_ref(&worker))
            .is_empty()
    );
    assert!(leases.expire_workers(1_189, &[]).is_empty());
    assert_eq!(leases.expire_workers(1_190, &[]), vec![worker]);
}

/// A worker that announces itself again before its tasks count as ended has not lost them.
#[test]
fn a_worker_that_is_back_was_not_lost() {
    let worker: Arc<str> = Arc::from("w");
    let mut leases = TaskLeases::new(100);
    leases.note_contact(1_000, &worker);
    assert!(
        leases
            .expire_workers(1_050, std::slice::from_ref(&worker))
            .is_empty()
    );
    leases.worker_returned("w");
    assert!(leases.expire_workers(2_000, &[]).is_empty());
}
