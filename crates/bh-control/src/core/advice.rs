//! Asks the adviser, an external service, which workers may run a step. A permission is the adviser's answer that a worker may run the step.

use super::core_node::CoreNode;
use super::leadership::Leadership;
use super::worker_calls::Answered;
use super::worker_calls::Unanswered;
use bh_workload::dispatch::Permission;
use bh_workload::dispatch::Question;
use std::net::SocketAddr;
use std::rc::Rc;

/// Asks the adviser the first of `questions`, unless a question is already in progress. The next plan raises the others again if they are still
/// needed. If the core's configuration has no address of an adviser, the question counts as unanswered.
pub(super) fn ask(
    core: &Rc<CoreNode>,
    leadership: &mut Leadership,
    now_ms: u64,
    questions: Vec<Question>,
) {
    let permissions = &mut leadership.dispatcher.permissions;
    let Some(question) = questions.into_iter().next() else {
        return;
    };
    if !permissions.may_ask(now_ms) {
        return;
    }
    let Some(address) = core.config.adviser_address else {
        permissions.note_answer(now_ms, &question, None);
        log::warn!(step = question.step.to_string(); "the step needs an adviser and the file names none");
        return;
    };
    permissions.note_asked();
    monoio::spawn(exchange(core.clone(), leadership.term, address, question));
}

/// Sends one question in the deployment's wire format. Notes the answer and makes a new plan due, if this core still leads in `term`.
async fn exchange(core: Rc<CoreNode>, term: u64, address: SocketAddr, question: Question) {
    let request = (core.dialect.write_question)(&question, address);
    core.metrics.count("questions", 1);
    let answer: Option<Vec<Permission>> =
        match core.workers.send(address, request, question.limit_ms).await {
            Ok(Answered { response, .. }) => (core.dialect.read_permissions)(&response),
            Err(Unanswered { error, .. }) => {
                log::warn!(step = question.step.to_string(); "no answer of the adviser: {error}");
                None
            }
        };
    log::info!(step = question.step.to_string(), asked = question.workers.len(), allowed:? = answer.as_ref().map(Vec::len); "adviser asked");
    let now_ms = core.clock.now_ms();
    if let Some(leadership) = core
        .leadership
        .borrow_mut()
        .as_mut()
        .filter(|leadership| leadership.term == term)
    {
        leadership
            .dispatcher
            .permissions
            .note_answer(now_ms, &question, answer.as_deref());
        leadership.plan_due = true;
    }
    core.wake();
}
