//! A leader that handles calls and the iterations of its loop one at a time, in the order of their arrival.

use super::POOL;
use super::Site;
use super::place;
use super::step;
use bh_workload::admission::AdmissionController;
use bh_workload::admission::AdmissionPolicy;
use bh_workload::admission::Backlog;
use bh_workload::admission::CallId;
use bh_workload::admission::OpenCalls;
use bh_workload::admission::RefusalReason;
use bh_workload::admission::ShedLevel;
use bh_workload::job::JobId;
use bh_workload::job::JobSpec;
use bh_workload::state::Command;
use bh_workload::state::Place;
use bh_workload::state::Reply;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Time between iterations of the leader's loop, in milliseconds.
pub const LOOP_MS: u64 = 50;
/// Time that the leader takes to handle a call, in microseconds: it carries 200 calls a second.
const CALL_US: u64 = 5_000;
/// Time that the leader takes to refuse a call, in microseconds. Refusing costs the reading of the call, but no record.
const REFUSAL_US: u64 = 500;
const MS: u64 = 1_000;

/// Kinds of calls. `Worker` stands for leases, ends, orders and heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Worker,
    Urgent,
    QueueRead,
    Normal,
    Lowest,
}

/// Kinds of calls, and their shares in thousandths of the calls at any load. What is never shed takes a tenth, so that the leader can carry
/// it at five times the load.
const SHARES: [(Kind, u64); 5] = [
    (Kind::Worker, 60),
    (Kind::Urgent, 40),
    (Kind::QueueRead, 150),
    (Kind::Normal, 300),
    (Kind::Lowest, 450),
];

/// What became of the calls of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub served: u64,
    pub refused: u64,
    /// When the first and the last one were refused, in milliseconds.
    refused_ms: Option<(u64, u64)>,
    /// Longest time from the arrival to the answer, in milliseconds.
    pub slowest_ms: u64,
}

impl Outcomes {
    /// Returns when the first call was refused, in milliseconds; the maximum if none was.
    pub fn first_refused_ms(&self) -> u64 {
        self.refused_ms.map_or(u64::MAX, |(first_ms, _)| first_ms)
    }

    /// Returns when the last call was refused, in milliseconds; 0 if none was.
    pub fn last_refused_ms(&self) -> u64 {
        self.refused_ms.map_or(0, |(_, last_ms)| last_ms)
    }
}

#[derive(Clone, Copy, Debug)]
enum Arrival {
    Iteration,
    Call(Kind, CallId),
}

/// The modelled leader and what has become of its calls.
pub struct ModelledLeader {
    pub site: Site,
    pub admission: AdmissionController,
    pub outcomes: BTreeMap<Kind, Outcomes>,
    /// Jobs that were accepted.
    pub accepted: Vec<Place>,
    /// Level after each iteration, with its time in milliseconds.
    pub levels: Vec<(u64, ShedLevel)>,
    /// When the leader is free, in microseconds.
    free_us: u64,
    now_us: u64,
    /// Calls that are due but not a whole call yet, in millionths.
    partial: BTreeMap<Kind, u64>,
    open_calls: OpenCalls,
    queue: VecDeque<(u64, Arrival)>,
    /// When the next iteration is due, in microseconds; `None` while it waits in the queue.
    next_iteration_us: Option<u64>,
    next_job: u64,
}

impl ModelledLeader {
    /// Creates a leader that sheds load.
    pub fn new() -> Self {
        let policy = AdmissionPolicy::new().with_load_shedding();
        Self {
            site: Site::new(4, 4),
            admission: AdmissionController::new(policy, LOOP_MS),
            outcomes: BTreeMap::new(),
            accepted: Vec::new(),
            levels: Vec::new(),
            free_us: 0,
            now_us: MS,
            partial: BTreeMap::new(),
            open_calls: OpenCalls::new(),
            queue: VecDeque::new(),
            next_iteration_us: Some(MS),
            next_job: 1,
        }
    }

    /// Runs for `duration_ms` at `percent` of the load that the leader can carry.
    pub fn run(&mut self, duration_ms: u64, percent: u64) {
        for _ in 0..duration_ms {
            self.now_us += MS;
            self.arrive(percent);
            while let Some((arrived_us, arrival)) = self.queue.front().copied() {
                let start_us = self.free_us.max(arrived_us);
                if start_us > self.now_us {
                    break;
                }
                self.queue.pop_front();
                self.site.now_ms = start_us / MS;
                self.free_us = start_us;
                match arrival {
                    Arrival::Iteration => self.iterate(),
                    Arrival::Call(kind, call) => {
                        self.handle(kind, arrived_us);
                        self.open_calls.end(call);
                    }
                }
            }
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.now_us / MS
    }

    pub fn outcomes_of(&self, kind: Kind) -> Outcomes {
        self.outcomes.get(&kind).copied().unwrap_or_default()
    }

    /// Adds the calls that arrive within the last millisecond.
    fn arrive(&mut self, percent: u64) {
        if let Some(due_us) = self
            .next_iteration_us
            .take_if(|due_us| *due_us <= self.now_us)
        {
            self.queue.push_back((due_us, Arrival::Iteration));
        }
        for (kind, share) in SHARES {
            let partial = self.partial.entry(kind).or_default();
            // Capacity per millisecond (MS / CALL_US) times percent times share, in millionths.
            *partial += MS * 1_000_000 / CALL_US * percent * share / 100 / 1_000;
            while *partial >= 1_000_000 {
                *partial -= 1_000_000;
                let call = self.open_calls.begin(self.now_us / MS);
                self.queue
                    .push_back((self.now_us, Arrival::Call(kind, call)));
            }
        }
    }

    fn iterate(&mut self) {
        self.admission
            .note_iteration(self.site.now_ms, self.open_calls.oldest_ms());
        self.levels.push((self.site.now_ms, self.admission.level()));
        self.next_iteration_us = Some(self.free_us + LOOP_MS * MS);
    }

    fn handle(&mut self, kind: Kind, arrived_us: u64) {
        self.admission
            .note_call(self.site.now_ms, self.open_calls.oldest_ms());
        let is_refused = match kind {
            Kind::Worker => false,
            Kind::QueueRead => self.read_is_shed(),
            Kind::Urgent => self.submission_is_refused(0),
            Kind::Normal => self.submission_is_refused(1),
            Kind::Lowest => self.submission_is_refused(2),
        };
        self.free_us += if is_refused { REFUSAL_US } else { CALL_US };
        let now_ms = self.site.now_ms;
        let outcomes = self.outcomes.entry(kind).or_default();
        outcomes.slowest_ms = outcomes.slowest_ms.max((self.free_us - arrived_us) / MS);
        if is_refused {
            outcomes.refused += 1;
            let first_ms = outcomes.refused_ms.map_or(now_ms, |(first_ms, _)| first_ms);
            outcomes.refused_ms = Some((first_ms, now_ms));
        } else {
            outcomes.served += 1;
        }
    }

    fn read_is_shed(&self) -> bool {
        let place = Place {
            path: Arc::from("/p1/"),
            ..place(1, "other", JobId(0))
        };
        self.admission
            .shed_queue_read(&place, &self.site.workload)
            .is_some()
    }

    fn submission_is_refused(&mut self, priority: u32) -> bool {
        let place = place(priority, "other", JobId(self.next_job));
        self.next_job += 1;
        let refused = self.check(&place);
        if let Some(reason) = refused {
            assert_eq!(reason, RefusalReason::LeaderBehind);
            return true;
        }
        let command = Command::Accept {
            place: place.clone(),
            spec: spec(),
            now_ms: self.site.wall_ms(),
        };
        assert_eq!(self.site.workload.apply(command), Reply::Done);
        self.accepted.push(place);
        false
    }

    /// Returns why a submission at `place` is refused, if it is.
    pub fn check(&mut self, place: &Place) -> Option<RefusalReason> {
        let Site {
            workload, planner, ..
        } = &self.site;
        let (now_ms, wall_ms) = (self.site.now_ms, self.site.wall_ms());
        if self.admission.needs_backlog(now_ms) {
            let backlog = Backlog::new(wall_ms, workload, planner);
            self.admission.set_backlog((now_ms, 0), backlog, workload);
        }
        let refused = self
            .admission
            .check(wall_ms, (place, &spec()), workload, planner)?;
        self.admission.note_refused(&refused);
        Some(refused.reason)
    }
}

fn spec() -> JobSpec {
    JobSpec {
        text: Arc::from(POOL),
        steps: vec![step(1, 1)],
        schedule: None,
    }
}
