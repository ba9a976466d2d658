//! What an outside adviser allows.

use crate::job::StepId;
use crate::rules::AdviserTiming;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Workers asked about in one question at most. The adviser takes time for each and answers one question after the other, so that a long
/// one holds up every other step; callers count on one question about thirty workers for a step.
const MOST_ASKED: usize = 30;
/// Time before its end at which a permission is no longer used, in milliseconds: an order that is on its way must arrive before.
const MARGIN_MS: u64 = 300;
/// Time beyond what the adviser takes after which a question counts as lost, in milliseconds.
const PATIENCE_MS: u64 = 1_000;
/// Wait after a question without an answer, in milliseconds.
const RETRY_MS: u64 = 200;

/// Which of some workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The step.
    pub step: StepId,
    /// The workers.
    pub workers: Vec<Incarnation>,
    /// How long to wait for the answer, in milliseconds.
    pub limit_ms: u64,
    /// How long a permission is valid, in milliseconds.
    pub valid_ms: u64,
}

/// Allows one worker to run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permission {
    /// Id of the worker.
    pub worker: Arc<str>,
    /// What shows it to the worker.
    pub proof: Arc<str>,
}

/// What is known of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Known {
    /// Proof and its end on the leader's clock in milliseconds, by worker.
    allowed: BTreeMap<Incarnation, (Arc<str>, u64)>,
    /// Workers that may not run it; that does not change.
    refused: BTreeSet<Incarnation>,
}

/// Permissions as far as this leader has asked for them. Lost with the leadership and asked for again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Permissions {
    steps: BTreeMap<StepId, Known>,
    /// Whether a question has no answer yet: the adviser takes one at a time.
    asking: bool,
    retry_ms: u64,
}

impl Permissions {
    /// Whether a question may be asked now.
    pub fn may_ask(&self, now_ms: u64) -> bool {
        !self.asking && now_ms >= self.retry_ms
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

    /// What shows a worker that it may run a step.
    pub fn proof(&self, step: StepId, worker: &Incarnation, now_ms: u64) -> Option<Arc<str>> {
        let (proof, until_ms) = self.steps.get(&step)?.allowed.get(worker)?;
        (now_ms < *until_ms).then(|| proof.clone())
    }

    /// The question to ask next about a step that has not enough places: workers that were allowed before, then those of which nothing
    /// is known, out of `candidates`, the best first. `None` when there is nobody left to ask about.
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
            .take(MOST_ASKED)
            .collect();
        let count = u64::try_from(workers.len()).unwrap_or(0);
        (count > 0).then(|| Question {
            step,
            workers,
            limit_ms: advice.decision_ms + advice.per_worker_ms * count + PATIENCE_MS,
            valid_ms: advice.validity_ms,
        })
    }

    /// Notes that a question is being asked.
    pub fn note_asked(&mut self) {
        self.asking = true;
    }

    /// Takes the answer to a question; `None` when there was none.
    pub fn note_answer(&mut self, now_ms: u64, question: &Question, answer: Option<&[Permission]>) {
        self.asking = false;
        let Some(allowed) = answer else {
            self.retry_ms = now_ms + RETRY_MS;
            return;
        };
        let until_ms = now_ms + question.valid_ms.saturating_sub(MARGIN_MS);
        let known = self.steps.entry(question.step).or_default();
        for worker in &question.workers {
            match allowed.iter().find(|allowed| allowed.worker == worker.id) {
                Some(permission) => {
                    let held = (permission.proof.clone(), until_ms);
                    known.allowed.insert(worker.clone(), held);
                }
                None => {
                    known.refused.insert(worker.clone());
                }
            }
        }
    }

    /// Notes that a worker did not take a proof: it is asked for again.
    pub fn forget(&mut self, step: StepId, worker: &Incarnation) {
        if let Some((_, until_ms)) = self
            .steps
            .get_mut(&step)
            .and_then(|known| known.allowed.get_mut(worker))
        {
            *until_ms = 0;
        }
    }

    /// Forgets the steps that `is_over`.
    pub fn drop_steps(&mut self, is_over: impl Fn(StepId) -> bool) {
        self.steps.retain(|step, _| !is_over(*step));
    }
}
