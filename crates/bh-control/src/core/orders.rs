//! Sends the leader's orders to workers and handles the answers.

use super::carry;
use super::carry::SendOutcome;
use super::core_node::CoreNode;
use super::departures::log_departures;
use super::detection::Detection;
use super::job_ends::log_job_ends;
use super::records::Origin;
use super::records::record;
use super::run_ends::detected_by_answer;
use super::run_ends::detected_without_answer;
use super::run_ends::log_run_ends;
use super::run_ends::log_skipped_ends;
use super::run_ends::log_unrecorded;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::OrderBody;
use bh_workload::state::Command;
use bh_workload::state::Workload;
use http::StatusCode;
use std::rc::Rc;

/// Time between passes over all workers, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 100;

/// Sends the orders that are due, and records the ends that are certain without an answer.
pub(super) fn send_due_orders(core: &Rc<CoreNode>, now_ms: u64) {
    let record_events = core.group.machine.with_local(Workload::take_events);
    let mut held = core.leadership.borrow_mut();
    let Some(leadership) = held.as_mut() else {
        return;
    };
    let workload = core.group.machine.read();
    leadership.plan_due |= record_events.plan;
    log_job_ends(core, leadership, &workload, &record_events.ended_jobs);
    leadership
        .dispatcher
        .note_events(now_ms, &record_events, &workload);
    let all = now_ms >= leadership.last_sweep_ms + SWEEP_INTERVAL_MS;
    if all {
        leadership.last_sweep_ms = now_ms;
    }
    let (orders, ends) = leadership.dispatcher.orders(now_ms, &workload, all);
    let dispatcher = &leadership.dispatcher;
    log_run_ends(core, leadership.term, &workload, &ends, dispatcher, |end| {
        detected_without_answer(dispatcher, end)
    });
    drop(workload);
    let origin = Origin {
        term: leadership.term,
        listed_to: None,
    };
    drop(held);
    for order in orders {
        monoio::spawn(send_order(core.clone(), order));
    }
    if !ends.is_empty() {
        record(core, Command::ends(ends), origin);
    }
}

async fn send_order(core: Rc<CoreNode>, order: Order) {
    let limit_ms = order.answer_within_ms();
    core.metrics.count("orders", 1);
    let began_ms = core.clock.now_ms();
    let request = (core.dialect.write_order)(&order);
    let answer = match carry::send(&core, order.token, &order.to, request, limit_ms).await {
        SendOutcome::Answered { response, repeated } => {
            if repeated {
                note_repeated(&core, &order, response.status());
            }
            // A probe waits for a run to end; its duration says nothing about the worker.
            if !matches!(order.body, OrderBody::Probe { .. }) {
                let took_ms = core.clock.now_ms().saturating_sub(began_ms);
                core.metrics.time_ms("order", took_ms);
            }
            (core.dialect.read_answer)(&order, &response)
        }
        SendOutcome::NotListening { repeated } => {
            core.metrics.count("orders_lost", 1);
            if repeated {
                note_earlier_send(&core, &order);
            }
            log::warn!(worker = order.to.worker.to_string(), order = order.body.to_string(); "nothing listens at a worker's address");
            Answer::NotListening
        }
        SendOutcome::NoAnswer(why) => {
            core.metrics.count("orders_lost", 1);
            log::warn!(worker = order.to.worker.to_string(), order = order.body.to_string(); "no answer to an order: {why}");
            Answer::Lost
        }
        SendOutcome::CarrierLost(why) => {
            core.metrics.count("orders_uncarried", 1);
            log::info!(worker = order.to.worker.to_string(), order = order.body.to_string(); "an order's carrier was lost: {why}");
            Answer::CarrierLost
        }
    };
    note_answer(&core, &order, &answer);
}

/// Logs and counts an order that was sent twice, and tells the dispatcher.
fn note_repeated(core: &CoreNode, order: &Order, status: StatusCode) {
    core.metrics.count("orders_repeated", 1);
    log::info!(
        worker = order.to.worker.to_string(), order = order.body.to_string(), term = order.token, status = status.as_u16();
        "order sent again: its connection broke after it was sent"
    );
    note_earlier_send(core, order);
}

/// Tells the dispatcher that an earlier attempt to send the order may have been carried out.
fn note_earlier_send(core: &CoreNode, order: &Order) {
    let mut held = core.leadership.borrow_mut();
    if let Some(leadership) = held.as_mut().filter(|held| held.term == order.token) {
        leadership.dispatcher.note_repeated(order);
    }
}

/// Logs and counts each later incarnation of a worker once, when it first answers in place of the recorded one.
fn log_restart(core: &CoreNode, order: &Order, started_ms: u64, dispatcher: &Dispatcher) {
    let target = dispatcher.view(&order.to.worker);
    let known = target.and_then(|target| target.restart.as_ref());
    if known.is_some_and(|restart| restart.started_ms == started_ms) {
        return;
    }
    let (runs, recorded_to) = target.map_or((0, 0), |t| (t.runs.len(), t.recorded_to));
    core.metrics.count("workers_restarted", 1);
    log::info!(worker = order.to.worker.to_string(), term = order.token, started_ms, runs, recorded_to; "worker restarted under the same id");
}

fn note_answer(core: &Rc<CoreNode>, order: &Order, answer: &Answer) {
    let now_ms = core.clock.now_ms();
    let mut held = core.leadership.borrow_mut();
    let Some(leadership) = held.as_mut().filter(|held| held.term == order.token) else {
        return;
    };
    if let Answer::Denied { denial, .. } = answer {
        core.metrics.count("orders_denied", 1);
        log::info!(worker = order.to.worker.to_string(), denial:? = denial, order = order.body.to_string(), term = order.token; "order denied");
    }
    if let Answer::Restarted { started_ms, .. } = answer {
        log_restart(core, order, *started_ms, &leadership.dispatcher);
    }
    let answered = leadership.dispatcher.answers(&order.to.worker);
    let workload = core.group.machine.read();
    log_unrecorded(core, order, answer, &workload);
    log_skipped_ends(core, order, answer, &workload, &leadership.dispatcher);
    let command = leadership
        .dispatcher
        .note_answer(now_ms, order, answer, &workload);
    leadership.plan_due |= !answered && leadership.dispatcher.answers(&order.to.worker);
    if let Some(Command::Ends { ends, .. }) = &command {
        let dispatcher = &leadership.dispatcher;
        log_run_ends(core, order.token, &workload, ends, dispatcher, |end| {
            detected_by_answer(order, answer, end)
        });
        leadership
            .planner
            .note_ends(now_ms, ends, &workload, &leadership.dispatcher);
    }
    let listed_to = match order.body {
        OrderBody::Probe { .. } => leadership.dispatcher.recording_to(&order.to.worker),
        _ => None,
    };
    let origin = Origin {
        term: leadership.term,
        listed_to,
    };
    drop(workload);
    drop(held);
    if let Some(command) = command {
        let detection = match answer {
            Answer::OtherIncarnation => Detection::OtherIncarnation,
            Answer::Restarted { .. } => Detection::Restarted,
            _ => Detection::Leave,
        };
        log_departures(core, order.token, &command, detection);
        record(core, command, origin);
    }
    core.wake();
}
