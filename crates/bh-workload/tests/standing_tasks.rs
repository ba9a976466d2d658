//! Tasks that may run, have room, and stand still all the same.

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

/// Leases of some seconds and short stops.
const TIMING: Timing = Timing {
    lease_ms: 5_700,
    stop_timeout_ms: 400,
    ..Timing::DEFAULT
};
/// Longest time for which a task may stand still beside free room, in milliseconds.
const STANDS_MS: u64 = 3_000;
/// Time between two turns of the leader, in milliseconds.
const TURN_MS: u64 = 50;
/// Time after which no room is kept for urgent work that has not come, in milliseconds.
const QUIET_MS: u64 = 60_000;
/// Longer than any lease, in milliseconds.
const LONG_MS: u64 = 20_000;

/// How a worker treats orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    /// Carries them out.
    Sound,
    /// Is not reached.
    Silent,
    /// Is not reached, and its carriers give no answer in time.
    BehindLostCarriers,
    /// Carries them out, and its heartbeats reach nobody.
    Unheard,
    /// Has ended: nothing listens at its address.
    Ended,
}

/// What a worker runs and has ended.
#[derive(Default)]
struct Worker {
    running: BTreeSet<RunId>,
    ended: Vec<Ended>,
    /// Number of its last end.
    last: u64,
}

impl Worker {
    fn end(&mut self, run: RunId, kind: EndKind) {
        if self.running.remove(&run) {
            self.last += 1;
            self.ended.push(Ended {
                number: self.last,
                run,
                kind,
                checkpoint: None,
            });
        }
    }
}

/// A site whose workers carry out what they are told.
struct Scene {
    site: Site,
    workers: BTreeMap<Incarnation, Worker>,
    manners: BTreeMap<Incarnation, Manner>,
}

impl Scene {
    /// A site of `workers` workers, all sound, without room kept for urgent work.
    fn new(workers: usize) -> Self {
        let mut site = Site::new(workers, workers);
        site.advance(QUIET_MS);
        site.dispatcher = Dispatcher::new(TIMING, 1, site.now_ms, &site.workload);
        let mut scene = Self {
            site,
            workers: BTreeMap::new(),
            manners: BTreeMap::new(),
        };
        scene.turn();
        scene
    }

    fn manner(&self, worker: &Incarnation) -> Manner {
        let manner = self.manners.get(worker);
        manner.copied().unwrap_or(Manner::Sound)
    }

    fn set(&mut self, worker: &Incarnation, manner: Manner) {
        self.manners.insert(worker.clone(), manner);
    }

    fn heartbeats(&mut self) {
        let workers: Vec<Incarnation> = self
            .site
            .workload
            .workers()
            .map(|worker| worker.info.id.clone())
            .filter(|worker| self.manner(worker) == Manner::Sound)
            .collect();
        for worker in workers {
            let now_ms = self.site.now_ms;
            self.site
                .dispatcher
                .note_heartbeat(now_ms, &worker, Some(now_ms));
        }
    }

    fn answer(&mut self, order: &Order) -> Answer {
        match self.manner(&order.to.worker) {
            Manner::Silent => return Answer::Lost,
            Manner::BehindLostCarriers => return Answer::CarrierLost,
            Manner::Ended => return Answer::NotListening,
            Manner::Sound | Manner::Unheard => {}
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

    /// Orders that are due are carried out, and what follows is recorded.
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

    fn record_plan(&mut self) {
        let starts = self.site.plan().starts;
        self.site.workload.apply(Command::Starts(starts));
        self.site.take_events();
    }

    /// One turn of the leader.
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

    /// Runs of a job that are at work, with their workers.
    fn at_work(&self, job: JobId) -> Vec<(Incarnation, RunId)> {
        let runs = self
            .workers
            .iter()
            .flat_map(|(worker, known)| known.running.iter().map(|run| (worker.clone(), *run)));
        runs.filter(|(_, run)| run.task.step.job == job).collect()
    }

    /// A worker that runs a member of a gang is lost with it, and the other members end for that.
    fn lose(&mut self, worker: &Incarnation, job: JobId, manner: Manner) {
        self.set(worker, manner);
        for (holder, run) in self.at_work(job) {
            if let Some(known) = self.workers.get_mut(&holder) {
                if holder == *worker {
                    known.running.clear();
                } else {
                    known.end(run, EndKind::Broken);
                }
            }
        }
    }

    /// Another core leads from now on.
    fn take_over(&mut self) {
        let token = self.site.dispatcher.token() + 1;
        self.site.dispatcher =
            Dispatcher::new(TIMING, token, self.site.now_ms, &self.site.workload);
        self.site.planner = Planner::new();
    }

    /// Time until the job has a run at work, in milliseconds; as long as `LONG_MS` when it has none until then.
    fn stands_ms(&mut self, job: JobId) -> u64 {
        let from_ms = self.site.now_ms;
        while self.at_work(job).is_empty() && self.site.now_ms < from_ms + LONG_MS {
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

/// Two attempts of a gang were lost with workers that never come back, and their leases have run out. Each new leader takes both for attempts that may
/// have failed, and holds the gang back for another lease.
#[test]
fn attempts_that_lapsed_hold_no_gang_back_under_a_new_leader() {
    let mut scene = Scene::new(12);
    let job = scene.site.submit(1, "other", gang(3));
    for _ in 0..2 {
        scene.run_for(2_000);
        let at_work = scene.at_work(job);
        assert_eq!(at_work.len(), 3);
        scene.lose(&at_work[0].0, job, Manner::Silent);
    }
    scene.site.now_ms += LONG_MS;
    scene.heartbeats();
    // The plan of the leader before had no time to begin the gang anew.
    while !scene.site.open_runs().is_empty() {
        scene.site.now_ms += TURN_MS;
        scene.heartbeats();
        scene.give_orders();
    }
    assert_eq!(scene.site.clone().plan().starts.len(), 3);
    scene.take_over();
    let stands_ms = scene.stands_ms(job);
    assert!(stands_ms <= STANDS_MS, "stands for {stands_ms} ms");
}

/// The lease runs out of a worker of which a gang's member was given up earlier. Were the record of that lost or made at every turn, each new leader would hold the
/// gang back, or the log would grow; and the worker is not asked for it.
#[rstest]
#[case::of_unknown_fate(RecordOutcome::Unknown, 0)]
#[case::not_recorded(RecordOutcome::NotRecorded, 1)]
fn the_lapse_of_a_member_given_up_is_recorded_once(
    #[case] outcome: RecordOutcome,
    #[case] again: usize,
) {
    let mut scene = Scene::new(12);
    let job = scene.site.submit(1, "other", gang(3));
    scene.run_for(2_000);
    let (worker, lost) = scene.at_work(job)[0].clone();
    scene.lose(&worker, job, Manner::Silent);
    scene.run_for(2_000);
    let open = scene.site.open_runs();
    assert!(open.iter().all(|(_, run)| *run != lost), "it is given up");
    let site = &mut scene.site;
    let given = |site: &mut Site| {
        let (orders, ends) = site.dispatcher.orders(site.now_ms, &site.workload, true);
        let asked = orders.iter().any(|order| order.to.worker == worker);
        assert!(!asked, "a worker that is silent is asked");
        ends.iter().filter(|end| end.run == lost).count()
    };
    assert_eq!(given(site), 0, "while the lease may last");
    site.now_ms += LONG_MS;
    assert_eq!(given(site), 1);
    assert_eq!(given(site), 0, "it is on its way");
    site.dispatcher.note_recorded(&worker, None, outcome);
    assert_eq!(given(site), again);
}

/// The leader and one worker of a gang are lost together. The other members tell the next leader that the gang is broken, so the lost member has ended; but this
/// leader has not heard that it began, and waits for the lease.
#[test]
fn a_gang_that_broke_before_a_change_of_leader_begins_anew() {
    let mut scene = Scene::new(12);
    let job = scene.site.submit(1, "other", gang(3));
    scene.run_for(9_000);
    let at_work = scene.at_work(job);
    scene.lose(&at_work[0].0, job, Manner::Silent);
    scene.take_over();
    let stands_ms = scene.stands_ms(job);
    assert!(stands_ms <= STANDS_MS, "stands for {stands_ms} ms");
}

/// The same, but the leader before has recorded the ends of the other members. They are not listed again, and nothing tells the next leader that the gang
/// is broken.
#[test]
fn a_gang_whose_broken_members_are_recorded_begins_anew_under_a_new_leader() {
    let mut scene = Scene::new(12);
    let job = scene.site.submit(1, "other", gang(3));
    scene.run_for(9_000);
    let at_work = scene.at_work(job);
    scene.lose(&at_work[0].0, job, Manner::Silent);
    scene.run_for(100);
    assert_eq!(scene.site.open_runs().len(), 1);
    scene.take_over();
    let stands_ms = scene.stands_ms(job);
    assert!(stands_ms <= STANDS_MS, "stands for {stands_ms} ms");
}

/// A worker is lost, and what was to carry orders to it gives no answer in time. Its lease runs out all the same, but its run is never given up.
#[test]
fn a_run_behind_lost_carriers_is_given_up_with_its_lease() {
    let mut scene = Scene::new(4);
    let job = scene.site.submit(1, "other", vec![step(1, 8)]);
    scene.run_for(1_000);
    let at_work = scene.at_work(job);
    scene.lose(&at_work[0].0, job, Manner::BehindLostCarriers);
    let lapse_ms = TIMING.lease_expiry_after_ms(0);
    let stands_ms = scene.stands_ms(job);
    assert!(
        stands_ms <= lapse_ms + STANDS_MS,
        "stands for {stands_ms} ms, the lease runs out after {lapse_ms} ms"
    );
}

/// The same, and the run that is lost is one of a gang that is broken: nothing of its job runs.
#[test]
fn a_gang_with_a_member_behind_lost_carriers_begins_anew() {
    let mut scene = Scene::new(12);
    let job = scene.site.submit(1, "other", gang(3));
    scene.run_for(1_000);
    let at_work = scene.at_work(job);
    scene.lose(&at_work[0].0, job, Manner::BehindLostCarriers);
    let lapse_ms = TIMING.lease_expiry_after_ms(0);
    let stands_ms = scene.stands_ms(job);
    assert!(
        stands_ms <= lapse_ms + STANDS_MS,
        "stands for {stands_ms} ms, the lease runs out after {lapse_ms} ms"
    );
}

/// A worker falls silent between the plan and the record of a start. The start is never sent, so the run need not wait for the lease of the worker.
#[test]
fn a_start_that_was_never_sent_to_a_silent_worker_is_taken_back() {
    let mut scene = Scene::new(4);
    let first = scene.site.submit(1, "other", vec![step(1, 4)]);
    scene.run_for(1_000);
    let worker = scene.at_work(first)[0].0.clone();
    let second = scene.site.submit(1, "other", vec![step(1, 4)]);
    let starts = scene.site.plan().starts;
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].worker, worker, "the fullest worker is filled");
    scene.set(&worker, Manner::Silent);
    scene.site.now_ms += TURN_MS;
    scene.give_orders();
    scene.site.workload.apply(Command::Starts(starts));
    scene.site.take_events();
    let stands_ms = scene.stands_ms(second);
    assert!(stands_ms <= STANDS_MS, "stands for {stands_ms} ms");
}

/// A worker answers, but its heartbeats do not come, and it ceases to count as heard between the plan and the record of a start. The start is held
/// until it is heard again, which may be never.
#[test]
fn a_start_that_is_held_for_a_heartbeat_is_taken_back() {
    let mut scene = Scene::new(4);
    let first = scene.site.submit(1, "other", vec![step(1, 4)]);
    scene.run_for(1_000);
    let worker = scene.at_work(first)[0].0.clone();
    scene.set(&worker, Manner::Unheard);
    scene.run_for(TIMING.current_ms() - TURN_MS);
    let second = scene.site.submit(1, "other", vec![step(1, 4)]);
    let starts = scene.site.plan().starts;
    assert_eq!(starts[0].worker, worker, "the fullest worker is filled");
    scene.site.now_ms += 2 * TURN_MS;
    scene.heartbeats();
    scene.site.workload.apply(Command::Starts(starts));
    scene.site.take_events();
    let stands_ms = scene.stands_ms(second);
    assert!(stands_ms <= STANDS_MS, "stands for {stands_ms} ms");
}

/// A process ends between its last look and a start. Nothing listens at its address, so the only send of the start never left, and the run need not
/// wait for the lease.
#[test]
fn a_start_that_found_nothing_listening_is_taken_back() {
    let mut scene = Scene::new(4);
    let job = scene.site.submit(1, "other", vec![step(1, 8)]);
    let starts = scene.site.plan().starts;
    scene.set(&starts[0].worker.clone(), Manner::Ended);
    scene.site.workload.apply(Command::Starts(starts));
    scene.site.take_events();
    let stands_ms = scene.stands_ms(job);
    assert!(stands_ms <= STANDS_MS, "stands for {stands_ms} ms");
}
