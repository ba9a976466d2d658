//! Decides which VM is next and when its upkeep is ordered.

use super::Emptying;
use super::UpkeepAnswer;
use super::UpkeepOrder;
use crate::dispatch::Dispatcher;
use crate::dispatch::Timing;
use crate::job::RunId;
use crate::plan::DisruptionBudget;
use crate::state::Command;
use crate::state::VmUpkeep;
use crate::state::Wave;
use crate::state::Worker;
use crate::state::WorkerChange;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time that a VM needs beside what runs on it, in milliseconds: stops, the order, the upkeep itself, its worker's first heartbeat.
const SERVICE_MS: u64 = 5_000;
/// Wait after an order that was not carried out or had no answer, in milliseconds: several tries within the time of one upkeep.
const RETRY_MS: u64 = 700;

/// What to do now.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Record a command; what depends on it follows once it is in the record.
    Record(Command),
    /// Stop a run on a worker.
    Stop(Incarnation, RunId),
    /// Send an order.
    Order(UpkeepOrder),
}

/// How far the order for a VM is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    InFlight,
    Retry {
        at_ms: u64,
    },
    /// Carried out, as was heard at this time.
    Done {
        at_ms: u64,
    },
}

/// The leader's view of all waves; lost with the leadership and built anew from the record.
#[derive(Clone, Debug)]
pub struct Keeper {
    holder: Arc<str>,
    token: u64,
    upkeep_ms: u64,
    /// No order before this time, on the leader's clock in milliseconds.
    quiet_until_ms: u64,
    emptying: BTreeMap<Arc<str>, Emptying>,
    /// Orders by wave and VM.
    orders: BTreeMap<(u64, Arc<str>), Phase>,
    /// Changes that are being recorded, by VM.
    recording: BTreeSet<Arc<str>>,
}

impl Keeper {
    /// The keeper of the core `holder` that was elected at `now_ms` with `token`. The former leader may still believe that it leads, for as
    /// long as the lease of VM orders: none is given before, so that two cores never take turns.
    pub fn new(holder: Arc<str>, token: u64, now_ms: u64, timing: &Timing) -> Self {
        Self {
            holder,
            token,
            upkeep_ms: timing.upkeep_ms,
            quiet_until_ms: now_ms + timing.vm_lease_ms,
            emptying: BTreeMap::new(),
            orders: BTreeMap::new(),
            recording: BTreeSet::new(),
        }
    }

    /// Workers that get no new work because their VMs are next, or because the order that ends them is on its way.
    pub fn emptied_workers(&self, workload: &Workload) -> BTreeSet<Incarnation> {
        let emptied = self.emptying.keys().filter_map(|vm| workload.worker_on(vm));
        let ended = workload.waves().flat_map(|(_, wave)| wave.ended_workers());
        emptied
            .map(|worker| &worker.info.id)
            .chain(ended)
            .cloned()
            .collect()
    }

    /// What to do at `now_ms` of the leader's clock and `wall_ms` since 1970.
    pub fn steps(
        &mut self,
        (now_ms, wall_ms): (u64, u64),
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        for (id, wave) in workload.waves().filter(|(_, wave)| !wave.is_over()) {
            self.choose((now_ms, wall_ms), (id, wave), workload);
            self.follow_orders(now_ms, (id, wave), workload, &mut steps);
        }
        self.empty(now_ms, workload, dispatcher, &mut steps);
        steps
    }

    /// Chooses VMs to be emptied, those first where least is done, as many as may be down at the same time.
    fn choose(
        &mut self,
        (now_ms, wall_ms): (u64, u64),
        (id, wave): (u64, &Wave),
        workload: &Workload,
    ) {
        let most = usize::try_from(wave.most_at_once).unwrap_or(usize::MAX);
        let down = wave
            .vms
            .values()
            .filter(|u| matches!(u, VmUpkeep::Ordered { .. }))
            .count();
        let chosen = self.emptying.values().filter(|e| e.wave == id).count();
        let mut waiting: Vec<(u64, &Arc<str>)> = wave
            .waiting()
            .filter(|vm| !self.emptying.contains_key(*vm))
            .map(|vm| (workload.worker_on(vm).map_or(0, busy), vm))
            .collect();
        waiting.sort();
        let rounds = (waiting.len() + chosen).div_ceil(most).max(1);
        let left_ms = wave.due_ms.saturating_sub(wall_ms) / u64::try_from(rounds).unwrap_or(1);
        let wait_ms = left_ms.saturating_sub(SERVICE_MS);
        for (_, vm) in waiting.into_iter().take(most.saturating_sub(down + chosen)) {
            let emptying = Emptying {
                wave: id,
                stop_at_ms: now_ms + wait_ms,
            };
            self.emptying.insert(vm.clone(), emptying);
        }
    }

    /// Records the VMs that are empty, and stops what still runs on those whose time has come.
    fn empty(
        &mut self,
        now_ms: u64,
        workload: &Workload,
        dispatcher: &Dispatcher,
        steps: &mut Vec<Step>,
    ) {
        self.emptying.retain(|vm, emptying| {
            let wave = workload.wave(emptying.wave);
            wave.is_some_and(|wave| wave.vms.get(vm) == Some(&VmUpkeep::Waiting))
        });
        let mut budget = DisruptionBudget::new(workload, dispatcher, &[]);
        for (vm, emptying) in &self.emptying {
            let worker = workload.worker_on(vm);
            match worker.filter(|worker| !worker.runs.is_empty()) {
                Some(worker) if now_ms >= emptying.stop_at_ms => {
                    steps.extend(stops(worker, dispatcher, &mut budget));
                }
                Some(_) => {}
                None if now_ms >= self.quiet_until_ms && self.recording.insert(vm.clone()) => {
                    let worker = worker.map(|worker| worker.info.id.clone());
                    steps.push(Step::Record(Command::Upkeep {
                        wave: emptying.wave,
                        vm: vm.clone(),
                        upkeep: VmUpkeep::Ordered { worker },
                    }));
                }
                None => {}
            }
        }
    }

    /// Sends the orders that are recorded until they are carried out, and records the VMs that are up again.
    fn follow_orders(
        &mut self,
        now_ms: u64,
        (id, wave): (u64, &Wave),
        workload: &Workload,
        steps: &mut Vec<Step>,
    ) {
        for (vm, upkeep) in &wave.vms {
            let VmUpkeep::Ordered { worker } = upkeep else {
                continue;
            };
            let key = (id, vm.clone());
            let phase = self.orders.get(&key).copied();
            let now_there = workload.worker_on(vm).map(|worker| &worker.info.id);
            if let Some(Phase::Done { at_ms }) = phase {
                let is_back = now_there.is_some() && now_there != worker.as_ref();
                let served = now_ms >= at_ms + self.upkeep_ms;
                if served && is_back && self.recording.insert(vm.clone()) {
                    steps.push(Step::Record(over(id, vm)));
                }
                continue;
            }
            let due = match phase {
                None => now_ms >= self.quiet_until_ms,
                Some(Phase::Retry { at_ms }) => now_ms >= at_ms,
                Some(Phase::InFlight | Phase::Done { .. }) => false,
            };
            if due {
                self.orders.insert(key, Phase::InFlight);
                steps.push(Step::Order(UpkeepOrder {
                    wave: id,
                    vm: vm.clone(),
                    worker: worker.clone(),
                    holder: self.holder.clone(),
                    token: self.token,
                }));
            }
        }
    }

    /// Notes that what was to be recorded of a VM is recorded, or was not.
    pub fn note_recorded(&mut self, vm: &str) {
        self.recording.remove(vm);
    }

    /// Takes the answer to an order; returns what must be recorded.
    pub fn note_answer(
        &mut self,
        now_ms: u64,
        order: &UpkeepOrder,
        answer: UpkeepAnswer,
    ) -> Option<Command> {
        let key = (order.wave, order.vm.clone());
        let retry = Phase::Retry {
            at_ms: now_ms + RETRY_MS,
        };
        let done = Phase::Done { at_ms: now_ms };
        let (phase, command) = match answer {
            // Whatever ran on the VM has ended with its worker.
            UpkeepAnswer::Done => {
                let gone = order.worker.clone().map(WorkerChange::Gone);
                (done, gone.map(|gone| Command::Workers(vec![gone])))
            }
            UpkeepAnswer::NotPart => (done, Some(over(order.wave, &order.vm))),
            UpkeepAnswer::Fenced | UpkeepAnswer::Busy | UpkeepAnswer::Lost => (retry, None),
        };
        self.orders.insert(key, phase);
        command
    }
}

/// Stops of what runs on a worker and is not being stopped yet, as far as services bear it.
fn stops(worker: &Worker, dispatcher: &Dispatcher, budget: &mut DisruptionBudget) -> Vec<Step> {
    let target = dispatcher.view(&worker.info.id);
    let is_stopping = |run: &RunId| {
        let watch = target.and_then(|target| target.runs.get(run));
        watch.is_some_and(|watch| watch.give_up)
    };
    worker
        .runs
        .keys()
        .filter(|run| !is_stopping(run))
        .filter(|run| budget.allow_stop(**run))
        .map(|run| Step::Stop(worker.info.id.clone(), *run))
        .collect()
}

fn over(wave: u64, vm: &Arc<str>) -> Command {
    Command::Upkeep {
        wave,
        vm: vm.clone(),
        upkeep: VmUpkeep::Over,
    }
}

/// What a worker is doing, as one figure.
fn busy(worker: &Worker) -> u64 {
    worker.runs.values().map(|needs| needs.weight()).sum()
}
