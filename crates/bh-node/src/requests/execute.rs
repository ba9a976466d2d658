//! Drives one request by the router's decisions to its final answer.

use super::attempt;
use super::final_answer::FinalAnswer;
use super::forward;
use super::forward::Handed;
use super::record;
use super::record::Beginning;
use super::record::Begun;
use super::work::Work;
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

/// One request on its way.
struct Progress {
    node: Rc<Node>,
    work: Work,
    id: u64,
    deadline_ms: u64,
    begun: Option<Begun>,
}

/// What a step came to.
enum Step {
    /// The request has its answer.
    Answer(FinalAnswer),
    /// The router decides again; its decision arrives here.
    Again(oneshot::Receiver<Decision>),
}

/// Runs the request and returns its final answer. `forwarded` says that another entry handed it here.
pub async fn execute(node: &Rc<Node>, work: Work, forwarded: bool) -> FinalAnswer {
    let now_ms = node.clock.now_ms();
    let id = node.request_number();
    let deadline_ms = now_ms + work.left_ms;
    let pending = PendingRequest {
        id,
        customer: work.customer.clone(),
        weight: work.weight,
        request_type: work.request_type.clone(),
        priority: work.priority,
        deadline_ms,
        idempotent: work.idempotent,
        forwarded,
        failed_on: BTreeSet::new(),
        refused_by: BTreeSet::new(),
        attempts: 0,
        arrived_ms: now_ms,
    };
    let mut progress = Progress {
        node: node.clone(),
        work,
        id,
        deadline_ms,
        begun: None,
    };
    let mut decision = progress
        .wait_for(|node| node.router.borrow_mut().arrive(now_ms, pending))
        .await;
    loop {
        match progress.follow(decision).await {
            Step::Answer(answer) => {
                progress.close(&answer);
                return answer;
            }
            Step::Again(next) => decision = next.await.unwrap_or_else(|_| progress.abandoned()),
        }
    }
}

impl Progress {
    fn left_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.node.clock.now_ms())
    }

    fn abandoned(&self) -> Decision {
        Decision::Refuse {
            id: self.id,
            failure: Failure::new(Code::Internal, "the router forgot the request"),
        }
    }

    /// A place for the router's next decision about this request.
    fn expect(&self) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        self.node.decisions.borrow_mut().insert(self.id, sender);
        receiver
    }

    async fn wait_for(&self, ask: impl FnOnce(&Node) -> Vec<Decision>) -> Decision {
        let receiver = self.expect();
        let decisions = ask(&self.node);
        self.node.carry_out(decisions);
        receiver.await.unwrap_or_else(|_| self.abandoned())
    }

    /// Carries a decision out.
    async fn follow(&mut self, decision: Decision) -> Step {
        match decision {
            Decision::Refuse { failure, .. } => Step::Answer(FinalAnswer::Failed(failure)),
            Decision::Forward { entry, .. } => self.forward(&entry).await,
            Decision::Send {
                target,
                address,
                timeout_ms,
                ..
            } => self.send(&target, &address, timeout_ms).await,
        }
    }

    async fn forward(&mut self, entry: &Arc<str>) -> Step {
        if let Some(begun) = self.begun.take() {
            // Begun for a target that took no connection. The other entry records a beginning of its own, and would find this one: the request would be
            // in progress for ever.
            record::withdraw_now(&self.node, begun, self.left_ms()).await;
        }
        match forward::hand_on(&self.node, &self.work, entry, self.left_ms()).await {
            Handed::Answer(answer) => {
                self.node.router.borrow_mut().forward_ended(self.id);
                Step::Answer(answer)
            }
            Handed::Refused => {
                let receiver = self.expect();
                let now_ms = self.node.clock.now_ms();
                let decisions = self
                    .node
                    .router
                    .borrow_mut()
                    .forward_refused(now_ms, self.id, entry);
                self.node.carry_out(decisions);
                Step::Again(receiver)
            }
        }
    }

    async fn send(&mut self, target: &Arc<str>, address: &str, limit_ms: u64) -> Step {
        if let Some(answer) = self.begin_if_needed().await {
            self.finished(target, AttemptOutcome::Unused, 0);
            return Step::Answer(answer);
        }
        let left_ms = self.left_ms();
        if left_ms == 0 {
            self.finished(target, AttemptOutcome::Unused, 0);
            let failure = Failure::new(
                Code::NoTarget,
                "the deadline passed before it could be sent",
            )
            .with_retry_after_ms(100);
            return Step::Answer(FinalAnswer::Failed(failure));
        }
        let start_ms = self.node.clock.now_ms();
        let (outcome, response) = attempt::run(
            &self.node,
            &self.work,
            self.id,
            address,
            limit_ms.min(left_ms),
            left_ms,
        )
        .await;
        let took_ms = self.node.clock.now_ms().saturating_sub(start_ms);
        if matches!(outcome, AttemptOutcome::Lost | AttemptOutcome::NotConnected) {
            log::info!(request = self.id, target_name = &**target, outcome = format!("{outcome:?}"), took_ms = took_ms; "attempt failed");
        }
        let receiver = self.expect();
        if self.finished(target, outcome, took_ms) {
            return Step::Again(receiver);
        }
        self.node.decisions.borrow_mut().remove(&self.id);
        Step::Answer(self.answer_for(outcome, response, target))
    }

    /// Records that a non-idempotent request is about to be sent; returns its answer when it must not be.
    async fn begin_if_needed(&mut self) -> Option<FinalAnswer> {
        if self.work.idempotent || self.begun.is_some() {
            return None;
        }
        match record::begin(&self.node, &self.work, self.left_ms()).await {
            Beginning::Granted(begun) => {
                self.begun = Some(begun);
                None
            }
            Beginning::Answer(answer) => Some(answer),
        }
    }

    /// Tells the router how the attempt ended; returns whether it decides again.
    fn finished(&self, target: &Arc<str>, outcome: AttemptOutcome, took_ms: u64) -> bool {
        let now_ms = self.node.clock.now_ms();
        let (again, decisions) = self
            .node
            .router
            .borrow_mut()
            .finished(now_ms, self.id, target, outcome, took_ms);
        self.node.carry_out(decisions);
        again
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
                let failure = Failure::new(
                    Code::NoTarget,
                    format!("target {target} took no connection"),
                );
                FinalAnswer::Failed(failure.with_retry_after_ms(100))
            }
            _ => FinalAnswer::Failed(Failure::new(
                Code::OutcomeUnknown,
                format!("target {target} gave no whole answer"),
            )),
        }
    }

    /// Closes the record of a request that was begun.
    fn close(&mut self, answer: &FinalAnswer) {
        let Some(begun) = self.begun.take() else {
            return;
        };
        if answer.is_not_run() {
            record::withdraw(&self.node, begun);
        } else {
            record::end(&self.node, begun, answer.to_stored());
        }
    }
}
