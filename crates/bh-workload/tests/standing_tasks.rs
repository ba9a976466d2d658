//! Tasks that may run and have capacity, but are stalled because of earlier runs or starts.

mod support;

use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::Ended;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Running;
use bh_workload::dispatch::Timing;
use bh_workload::job::JobId;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::plan::Planner;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use rstest::rstest;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use support::Site;
use support::step;

/// Timing with leases of a few seconds and short stops.
const TIMING: Timing = Timing {
    lease_ms: 5_700,
    stop_timeout_ms: 400,
    ..Timing::DEFAULT
};
/// Longest time for which a task may be stalled beside free capacity, in milliseconds.
const STALL_LIMIT_MS: u64 = 3_000;
/// Time between two turns of the leader, in milliseconds.
const TURN_MS: u64 = 50;
/// Time without urgent work after which no capacity is kept for it, in milliseconds.
const QUIET_MS: u64 = 60_000;
/// Longer than any lease, in milliseconds.
const LONG_MS: u64 = 20_000;

/// How a worker reacts to orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// Carries out orders.
    Healthy,
    /// Orders do not reach the worker.
    Silent,
    /// Orders do not reach the worker, and the cores that carry them give no answer in time.
    BehindLostCarriers,
    /// Carries out orders, but its heartbeats are lost.
    Unheard,
    /// The process has ended: nothing listens at its address.
    Ended,
}

/// The runs of a worker and their ends.
#[derive(Default)]
struct Worker {
    running: BTreeSet<RunId>,
    ended: Vec<Ended>,
    /// Number of the last end.
    last_number: u64,
}

impl Worker {
    fn end(&mut self, run: RunId, kind: EndKind) {
        if self.running.remove(&run) {
            self.last_number += 1;
            self.ended.push(Ended {
                number: self.last_number,
                run,
                kind,
                checkpoint: None,
            });
        }
    }
}

/// A site with workers that react to orders according to their behaviour.
struct Simulation {
    site: Site,
    workers: BTreeMap<Incarnation, Worker>,
    /// Behaviour of the workers that are not healthy.
    behaviours: BTreeMap<Incarnation, Behaviour>,
}

impl Simulation {
    /// A site of `workers` workers, all healthy, without capacity kept for urgent work.
    fn new(workers: usize) -> Self {
        let mut site = Site::new(workers, workers);
        site.advance(QUIET_MS);
        site.dispatcher = Dispatcher::new(TIMING, 1, site.now_ms, &site.workload);
        let mut simulation = Self {
            site,
            workers: BTreeMap::new(),
            behaviours: BTreeMap::new(),
        };
        simulation.turn();
        simulation
    }

    fn behaviour(&self, worker: &Incarnation) -> Behaviour {
        let behaviour = self.behaviours.get(worker);
        behaviour.copied().unwrap_or(Behaviour::Healthy)
    }

    fn set_behaviour(&mut self, worker: &Incarnation, behaviour: Behaviour) {
        self.behaviours.insert(worker.clone(), behaviour);
    }

    /// The healthy workers send heartbeats.
    fn heartbeats(&mut self) {
        let workers: Vec<Incarnation> = self
            .site
            .workload
            .workers()
            .map(|worker| worker.info.id.clone())
            .filter(|worker| self.behaviour(worker) == Behaviour::Healthy)
            .collect();
        for worker in workers {
            let now_ms = self.site.now_ms;
            self.site
                .dispatcher
                .note_heartbeat(now_ms, &worker, Some(now_ms));
        }
    }

    /// The worker carries out an order if it is reached, and answers.
    fn answer(&mut self, order: &Order) -> Answer {
        match self.behaviour(&order.to.worker) {
            Behaviour::Silent => return Answer::Lost,
            Behaviour::BehindLostCarriers => return Answer::CarrierLost,
            Behaviour::Ended => return Answer::NotListening,
            Behaviour::Healthy | Behaviour::Unheard => {}
        }
        let worker = self.workers.entry(order.to.worker.clone()).or_default();
        let mut report = None;
        match &order.body {
            OrderBody::Start { run, .. } => {
                worker.running.insert(*run);
            }
            OrderBody::Stop { run } => worker.end(*run, EndKind::Stopped),
            OrderBody::Pace { .. } => {}
            OrderBody::Probe { recorded_to, .. } => {
                worker.ended.retain(|ended| ended.number > *recorded_to);
                let running = worker.running.iter().map(|run| Running {
                    run: *run,
                    checkpoint: None,
                    percent: 1,
                    load: 0,
                });
                report = Some(Report {
                    running: running.collect(),
                    ended: worker.ended.clone(),
                    more: false,
                });
            }
        }
        Answer::Done {
            clock_ms: Some(self.site.now_ms),
            report,
        }
    }

    /// The workers answer the orders that are due, and the commands that follow are recorded.
    fn give_orders(&mut self) {
        for order in self.site.orders() {
            let answer = self.answer(&order);
            let now_ms = self.site.now_ms;
            let command =
                self.site
                    .dispatcher
                    .note_answer(now_ms, &order, &answer, &self.site.workload);
            if let Some(command) = command {
                let wall_ms = self.site.wall_ms();
                let listed_to = self.site.dispatcher.recording_to(&order.to.worker);
                self.site.workload.apply(command.at(wall_ms));
                self.site.take_events();
                self.site.dispatcher.note_recorded(
                    &order.to.worker,
                    listed_to,
                    RecordOutcome::Recorded,
                );
            }
        }
    }

    /// Makes a plan and records its starts.
    fn record_plan(&mut self) {
        let starts = self.site.plan().starts;
        self.site.workload.apply(Command::Starts(starts));
        self.site.take_events();
    }

    /// One turn of the leader: time passes, orders are sent and a plan is made.
    fn turn(&mut self) {
        self.site.now_ms += TURN_MS;
        self.heartbeats();
        self.give_orders();
        self.record_plan();
        self.give_orders();
    }

    fn run_for(&mut self, time_ms: u64) {
        let until_ms = self.site.now_ms + time_ms;
        while self.site.now_ms < until_ms {
            self.turn();
        }
    }

    /// Returns the runs of a job that really run, with their workers.
    fn actual_runs(&self, job: JobId) -> Vec<(Incarnation, RunId)> {
        let runs = self
            .workers
            .iter()
            .flat_map(|(worker, known)| known.running.iter().map(|run| (worker.clone(), *run)));
        runs.filter(|(_, run)| run.task.step.job == job).collect()
    }

    /// A worker is lost with its runs of a job; the other runs of the job end as members of a broken gang.
    fn lose_worker(&mut self, worker: &Incarnation, job: JobId, behaviour: Behaviour) {
        self.set_behaviour(worker, behaviour);
        for (run_worker, run) in self.actual_runs(job) {
            if let Some(known) = self.workers.get_mut(&run_worker) {
                if run_worker == *worker {
                    known.running.clear();
                } else {
                    known.end(run, EndKind::Broken);
                }
            }
        }
    }

    /// Another core becomes leader.
    fn take_over(&mut self) {
        let token = self.site.dispatcher.token() + 1;
        self.site.dispatcher =
            Dispatcher::new(TIMING, token, self.site.now_ms, &self.site.workload);
        self.site.planner = Planner::new();
    }

    /// Returns the time until a run of the job really runs, in milliseconds; at most about `LONG_MS`.
    fn time_to_start_ms(&mut self, job: JobId) -> u64 {
        let from_ms = self.site.now_ms;
        while self.actual_runs(job).is_empty() && self.site.now_ms < from_ms + LONG_MS {
            self.turn();
        }
        self.site.now_ms - from_ms
    }
}

fn gang(count: u32) -> Vec<StepSpec> {
    vec![StepSpec {
        gang: true,
        ..step(count, 8)
    }]
}

/// Guards against a new leader that delays a gang because of attempts that are known to be lost. Two attempts of the gang were lost with
/// workers that never return, and their leases have expired. Each new leader treated both as attempts that may have failed, and delayed the
/// gang for another lease.
#[test]
fn attempts_with_expired_leases_do_not_delay_a_gang_under_a_new_leader() {
    let mut simulation = Simulation::new(12);
    let job = simulation.site.submit(1, "other", gang(3));
    for _ in 0..2 {
        simulation.run_for(2_000);
        let running = simulation.actual_runs(job);
        assert_eq!(running.len(), 3);
        simulation.lose_worker(&running[0].0, job, Behaviour::Silent);
    }
    simulation.site.now_ms += LONG_MS;
    simulation.heartbeats();
    // The previous leader makes no further plan, so it does not restart the gang.
    while !simulation.site.open_runs().is_empty() {
        simulation.site.now_ms += TURN_MS;
        simulation.heartbeats();
        simulation.give_orders();
    }
    assert_eq!(simulation.site.clone().plan().starts.len(), 3);
    simulation.take_over();
    let waited_ms = simulation.time_to_start_ms(job);
    assert!(waited_ms <= STALL_LIMIT_MS, "stalled for {waited_ms} ms");
}

/// Guards against losing or repeating the record of an expired lease. A member of a gang on a silent worker was given up before the
/// worker's lease expired. If the expiry were not recorded, each new leader would delay the gang; if it were recorded at every turn, the
/// log would grow. The silent worker gets no order for it.
#[rstest]
#[case::unknown_outcome(RecordOutcome::Unknown, 0)]
#[case::not_recorded(RecordOutcome::NotRecorded, 1)]
fn the_expired_lease_of_a_member_given_up_is_recorded_once(
    #[case] outcome: RecordOutcome,
    #[case] repeated: usize,
) {
    let mut simulation = Simulation::new(12);
    let job = simulation.site.submit(1, "other", gang(3));
    simulation.run_for(2_000);
    let (worker, lost) = simulation.actual_runs(job)[0].clone();
    simulation.lose_worker(&worker, job, Behaviour::Silent);
    simulation.run_for(2_000);
    let open = simulation.site.open_runs();
    assert!(
        open.iter().all(|(_, run)| *run != lost),
        "the run is given up"
    );
    let site = &mut simulation.site;
    let ends_of_lost_run = |site: &mut Site| {
        let (orders, ends) = site.dispatcher.orders(site.now_ms, &site.workload, true);
        let is_ordered = orders.iter().any(|order| order.to.worker == worker);
        assert!(!is_ordered, "a silent worker gets an order");
        ends.iter().filter(|end| end.run == lost).count()
    };
    assert_eq!(ends_of_lost_run(site), 0, "the lease may not have expired");
    site.now_ms += LONG_MS;
    assert_eq!(ends_of_lost_run(site), 1);
    assert_eq!(ends_of_lost_run(site), 0, "the end is being recorded");
    site.dispatcher.note_recorded(&worker, None, outcome);
    assert_eq!(ends_of_lost_run(site), repeated);
}

/// Guards against a new leader that waits for the lease of a lost member though the gang is broken. The leader and one worker of the gang
/// are lost together. The other members report to the next leader that the gang is broken, so the lost member has ended; but this leader
/// does not know that the member had started.
#[test]
fn a_gang_that_broke_at_a_change_of_leader_is_restarted() {
    let mut simulation = Simulation::new(12);
    let job = simulation.site.submit(1, "other", gang(3));
    simulation.run_for(9_000);
    let running = simulation.actual_runs(job);
    simulation.lose_worker(&running[0].0, job, Behaviour::Silent);
    simulation.take_over();
    let waited_ms = simulation.time_to_start_ms(job);
    assert!(waited_ms <= STALL_LIMIT_MS, "stalled for {waited_ms} ms");
}

/// Guards against a new leader that waits for the lease of a lost member after the previous leader has recorded the ends of the other
/// members. The workers don't report these ends again, so no report tells the new leader that the gang is broken.
#[test]
fn a_gang_whose_other_members_have_ended_is_restarted_under_a_new_leader() {
    let mut simulation = Simulation::new(12);
    let job = simulation.site.submit(1, "other", gang(3));
    simulation.run_for(9_000);
    let running = simulation.actual_runs(job);
    simulation.lose_worker(&running[0].0, job, Behaviour::Silent);
    simulation.run_for(100);
    assert_eq!(simulation.site.open_runs().len(), 1);
    simulation.take_over();
    let waited_ms = simulation.time_to_start_ms(job);
    assert!(waited_ms <= STALL_LIMIT_MS, "stalled for {waited_ms} ms");
}

/// Guards against a run that is never given up because the cores that carry orders to its lost worker give no answer in time. The worker's
/// lease expires all the same.
#[test]
fn a_run_behind_lost_carriers_is_given_up_when_its_lease_expires() {
    let mut simulation = Simulation::new(4);
    let job = simulation.site.submit(1, "other", vec![step(1, 8)]);
    simulation.run_for(1_000);
    let running = simulation.actual_runs(job);
    simulation.lose_worker(&running[0].0, job, Behaviour::BehindLostCarriers);
    let lease_expiry_ms = TIMING.lease_expiry_after_ms(0);
    let waited_ms = simulation.time_to_start_ms(job);
    assert!(
        waited_ms <= lease_expiry_ms + STALL_LIMIT_MS,
        "stalled for {waited_ms} ms, the lease expires after {lease_expiry_ms} ms"
    );
}

/// Guards against a gang that is never restarted because the cores that carry orders to the worker of a lost member give no answer in time.
/// The gang is broken, so nothing of its job runs.
#[test]
fn a_gang_with_a_member_behind_lost_carriers_is_restarted() {
    let mut simulation = Simulation::new(12);
    let job = simulation.site.submit(1, "other", gang(3));
    simulation.run_for(1_000);
    let running = simulation.actual_runs(job);
    simulation.lose_worker(&running[0].0, job, Behaviour::BehindLostCarriers);
    let lease_expiry_ms = TIMING.lease_expiry_after_ms(0);
    let waited_ms = simulation.time_to_start_ms(job);
    assert!(
        waited_ms <= lease_expiry_ms + STALL_LIMIT_MS,
        "stalled for {waited_ms} ms, the lease expires after {lease_expiry_ms} ms"
    );
}

/// Guards against waiting for the lease of a worker that falls silent between the plan and the record of a start. The start is never sent,
/// so the task can start elsewhere at once.
#[test]
fn a_start_that_was_never_sent_to_a_silent_worker_is_withdrawn() {
    let mut simulation = Simulation::new(4);
    let first = simulation.site.submit(1, "other", vec![step(1, 4)]);
    simulation.run_for(1_000);
    let worker = simulation.actual_runs(first)[0].0.clone();
    let second = simulation.site.submit(1, "other", vec![step(1, 4)]);
    let starts = simulation.site.plan().starts;
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].worker, worker, "the fullest worker is filled");
    simulation.set_behaviour(&worker, Behaviour::Silent);
    simulation.site.now_ms += TURN_MS;
    simulation.give_orders();
    simulation.site.workload.apply(Command::Starts(starts));
    simulation.site.take_events();
    let waited_ms = simulation.time_to_start_ms(second);
    assert!(waited_ms <= STALL_LIMIT_MS, "stalled for {waited_ms} ms");
}

/// Guards against holding a start for ever because a heartbeat is missing. The worker answers, but its heartbeats are lost, and it becomes
/// unheard between the plan and the record of a start. The start is held until the next heartbeat, which may never arrive.
#[test]
fn a_start_that_waits_for_a_heartbeat_is_withdrawn() {
    let mut simulation = Simulation::new(4);
    let first = simulation.site.submit(1, "other", vec![step(1, 4)]);
    simulation.run_for(1_000);
    let worker = simulation.actual_runs(first)[0].0.clone();
    simulation.set_behaviour(&worker, Behaviour::Unheard);
    simulation.run_for(TIMING.current_ms() - TURN_MS);
    let second = simulation.site.submit(1, "other", vec![step(1, 4)]);
    let starts = simulation.site.plan().starts;
    assert_eq!(starts[0].worker, worker, "the fullest worker is filled");
    simulation.site.now_ms += 2 * TURN_MS;
    simulation.heartbeats();
    simulation.site.workload.apply(Command::Starts(starts));
    simulation.site.take_events();
    let waited_ms = simulation.time_to_start_ms(second);
    assert!(waited_ms <= STALL_LIMIT_MS, "stalled for {waited_ms} ms");
}

/// Guards against waiting for the lease of a worker whose process ends between its last probe and a start. Nothing listens at its address,
/// so the only send of the start cannot have arrived, and the task can start elsewhere at once.
#[test]
fn a_start_that_found_nothing_listening_is_withdrawn() {
    let mut simulation = Simulation::new(4);
    let job = simulation.site.submit(1, "other", vec![step(1, 8)]);
    let starts = simulation.site.plan().starts;
    simulation.set_behaviour(&starts[0].worker.clone(), Behaviour::Ended);
    simulation.site.workload.apply(Command::Starts(starts));
    simulation.site.take_events();
    let waited_ms = simulation.time_to_start_ms(job);
    assert!(waited_ms <= STALL_LIMIT_MS, "stalled for {waited_ms} ms");
}
