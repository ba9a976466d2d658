//! The queue of waiting requests, ordered by priority and then by the customers' shares.

use crate::pending_request::PendingRequest;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Virtual time that one request of weight 1 costs.
const VIRTUAL_TIME_PER_REQUEST: u64 = 1_000_000;

#[derive(Clone, Debug, Default)]
struct Lane {
    waiting: VecDeque<PendingRequest>,
    /// Virtual time at which the customer's next request is due.
    due: u64,
}

/// Requests that wait for a slot.
///
/// Within a priority, each customer has its own lane. Lanes take turns by weight (start-time fair queueing), so that a
/// burst of one customer delays only this customer's requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    priorities: BTreeMap<Reverse<u8>, BTreeMap<Arc<str>, Lane>>,
    virtual_time: u64,
    len: usize,
}

impl Queue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Adds a request at the back of its lane.
    pub fn push(&mut self, request: PendingRequest) {
        self.insert(request, false);
    }

    /// Puts a request back at the front of its lane.
    pub fn push_front(&mut self, request: PendingRequest) {
        self.insert(request, true);
    }

    fn insert(&mut self, request: PendingRequest, front: bool) {
        let lanes = self
            .priorities
            .entry(Reverse(request.priority))
            .or_default();
        let lane = lanes.entry(request.customer.clone()).or_default();
        if lane.waiting.is_empty() {
            // A lane earns no credit for the time in which it was empty.
            lane.due = lane.due.max(self.virtual_time);
        }
        if front {
            lane.waiting.push_front(request);
        } else {
            lane.waiting.push_back(request);
        }
        self.len += 1;
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<PendingRequest> {
        for lanes in self.priorities.values_mut() {
            let next = lanes
                .values_mut()
                .filter(|lane| !lane.waiting.is_empty())
                .min_by_key(|lane| lane.due);
            let Some(lane) = next else {
                continue;
            };
            let Some(request) = lane.waiting.pop_front() else {
                continue;
            };
            self.virtual_time = self.virtual_time.max(lane.due);
            lane.due += VIRTUAL_TIME_PER_REQUEST / u64::from(request.weight.max(1));
            self.len -= 1;
            return Some(request);
        }
        None
    }

    /// Estimates how many requests would be served before a new one of `customer` with this priority and weight.
    pub fn ahead_of(&self, customer: &str, priority: u8, weight: u32) -> usize {
        let mut ahead = 0;
        for (Reverse(level), lanes) in &self.priorities {
            if *level < priority {
                break;
            }
            if *level > priority {
                ahead += lanes.values().map(|lane| lane.waiting.len()).sum::<usize>();
                continue;
            }
            let own = lanes.get(customer).map_or(0, |lane| lane.waiting.len());
            ahead += own;
            // While this customer's requests are served, each other lane gets as many turns as its weight allows.
            for (_, lane) in lanes.iter().filter(|(name, _)| &***name != customer) {
                let other_weight = lane
                    .waiting
                    .front()
                    .map_or(1, |request| request.weight.max(1));
                let turns = (own + 1) * to_usize(other_weight) / to_usize(weight.max(1)).max(1);
                ahead += lane.waiting.len().min(turns.max(1));
            }
        }
        ahead
    }

    /// Allows queued requests to be forwarded to `entry` again. The entry refused them because it had no free slot at that time. If the refusal
    /// were kept, a request that fails on its own entry's targets would wait until its deadline although `entry` has free slots.
    pub fn clear_refusals_of(&mut self, entry: &Arc<str>) {
        let lanes = self
            .priorities
            .values_mut()
            .flat_map(|lanes| lanes.values_mut());
        for request in lanes.flat_map(|lane| lane.waiting.iter_mut()) {
            request.refused_by.remove(entry);
        }
    }

    /// Removes and returns the requests that match `predicate`.
    pub fn remove_where(
        &mut self,
        predicate: impl Fn(&PendingRequest) -> bool,
    ) -> Vec<PendingRequest> {
        let mut removed = Vec::new();
        for lane in self
            .priorities
            .values_mut()
            .flat_map(|lanes| lanes.values_mut())
        {
            let (matching, kept) = std::mem::take(&mut lane.waiting)
                .into_iter()
                .partition(|request| predicate(request));
            lane.waiting = kept;
            let matching: VecDeque<PendingRequest> = matching;
            removed.extend(matching);
        }
        self.len -= removed.len();
        // Lanes of inactive customers are removed, so that the map doesn't grow with every customer name.
        let now = self.virtual_time;
        for lanes in self.priorities.values_mut() {
            lanes.retain(|_, lane| !lane.waiting.is_empty() || lane.due > now);
        }
        removed
    }
}

fn to_usize(count: u32) -> usize {
    // Lossless on the supported 32- and 64-bit platforms.
    count as usize
}
