//! Executes the router's decisions about one request until the request has its final answer.
//!
//! For a non-idempotent request, a *begin* is recorded in the replicated ledger before the request is sent: a record that it may run from now
//! on. The final answer is stored there too, or the begin is withdrawn if the request has certainly not run.

use super::attempt;
use super::final_answer::FinalAnswer;
use super::forward;
use super::forward::ForwardOutcome;
use super::ledger;
use super::ledger::BeginOutcome;
use super::ledger::RecordedAttempt;
use super::short_request::ShortRequest;
use crate::node::Node;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_router::AttemptOutcome;
use bh_router::Decision;
use bh_router::PendingRequest;
use bytes::Bytes;
use http::Response;
use local_sync::oneshot;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// One request in progress.
struct RequestExecution {
    node: Rc<Node>,
    request: ShortRequest,
    id: u64,
    deadline_ms: u64,
    /// The request as the router got it.
    pending: PendingRequest,
    recorded: Option<RecordedAttempt>,
}

/// Result of executing one decision.
enum StepOutcome {
    /// The request has its final answer.
    Answer(FinalAnswer),
    /// The router decides again; the decision arrives on this channel.
    AwaitDecision(oneshot::Receiver<Decision>),
}

/// Runs the request and returns its final answer. `forwarded` is true when another entry, the process of another VM that takes callers'
/// requests, forwarded it to this one.
pub async fn execute(node: &Rc<Node>, request: ShortRequest, forwarded: bool) -> FinalAnswer {
    let now_ms = node.clock.now_ms();
    let id = node.next_request_number();
    let deadline_ms = now_ms + request.left_ms;
    let pending = PendingRequest {
        id,
        customer: request.customer.clone(),
        weight: request.weight,
        request_type: request.request_type.clone(),
        priority: request.priority,
        deadline_ms,
        idempotent: request.idempotent,
        forwarded,
        failed_on: BTreeSet::new(),
        refused_by: BTreeSet::new(),
        attempts: 0,
        arrived_ms: now_ms,
    };
    let mut execution = RequestExecution {
        node: node.clone(),
        request,
        id,
        deadline_ms,
        pending: pending.clone(),
        recorded: None,
    };
    let mut decision = execution
        .ask_router(|node| node.router.borrow_mut().arrive(now_ms, pending))
        .await;
    loop {
        match execution.execute_decision(decision).await {
            StepOutcome::Answer(answer) => {
                execution.close_record(&answer);
                return answer;
            }
            StepOutcome::AwaitDecision(next) => {
                decision = next.await.unwrap_or_else(|_| execution.internal_refusal())
            }
        }
    }
}

impl RequestExecution {
    fn left_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.node.clock.now_ms())
    }

    fn internal_refusal(&self) -> Decision {
        Decision::Refuse {
            id: self.id,
            failure: Failure::new(
                Code::Internal,
                "the router dropped the request without a decision",
            ),
        }
    }

    /// Returns the channel on which the router's next decision about this request arrives.
    fn register_for_decision(&self) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        self.node
            .pending_decisions
            .borrow_mut()
            .insert(self.id, sender);
        receiver
    }

    async fn ask_router(&self, ask: impl FnOnce(&Node) -> Vec<Decision>) -> Decision {
        let receiver = self.register_for_decision();
        let decisions = ask(&self.node);
        self.node.deliver_decisions(decisions);
        receiver.await.unwrap_or_else(|_| self.internal_refusal())
    }

    /// Executes a decision of the router.
    async fn execute_decision(&mut self, decision: Decision) -> StepOutcome {
        match decision {
            Decision::Refuse { failure, .. } => StepOutcome::Answer(FinalAnswer::Failed(failure)),
            Decision::Forward { entry, .. } => self.forward(&entry).await,
            Decision::Send {
                target,
                address,
                timeout_ms,
                ..
            } => self.send(&target, &address, timeout_ms).await,
        }
    }

    async fn forward(&mut self, entry: &Arc<str>) -> StepOutcome {
        if let Some(recorded) = self.recorded.take() {
            // The begin was recorded for a target that accepted no connection. The other entry records a begin of its own. If it found this one, it
            // would take it for a duplicate that is still running, and the request would stay in progress for ever.
            ledger::withdraw_now(&self.node, recorded, self.left_ms()).await;
        }
        match forward::forward_request(&self.node, &self.request, entry, self.left_ms()).await {
            ForwardOutcome::Answer(answer) => {
                self.node.router.borrow_mut().forward_ended(self.id);
                StepOutcome::Answer(answer)
            }
            ForwardOutcome::Refused => {
                let receiver = self.register_for_decision();
                let now_ms = self.node.clock.now_ms();
                let decisions = self
                    .node
                    .router
                    .borrow_mut()
                    .forward_refused(now_ms, self.id, entry);
                self.node.deliver_decisions(decisions);
                StepOutcome::AwaitDecision(receiver)
            }
        }
    }

    async fn send(&mut self, target: &Arc<str>, address: &str, timeout_ms: u64) -> StepOutcome {
        if !self.request.idempotent && self.recorded.is_none() {
            match ledger::begin(&self.node, &self.request, self.left_ms()).await {
                BeginOutcome::Granted(recorded) => self.recorded = Some(recorded),
                BeginOutcome::Answer(answer) => {
                    self.report_attempt(target, AttemptOutcome::Unused, 0);
                    return StepOutcome::Answer(answer);
                }
                BeginOutcome::InProgress(failure) => {
                    // The target's slot is released before the wait.
                    self.report_attempt(target, AttemptOutcome::Unused, 0);
                    return self.wait_for_other_attempt(failure).await;
                }
            }
        }
        let left_ms = self.left_ms();
        if left_ms == 0 {
            self.report_attempt(target, AttemptOutcome::Unused, 0);
            let failure = Failure::new(
                Code::NoTarget,
                "the deadline passed before the request could be sent",
            )
            .with_retry_after_ms(100);
            return StepOutcome::Answer(FinalAnswer::Failed(failure));
        }
        let start_ms = self.node.clock.now_ms();
        let (outcome, response) = attempt::run(
            &self.node,
            &self.request,
            self.id,
            address,
            timeout_ms.min(left_ms),
            left_ms,
        )
        .await;
        let took_ms = self.node.clock.now_ms().saturating_sub(start_ms);
        // An attempt whose target answered with a failure is not logged here.
        if matches!(outcome, AttemptOutcome::Lost | AttemptOutcome::NotConnected) {
            log::info!(request = self.id, target_name = &**target, outcome = format!("{outcome:?}"), took_ms = took_ms; "attempt failed");
        }
        let receiver = self.register_for_decision();
        if self.report_attempt(target, outcome, took_ms) {
            return StepOutcome::AwaitDecision(receiver);
        }
        self.node.pending_decisions.borrow_mut().remove(&self.id);
        StepOutcome::Answer(self.answer_for(outcome, response, target))
    }

    /// Waits until the outcome of another attempt at the same request is recorded. If that attempt withdrew its begin, the request goes to
    /// the router again, with a begin of its own.
    async fn wait_for_other_attempt(&mut self, failure: Failure) -> StepOutcome {
        let (node, request) = (&self.node, &self.request);
        let outcome =
            ledger::begin_after_other_attempt(node, request, self.deadline_ms, failure).await;
        match outcome {
            BeginOutcome::Granted(recorded) => {
                self.recorded = Some(recorded);
                let receiver = self.register_for_decision();
                let now_ms = self.node.clock.now_ms();
                let pending = self.pending.clone();
                let decisions = self.node.router.borrow_mut().arrive(now_ms, pending);
                self.node.deliver_decisions(decisions);
                StepOutcome::AwaitDecision(receiver)
            }
            BeginOutcome::Answer(answer) => StepOutcome::Answer(answer),
            BeginOutcome::InProgress(failure) => StepOutcome::Answer(FinalAnswer::Failed(failure)),
        }
    }

    /// Tells the router how the attempt ended; returns whether the router will make another decision.
    fn report_attempt(&self, target: &Arc<str>, outcome: AttemptOutcome, took_ms: u64) -> bool {
        let now_ms = self.node.clock.now_ms();
        let (decides_again, decisions) = self
            .node
            .router
            .borrow_mut()
            .finished(now_ms, self.id, target, outcome, took_ms);
        self.node.deliver_decisions(decisions);
        decides_again
    }

    fn answer_for(
        &self,
        outcome: AttemptOutcome,
        response: Option<Response<Bytes>>,
        target: &str,
    ) -> FinalAnswer {
        match (outcome, response) {
            (AttemptOutcome::Answered, Some(response)) => {
                let content_type = response
                    .headers()
                    .get("content-type")
                    .and_then(|value| value.to_str().ok())
                    .map(str::to_owned);
                FinalAnswer::Answered {
                    status: response.status().as_u16(),
                    content_type,
                    body: response.into_body(),
                }
            }
            (AttemptOutcome::Failed, Some(response)) => {
                let text: String = String::from_utf8_lossy(response.body())
                    .chars()
                    .take(400)
                    .collect();
                FinalAnswer::Failed(Failure::new(
                    Code::TargetFailed,
                    format!("target {target} answered {}: {text}", response.status()),
                ))
            }
            (AttemptOutcome::NotConnected | AttemptOutcome::Unused, _) => {
                let failure =
                    Failure::new(Code::NoTarget, format!("no connection to target {target}"));
                FinalAnswer::Failed(failure.with_retry_after_ms(100))
            }
            _ => FinalAnswer::Failed(Failure::new(
                Code::OutcomeUnknown,
                format!("no complete answer from target {target}"),
            )),
        }
    }

    /// Closes the ledger record of a non-idempotent request: stores the answer, or withdraws the begin if nothing ran.
    fn close_record(&mut self, answer: &FinalAnswer) {
        let Some(recorded) = self.recorded.take() else {
            return;
        };
        if answer.has_not_run() {
            ledger::withdraw(&self.node, recorded);
        } else {
            ledger::end(&self.node, recorded, answer.to_stored());
        }
    }
}
