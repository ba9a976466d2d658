//! Baseline policies without reservations and preemption: a job runs to its end where it is placed first.

use super::trace::Arrival;
use super::trace::Profile;
use bh_protocol::shape::Adjacency;
use bh_protocol::shape::Shape;
use std::collections::BTreeMap;

/// How a baseline chooses a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The first worker or rack with enough free accelerators.
    FirstFit,
    /// The worker or rack with the fewest accelerators left over.
    BestFit,
    /// Each customer has its own racks.
    StaticPartition,
}

struct Worker {
    free: u32,
    rack: usize,
}

/// A finished job.
pub struct Finished {
    pub arrival: usize,
    pub started_ms: u64,
    pub ended_ms: u64,
}

pub struct Baseline {
    mode: Mode,
    workers: Vec<Worker>,
    racks: Vec<Vec<usize>>,
    queue: Vec<usize>,
    running: BTreeMap<(u64, usize), Vec<usize>>,
    owners: Vec<Option<&'static str>>,
    pub finished: Vec<Finished>,
    started: BTreeMap<usize, u64>,
}

impl Baseline {
    pub fn new(mode: Mode, profile: &Profile) -> Self {
        let racks_count = profile.workers.div_ceil(profile.per_rack) as usize;
        let workers: Vec<Worker> = (0..profile.workers)
            .map(|index| Worker {
                free: profile.accelerators,
                rack: (index / profile.per_rack) as usize,
            })
            .collect();
        let mut racks = vec![Vec::new(); racks_count];
        for (index, worker) in workers.iter().enumerate() {
            racks[worker.rack].push(index);
        }
        // Cumulative shares of the load: grocer 17 %, archive 39 %, press 17 %, bakery and market 14 % each.
        let shares = [
            ("grocer", 0.17),
            ("archive", 0.56),
            ("press", 0.73),
            ("bakery", 0.87),
            ("market", 1.01),
        ];
        let owners = (0..racks_count)
            .map(|rack| {
                let place = (rack as f64 + 0.5) / racks_count as f64;
                shares
                    .iter()
                    .find(|(_, until)| place < *until)
                    .map(|(name, _)| *name)
            })
            .collect();
        Self {
            mode,
            workers,
            racks,
            queue: Vec::new(),
            running: BTreeMap::new(),
            owners,
            finished: Vec::new(),
            started: BTreeMap::new(),
        }
    }

    fn admits(&self, rack: usize, customer: &str) -> bool {
        self.mode != Mode::StaticPartition
            || self.owners[rack].is_none_or(|owner| owner == customer)
    }

    fn place(&self, shape: &Shape, customer: &str) -> Option<Vec<usize>> {
        let per_task = shape.accelerators_per_task;
        let mut best: Option<(u32, usize, Vec<usize>)> = None;
        for (rack, members) in self.racks.iter().enumerate() {
            if !self.admits(rack, customer) {
                continue;
            }
            if shape.adjacent == Adjacency::Worker {
                for worker in members {
                    let free = self.workers[*worker].free;
                    if free >= shape.accelerators() {
                        self.keep_better(
                            &mut best,
                            free - shape.accelerators(),
                            *worker,
                            vec![*worker; shape.tasks as usize],
                        );
                    }
                }
            } else {
                let fitting_tasks: u32 = members
                    .iter()
                    .map(|worker| self.workers[*worker].free / per_task)
                    .sum();
                if fitting_tasks >= shape.tasks {
                    let left = members
                        .iter()
                        .map(|worker| self.workers[*worker].free)
                        .sum::<u32>()
                        - shape.accelerators();
                    let mut places = Vec::new();
                    for worker in members {
                        for _ in 0..self.workers[*worker].free / per_task {
                            if places.len() < shape.tasks as usize {
                                places.push(*worker);
                            }
                        }
                    }
                    self.keep_better(&mut best, left, rack, places);
                }
            }
        }
        best.map(|(_, _, places)| places)
    }

    fn keep_better(
        &self,
        best: &mut Option<(u32, usize, Vec<usize>)>,
        left: u32,
        index: usize,
        places: Vec<usize>,
    ) {
        let better = match best {
            None => true,
            Some((other, _, _)) => self.mode == Mode::BestFit && left < *other,
        };
        if better {
            *best = Some((left, index, places));
        }
    }

    fn dispatch(&mut self, now_ms: u64, arrivals: &[Arrival]) {
        let mut waiting = Vec::new();
        let mut failed: std::collections::BTreeSet<(Shape, String)> =
            std::collections::BTreeSet::new();
        for index in std::mem::take(&mut self.queue) {
            let arrival = &arrivals[index];
            let key = (
                arrival.spec.shape,
                if self.mode == Mode::StaticPartition {
                    arrival.spec.customer.to_string()
                } else {
                    String::new()
                },
            );
            if failed.contains(&key) {
                waiting.push(index);
                continue;
            }
            match self.place(&arrival.spec.shape, &arrival.spec.customer) {
                Some(places) => {
                    for worker in &places {
                        self.workers[*worker].free -= arrival.spec.shape.accelerators_per_task;
                    }
                    self.started.insert(index, now_ms);
                    self.running
                        .insert((now_ms + arrival.run_ms, index), places);
                }
                None => {
                    failed.insert(key);
                    waiting.push(index);
                }
            }
        }
        self.queue = waiting;
    }

    /// Share of free accelerators that no whole copy of the shape can use.
    fn fragmentation(&self, shape: &Shape) -> f64 {
        let free: u32 = self.workers.iter().map(|worker| worker.free).sum();
        let copies: u32 = self
            .racks
            .iter()
            .map(|members| {
                members
                    .iter()
                    .map(|worker| self.workers[*worker].free / shape.accelerators_per_task)
                    .sum::<u32>()
                    / shape.tasks
            })
            .sum();
        if free == 0 {
            0.0
        } else {
            1.0 - f64::from(copies * shape.accelerators()) / f64::from(free)
        }
    }

    /// Runs all jobs to their ends. Returns the mean fragmentation, sampled once a minute until the last arrival.
    pub fn run(&mut self, arrivals: &[Arrival], shape: &Shape) -> f64 {
        let mut next = 0;
        let mut samples = (0.0, 0u32);
        let mut next_sample = 60_000;
        while next < arrivals.len() || !self.running.is_empty() {
            let arrival_ms = arrivals.get(next).map(|arrival| arrival.at_ms);
            let end_ms = self.running.first_key_value().map(|((end, _), _)| *end);
            let now_ms = match (arrival_ms, end_ms) {
                (Some(arrival), Some(end)) => arrival.min(end),
                (Some(arrival), None) => arrival,
                (None, Some(end)) => end,
                (None, None) => break,
            };
            while next_sample <= now_ms && next < arrivals.len() {
                samples = (samples.0 + self.fragmentation(shape), samples.1 + 1);
                next_sample += 60_000;
            }
            while let Some(((end, index), _)) = self
                .running
                .first_key_value()
                .filter(|((end, _), _)| *end <= now_ms)
                .map(|(key, v)| (*key, v.len()))
            {
                let places = self.running.remove(&(end, index)).unwrap_or_default();
                for worker in places {
                    self.workers[worker].free += arrivals[index].spec.shape.accelerators_per_task;
                }
                self.finished.push(Finished {
                    arrival: index,
                    started_ms: self.started[&index],
                    ended_ms: end,
                });
            }
            while arrivals
                .get(next)
                .is_some_and(|arrival| arrival.at_ms <= now_ms)
            {
                self.queue.push(next);
                next += 1;
            }
            self.dispatch(now_ms, arrivals);
        }
        samples.0 / f64::from(samples.1.max(1))
    }
}
