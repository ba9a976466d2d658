//! Tests of cold workers: workers that have just started and are slow for a while.

mod support;

use bh_protocol::Incarnation;
use bh_workload::job::StepSpec;
use rstest::rstest;
use support::FAR;
use support::Site;
use support::step;

const COLD_MS: u64 = 5_000;

/// The data centre whose evacuation has ended. Its workers are cold, and those of `far` are not.
const REOPENED: &str = "dc";

/// Creates a site where the evacuation of one data centre has just ended.
fn reopened_site(workers: usize) -> Site {
    let mut site = Site::in_two_data_centres(workers, workers);
    site.evacuate(REOPENED);
    site.end_evacuation(REOPENED);
    let workers = site.workload.workers();
    let ids: Vec<Incarnation> = workers.map(|worker| worker.info.id.clone()).collect();
    for id in ids {
        if !site.is_far(&id) {
            site.dispatcher.note_cold(site.now_ms, &id, COLD_MS);
        }
    }
    site
}

/// Plans and records; returns for each start whether its worker is cold.
fn started_on_cold(site: &mut Site) -> Vec<bool> {
    let plan = site.plan_and_start();
    plan.starts
        .iter()
        .map(|start| !site.is_far(&start.worker))
        .collect()
}

/// A gang is as slow as its slowest member. No member gets a cold worker if enough warm ones are free, in one rack or across several.
#[rstest]
#[case(true)]
#[case(false)]
fn a_gang_takes_warm_workers(#[case] rack_local: bool) {
    let mut site = reopened_site(4);
    let spec = StepSpec {
        gang: true,
        rack_local,
        ..step(3, 8)
    };
    site.submit(1, "other", vec![spec]);
    assert_eq!(started_on_cold(&mut site), [false; 3]);
}

/// If the warm workers are full, a gang starts on cold ones: it may be half done by the time a warm one is free.
#[test]
fn a_gang_that_finds_no_warm_workers_starts_on_cold_ones() {
    let mut site = reopened_site(2);
    let spec = StepSpec {
        gang: true,
        ..step(4, 8)
    };
    site.submit(1, "other", vec![spec]);
    assert_eq!(started_on_cold(&mut site), [false, false, true, true]);
}

/// The evacuation of a data centre ends while many small tasks wait. A cold worker that is filled at once is slow for all of them. It gets
/// the next task once the one before was seen running, and as many as fit once it is warm.
#[test]
fn a_cold_worker_is_filled_gradually() {
    let mut site = reopened_site(1);
    site.submit(1, "other", vec![step(16, 1)]);
    let cold_count =
        |started_on_cold: &[bool]| started_on_cold.iter().filter(|is_cold| **is_cold).count();
    assert_eq!(cold_count(&started_on_cold(&mut site)), 1);
    site.send_starts();
    assert_eq!(cold_count(&started_on_cold(&mut site)), 0);
    site.advance(100);
    site.report();
    site.advance(1_100);
    site.report();
    assert_eq!(cold_count(&started_on_cold(&mut site)), 1);
    site.advance(COLD_MS);
    assert_eq!(cold_count(&started_on_cold(&mut site)), 6);
}

/// Guaranteed work must start within a time limit, on cold workers too if there are no others.
#[test]
fn guaranteed_work_starts_on_cold_workers() {
    let mut site = reopened_site(2);
    site.evacuate(FAR);
    site.submit(0, "guaranteed", vec![step(16, 1)]);
    assert_eq!(started_on_cold(&mut site), [true; 16]);
}
