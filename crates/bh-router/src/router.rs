//! The router of one entry, which decides where and when each request is sent.

use crate::decision::AttemptOutcome;
use crate::decision::Decision;
use crate::health::TargetHealth;
use crate::pending_request::PendingRequest;
use crate::queue::Queue;
use crate::retry_budget::RetryBudget;
use crate::service_times::ServiceTimes;
use crate::type_outcomes::TypeOutcomes;
use bh_membership::OwnedTargets;
use bh_protocol::Code;
use bh_protocol::Failure;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Upper limit of attempts of one request, including the first one.
const MAX_ATTEMPTS: u32 = 3;
/// Upper limit of queued requests, which bounds memory.
const MAX_QUEUED: usize = 20_000;
/// Shortest time that a caller is asked to wait before it sends a refused request again.
const MIN_RETRY_AFTER_MS: u64 = 100;
/// Longest time that a request waits while no entry has a usable target. It is enough for a change of owners or a first
/// announcement. Waiting until the deadline would only delay the refusal.
const NO_TARGET_WAIT_MS: u64 = 500;
/// Shortest time for which an attempt is worthwhile.
const MIN_ATTEMPT_MS: u64 = 1;

/// Free slots of another entry, as that entry last reported them.
#[derive(Clone, Copy, Debug)]
struct PeerEntry {
    free_slots: u32,
}

/// Decides where requests are sent.
#[derive(Clone, Debug)]
pub struct Router {
    /// Targets that this entry owns.
    pub owned_targets: OwnedTargets,
    queue: Queue,
    service_times: ServiceTimes,
    budget: RetryBudget,
    targets: BTreeMap<Arc<str>, TargetHealth>,
    types: BTreeMap<Arc<str>, TypeOutcomes>,
    peers: BTreeMap<Arc<str>, PeerEntry>,
    in_progress: BTreeMap<u64, PendingRequest>,
    decisions: Vec<Decision>,
}

impl Router {
    /// Creates a router over these targets.
    pub fn new(owned_targets: OwnedTargets) -> Self {
        Self {
            owned_targets,
            queue: Queue::default(),
            service_times: ServiceTimes::default(),
            budget: RetryBudget::new(),
            targets: BTreeMap::new(),
            types: BTreeMap::new(),
            peers: BTreeMap::new(),
            in_progress: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Free slots that are not needed by queued requests and that other entries may use.
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

    /// Sets how many free slots another entry reports, or `None` if the entry is no longer connected.
    pub fn set_peer_free_slots(&mut self, entry: &Arc<str>, free_slots: Option<u32>) {
        match free_slots {
            Some(free_slots) => {
                if free_slots > 0 {
                    self.queue.clear_refusals_of(entry);
                }
                self.peers.insert(entry.clone(), PeerEntry { free_slots });
            }
            None => {
                self.peers.remove(entry);
            }
        }
    }

    /// Queues or refuses a new request.
    pub fn arrive(&mut self, now_ms: u64, request: PendingRequest) -> Vec<Decision> {
        self.budget.earn();
        match self.admit(now_ms, &request) {
            Ok(()) => self.queue.push(request),
            Err(failure) => self.decisions.push(Decision::Refuse {
                id: request.id,
                failure,
            }),
        }
        self.dispatch_queued(now_ms)
    }

    /// Admits a request if it can probably be answered before its deadline. An early refusal leaves the caller time to send
    /// the request again, and keeps the slots for requests that can still be answered in time.
    fn admit(&self, now_ms: u64, request: &PendingRequest) -> Result<(), Failure> {
        let service_ms = self.service_times.mean_ms(&request.request_type);
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        if request.forwarded {
            return if self.spare_slots(now_ms) > 0 {
                Ok(())
            } else {
                Err(self.overloaded(MIN_RETRY_AFTER_MS))
            };
        }
        let slots = self.reachable_slots(now_ms);
        if slots == 0 {
            // Targets may appear soon, so the request waits.
            return if self.queue.len() < MAX_QUEUED {
                Ok(())
            } else {
                Err(self.overloaded(left_ms))
            };
        }
        let ahead = self
            .queue
            .ahead_of(&request.customer, request.priority, request.weight);
        // The count is far below 2^52.
        let wait_ms = ahead as f64 * service_ms / f64::from(slots);
        let required_ms = self.required_ms(request);
        let fits = wait_ms + required_ms <= left_ms as f64;
        if fits && self.queue.len() < MAX_QUEUED {
            return Ok(());
        }
        // The value is positive and far below 2^52.
        Err(self.overloaded((wait_ms - left_ms as f64 + service_ms).max(0.0) as u64))
    }

    /// Time in milliseconds that must be left when a request is sent. A slot given to a request that can't end in time is lost to one
    /// that can, and under overload that starves all requests. The time is at most half of the request's whole time, so that a type
    /// whose deadlines are short for its service time is still attempted, within the first half of that time.
    fn required_ms(&self, request: &PendingRequest) -> f64 {
        let total_ms = request.deadline_ms.saturating_sub(request.arrived_ms) as f64;
        self.service_times
            .upper_bound_ms(&request.request_type)
            .min(total_ms / 2.0)
    }

    /// Whether too little time is left to send the request.
    fn is_too_late(&self, now_ms: u64, request: &PendingRequest) -> bool {
        let left_ms = request.deadline_ms.saturating_sub(now_ms) as f64;
        left_ms < self.required_ms(request).max(MIN_ATTEMPT_MS as f64)
    }

    fn overloaded(&self, retry_after_ms: u64) -> Failure {
        let label = format!("{} requests wait", self.queue.len());
        Failure::new(Code::Overloaded, label)
            .with_retry_after_ms(retry_after_ms.max(MIN_RETRY_AFTER_MS))
    }

    fn reachable_slots(&self, now_ms: u64) -> u32 {
        let own = self.owned_targets.slots(now_ms);
        let others: u32 = self.peers.values().map(|peer| peer.free_slots).sum();
        own + others
    }

    /// Handles the end of an attempt on a target. Returns whether the request is attempted again, and further decisions.
    pub fn finished(
        &mut self,
        now_ms: u64,
        id: u64,
        target: &Arc<str>,
        outcome: AttemptOutcome,
        took_ms: u64,
    ) -> (bool, Vec<Decision>) {
        self.owned_targets.release_slot(target);
        let Some(mut request) = self.in_progress.remove(&id) else {
            return (false, self.dispatch_queued(now_ms));
        };
        self.record_outcome(now_ms, &request, target, outcome, took_ms);
        let will_retry = self.may_retry(now_ms, &request, outcome);
        if will_retry {
            if outcome.is_target_failure() {
                request.failed_on.insert(target.clone());
            }
            self.queue.push_front(request);
        }
        (will_retry, self.dispatch_queued(now_ms))
    }

    fn record_outcome(
        &mut self,
        now_ms: u64,
        request: &PendingRequest,
        target: &Arc<str>,
        outcome: AttemptOutcome,
        took_ms: u64,
    ) {
        let type_outcomes = self.types.entry(request.request_type.clone()).or_default();
        type_outcomes.record(target, outcome);
        let fails_elsewhere = type_outcomes.fails_elsewhere(target);
        self.targets
            .entry(target.clone())
            .or_default()
            .record(now_ms, outcome, fails_elsewhere);
        if outcome == AttemptOutcome::Answered {
            self.service_times.add(&request.request_type, took_ms);
        }
    }

    /// Whether the request may be attempted again: it can't have run or may run twice, and its deadline, its attempts and the budget allow it.
    fn may_retry(
        &mut self,
        now_ms: u64,
        request: &PendingRequest,
        outcome: AttemptOutcome,
    ) -> bool {
        let safe_to_retry = match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Unused => false,
            AttemptOutcome::NotConnected => true,
            AttemptOutcome::Failed | AttemptOutcome::Lost => request.idempotent,
        };
        let in_time = now_ms + MIN_ATTEMPT_MS < request.deadline_ms;
        safe_to_retry && in_time && request.attempts < MAX_ATTEMPTS && self.budget.spend()
    }

    /// Queues a request again that was forwarded to another entry and refused there. Nothing was sent to a target.
    pub fn forward_refused(&mut self, now_ms: u64, id: u64, entry: &Arc<str>) -> Vec<Decision> {
        if let Some(peer) = self.peers.get_mut(entry) {
            peer.free_slots = 0;
        }
        if let Some(mut request) = self.in_progress.remove(&id) {
            request.refused_by.insert(entry.clone());
            self.queue.push_front(request);
        }
        self.dispatch_queued(now_ms)
    }

    /// Forgets a forwarded request that the other entry has answered or whose outcome is unknown.
    pub fn forward_ended(&mut self, id: u64) {
        self.in_progress.remove(&id);
    }

    /// Refuses requests that have waited too long and dispatches others. It is called regularly and when targets change.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Decision> {
        let late = {
            let mut queue = std::mem::take(&mut self.queue);
            let no_target = self.reachable_slots(now_ms) == 0;
            let late = queue.remove_where(|request| {
                let waited_too_long = no_target && now_ms >= request.arrived_ms + NO_TARGET_WAIT_MS;
                waited_too_long || self.is_too_late(now_ms, request)
            });
            self.queue = queue;
            late
        };
        for request in late {
            self.refuse_late(now_ms, request);
        }
        self.dispatch_queued(now_ms)
    }

    fn refuse_late(&mut self, now_ms: u64, request: PendingRequest) {
        let waited_ms = now_ms.saturating_sub(request.arrived_ms);
        let failure = Failure::new(
            Code::NoTarget,
            format!("no slot came free in {waited_ms} ms"),
        );
        let failure = failure.with_retry_after_ms(MIN_RETRY_AFTER_MS);
        self.decisions.push(Decision::Refuse {
            id: request.id,
            failure,
        });
    }

    /// Dispatches queued requests until either the requests or the slots run out.
    fn dispatch_queued(&mut self, now_ms: u64) -> Vec<Decision> {
        let mut not_dispatched = Vec::new();
        while let Some(request) = self.queue.pop() {
            if self.is_too_late(now_ms, &request) {
                self.refuse_late(now_ms, request);
                continue;
            }
            if let Some(request) = self.dispatch(now_ms, request) {
                if self.cannot_be_served_here(now_ms, &request) {
                    self.refuse_late(now_ms, request);
                    continue;
                }
                let none_left = self.free_slots(now_ms) == 0;
                not_dispatched.push(request);
                if none_left {
                    break;
                }
            }
        }
        for request in not_dispatched.into_iter().rev() {
            self.queue.push_front(request);
        }
        std::mem::take(&mut self.decisions)
    }

    /// Whether a forwarded request can't be served here because it has failed on all usable targets. The entry that forwarded it may own a
    /// healthy target. If the request waited here until its deadline, no time would be left for that target, and the caller would be told
    /// that no slot was free although one was.
    fn cannot_be_served_here(&self, now_ms: u64, request: &PendingRequest) -> bool {
        let admitted = |name: &Arc<str>| {
            let health = self.targets.get(name);
            health.is_none_or(|health| health.admits(now_ms))
        };
        let mut usable = self.owned_targets.usable(now_ms);
        let others = usable.any(|(name, _, _)| !request.failed_on.contains(name) && admitted(name));
        request.forwarded && !request.failed_on.is_empty() && !others
    }

    /// Sends the request to a target or forwards it to another entry. Returns it if neither is possible.
    fn dispatch(&mut self, now_ms: u64, mut request: PendingRequest) -> Option<PendingRequest> {
        if let Some((target, address)) = self.choose_target(now_ms, &request)
            && self.owned_targets.take_slot(now_ms, &target)
        {
            request.attempts += 1;
            self.targets.entry(target.clone()).or_default().mark_sent();
            let timeout_ms = self.attempt_timeout_ms(now_ms, &request);
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
            && let Some(entry) = self.choose_peer(&request)
        {
            let id = request.id;
            self.in_progress.insert(id, request);
            self.decisions.push(Decision::Forward { id, entry });
            return None;
        }
        Some(request)
    }

    fn attempt_timeout_ms(&self, now_ms: u64, request: &PendingRequest) -> u64 {
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        if !request.idempotent || request.attempts >= MAX_ATTEMPTS {
            return left_ms;
        }
        // While the service time is unknown, half of the time is kept for a second attempt.
        let timeout_ms = self
            .service_times
            .attempt_timeout_ms(&request.request_type)
            .unwrap_or(left_ms / 2);
        timeout_ms.clamp(MIN_ATTEMPT_MS, left_ms.max(MIN_ATTEMPT_MS))
    }

    /// Chooses the target with the most free slots on which this request has not failed, and a suspect target only if no other is free.
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
                // A suspect target is probed with first attempts of idempotent requests, before healthy targets are filled up.
                let probe = suspect && request.idempotent && request.attempts == 0;
                (probe || !suspect, *free)
            })
            .map(|(name, target, _)| (name.clone(), target.address.clone()))
    }

    fn choose_peer(&mut self, request: &PendingRequest) -> Option<Arc<str>> {
        let (name, peer) = self
            .peers
            .iter_mut()
            .filter(|(name, peer)| peer.free_slots > 0 && !request.refused_by.contains(*name))
            .max_by_key(|(_, peer)| peer.free_slots)?;
        peer.free_slots -= 1;
        Some(name.clone())
    }
}
