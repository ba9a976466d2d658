//! Tests that a job which crashes the workers that start it fails.
#[path = "../benches/support/site.rs"]
mod site;

use bh_protocol::job::Phase;
use bh_protocol::job::Spec;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;
use bh_scheduler::Limits;
use rstest::rstest;
use site::Site;
use std::sync::Arc;

/// A worker crashes each time while it runs the job, and restarts a moment later. If the crashes come soon after the start, the job fails
/// after three of them. If the job ran for an hour each time, the crashes don't count against it and it is restarted.
#[rstest]
#[case::at_once(500, Some(Phase::Failed))]
#[case::after_an_hour(3_600_000, None)]
fn a_job_that_crashes_its_workers_is_given_up(#[case] ran_ms: u64, #[case] ended: Option<Phase>) {
    const LONG_MS: u64 = 100 * 3_600_000;
    const ROUNDS: usize = 6;
    let mut site = Site::new(Limits::default());
    for worker in 0..3 {
        site.add_worker(&format!("w{worker}"), "r0", 8);
    }
    site.run_until(site::LEASE_MS + 1);
    let spec = Spec {
        team: Arc::from("team"),
        customer: Arc::from("crumb"),
        key: Arc::from("k"),
        shape_name: Arc::from("one"),
        shape: Shape::new(1, 1, Adjacency::Worker),
        priority: 5,
        declared_ms: LONG_MS,
        payload: String::new(),
    };
    let job = site.submit(spec, LONG_MS, false);
    let mut crashes = 0;
    for _ in 0..ROUNDS {
        let until_ms = site.now_ms + ran_ms;
        while site.now_ms < until_ms {
            site.run_until((site.now_ms + 1_000).min(until_ms));
            let names: Vec<Arc<str>> = site.workers.keys().cloned().collect();
            for name in names {
                site.announce(&name);
            }
        }
        let placement = site.table.get(job).unwrap().placement.clone();
        let Some(place) = placement.tasks.first() else {
            continue;
        };
        if site.table.get(job).unwrap().phase == Phase::Started {
            crashes += 1;
            site.kill_worker(&place.worker);
            site.start_worker(&place.worker);
            site.announce(&place.worker);
            site.run_until(site.now_ms + 2_000);
        }
    }
    let phase = site.table.get(job).unwrap().phase;
    assert_eq!(
        phase.is_final().then_some(phase),
        ended,
        "{crashes} crashes"
    );
    if ended.is_some() {
        assert_eq!(crashes, 3);
    }
}
