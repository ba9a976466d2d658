//! Permissions to run steps on workers, given by an external adviser.

use crate::job::StepId;
use crate::rules::AdviserTiming;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Maximum number of workers in one question. The adviser takes time for each worker and answers one question after the other, so a long
/// question delays all other steps. Callers rely on one question about some 30 workers for a step.
const MAX_WORKERS_PER_QUESTION: usize = 30;
/// Time before the end of a permission from which it is no longer used, in milliseconds: an order in flight must arrive before that end.
const EXPIRY_MARGIN_MS: u64 = 300;
/// Time beyond the adviser's expected answer time after which a question counts as lost, in milliseconds.
const ANSWER_SLACK_MS: u64 = 1_000;
/// Delay after a question without an answer, in milliseconds.
const RETRY_MS: u64 = 200;

/// Asks the adviser which of some workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The step.
    pub step: StepId,
    /// The workers to ask about.
    pub workers: Vec<Incarnation>,
    /// Timeout of the answer, in milliseconds.
    pub limit_ms: u64,
    /// How long a permission is valid, in milliseconds.
    pub valid_ms: u64,
}

/// Allows one worker to run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permission {
    /// Id of the worker.
    pub worker: Arc<str>,
    /// Proof of the permission, sent to the worker with the start order.
    pub proof: Arc<str>,
}

/// Answers received about one step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct StepAnswers {
    /// Proof and its end on the leader's clock in milliseconds, by worker.
    allowed: BTreeMap<Incarnation, (Arc<str>, u64)>,
    /// Workers that may not run it. A refusal is final.
    refused: BTreeSet<Incarnation>,
}

/// The permissions that this leader has asked for. They are lost when the leader changes and are asked for again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Permissions {
    steps: BTreeMap<StepId, StepAnswers>,
    /// Whether a question is in flight: the adviser takes one at a time.
    question_in_flight: bool,
    retry_ms: u64,
}

impl Permissions {
    /// Whether a question may be asked now.
    pub fn may_ask(&self, now_ms: u64) -> bool {
        !self.question_in_flight && now_ms >= self.retry_ms
    }

    /// Workers that may be given tasks of `step` now.
    pub fn permitted(&self, step: StepId, now_ms: u64) -> BTreeSet<Incarnation> {
        let known = self.steps.get(&step);
        let valid = known
            .into_iter()
            .flat_map(|known| &known.allowed)
            .filter(|(_, (_, until_ms))| now_ms < *until_ms);
        valid.map(|(worker, _)| worker.clone()).collect()
    }

    /// The valid proof that `worker` may run `step`, if there is one.
    pub fn proof(&self, step: StepId, worker: &Incarnation, now_ms: u64) -> Option<Arc<str>> {
        let (proof, until_ms) = self.steps.get(&step)?.allowed.get(worker)?;
        (now_ms < *until_ms).then(|| proof.clone())
    }

    /// The next question about a step for which too few workers are permitted. Asks about workers that were allowed before, then about
    /// unknown ones, in the order of `candidates`, the best first. `None` if no worker is left to ask about.
    pub fn question(
        &self,
        now_ms: u64,
        step: StepId,
        advice: &AdviserTiming,
        candidates: impl Iterator<Item = Incarnation>,
    ) -> Option<Question> {
        let known = self.steps.get(&step).cloned().unwrap_or_default();
        let (allowed, unknown): (Vec<_>, Vec<_>) = candidates
            .filter(|worker| !known.refused.contains(worker))
            .filter(|worker| self.proof(step, worker, now_ms).is_none())
            .partition(|worker| known.allowed.contains_key(worker));
        let workers: Vec<Incarnation> = allowed
            .into_iter()
            .chain(unknown)
            .take(MAX_WORKERS_PER_QUESTION)
            .collect();
        let count = u64::try_from(workers.len()).unwrap_or(0);
        (count > 0).then(|| Question {
            step,
            workers,
            limit_ms: advice.decision_ms + advice.per_worker_ms * count + ANSWER_SLACK_MS,
            valid_ms: advice.validity_ms,
        })
    }

    /// Notes that a question is being asked.
    pub fn note_asked(&mut self) {
        self.question_in_flight = true;
    }

    /// Processes the answer to a question; `None` if there was no answer.
    pub fn note_answer(&mut self, now_ms: u64, question: &Question, answer: Option<&[Permission]>) {
        self.question_in_flight = false;
        let Some(allowed) = answer else {
            self.retry_ms = now_ms + RETRY_MS;
            return;
        };
        let until_ms = now_ms + question.valid_ms.saturating_sub(EXPIRY_MARGIN_MS);
        let known = self.steps.entry(question.step).or_default();
        for worker in &question.workers {
            match allowed.iter().find(|allowed| allowed.worker == worker.id) {
                Some(permission) => {
                    let proof_until = (permission.proof.clone(), until_ms);
                    known.allowed.insert(worker.clone(), proof_until);
                }
                None => {
                    known.refused.insert(worker.clone());
                }
            }
        }
    }

    /// Notes that a worker refused a proof, so that a new one is asked for.
    pub fn forget(&mut self, step: StepId, worker: &Incarnation) {
        if let Some((_, until_ms)) = self
            .steps
            .get_mut(&step)
            .and_then(|known| known.allowed.get_mut(worker))
        {
            *until_ms = 0;
        }
    }

    /// Forgets the steps for which `has_ended` is true.
    pub fn forget_steps(&mut self, has_ended: impl Fn(StepId) -> bool) {
        self.steps.retain(|step, _| !has_ended(*step));
    }
}
