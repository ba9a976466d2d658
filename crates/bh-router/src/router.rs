//! The router of one entry: which request goes where, and when.

use crate::budget::Budget;
use crate::decision::AttemptOutcome;
use crate::decision::Decision;
use crate::estimate::Estimate;
use crate::health::TargetHealth;
use crate::pending_request::PendingRequest;
use crate::queue::Queue;
use crate::type_record::TypeRecord;
use bh_membership::OwnedTargets;
use bh_protocol::Code;
use bh_protocol::Failure;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Attempts of one request at most, the first one included.
const MAX_ATTEMPTS: u32 = 3;
/// Requests that wait at most, whatever their deadlines: a bound on memory.
const MAX_QUEUED: usize = 20_000;
/// Least time a caller is asked to wait before a resend, in milliseconds.
const LEAST_RETRY_AFTER_MS: u64 = 100;
/// Longest wait while no target at all is known, in milliseconds: enough for a change of owners or a first announcement.
/// Waiting on to the deadline would hold back an answer that is known.
const NO_TARGET_WAIT_MS: u64 = 500;
/// Least time worth an attempt, in milliseconds.
const LEAST_ATTEMPT_MS: u64 = 1;

/// Free slots of another entry, as it last said.
#[derive(Clone, Copy, Debug)]
struct Sibling {
    free_slots: u32,
}

/// Decides where requests go.
#[derive(Clone, Debug)]
pub struct Router {
    /// The targets this entry owns.
    pub owned_targets: OwnedTargets,
    queue: Queue,
    estimate: Estimate,
    budget: Budget,
    targets: BTreeMap<Arc<str>, TargetHealth>,
    types: BTreeMap<Arc<str>, TypeRecord>,
    siblings: BTreeMap<Arc<str>, Sibling>,
    in_progress: BTreeMap<u64, PendingRequest>,
    decisions: Vec<Decision>,
}

impl Router {
    /// A router over these targets.
    pub fn new(owned_targets: OwnedTargets) -> Self {
        Self {
            owned_targets,
            queue: Queue::default(),
            estimate: Estimate::default(),
            budget: Budget::new(),
            targets: BTreeMap::new(),
            types: BTreeMap::new(),
            siblings: BTreeMap::new(),
            in_progress: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    /// Number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Free slots for requests of other entries.
    pub fn spare_slots(&self, now_ms: u64) -> u32 {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.free_slots(now_ms).saturating_sub(waiting)
    }

    fn free_slots(&self, now_ms: u64) -> u32 {
        self.owned_targets
            .usable(now_ms)
            .filter(|(name, _, _)| {
                self.targets
                    .get(*name)
                    .is_none_or(|health| health.admits(now_ms))
            })
            .map(|(_, _, free)| free)
            .sum()
    }

    /// Notes how many slots another entry has free; `None` when it is gone.
    pub fn set_peer_free_slots(&mut self, entry: &Arc<str>, free_slots: Option<u32>) {
        match free_slots {
            Some(free_slots) => {
                if free_slots > 0 {
                    self.queue.forget_refusals_of(entry);
                }
                self.siblings.insert(entry.clone(), Sibling { free_slots });
            }
            None => {
                self.siblings.remove(entry);
            }
        }
    }

    /// A request arrived.
    pub fn arrive(&mut self, now_ms: u64, request: PendingRequest) -> Vec<Decision> {
        self.budget.earn();
        match self.admit(now_ms, &request) {
            Ok(()) => self.queue.push(request),
            Err(failure) => self.decisions.push(Decision::Refuse {
                id: request.id,
                failure,
            }),
        }
        self.pump(now_ms)
    }

    /// Whether the request can be answered before its deadline, as far as is known now. Refusing at once leaves the
    /// caller its time for a resend, and the slots for requests that can still be answered.
    fn admit(&self, now_ms: u64, request: &PendingRequest) -> Result<(), Failure> {
        let service_ms = self.estimate.mean_ms(&request.request_type);
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        if request.forwarded {
            return if self.spare_slots(now_ms) > 0 {
                Ok(())
            } else {
                Err(self.overloaded(LEAST_RETRY_AFTER_MS))
            };
        }
        let slots = self.reachable_slots(now_ms);
        if slots == 0 {
            // Targets may be on their way: waits within the deadline.
            return if self.queue.len() < MAX_QUEUED {
                Ok(())
            } else {
                Err(self.overloaded(left_ms))
            };
        }
        let ahead = self
            .queue
            .ahead_of(&request.customer, request.priority, request.weight);
        // Counts are far below 2^52.
        let wait_ms = ahead as f64 * service_ms / f64::from(slots);
        let needed_ms = self.needed_ms(request);
        let fits = wait_ms + needed_ms <= left_ms as f64;
        if fits && self.queue.len() < MAX_QUEUED {
            return Ok(());
        }
        // Positive and far below 2^52.
        Err(self.overloaded((wait_ms - left_ms as f64 + service_ms).max(0.0) as u64))
    }

    /// Time that a request must have left when it is sent, in milliseconds. A slot given to one that cannot end before its
    /// deadline is lost to one that can: under overload that starves everyone. A type whose deadline is short for
    /// what it takes is still tried, in the first half of its time.
    fn needed_ms(&self, request: &PendingRequest) -> f64 {
        let whole_ms = request.deadline_ms.saturating_sub(request.arrived_ms) as f64;
        self.estimate
            .likely_ms(&request.request_type)
            .min(whole_ms / 2.0)
    }

    /// Whether the request can still be sent in time.
    fn is_too_late(&self, now_ms: u64, request: &PendingRequest) -> bool {
        let left_ms = request.deadline_ms.saturating_sub(now_ms) as f64;
        left_ms < self.needed_ms(request).max(LEAST_ATTEMPT_MS as f64)
    }

    fn overloaded(&self, retry_after_ms: u64) -> Failure {
        let label = format!("{} requests wait", self.queue.len());
        Failure::new(Code::Overloaded, label)
            .with_retry_after_ms(retry_after_ms.max(LEAST_RETRY_AFTER_MS))
    }

    fn reachable_slots(&self, now_ms: u64) -> u32 {
        let own = self.owned_targets.slots(now_ms);
        let others: u32 = self
            .siblings
            .values()
            .map(|sibling| sibling.free_slots)
            .sum();
        own + others
    }

    /// An attempt on a target ended; `retry` says that the request shall be tried again if that is allowed.
    /// Returns whether it will be.
    pub fn finished(
        &mut self,
        now_ms: u64,
        id: u64,
        target: &Arc<str>,
        outcome: AttemptOutcome,
        took_ms: u64,
    ) -> (bool, Vec<Decision>) {
        self.owned_targets.give_back(target);
        let Some(mut request) = self.in_progress.remove(&id) else {
            return (false, self.pump(now_ms));
        };
        self.note_outcome(now_ms, &request, target, outcome, took_ms);
        let again = self.may_retry(now_ms, &request, outcome);
        if again {
            if outcome.is_against_target() {
                request.failed_on.insert(target.clone());
            }
            self.queue.push_front(request);
        }
        (again, self.pump(now_ms))
    }

    fn note_outcome(
        &mut self,
        now_ms: u64,
        request: &PendingRequest,
        target: &Arc<str>,
        outcome: AttemptOutcome,
        took_ms: u64,
    ) {
        let record = self.types.entry(request.request_type.clone()).or_default();
        record.note(target, outcome);
        let elsewhere_fails = record.fails_elsewhere(target);
        self.targets
            .entry(target.clone())
            .or_default()
            .note(now_ms, outcome, elsewhere_fails);
        if outcome == AttemptOutcome::Answered {
            self.estimate.add(&request.request_type, took_ms);
        }
    }

    /// A request is tried again only if it cannot have run or may run twice, within its deadline and the budget.
    fn may_retry(
        &mut self,
        now_ms: u64,
        request: &PendingRequest,
        outcome: AttemptOutcome,
    ) -> bool {
        let harmless = match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Unused => false,
            AttemptOutcome::NotConnected => true,
            AttemptOutcome::Failed | AttemptOutcome::Lost => request.idempotent,
        };
        let in_time = now_ms + LEAST_ATTEMPT_MS < request.deadline_ms;
        harmless && in_time && request.attempts < MAX_ATTEMPTS && self.budget.spend()
    }

    /// Another entry could not take a request that was handed to it; nothing was sent.
    pub fn forward_refused(&mut self, now_ms: u64, id: u64, entry: &Arc<str>) -> Vec<Decision> {
        if let Some(sibling) = self.siblings.get_mut(entry) {
            sibling.free_slots = 0;
        }
        if let Some(mut request) = self.in_progress.remove(&id) {
            request.refused_by.insert(entry.clone());
            self.queue.push_front(request);
        }
        self.pump(now_ms)
    }

    /// Another entry has answered a request that was handed to it, or its outcome is unknown.
    pub fn forward_ended(&mut self, id: u64) {
        self.in_progress.remove(&id);
    }

    /// Time has passed, or targets have come or gone.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Decision> {
        let late = {
            let mut queue = std::mem::take(&mut self.queue);
            let no_target = self.reachable_slots(now_ms) == 0;
            let late = queue.remove_where(|request| {
                let waits_in_vain = no_target && now_ms >= request.arrived_ms + NO_TARGET_WAIT_MS;
                waits_in_vain || self.is_too_late(now_ms, request)
            });
            self.queue = queue;
            late
        };
        for request in late {
            self.refuse_late(now_ms, request);
        }
        self.pump(now_ms)
    }

    fn refuse_late(&mut self, now_ms: u64, request: PendingRequest) {
        let waited_ms = now_ms.saturating_sub(request.arrived_ms);
        let failure = Failure::new(
            Code::NoTarget,
            format!("no slot came free in {waited_ms} ms"),
        );
        let failure = failure.with_retry_after_ms(LEAST_RETRY_AFTER_MS);
        self.decisions.push(Decision::Refuse {
            id: request.id,
            failure,
        });
    }

    /// Gives slots to waiting requests until either runs out.
    fn pump(&mut self, now_ms: u64) -> Vec<Decision> {
        let mut stuck = Vec::new();
        while let Some(request) = self.queue.pop() {
            if self.is_too_late(now_ms, &request) {
                self.refuse_late(now_ms, request);
                continue;
            }
            if let Some(request) = self.dispatch(now_ms, request) {
                if self.waits_in_vain(now_ms, &request) {
                    self.refuse_late(now_ms, request);
                    continue;
                }
                let none_left = self.free_slots(now_ms) == 0;
                stuck.push(request);
                if none_left {
                    break;
                }
            }
        }
        for request in stuck.into_iter().rev() {
            self.queue.push_front(request);
        }
        std::mem::take(&mut self.decisions)
    }

    /// Whether a request that another entry handed over can't be served here: all targets that may get one have failed it. The other entry
    /// may own a sound one; waiting here to the deadline leaves it no time, and its caller is told that there was no slot beside a target
    /// that is free.
    fn waits_in_vain(&self, now_ms: u64, request: &PendingRequest) -> bool {
        let admitted = |name: &Arc<str>| {
            let health = self.targets.get(name);
            health.is_none_or(|health| health.admits(now_ms))
        };
        let mut usable = self.owned_targets.usable(now_ms);
        let others = usable.any(|(name, _, _)| !request.failed_on.contains(name) && admitted(name));
        request.forwarded && !request.failed_on.is_empty() && !others
    }

    /// Sends or hands over the request; gives it back when neither is possible.
    fn dispatch(&mut self, now_ms: u64, mut request: PendingRequest) -> Option<PendingRequest> {
        if let Some((target, address)) = self.choose_target(now_ms, &request)
            && self.owned_targets.take(now_ms, &target)
        {
            request.attempts += 1;
            self.targets.entry(target.clone()).or_default().note_sent();
            let timeout_ms = self.attempt_limit_ms(now_ms, &request);
            let id = request.id;
            self.in_progress.insert(id, request);
            self.decisions.push(Decision::Send {
                id,
                target,
                address,
                timeout_ms,
            });
            return None;
        }
        if !request.forwarded
            && let Some(entry) = self.choose_sibling(&request)
        {
            let id = request.id;
            self.in_progress.insert(id, request);
            self.decisions.push(Decision::Forward { id, entry });
            return None;
        }
        Some(request)
    }

    fn attempt_limit_ms(&self, now_ms: u64, request: &PendingRequest) -> u64 {
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        if !request.idempotent || request.attempts >= MAX_ATTEMPTS {
            return left_ms;
        }
        // Without a history half of the time is kept for a second attempt.
        let timeout_ms = self
            .estimate
            .attempt_limit_ms(&request.request_type)
            .unwrap_or(left_ms / 2);
        timeout_ms.clamp(LEAST_ATTEMPT_MS, left_ms.max(LEAST_ATTEMPT_MS))
    }

    /// The target with the most free slots that has not failed this request; a suspect one only when no other is free.
    fn choose_target(&self, now_ms: u64, request: &PendingRequest) -> Option<(Arc<str>, Arc<str>)> {
        self.owned_targets
            .usable(now_ms)
            .filter(|(name, _, free)| *free > 0 && !request.failed_on.contains(*name))
            .filter(|(name, _, _)| {
                self.targets
                    .get(*name)
                    .is_none_or(|health| health.admits(now_ms))
            })
            .max_by_key(|(name, _, free)| {
                let suspect = self
                    .targets
                    .get(*name)
                    .is_some_and(TargetHealth::is_suspect);
                // Probation is served by requests that may be repeated, before healthy targets are filled up.
                let probe = suspect && request.idempotent && request.attempts == 0;
                (probe || !suspect, *free)
            })
            .map(|(name, target, _)| (name.clone(), target.address.clone()))
    }

    fn choose_sibling(&mut self, request: &PendingRequest) -> Option<Arc<str>> {
        let (name, sibling) = self
            .siblings
            .iter_mut()
            .filter(|(name, sibling)| sibling.free_slots > 0 && !request.refused_by.contains(*name))
            .max_by_key(|(_, sibling)| sibling.free_slots)?;
        sibling.free_slots -= 1;
        Some(name.clone())
    }
}
