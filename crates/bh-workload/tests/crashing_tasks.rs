//! Tasks that crash the worker that starts them.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_workload::state::Outcome;
use support::Site;
use support::step;

/// Workers that may crash under one task at most.
const MOST_CRASHES: usize = 3;

/// A caller hands in a job whose task crashes each worker that starts it, 10 ms later. The worker is back after 3 s under another identity, the lost run
/// counts as nobody's fault, and the task begins anew on the next worker: the caller waits for ever, and the fleet loses a worker every few
/// seconds with all that ran there. Seen in two minutes: 33 starts of one task. What proved it: the rate is the same from the first run on, within one
/// leader's term, and nothing in the record grows with the crashes.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    const DOWN_MS: u64 = 3_000;
    const ROUNDS: usize = 12;
    let mut site = Site::new(6, 3);
    let job = site.submit(0, "other", vec![step(1, 1)]);
    let mut crashes = 0;
    for _ in 0..ROUNDS {
        site.plan_and_start();
        site.send_starts();
        site.advance(10);
        let hosts: Vec<_> = site.open_runs();
        for (worker, _) in hosts {
            crashes += 1;
            site.crash(&worker);
        }
        site.advance(DOWN_MS);
    }
    assert!(
        crashes <= MOST_CRASHES,
        "{crashes} workers crashed under one task"
    );
    let outcome = site.workload.job(job).unwrap().outcome;
    assert_eq!(outcome, Some(Outcome::Failed));
}
