//! Tests of evacuations: nothing starts in an evacuated data centre, whatever was in transit, and nothing is lost.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::dispatch::Report;
use bh_workload::job::JobId;
use bh_workload::job::StepSpec;
use bh_workload::plan::ReleaseReason;
use bh_workload::plan::WaitReason;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::EvacuationChanges;
use bh_workload::state::Refusal;
use bh_workload::state::Reply;
use bh_workload::state::Workload;
use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::Arc;
use support::FAR;
use support::Site;
use support::step;
use support::worker_id;

const NEAR: &str = "dc";
/// Wait before a start without an answer is sent again, with a margin, in milliseconds.
const RETRY_MS: u64 = 400;

fn gang(count: u32, accelerators: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accelerators)
    }
}

fn service(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(count, 8)
    }
}

fn starts(orders: &[Order]) -> Vec<&Order> {
    let is_start = |order: &&Order| matches!(order.body, OrderBody::Start { .. });
    orders.iter().filter(is_start).collect()
}

fn wait_reason(site: &Site, job: JobId) -> Option<WaitReason> {
    let times = (site.now_ms, site.wall_ms());
    let report = site
        .planner
        .explain(times, &site.workload, &site.dispatcher, job)
        .unwrap();
    report.steps[0].wait.clone()
}

/// An operator evacuates one of two data centres while callers submit work of every kind. All of it starts in the other one until that is
/// full; the rest waits and starts once the evacuation ends.
#[rstest]
#[case::tasks(step(4, 8))]
#[case::a_gang(gang(4, 8))]
#[case::a_service(service(4))]
fn work_starts_elsewhere_until_the_evacuation_ends(#[case] spec: StepSpec) {
    let mut site = Site::in_two_data_centres(4, 2);
    site.evacuate(FAR);
    site.submit(1, "other", vec![spec.clone()]);
    let waiting_job = site.submit(1, "other", vec![spec]);
    let plan = site.plan_and_start();
    assert_eq!(plan.starts.len(), 4);
    assert!(plan.starts.iter().all(|start| !site.is_far(&start.worker)));
    site.send_starts();
    site.advance(1_000);
    assert!(site.plan().starts.is_empty());
    assert!(wait_reason(&site, waiting_job).is_some());

    site.end_evacuation(FAR);
    let plan = site.plan_and_start();
    assert_eq!(plan.starts.len(), 4);
    assert!(plan.starts.iter().all(|start| site.is_far(&start.worker)));
}

/// The leader plans, the evacuation is recorded, and only then the starts of that plan reach the record. Those in the evacuated data centre
/// are refused: the order of the changes decides, not what the leader saw. Their tasks wait and start elsewhere.
#[test]
fn starts_planned_before_an_evacuation_are_refused() {
    let mut site = Site::in_two_data_centres(2, 2);
    let tasks = site.submit(1, "other", vec![step(4, 8)]);
    let plan = site.plan();
    let far = plan
        .starts
        .iter()
        .filter(|start| site.is_far(&start.worker));
    assert_eq!(far.count(), 2);
    site.evacuate(FAR);
    let reply = site.workload.apply(Command::Starts(plan.starts));
    assert!(matches!(reply, Reply::Started(refused) if refused.len() == 2));
    site.take_events();
    assert!(
        site.open_runs()
            .iter()
            .all(|(worker, _)| !site.is_far(worker))
    );
    let waiting = &site.workload.job(tasks).unwrap().steps[0].tasks;
    assert_eq!(waiting.len(), 4);
}

/// The starts of a gang across both data centres are recorded, but not sent yet. Its members in the evacuated data centre are withdrawn
/// before any order, and so are the others, so that no part of a gang runs. The gang restarts as a whole in the other data centre.
#[test]
fn a_gang_partly_placed_in_an_evacuated_data_centre_restarts_elsewhere() {
    let mut site = Site::in_two_data_centres(4, 2);
    let filler = site.submit(1, "other", vec![step(2, 8)]);
    site.plan_and_start();
    site.send_starts();
    let job = site.submit(1, "other", vec![gang(4, 8)]);
    let plan = site.plan_and_start();
    assert!(plan.starts.iter().any(|start| site.is_far(&start.worker)));
    assert!(plan.starts.iter().any(|start| !site.is_far(&start.worker)));
    site.evacuate(FAR);
    assert!(
        starts(&site.orders())
            .iter()
            .all(|order| !site.is_far(&order.to.worker))
    );
    for _ in 0..3 {
        site.advance(RETRY_MS);
        site.orders();
    }
    let left = site.open_runs();
    assert!(
        left.iter().all(|(worker, _)| !site.is_far(worker)),
        "{left:?}"
    );
    site.end(support::run_of(&site, filler, 0), EndKind::Done);
    site.end(support::run_of(&site, filler, 1), EndKind::Done);
    for (_, run) in site.open_runs() {
        site.end(run, EndKind::Stopped);
    }
    let plan = site.plan_and_start();
    assert_eq!(plan.starts.len(), 4);
    assert!(
        plan.starts
            .iter()
            .all(|start| start.run.task.step.job == job)
    );
    assert!(plan.starts.iter().all(|start| !site.is_far(&start.worker)));
}

/// Runs in the data centre continue: nothing is stopped, and their leases are renewed until they end.
#[test]
fn runs_in_an_evacuated_data_centre_continue() {
    let mut site = Site::in_two_data_centres(2, 2);
    site.submit(1, "other", vec![gang(4, 8)]);
    site.plan_and_start();
    site.send_starts();
    site.evacuate(FAR);
    let mut renewed = BTreeSet::new();
    for _ in 0..20 {
        site.advance(200);
        for order in site.orders() {
            match order.body {
                OrderBody::Probe { lease_until_ms, .. } => {
                    assert!(lease_until_ms.is_some());
                    renewed.insert(order.to.worker.clone());
                }
                ref other => panic!("{other} to {}", order.to.worker),
            }
            let answer = site.probe_answer(&order.to.worker, &[]);
            site.dispatcher
                .note_answer(site.now_ms, &order, &answer, &site.workload);
        }
    }
    assert_eq!(renewed.len(), 4);
    assert_eq!(site.open_runs().len(), 4);
}

/// A start has had no answer when the evacuation is recorded, so it may have been executed. It is not sent again; the worker is probed. If
/// the worker runs the task, the run continues. If not, the run is stopped there, so that a late order starts nothing, and the task starts
/// elsewhere.
#[rstest]
#[case::the_order_was_executed(true)]
#[case::the_order_was_lost(false)]
fn a_start_without_an_answer_is_probed_and_not_repeated(#[case] executed: bool) {
    let mut site = Site::in_two_data_centres(1, 1);
    site.submit(1, "other", vec![step(2, 8)]);
    site.plan_and_start();
    for order in site.orders() {
        let answer = if site.is_far(&order.to.worker) {
            Answer::Lost
        } else {
            site.done()
        };
        site.dispatcher
            .note_answer(site.now_ms, &order, &answer, &site.workload);
    }
    site.evacuate(FAR);
    let mut stopped = false;
    for _ in 0..8 {
        site.advance(RETRY_MS);
        let orders = site.orders();
        assert!(starts(&orders).is_empty(), "a start was sent again");
        for order in orders {
            stopped |= matches!(order.body, OrderBody::Stop { .. });
            let has_run = executed || !site.is_far(&order.to.worker);
            let answer = if has_run {
                site.probe_answer(&order.to.worker, &[])
            } else {
                Answer::Done {
                    clock_ms: Some(site.now_ms),
                    report: Some(Report::default()),
                }
            };
            let command = site
                .dispatcher
                .note_answer(site.now_ms, &order, &answer, &site.workload);
            if let Some(command) = command {
                let now_ms = site.wall_ms();
                site.workload.apply(command.at(now_ms));
                let listed_to = site.dispatcher.recording_to(&order.to.worker);
                site.dispatcher
                    .note_recorded(&order.to.worker, listed_to, RecordOutcome::Recorded);
                site.take_events();
            }
        }
    }
    assert_eq!(stopped, !executed);
    let runs = if executed { 2 } else { 1 };
    assert_eq!(site.open_runs().len(), runs);
}

/// All cores lose power right after the evacuation was acknowledged, and the next leader reads the record from disk. The leader knows of
/// the evacuation, but not whether the runs recorded there have started: it probes, starts none, and stops none that runs.
#[test]
fn an_evacuation_survives_a_change_of_leader_and_a_snapshot() {
    let mut site = Site::in_two_data_centres(1, 1);
    site.submit(1, "other", vec![step(2, 8)]);
    site.plan_and_start();
    site.send_starts();
    site.evacuate(FAR);
    site.restore_from_snapshot();
    site.take_over(2);
    let evacuated: Vec<&Arc<str>> = site.workload.evacuations().map(|(name, _)| name).collect();
    assert_eq!(evacuated, [&Arc::from(FAR)]);
    for _ in 0..4 {
        site.advance(RETRY_MS);
        for order in site.orders() {
            let repeated = matches!(order.body, OrderBody::Start { .. });
            let is_probe = matches!(order.body, OrderBody::Probe { .. });
            assert!(is_probe || repeated && !site.is_far(&order.to.worker));
            let answer = site.probe_answer(&order.to.worker, &[]);
            site.dispatcher
                .note_answer(site.now_ms, &order, &answer, &site.workload);
        }
    }
    assert_eq!(site.open_runs().len(), 2);
}

/// An operator whose acknowledgement was lost sends the same order again, to any core. The second order changes nothing, and neither does
/// the end of an evacuation that never started.
#[test]
fn orders_on_evacuations_are_idempotent() {
    let mut site = Site::in_two_data_centres(1, 1);
    site.end_evacuation(FAR);
    site.evacuate(FAR);
    let first: Vec<u64> = site
        .workload
        .evacuations()
        .map(|(_, since)| since)
        .collect();
    site.advance(5_000);
    site.evacuate(FAR);
    let second: Vec<u64> = site
        .workload
        .evacuations()
        .map(|(_, since)| since)
        .collect();
    assert_eq!(first, second);
    site.end_evacuation(FAR);
    site.end_evacuation(FAR);
    assert_eq!(site.workload.evacuations().count(), 0);
    assert!(site.workload.knows_data_centre(FAR));
    assert!(!site.workload.knows_data_centre("elsewhere"));
}

/// Applies an order that was read when `known_change` was the last known change.
fn delayed_order(site: &mut Site, evacuates: bool, known_change: u64) -> Reply {
    let data_centre = Arc::from(FAR);
    let known_change = Some(known_change);
    let command = if evacuates {
        Command::Evacuate {
            data_centre,
            now_ms: site.wall_ms(),
            known_change,
        }
    } else {
        Command::EndEvacuation {
            data_centre,
            known_change,
        }
    };
    site.workload.apply(command)
}

fn is_evacuated(site: &Site) -> bool {
    site.workload.evacuations().any(|(name, _)| &**name == FAR)
}

/// Guards against an evacuation that begins after it was ended, or ends after it was ordered again, by a copy of the earlier order that was delayed
/// on its way to the leader. The leader may be another one by then, whose record went through a snapshot.
#[rstest]
fn an_order_that_was_delayed_is_refused(#[values(true, false)] evacuates: bool) {
    let mut site = Site::in_two_data_centres(1, 1);
    if !evacuates {
        site.evacuate(FAR);
    }
    let known_change = site.workload.evacuation_change(FAR);
    let apply = |site: &mut Site, evacuates| {
        if evacuates {
            site.evacuate(FAR);
        } else {
            site.end_evacuation(FAR);
        }
    };
    apply(&mut site, evacuates);
    apply(&mut site, !evacuates);
    site.restore_from_snapshot();
    let reply = delayed_order(&mut site, evacuates, known_change);
    assert_eq!(reply, Reply::Refused(Refusal::Outdated));
    assert_eq!(is_evacuated(&site), !evacuates);
    // A new order is carried out, also right after the last change.
    let known_change = site.workload.evacuation_change(FAR);
    assert_eq!(
        delayed_order(&mut site, evacuates, known_change),
        Reply::Done
    );
    assert_eq!(is_evacuated(&site), evacuates);
}

/// Guards against an order that is refused although it is in effect: its acknowledgement was lost, and it was sent again to a core that is behind.
#[rstest]
fn an_order_that_is_in_effect_is_acknowledged_again(#[values(true, false)] evacuates: bool) {
    let mut site = Site::in_two_data_centres(1, 1);
    site.evacuate(FAR);
    if !evacuates {
        site.end_evacuation(FAR);
    }
    assert_eq!(delayed_order(&mut site, evacuates, 0), Reply::Done);
    assert_eq!(is_evacuated(&site), evacuates);
}

/// Guards against an order that is refused because another data centre was evacuated meanwhile.
#[test]
fn an_order_is_not_delayed_by_changes_of_other_data_centres() {
    let mut site = Site::in_two_data_centres(1, 1);
    site.evacuate(NEAR);
    site.end_evacuation(NEAR);
    assert_eq!(delayed_order(&mut site, true, 0), Reply::Done);
}

/// Guards against a record that grows with each name of a data centre that an operator has used.
#[test]
fn the_changes_of_few_data_centres_are_kept() {
    let mut site = Site::in_two_data_centres(1, 1);
    for number in 0..2 * EvacuationChanges::MAX {
        site.evacuate(&format!("dc{number}"));
        site.end_evacuation(&format!("dc{number}"));
    }
    let changes: serde_json::Value = serde_json::to_value(&site.workload).unwrap();
    let kept = changes["evacuation_changes"]["by_data_centre"].as_object();
    assert_eq!(kept.unwrap().len(), EvacuationChanges::MAX);
}

/// A snapshot of a version without evacuations is read as one with none.
#[test]
fn older_snapshots_hold_no_evacuation() {
    let site = Site::in_two_data_centres(1, 1);
    let mut older = serde_json::to_value(&site.workload).unwrap();
    assert!(
        older
            .as_object_mut()
            .unwrap()
            .remove("evacuations")
            .is_some()
    );
    let read: Workload = serde_json::from_value(older).unwrap();
    assert_eq!(read.evacuations().count(), 0);
    assert_eq!(read.worker_count(), 2);
}

/// Capacity is being made for urgent work in a data centre when its evacuation starts. The work stops waiting for that capacity: it takes
/// free capacity elsewhere, or has it made there.
#[test]
fn a_reservation_in_an_evacuated_data_centre_is_released() {
    let mut site = Site::in_two_data_centres(2, 2);
    site.submit(2, "other", vec![step(4, 8)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(100);
    let urgent = site.submit(0, "guaranteed", vec![gang(2, 8)]);
    let plan = site.plan();
    assert_eq!(plan.reserved.len(), 1);
    let reserved_far = plan.evictions.iter().any(|(worker, _)| site.is_far(worker));
    let evacuated = if reserved_far { FAR } else { NEAR };
    site.evacuate(evacuated);
    let plan = site.plan();
    let release_reasons: Vec<ReleaseReason> = plan.released.iter().map(|(_, why)| *why).collect();
    assert_eq!(release_reasons, [ReleaseReason::WorkerUnusable]);
    assert_eq!(
        plan.reserved.first().map(|(step, _)| step.job),
        Some(urgent)
    );
    let is_in_evacuated = |worker: &Incarnation| site.is_far(worker) == reserved_far;
    assert!(
        !plan
            .evictions
            .iter()
            .any(|(worker, _)| is_in_evacuated(worker))
    );
}

/// All data centres are evacuated at once. Submitted work waits and is neither lost nor refused, an operator can read why, and runs that
/// had started before end as usual. Once the evacuations end, the work starts.
#[test]
fn with_all_data_centres_evacuated_work_waits() {
    let mut site = Site::in_two_data_centres(1, 1);
    let before = site.submit(1, "other", vec![step(1, 1)]);
    site.plan_and_start();
    site.send_starts();
    site.evacuate(FAR);
    site.evacuate(NEAR);
    let waiting_job = site.submit(0, "guaranteed", vec![gang(2, 8)]);
    for _ in 0..20 {
        site.advance(500);
        let plan = site.plan();
        assert!(plan.starts.is_empty() && plan.evictions.is_empty());
    }
    let data_centres: BTreeSet<Arc<str>> = [Arc::from(FAR), Arc::from(NEAR)].into();
    assert_eq!(
        wait_reason(&site, waiting_job),
        Some(WaitReason::Evacuated { data_centres })
    );
    site.end(support::run_of(&site, before, 0), EndKind::Done);
    assert!(site.workload.job(before).unwrap().outcome.is_some());
    site.end_evacuation(FAR);
    site.end_evacuation(NEAR);
    assert_eq!(site.plan_and_start().starts.len(), 2);
}

/// The data of a task is in a rack of the evacuated data centre. The task does not wait for that rack, which may come back in minutes or
/// never, but starts elsewhere at once, however long it takes there.
#[test]
fn work_does_not_wait_for_a_rack_that_is_evacuated() {
    let mut site = Site::in_two_data_centres(2, 2);
    let near_rack = site
        .workload
        .worker(&worker_id("w02"))
        .unwrap()
        .info
        .rack
        .clone();
    assert!(site.is_far(&worker_id("w02")));
    site.evacuate(FAR);
    let spec = StepSpec {
        near_rack: Some(near_rack),
        ..step(1, 8)
    };
    site.submit(1, "other", vec![spec]);
    let plan = site.plan_and_start();
    assert_eq!(plan.starts.len(), 1);
    assert!(!site.is_far(&plan.starts[0].worker));
}

/// A service task in the evacuated data centre fails by itself. It is restarted elsewhere.
#[test]
fn a_service_task_that_fails_in_an_evacuated_data_centre_restarts_elsewhere() {
    let mut site = Site::in_two_data_centres(2, 2);
    let filler = site.submit(1, "other", vec![step(1, 8)]);
    site.plan_and_start();
    site.submit(1, "other", vec![service(2)]);
    site.plan_and_start();
    site.send_starts();
    site.end(support::run_of(&site, filler, 0), EndKind::Done);
    site.evacuate(FAR);
    let (_, run) = site
        .open_runs()
        .into_iter()
        .find(|(worker, _)| site.is_far(worker))
        .unwrap();
    site.end(run, EndKind::Failed);
    let plan = site.plan_and_start();
    assert_eq!(plan.starts.len(), 1);
    assert_eq!(plan.starts[0].run.task, run.task);
    assert!(!site.is_far(&plan.starts[0].worker));
}
