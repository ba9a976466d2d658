//! Carries out waves of upkeep, the rolling maintenance of VMs.

use super::core_node::CoreNode;
use super::departures::log_departures;
use super::detection::Detection;
use super::records::propose;
use super::worker_calls::Answered;
use super::worker_calls::Unanswered;
use bh_workload::state::Command;
use bh_workload::upkeep::UpkeepAction;
use bh_workload::upkeep::UpkeepAnswer;
use bh_workload::upkeep::UpkeepOrder;
use std::net::SocketAddr;
use std::rc::Rc;

/// Timeout for an answer of the VM service, in milliseconds. It normally answers within some tens of milliseconds.
const ORDER_TIMEOUT_MS: u64 = 1_500;

/// Takes the next steps of all waves.
pub(super) fn advance_waves(core: &Rc<CoreNode>, now_ms: u64) {
    let Some(address) = core.config.vm_service_address else {
        return;
    };
    let mut held = core.leadership.borrow_mut();
    let Some(leadership) = held.as_mut() else {
        return;
    };
    let workload = core.group.machine.read();
    let times = (now_ms, core.wall_ms());
    let actions = leadership
        .wave_scheduler
        .actions(times, &workload, &leadership.dispatcher);
    let emptied = leadership.wave_scheduler.emptied_workers(&workload);
    leadership.dispatcher.set_emptied(emptied);
    for action in actions {
        match action {
            UpkeepAction::Record(command) => {
                monoio::spawn(record(core.clone(), command));
            }
            UpkeepAction::Stop(worker, run) => {
                log::info!(run = run.to_string(), worker = worker.to_string(); "stopped for the upkeep of its VM");
                leadership.dispatcher.request_restart(&worker, run);
            }
            UpkeepAction::Order(order) => {
                monoio::spawn(send(core.clone(), address, order));
            }
        }
    }
}

async fn record(core: Rc<CoreNode>, command: Command) {
    let vm = match &command {
        Command::Upkeep { wave, vm, upkeep } => {
            log::info!(wave, vm = &**vm, upkeep:? = upkeep; "upkeep");
            Some(vm.clone())
        }
        _ => None,
    };
    if let Err(failure) = propose(&core, command).await {
        log::warn!("not recorded: {failure}");
    }
    if let (Some(vm), Some(leadership)) = (vm, core.leadership.borrow_mut().as_mut()) {
        leadership.wave_scheduler.note_recorded(&vm);
    }
    core.wake();
}

async fn send(core: Rc<CoreNode>, address: SocketAddr, order: UpkeepOrder) {
    let request = (core.dialect.write_upkeep)(&order, address);
    core.metrics.count("upkeep_orders", 1);
    let answer = match core.workers.send(address, request, ORDER_TIMEOUT_MS).await {
        Ok(Answered { response, .. }) => (core.dialect.read_upkeep)(&response),
        Err(Unanswered { error, .. }) => {
            log::warn!(vm = &*order.vm; "no answer to an order on a VM: {error}");
            UpkeepAnswer::Lost
        }
    };
    log::info!(wave = order.wave, vm = &*order.vm, answer:? = answer; "upkeep ordered");
    let now_ms = core.clock.now_ms();
    let command = core
        .leadership
        .borrow_mut()
        .as_mut()
        .filter(|leadership| leadership.term == order.token)
        .and_then(|leadership| {
            leadership
                .wave_scheduler
                .note_answer(now_ms, &order, answer)
        });
    if let Some(command) = command {
        log_departures(&core, order.token, &command, Detection::Upkeep);
        record(core, command).await;
    }
}
