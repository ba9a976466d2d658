//! Upkeep waves, which service the VMs of workers a few at a time.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_protocol::Incarnation;
use bh_workload::dispatch::Timing;
use bh_workload::job::StepSpec;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::WaveSpec;
use bh_workload::state::WorkerChange;
use bh_workload::state::WorkerInfo;
use bh_workload::upkeep::UpkeepAction;
use bh_workload::upkeep::UpkeepAnswer;
use bh_workload::upkeep::UpkeepOrder;
use bh_workload::upkeep::WaveScheduler;
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;
use support::Site;
use support::step;
use support::worker_id;
use support::worker_info;

const WAVE: u64 = 1;
const UPKEEP_MS: u64 = 2_000;
const TURN_MS: u64 = 100;
const WITHIN_MS: u64 = 40_000;

/// A site with a simulated upkeep service, which takes VMs down and brings them up again.
struct Fleet {
    site: Site,
    wave_scheduler: WaveScheduler,
    /// VMs that are down, with the time at which each comes up and its worker from then on.
    down: BTreeMap<Arc<str>, (u64, WorkerInfo)>,
    /// Number of upkeeps started on each VM.
    upkeeps: BTreeMap<Arc<str>, u32>,
    /// Largest number of VMs that were down at once.
    max_down: usize,
    /// Whether two of three answers of the service are lost.
    loses_answers: bool,
    /// Number of answers of the service so far.
    answers: u64,
}

impl Fleet {
    fn new(workers: usize, most_at_once: u32) -> Self {
        let mut site = Site::new(workers, 4);
        let spec = WaveSpec {
            id: WAVE,
            vms: site
                .workload
                .workers()
                .filter_map(|w| w.info.vm.clone())
                .collect(),
            within_ms: WITHIN_MS,
            most_at_once,
        };
        let now_ms = site.wall_ms();
        site.workload.apply(Command::StartWave { spec, now_ms });
        let wave_scheduler =
            WaveScheduler::new(Arc::from("core-1"), 1, site.now_ms, &Timing::DEFAULT);
        Self {
            site,
            wave_scheduler,
            down: BTreeMap::new(),
            upkeeps: BTreeMap::new(),
            max_down: 0,
            loses_answers: false,
            answers: 0,
        }
    }

    fn has_wave_ended(&self) -> bool {
        self.site.workload.wave(WAVE).unwrap().has_ended()
    }

    /// The service carries out an order; the VM must be empty.
    fn carry_out_order(&mut self, order: &UpkeepOrder) -> UpkeepAnswer {
        if self.down.contains_key(&order.vm) || self.upkeeps.contains_key(&order.vm) {
            return UpkeepAnswer::Done;
        }
        let worker = self.site.workload.worker_on(&order.vm).unwrap();
        assert!(worker.runs.is_empty(), "the VM has runs that would be lost");
        let next_worker = WorkerInfo {
            id: worker_id(&format!("{}b", worker.info.id)),
            ..worker.info.clone()
        };
        let up_ms = self.site.now_ms + UPKEEP_MS;
        self.down.insert(order.vm.clone(), (up_ms, next_worker));
        *self.upkeeps.entry(order.vm.clone()).or_default() += 1;
        self.max_down = self.max_down.max(self.down.len());
        UpkeepAnswer::Done
    }

    /// Carries out an action of the wave scheduler.
    fn carry_out_action(&mut self, action: UpkeepAction) {
        match action {
            UpkeepAction::Record(command) => {
                if let Command::Upkeep { vm, .. } = &command {
                    self.wave_scheduler.note_recorded(vm);
                }
                self.site.workload.apply(command);
            }
            UpkeepAction::Stop(worker, run) => {
                self.site.dispatcher.request_stop(&worker, run);
                self.site.end(run, EndKind::Stopped);
            }
            UpkeepAction::Order(order) => {
                let mut answer = self.carry_out_order(&order);
                self.answers += 1;
                if self.loses_answers && !self.answers.is_multiple_of(3) {
                    answer = UpkeepAnswer::Lost;
                }
                let command = self
                    .wave_scheduler
                    .note_answer(self.site.now_ms, &order, answer);
                command.into_iter().for_each(|command| {
                    self.site.workload.apply(command);
                });
            }
        }
        self.site.take_events();
    }

    /// Lets turns pass until an order to the service is due, which has no answer yet.
    fn turn_until_ordered(&mut self) -> UpkeepOrder {
        for _ in 0..(WITHIN_MS / TURN_MS) {
            self.site.advance(TURN_MS);
            let times = (self.site.now_ms, self.site.wall_ms());
            let actions =
                self.wave_scheduler
                    .actions(times, &self.site.workload, &self.site.dispatcher);
            for action in actions {
                if let UpkeepAction::Order(order) = action {
                    return order;
                }
                self.carry_out_action(action);
            }
            let emptied = self.wave_scheduler.emptied_workers(&self.site.workload);
            self.site.dispatcher.set_emptied(emptied);
            self.site.heartbeats();
            self.site.plan_and_start();
        }
        panic!("no order is sent");
    }

    /// Time passes: VMs come up, the wave scheduler acts, and a plan is made.
    fn turn(&mut self) {
        self.site.advance(TURN_MS);
        let now_ms = self.site.now_ms;
        let up: Vec<Arc<str>> = self
            .down
            .iter()
            .filter(|(_, (up_ms, _))| now_ms >= *up_ms)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in up {
            let (_, info) = self.down.remove(&vm).unwrap();
            self.site
                .workload
                .apply(Command::Workers(vec![WorkerChange::Known(info)]));
        }
        self.site.take_events();
        let times = (now_ms, self.site.wall_ms());
        let actions =
            self.wave_scheduler
                .actions(times, &self.site.workload, &self.site.dispatcher);
        let emptied = self.wave_scheduler.emptied_workers(&self.site.workload);
        self.site.dispatcher.set_emptied(emptied);
        for action in actions {
            self.carry_out_action(action);
        }
        self.site.heartbeats();
        self.site.plan_and_start();
    }
}

/// Guards against VMs that are serviced twice, too many VMs down at once, and a wave that ends while a VM is down. An operator orders
/// upkeep of four VMs with `most` of them down at once. Each VM is emptied first; answers of the service are lost in one case, and the
/// leader changes in the middle.
#[rstest]
#[case::one_at_a_time(1, 8, false)]
#[case::two_at_a_time(2, 8, false)]
#[case::answers_lost(1, 8, true)]
#[case::nothing_runs(1, 0, false)]
fn every_vm_is_serviced_once_and_not_too_many_at_a_time(
    #[case] most: u32,
    #[case] tasks: u32,
    #[case] lost: bool,
) {
    let mut fleet = Fleet::new(4, most);
    fleet.loses_answers = lost;
    if tasks > 0 {
        fleet.site.submit(2, "other", vec![step(tasks, 4)]);
    }
    fleet.site.plan_and_start();
    let mut turns = 0;
    while !fleet.has_wave_ended() {
        fleet.turn();
        turns += 1;
        assert!(turns * TURN_MS < WITHIN_MS, "the wave takes too long");
        if turns == 100 {
            let now_ms = fleet.site.now_ms;
            fleet.site.take_over(2);
            fleet.wave_scheduler =
                WaveScheduler::new(Arc::from("core-2"), 2, now_ms, &Timing::DEFAULT);
        }
    }
    assert!(
        fleet.down.is_empty(),
        "the wave has ended while a VM is down"
    );
    assert_eq!(fleet.upkeeps.len(), 4);
    assert!(fleet.upkeeps.values().all(|count| *count == 1));
    assert!(fleet.max_down <= usize::try_from(most).unwrap());
}

/// Guards against a wave that never ends because one of its VMs is gone for good.
#[test]
fn a_vm_that_is_gone_is_skipped() {
    let mut fleet = Fleet::new(1, 1);
    let worker = fleet
        .site
        .workload
        .workers()
        .next()
        .unwrap()
        .info
        .id
        .clone();
    fleet
        .site
        .workload
        .apply(Command::Workers(vec![WorkerChange::Gone(worker)]));
    for _ in 0..60 {
        fleet.site.advance(TURN_MS);
        let times = (fleet.site.now_ms, fleet.site.wall_ms());
        for action in
            fleet
                .wave_scheduler
                .actions(times, &fleet.site.workload, &fleet.site.dispatcher)
        {
            if let UpkeepAction::Order(order) = &action {
                let now_ms = fleet.site.now_ms;
                let command =
                    fleet
                        .wave_scheduler
                        .note_answer(now_ms, order, UpkeepAnswer::NotPart);
                fleet.site.workload.apply(command.unwrap());
            } else {
                fleet.carry_out_action(action);
            }
        }
    }
    assert!(fleet.has_wave_ended());
}

/// Guards against stopping a service of which no task may be missing. The upkeep of its VM waits for as long as the task runs, even beyond
/// the time that the operator has set: the callers of the service take precedence.
#[test]
fn a_service_of_which_no_task_may_be_missing_is_not_stopped() {
    let mut fleet = Fleet::new(1, 1);
    let service = StepSpec {
        long_running: true,
        most_unavailable: Some(0),
        ..step(1, 4)
    };
    fleet.site.submit(1, "other", vec![service]);
    fleet.site.plan_and_start();
    for _ in 0..(WITHIN_MS / TURN_MS + 10) {
        fleet.turn();
    }
    assert_eq!(fleet.upkeeps.len(), 0);
    assert_eq!(fleet.site.open_runs().len(), 1);
}

/// Guards against a gang of a service that ends as a whole since the VM of one member is due, though only some of its tasks may be missing.
#[test]
fn a_gang_of_which_not_all_tasks_may_be_missing_is_not_stopped() {
    let mut fleet = Fleet::new(4, 1);
    let service = StepSpec {
        long_running: true,
        gang: true,
        most_unavailable: Some(1),
        most_per_worker: Some(1),
        ..step(2, 4)
    };
    fleet.site.submit(1, "other", vec![service]);
    fleet.site.plan_and_start();
    assert_eq!(fleet.site.open_runs().len(), 2);
    fleet.site.report_fully_at_work();
    for _ in 0..(WITHIN_MS / TURN_MS + 10) {
        fleet.turn();
    }
    assert_eq!(fleet.upkeeps.len(), 2, "the two workers without a member");
    assert_eq!(fleet.site.open_runs().len(), 2);
}

/// Guards against tasks that end with the upkeep of their VM because they began on its next worker: the upkeep was ordered when the worker before had
/// crashed, and the order is repeated until it is carried out. The leader may be another one by then.
#[rstest]
fn nothing_starts_on_a_vm_whose_upkeep_may_yet_be_carried_out(
    #[values(false, true)] had_worker: bool,
    #[values(false, true)] new_leader: bool,
) {
    let mut fleet = Fleet::new(1, 1);
    let mut info = fleet.site.workload.workers().next().unwrap().info.clone();
    let crash = |fleet: &mut Fleet, id: &Incarnation| {
        let gone = Command::Workers(vec![WorkerChange::Gone(id.clone())]);
        fleet.site.workload.apply(gone);
        fleet.site.take_events();
    };
    if !had_worker {
        crash(&mut fleet, &info.id);
    }
    let order = fleet.turn_until_ordered();
    let lost = fleet
        .wave_scheduler
        .note_answer(fleet.site.now_ms, &order, UpkeepAnswer::Lost);
    assert_eq!(lost, None);
    if had_worker {
        crash(&mut fleet, &info.id);
    }
    info.id = worker_id("w00next");
    let known = Command::Workers(vec![WorkerChange::Known(info)]);
    fleet.site.workload.apply(known);
    fleet.site.take_events();
    if new_leader {
        fleet.site.take_over(2);
        let now_ms = fleet.site.now_ms;
        fleet.wave_scheduler = WaveScheduler::new(Arc::from("core-2"), 2, now_ms, &Timing::DEFAULT);
    }
    fleet.site.heartbeats();
    fleet.site.submit(1, "other", vec![step(1, 4)]);
    let order = fleet.turn_until_ordered();
    assert_eq!(fleet.site.open_runs(), []);
    let done = fleet
        .wave_scheduler
        .note_answer(fleet.site.now_ms, &order, UpkeepAnswer::Done);
    done.into_iter().for_each(|command| {
        fleet.site.workload.apply(command);
    });
    // The VM is up again with another worker.
    crash(&mut fleet, &worker_id("w00next"));
    let mut info = worker_info(0, 4);
    info.id = worker_id("w00last");
    let known = Command::Workers(vec![WorkerChange::Known(info)]);
    fleet.site.workload.apply(known);
    fleet.site.take_events();
    for _ in 0..(2 * UPKEEP_MS / TURN_MS) {
        fleet.turn();
    }
    assert!(fleet.has_wave_ended());
    assert_eq!(fleet.site.open_runs().len(), 1);
}

/// Guards against starting a wave a second time when its order is sent again after the acknowledgement was lost.
#[test]
fn a_wave_that_is_ordered_again_does_not_restart() {
    let mut fleet = Fleet::new(1, 1);
    while !fleet.has_wave_ended() {
        fleet.turn();
    }
    let spec = WaveSpec {
        id: WAVE,
        vms: fleet.upkeeps.keys().cloned().collect(),
        within_ms: WITHIN_MS,
        most_at_once: 1,
    };
    fleet
        .site
        .workload
        .apply(Command::StartWave { spec, now_ms: 0 });
    assert!(fleet.has_wave_ended());
}
