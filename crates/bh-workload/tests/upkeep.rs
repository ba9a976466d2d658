//! Waves of upkeep.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

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

const WAVE: u64 = 1;
const UPKEEP_MS: u64 = 2_000;
const TURN_MS: u64 = 100;
const WITHIN_MS: u64 = 40_000;

/// A site whose VMs the service below takes down and brings up again.
struct Fleet {
    site: Site,
    wave_scheduler: WaveScheduler,
    /// When each VM that is down comes up, and what its worker is then.
    down: BTreeMap<Arc<str>, (u64, WorkerInfo)>,
    /// Upkeeps that were begun, by VM.
    begun: BTreeMap<Arc<str>, u32>,
    most_down: usize,
    /// Every answer with this number modulo three is lost.
    lost_answers: bool,
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
            begun: BTreeMap::new(),
            most_down: 0,
            lost_answers: false,
            answers: 0,
        }
    }

    fn is_over(&self) -> bool {
        self.site.workload.wave(WAVE).unwrap().has_ended()
    }

    /// The service takes an order.
    fn serve(&mut self, order: &UpkeepOrder) -> UpkeepAnswer {
        if self.down.contains_key(&order.vm) || self.begun.contains_key(&order.vm) {
            return UpkeepAnswer::Done;
        }
        let worker = self.site.workload.worker_on(&order.vm).unwrap();
        assert!(worker.runs.is_empty(), "its work was thrown away");
        let next = WorkerInfo {
            id: worker_id(&format!("{}b", worker.info.id)),
            ..worker.info.clone()
        };
        let up_ms = self.site.now_ms + UPKEEP_MS;
        self.down.insert(order.vm.clone(), (up_ms, next));
        *self.begun.entry(order.vm.clone()).or_default() += 1;
        self.most_down = self.most_down.max(self.down.len());
        UpkeepAnswer::Done
    }

    fn carry_out(&mut self, action: UpkeepAction) {
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
                let mut answer = self.serve(&order);
                self.answers += 1;
                if self.lost_answers && !self.answers.is_multiple_of(3) {
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
            self.carry_out(action);
        }
        self.site.heartbeats();
        self.site.plan_and_start();
    }
}

/// An operator wants four VMs serviced, with so many down at once. Each is emptied first; answers of the service are lost, and another core
/// leads in the middle. No VM is serviced twice, never more are down than allowed, and the wave is not called over before all are up.
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
    fleet.lost_answers = lost;
    if tasks > 0 {
        fleet.site.submit(2, "other", vec![step(tasks, 4)]);
    }
    fleet.site.plan_and_start();
    let mut turns = 0;
    while !fleet.is_over() {
        fleet.turn();
        turns += 1;
        assert!(turns * TURN_MS < WITHIN_MS, "late");
        if turns == 100 {
            let now_ms = fleet.site.now_ms;
            fleet.site.take_over(2);
            fleet.wave_scheduler =
                WaveScheduler::new(Arc::from("core-2"), 2, now_ms, &Timing::DEFAULT);
        }
    }
    assert!(fleet.down.is_empty(), "called over while a VM is down");
    assert_eq!(fleet.begun.len(), 4);
    assert!(fleet.begun.values().all(|count| *count == 1));
    assert!(fleet.most_down <= usize::try_from(most).unwrap());
}

/// One of the VMs has left for good. It must not keep the wave from ending.
#[test]
fn a_vm_that_is_gone_is_passed_over() {
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
                fleet.carry_out(action);
            }
        }
    }
    assert!(fleet.is_over());
}

/// A VM holds a task of a service that may miss none. Its upkeep waits for as long as that lasts, whatever the time the operator gave: the
/// callers of the service go first.
#[test]
fn a_service_that_may_miss_nobody_is_not_stopped() {
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
    assert_eq!(fleet.begun.len(), 0);
    assert_eq!(fleet.site.open_runs().len(), 1);
}

/// An order that is sent again after its acknowledgement was lost must not start the wave anew.
#[test]
fn a_wave_that_is_ordered_again_stays_one() {
    let mut fleet = Fleet::new(1, 1);
    while !fleet.is_over() {
        fleet.turn();
    }
    let spec = WaveSpec {
        id: WAVE,
        vms: fleet.begun.keys().cloned().collect(),
        within_ms: WITHIN_MS,
        most_at_once: 1,
    };
    fleet
        .site
        .workload
        .apply(Command::StartWave { spec, now_ms: 0 });
    assert!(fleet.is_over());
}
