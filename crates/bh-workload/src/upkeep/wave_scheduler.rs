//! Decides which VM of a wave is next and when its upkeep is ordered.
//!
//! A wave is a set of VMs whose upkeep should have ended by some time. A VM is down during its upkeep, and only some VMs of a wave may be down at
//! the same time.

use super::Emptying;
use super::UpkeepAnswer;
use super::UpkeepOrder;
use crate::dispatch::Dispatcher;
use crate::dispatch::Timing;
use crate::job::RunId;
use crate::plan::DisruptionBudget;
use crate::plan::with_gang;
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

/// Time that a VM needs in addition to the remaining time of its runs, in milliseconds: for stops, the order, the upkeep itself and the
/// first heartbeat of its new worker.
const VM_OVERHEAD_MS: u64 = 5_000;
/// Delay after an order that was not carried out or had no answer, in milliseconds. Several attempts fit into the time of one upkeep.
const ORDER_RETRY_MS: u64 = 700;

/// An action that the caller of [`WaveScheduler::actions`] must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum UpkeepAction {
    /// Record a command. Actions that depend on it follow once it is committed.
    Record(Command),
    /// Stop a run on a worker.
    Stop(Incarnation, RunId),
    /// Send an order to the VM platform.
    Order(UpkeepOrder),
}

/// State of the order for a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderPhase {
    InFlight,
    Retry {
        at_ms: u64,
    },
    /// The order was carried out; its answer arrived at this time.
    Done {
        at_ms: u64,
    },
}

/// Schedules all waves. Its state is lost when the leader changes, and is rebuilt from the record.
#[derive(Clone, Debug)]
pub struct WaveScheduler {
    /// Name of the leading core.
    holder: Arc<str>,
    /// Fencing token of the orders: the leader's term.
    token: u64,
    /// Time that the upkeep of a VM takes, in milliseconds.
    upkeep_ms: u64,
    /// No order is sent before this time, on the leader's clock in milliseconds.
    no_orders_until_ms: u64,
    /// VMs that are being emptied of runs before their upkeep.
    emptying: BTreeMap<Arc<str>, Emptying>,
    /// Orders by wave and VM.
    orders: BTreeMap<(u64, Arc<str>), OrderPhase>,
    /// VMs with a change that is being recorded.
    recording: BTreeSet<Arc<str>>,
}

impl WaveScheduler {
    /// Creates the scheduler of the core `holder`, which was elected at `now_ms` with `token`. The former leader may still believe that it
    /// leads for as long as the lease of VM orders lasts. No order is sent before the end of that time, so that the orders of two cores
    /// are never mixed.
    pub fn new(holder: Arc<str>, token: u64, now_ms: u64, timing: &Timing) -> Self {
        Self {
            holder,
            token,
            upkeep_ms: timing.upkeep_ms,
            no_orders_until_ms: now_ms + timing.vm_lease_ms,
            emptying: BTreeMap::new(),
            orders: BTreeMap::new(),
            recording: BTreeSet::new(),
        }
    }

    /// Workers that get no new work because their VMs are next, or because the upkeep of their VMs, which ends them, is recorded as ordered. Until
    /// the order is known to be carried out, that holds for each worker that comes up on the VM.
    pub fn emptied_workers(&self, workload: &Workload) -> BTreeSet<Incarnation> {
        let ordered = workload.waves().flat_map(|(id, wave)| {
            let vms = wave.vms.iter();
            vms.filter(move |(vm, upkeep)| {
                let is_ordered = matches!(upkeep, VmUpkeep::Ordered { .. });
                is_ordered && !self.is_carried_out(id, vm)
            })
            .map(|(vm, _)| vm)
        });
        let emptied = self.emptying.keys().chain(ordered);
        let ended = workload.waves().flat_map(|(_, wave)| wave.ended_workers());
        emptied
            .filter_map(|vm| workload.worker_on(vm))
            .map(|worker| &worker.info.id)
            .chain(ended)
            .cloned()
            .collect()
    }

    /// Whether the order for a VM has been answered as carried out.
    fn is_carried_out(&self, wave: u64, vm: &Arc<str>) -> bool {
        let phase = self.orders.get(&(wave, vm.clone()));
        matches!(phase, Some(OrderPhase::Done { .. }))
    }

    /// The actions to carry out at `now_ms` on the leader's clock and `wall_ms` since 1970.
    pub fn actions(
        &mut self,
        (now_ms, wall_ms): (u64, u64),
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) -> Vec<UpkeepAction> {
        let mut actions = Vec::new();
        for (id, wave) in workload.waves().filter(|(_, wave)| !wave.has_ended()) {
            self.choose_vms((now_ms, wall_ms), (id, wave), workload);
            self.follow_orders(now_ms, (id, wave), workload, &mut actions);
        }
        self.empty_vms(now_ms, workload, dispatcher, &mut actions);
        actions
    }

    /// Chooses VMs to be emptied, as many as may be down at the same time. VMs with the least work come first.
    fn choose_vms(
        &mut self,
        (now_ms, wall_ms): (u64, u64),
        (id, wave): (u64, &Wave),
        workload: &Workload,
    ) {
        let most = usize::try_from(wave.most_at_once).unwrap_or(usize::MAX);
        let down_count = wave
            .vms
            .values()
            .filter(|upkeep| matches!(upkeep, VmUpkeep::Ordered { .. }))
            .count();
        let emptying_count = self
            .emptying
            .values()
            .filter(|emptying| emptying.wave == id)
            .count();
        let mut waiting: Vec<(u64, &Arc<str>)> = wave
            .waiting()
            .filter(|vm| !self.emptying.contains_key(*vm))
            .map(|vm| (workload.worker_on(vm).map_or(0, load), vm))
            .collect();
        waiting.sort();
        // Each round empties as many VMs as may be down at the same time, and gets an equal share of the time until the wave is due.
        let rounds = (waiting.len() + emptying_count).div_ceil(most).max(1);
        let left_ms = wave.due_ms.saturating_sub(wall_ms) / u64::try_from(rounds).unwrap_or(1);
        let wait_ms = left_ms.saturating_sub(VM_OVERHEAD_MS);
        for (_, vm) in waiting
            .into_iter()
            .take(most.saturating_sub(down_count + emptying_count))
        {
            let emptying = Emptying {
                wave: id,
                stop_at_ms: now_ms + wait_ms,
            };
            self.emptying.insert(vm.clone(), emptying);
        }
    }

    /// Records the orders for VMs that are empty, and stops the remaining runs on VMs whose time is up.
    fn empty_vms(
        &mut self,
        now_ms: u64,
        workload: &Workload,
        dispatcher: &Dispatcher,
        actions: &mut Vec<UpkeepAction>,
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
                    actions.extend(stop_actions(worker, (workload, dispatcher), &mut budget));
                }
                Some(_) => {}
                None if now_ms >= self.no_orders_until_ms && self.recording.insert(vm.clone()) => {
                    let worker = worker.map(|worker| worker.info.id.clone());
                    actions.push(UpkeepAction::Record(Command::Upkeep {
                        wave: emptying.wave,
                        vm: vm.clone(),
                        upkeep: VmUpkeep::Ordered { worker },
                    }));
                }
                None => {}
            }
        }
    }

    /// Sends recorded orders until they are carried out, and records the VMs that are up again.
    fn follow_orders(
        &mut self,
        now_ms: u64,
        (id, wave): (u64, &Wave),
        workload: &Workload,
        actions: &mut Vec<UpkeepAction>,
    ) {
        for (vm, upkeep) in &wave.vms {
            let VmUpkeep::Ordered { worker } = upkeep else {
                continue;
            };
            let key = (id, vm.clone());
            let phase = self.orders.get(&key).copied();
            let current_worker = workload.worker_on(vm).map(|worker| &worker.info.id);
            if let Some(OrderPhase::Done { at_ms }) = phase {
                let is_back = current_worker.is_some() && current_worker != worker.as_ref();
                let upkeep_has_ended = now_ms >= at_ms + self.upkeep_ms;
                if upkeep_has_ended && is_back && self.recording.insert(vm.clone()) {
                    actions.push(UpkeepAction::Record(ended_command(id, vm)));
                }
                continue;
            }
            let due = match phase {
                None => now_ms >= self.no_orders_until_ms,
                Some(OrderPhase::Retry { at_ms }) => now_ms >= at_ms,
                Some(OrderPhase::InFlight | OrderPhase::Done { .. }) => false,
            };
            if due {
                self.orders.insert(key, OrderPhase::InFlight);
                actions.push(UpkeepAction::Order(UpkeepOrder {
                    wave: id,
                    vm: vm.clone(),
                    worker: worker.clone(),
                    holder: self.holder.clone(),
                    token: self.token,
                }));
            }
        }
    }

    /// Notes that recording a change of a VM has succeeded or failed.
    pub fn note_recorded(&mut self, vm: &str) {
        self.recording.remove(vm);
    }

    /// Processes the answer to an order; returns what must be recorded.
    pub fn note_answer(
        &mut self,
        now_ms: u64,
        order: &UpkeepOrder,
        answer: UpkeepAnswer,
    ) -> Option<Command> {
        let key = (order.wave, order.vm.clone());
        let retry = OrderPhase::Retry {
            at_ms: now_ms + ORDER_RETRY_MS,
        };
        let done = OrderPhase::Done { at_ms: now_ms };
        let (phase, command) = match answer {
            // All runs on the VM have ended with its worker.
            UpkeepAnswer::Done => {
                let gone = order.worker.clone().map(WorkerChange::Gone);
                (done, gone.map(|gone| Command::Workers(vec![gone])))
            }
            UpkeepAnswer::NotPart => (done, Some(ended_command(order.wave, &order.vm))),
            UpkeepAnswer::Fenced | UpkeepAnswer::Busy | UpkeepAnswer::Lost => (retry, None),
        };
        self.orders.insert(key, phase);
        command
    }
}

/// Stops of the runs on a worker that are not being stopped yet, as far as the disruption budgets of their services allow.
fn stop_actions(
    worker: &Worker,
    (workload, dispatcher): (&Workload, &Dispatcher),
    budget: &mut DisruptionBudget,
) -> Vec<UpkeepAction> {
    let target = dispatcher.view(&worker.info.id);
    let is_stopping = |run: &RunId| {
        let run_state = target.and_then(|target| target.runs.get(run));
        run_state.is_some_and(|run_state| run_state.stop_requested)
    };
    worker
        .runs
        .keys()
        .filter(|run| !is_stopping(run))
        .filter(|run| budget.take(&with_gang(**run, workload)))
        .map(|run| UpkeepAction::Stop(worker.info.id.clone(), *run))
        .collect()
}

fn ended_command(wave: u64, vm: &Arc<str>) -> Command {
    Command::Upkeep {
        wave,
        vm: vm.clone(),
        upkeep: VmUpkeep::Over,
    }
}

/// The work on a worker, as the sum of the weights of its runs.
fn load(worker: &Worker) -> u64 {
    worker.runs.values().map(|needs| needs.weight()).sum()
}
