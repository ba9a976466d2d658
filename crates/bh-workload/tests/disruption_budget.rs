//! How many tasks of services the system takes away to make room for guaranteed work, compared with an exhaustive search.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]
mod support;

use bh_protocol::Incarnation;
use bh_workload::job::JobId;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::state::Command;
use bh_workload::state::WorkerChange;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use support::Site;
use support::step;
use support::worker_id;

const ACCELERATORS: u64 = 8;
/// Most runs for which all sets of stops are tried.
const MAX_RUNS: usize = 12;

/// A service of another customer.
#[derive(Clone, Debug)]
struct Service {
    count: u32,
    accelerators: u64,
    gang: bool,
    most_unavailable: Option<u32>,
}

/// A site, and guaranteed work that needs room there.
#[derive(Clone, Debug)]
struct Scene {
    workers: usize,
    services: Vec<Service>,
    /// Workers that have the label, by their bits.
    labelled: usize,
    /// Workers that do not answer, by their bits.
    silent: usize,
    tasks: u32,
    accelerators: u64,
    needs_label: bool,
}

fn service() -> impl Strategy<Value = Service> {
    let limit = prop_oneof![1 => Just(None), 4 => (0u32..4).prop_map(Some)];
    (
        1u32..5,
        prop_oneof![Just(4u64), Just(8)],
        any::<bool>(),
        limit,
    )
        .prop_map(|(count, accelerators, gang, most_unavailable)| Service {
            count,
            accelerators,
            gang,
            most_unavailable,
        })
}

fn scene() -> impl Strategy<Value = Scene> {
    let work = (1u32..4, prop_oneof![Just(4u64), Just(8)], any::<bool>());
    let silent = prop_oneof![2 => Just(0usize), 1 => 0usize..64];
    (
        2usize..7,
        prop::collection::vec(service(), 1..4),
        0usize..64,
        silent,
        work,
    )
        .prop_map(
            |(workers, services, labelled, silent, (tasks, accelerators, needs_label))| Scene {
                workers,
                services,
                labelled,
                silent,
                // The customer is guaranteed 16 accelerators.
                tasks: if accelerators == ACCELERATORS {
                    tasks.min(2)
                } else {
                    tasks
                },
                accelerators,
                needs_label,
            },
        )
}

fn has_bit(bits: usize, position: usize) -> bool {
    bits >> position & 1 == 1
}

/// A site on which the services are at work, as far as they fit. Returns their jobs.
fn site(scene: &Scene) -> (Site, Vec<JobId>) {
    let mut site = Site::new(scene.workers, scene.workers);
    for position in (0..scene.workers).filter(|position| has_bit(scene.labelled, *position)) {
        let id = worker_id(&format!("w{position:02}"));
        let mut info = site.workload.worker(&id).unwrap().info.clone();
        info.labels.push(Arc::from("b"));
        let changed = Command::Workers(vec![WorkerChange::Known(info)]);
        site.workload.apply(changed);
    }
    site.take_events();
    site.advance(60_000);
    let mut jobs = Vec::new();
    for service in &scene.services {
        let spec = StepSpec {
            long_running: true,
            gang: service.gang,
            most_unavailable: service.most_unavailable,
            ..step(service.count, service.accelerators)
        };
        jobs.push(site.submit(1, "other", vec![spec]));
        site.plan_and_start();
        site.report_fully_at_work();
    }
    for position in (0..scene.workers).filter(|position| has_bit(scene.silent, *position)) {
        let id = worker_id(&format!("w{position:02}"));
        if !site.workload.worker(&id).unwrap().runs.is_empty() {
            site.fall_silent(&id);
        }
    }
    (site, jobs)
}

fn is_silent(site: &Site, worker: &Incarnation) -> bool {
    site.dispatcher
        .view(worker)
        .is_some_and(|target| target.is_silent())
}

/// Whether the limits of the services allow these stops.
fn is_allowed(
    scene: &Scene,
    site: &Site,
    jobs: &[JobId],
    open: &[(Incarnation, RunId)],
    stops: &BTreeSet<RunId>,
) -> bool {
    scene.services.iter().zip(jobs).all(|(service, job)| {
        let own: Vec<_> = open
            .iter()
            .filter(|(_, run)| run.task.step.job == *job)
            .collect();
        let stopped = own.iter().filter(|(_, run)| stops.contains(run)).count();
        if service.gang && stopped > 0 && stopped < own.len() {
            return false;
        }
        let Some(most) = service.most_unavailable.filter(|_| stopped > 0) else {
            return true;
        };
        let at_work = own
            .iter()
            .filter(|(worker, _)| !is_silent(site, worker))
            .count();
        let away = usize::try_from(service.count).unwrap() - at_work;
        let stops_silent = own
            .iter()
            .any(|(worker, run)| stops.contains(run) && is_silent(site, worker));
        !stops_silent && away + stopped <= usize::try_from(most).unwrap()
    })
}

/// Whether the work fits once these runs have ended.
fn fits(
    scene: &Scene,
    site: &Site,
    open: &[(Incarnation, RunId)],
    stops: &BTreeSet<RunId>,
) -> bool {
    let mut free: BTreeMap<Incarnation, u64> = BTreeMap::new();
    for (position, worker) in site.workload.workers().enumerate() {
        let usable = !is_silent(site, &worker.info.id)
            && (!scene.needs_label || has_bit(scene.labelled, position));
        if usable {
            free.insert(worker.info.id.clone(), ACCELERATORS);
        }
    }
    for (worker, run) in open.iter().filter(|(_, run)| !stops.contains(run)) {
        let needs = site.workload.worker(worker).unwrap().runs[run].accelerators;
        if let Some(left) = free.get_mut(worker) {
            *left -= needs;
        }
    }
    let places: u64 = free.values().map(|left| left / scene.accelerators).sum();
    places >= u64::from(scene.tasks)
}

proptest! {
    /// Guards against stops that take more tasks of a service away than may be missing, and against guaranteed work that waits though some allowed set of
    /// stops makes room for it.
    #[test]
    fn fuzz_budgets_are_kept_and_used(scene in scene()) {
        let (mut site, jobs) = site(&scene);
        let open = site.open_runs();
        prop_assume!(open.len() <= MAX_RUNS);
        let spec = StepSpec {
            gang: true,
            required_label: scene.needs_label.then(|| Arc::from("b")),
            ..step(scene.tasks, scene.accelerators)
        };
        let work = site.submit(0, "guaranteed", vec![spec]);
        let plan = site.plan();
        let stops: BTreeSet<RunId> = plan.evictions.iter().map(|(_, run)| *run).collect();
        prop_assert!(is_allowed(&scene, &site, &jobs, &open, &stops), "{:?}", plan.evictions);
        let starts = plan.starts.iter().any(|start| start.run.task.step.job == work);
        if !starts {
            let all = 0..1usize << open.len();
            let set = |bits: usize| -> BTreeSet<RunId> {
                let runs = open.iter().enumerate();
                runs.filter(|(position, _)| has_bit(bits, *position)).map(|(_, (_, run))| *run).collect()
            };
            let exists = all.map(set).any(|stops| {
                is_allowed(&scene, &site, &jobs, &open, &stops) && fits(&scene, &site, &open, &stops)
            });
            prop_assert_eq!(!stops.is_empty(), exists);
            if exists {
                prop_assert!(fits(&scene, &site, &open, &stops));
            }
        }
    }
}
