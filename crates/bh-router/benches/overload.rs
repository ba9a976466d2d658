//! Measures the goodput of eight entries and fifty workers at half to five times their capacity, with failing workers and a
//! killed entry, and compares it with a first-come queue without admission control.
//!
//! `cargo bench -p bh-router --bench overload`. A deterministic driver runs the pure router without a network.

use bh_membership::Grant;
use bh_membership::GrantedTarget;
use bh_membership::OwnedTargets;
use bh_protocol::target::Announcement;
use bh_router::AttemptOutcome;
use bh_router::Decision;
use bh_router::PendingRequest;
use bh_router::Router;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

const ENTRIES: usize = 8;
const TARGETS: usize = 50;
const SLOTS: u32 = 8;
const SERVICE_MS: f64 = 40.0;
const DEADLINE_MS: u64 = 400;
const LENGTH_MS: u64 = 20_000;
const HEARTBEAT_MS: u64 = 200;
const HOP_MS: u64 = 1;
const FAIL_MS: u64 = 1;
/// Time after which the targets of a killed entry have new owners.
const TAKEOVER_MS: u64 = 3_500;
/// Name, share of the arrivals and weight of each customer. The first one floods the entries.
const CUSTOMERS: [(&str, f64, u32); 4] = [
    ("flood", 0.70, 1),
    ("grocer", 0.10, 1),
    ("bakery", 0.10, 1),
    ("press", 0.10, 1),
];

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrive {
        customer: usize,
    },
    Done {
        entry: usize,
        id: u64,
        target: Arc<str>,
        ok: bool,
        took_ms: u64,
    },
    Forwarded {
        from: usize,
        to: usize,
        id: u64,
        pending: PendingRequest,
    },
    ForwardRefused {
        entry: usize,
        id: u64,
        by: Arc<str>,
    },
    Heartbeat,
    Kill,
    TakeOver,
}

#[derive(Default)]
struct Counters {
    offered: u64,
    good: u64,
    refused: u64,
    late: u64,
    failed: u64,
    attempts: u64,
    latencies: Vec<u64>,
    refusal_waits: Vec<u64>,
    by_customer: BTreeMap<usize, (u64, u64)>,
}

struct Request {
    customer: usize,
    arrived_ms: u64,
    entry: usize,
    closed: bool,
}

struct Bench {
    now_ms: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    routers: Vec<Router>,
    alive: Vec<bool>,
    owned: Vec<Vec<usize>>,
    broken: BTreeSet<usize>,
    requests: BTreeMap<u64, Request>,
    pending_requests: BTreeMap<u64, PendingRequest>,
    random: Random,
    counters: Counters,
    next_id: u64,
}

fn entry_name(index: usize) -> Arc<str> {
    Arc::from(format!("e{index}"))
}

fn grant(targets: &[usize]) -> Grant {
    let granted = |index: &usize| GrantedTarget {
        target: Announcement {
            name: Arc::from(format!("t{index}")),
            incarnation: 1,
            data_centre: Arc::from("a"),
            rack: Arc::from("r"),
            address: Arc::from("127.0.0.1:1"),
            cores: 1,
            memory_mib: 1,
            accelerators: 8,
            slots: SLOTS,
            connections: 64,
            busy_slots: 0,
            leaving: false,
            tasks: Vec::new(),
        },
        withheld: 0,
        release: false,
    };
    Grant {
        lease_ms: 1_000_000,
        targets: Some(targets.iter().map(granted).collect()),
        ..Grant::default()
    }
}

impl Bench {
    fn new(load: f64, broken: usize, kill: bool) -> Self {
        let owned: Vec<Vec<usize>> = (0..ENTRIES)
            .map(|entry| {
                (0..TARGETS)
                    .filter(|target| target % ENTRIES == entry)
                    .collect()
            })
            .collect();
        let mut routers = Vec::new();
        for (entry, targets) in owned.iter().enumerate() {
            let mut owned_targets = OwnedTargets::new(entry_name(entry), 1);
            owned_targets.accept(1, grant(targets));
            routers.push(Router::new(owned_targets));
        }
        let mut bench = Self {
            now_ms: 1,
            sequence: 0,
            events: BTreeMap::new(),
            routers,
            alive: vec![true; ENTRIES],
            owned,
            broken: (0..broken).map(|index| index * 9).collect(),
            requests: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            random: Random(0x1234_5678_9abc_def1),
            counters: Counters::default(),
            next_id: 1,
        };
        let capacity_per_ms = TARGETS as f64 * f64::from(SLOTS) / SERVICE_MS;
        let mut at = 1.0;
        while at < LENGTH_MS as f64 {
            at += -(1.0 - bench.random.unit()).ln() / (capacity_per_ms * load);
            let pick = bench.random.unit();
            let mut sum = 0.0;
            let customer = CUSTOMERS.iter().position(|(_, share, _)| {
                sum += share;
                pick < sum
            });
            bench.at(
                at as u64,
                Event::Arrive {
                    customer: customer.unwrap_or(0),
                },
            );
        }
        for beat in 1..LENGTH_MS / HEARTBEAT_MS + 5 {
            bench.at(beat * HEARTBEAT_MS, Event::Heartbeat);
        }
        if kill {
            bench.at(LENGTH_MS / 3, Event::Kill);
            bench.at(LENGTH_MS / 3 + TAKEOVER_MS, Event::TakeOver);
        }
        bench.heartbeat();
        bench
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_ms, self.sequence), event);
    }

    fn later(&mut self, after_ms: u64, event: Event) {
        self.at(self.now_ms + after_ms, event);
    }

    fn run(mut self) -> Counters {
        while let Some(((at, _), event)) = self.events.pop_first() {
            while self.now_ms < at {
                self.now_ms += 1;
                if self.now_ms.is_multiple_of(20) {
                    self.tick();
                }
            }
            self.handle(event);
        }
        self.counters
    }

    fn tick(&mut self) {
        for entry in 0..ENTRIES {
            if self.alive[entry] {
                let decisions = self.routers[entry].tick(self.now_ms);
                self.carry_out(entry, decisions);
            }
        }
    }

    fn heartbeat(&mut self) {
        let free: Vec<u32> = self
            .routers
            .iter()
            .map(|router| router.spare_slots(self.now_ms))
            .collect();
        for entry in 0..ENTRIES {
            for (other, slots) in free.iter().enumerate().filter(|(other, _)| *other != entry) {
                let slots = self.alive[other].then_some(*slots);
                self.routers[entry].set_peer_free_slots(&entry_name(other), slots);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { customer } => self.arrive(customer),
            Event::Done {
                entry,
                id,
                target,
                ok,
                took_ms,
            } => self.done(entry, id, &target, ok, took_ms),
            Event::Forwarded {
                from,
                to,
                id,
                pending,
            } => self.forwarded_to(from, to, id, pending),
            Event::ForwardRefused { entry, id, by } => {
                let decisions = self.routers[entry].forward_refused(self.now_ms, id, &by);
                self.carry_out(entry, decisions);
            }
            Event::Heartbeat => self.heartbeat(),
            Event::Kill => {
                self.alive[ENTRIES - 1] = false;
                self.heartbeat();
                let lost: Vec<u64> = self
                    .requests
                    .iter()
                    .filter(|(_, r)| r.entry == ENTRIES - 1 && !r.closed)
                    .map(|(id, _)| *id)
                    .collect();
                for id in lost {
                    self.close(id, false, true);
                }
            }
            Event::TakeOver => {
                let orphans = self.owned[ENTRIES - 1].clone();
                for (index, target) in orphans.into_iter().enumerate() {
                    self.owned[index % (ENTRIES - 1)].push(target);
                }
                for entry in 0..ENTRIES - 1 {
                    let targets = grant(&self.owned[entry]);
                    self.routers[entry]
                        .owned_targets
                        .accept(self.now_ms, targets);
                }
            }
        }
    }

    fn arrive(&mut self, customer: usize) {
        let id = self.next_id;
        self.next_id += 1;
        let mut entry = (self.random.next() % ENTRIES as u64) as usize;
        if !self.alive[entry] {
            entry = (entry + 1) % ENTRIES;
        }
        self.counters.offered += 1;
        self.counters.by_customer.entry(customer).or_default().0 += 1;
        self.requests.insert(
            id,
            Request {
                customer,
                arrived_ms: self.now_ms,
                entry,
                closed: false,
            },
        );
        let (name, _, weight) = CUSTOMERS[customer];
        let pending = PendingRequest {
            id,
            customer: Arc::from(name),
            weight,
            request_type: Arc::from("read"),
            priority: 5,
            deadline_ms: self.now_ms + DEADLINE_MS,
            idempotent: true,
            forwarded: false,
            failed_on: BTreeSet::new(),
            refused_by: BTreeSet::new(),
            attempts: 0,
            arrived_ms: self.now_ms,
        };
        self.pending_requests.insert(id, pending.clone());
        let decisions = self.routers[entry].arrive(self.now_ms, pending);
        self.carry_out(entry, decisions);
    }

    fn carry_out(&mut self, entry: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { id, target, .. } => {
                    self.counters.attempts += 1;
                    let index: usize = target[1..].parse().unwrap_or(0);
                    let ok = !self.broken.contains(&index);
                    let service = -(1.0 - self.random.unit()).ln() * SERVICE_MS;
                    let took_ms = if ok { (service as u64).max(1) } else { FAIL_MS };
                    self.later(
                        took_ms,
                        Event::Done {
                            entry,
                            id,
                            target,
                            ok,
                            took_ms,
                        },
                    );
                }
                Decision::Forward { id, entry: to } => {
                    let to: usize = to[1..].parse().unwrap_or(0);
                    let pending = self.pending_requests[&id].clone();
                    self.later(
                        HOP_MS,
                        Event::Forwarded {
                            from: entry,
                            to,
                            id,
                            pending,
                        },
                    );
                }
                Decision::Refuse { id, .. } => self.refused(entry, id),
            }
        }
    }

    fn forwarded_to(&mut self, from: usize, to: usize, id: u64, pending: PendingRequest) {
        if !self.alive[to] {
            self.later(
                HOP_MS,
                Event::ForwardRefused {
                    entry: from,
                    id,
                    by: entry_name(to),
                },
            );
            return;
        }
        let pending = PendingRequest {
            forwarded: true,
            ..pending
        };
        let decisions = self.routers[to].arrive(self.now_ms, pending);
        self.carry_out_forwarded(from, to, id, decisions);
    }

    /// Carries out the decisions about a forwarded request. If the entry refuses the request, it is sent back.
    fn carry_out_forwarded(&mut self, from: usize, to: usize, id: u64, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Refuse { id: other, .. } if other == id => {
                    self.later(
                        HOP_MS,
                        Event::ForwardRefused {
                            entry: from,
                            id,
                            by: entry_name(to),
                        },
                    );
                }
                other => self.carry_out(to, vec![other]),
            }
        }
    }

    fn refused(&mut self, entry: usize, id: u64) {
        let home = self
            .requests
            .get(&id)
            .map_or(entry, |request| request.entry);
        if home != entry {
            self.later(
                HOP_MS,
                Event::ForwardRefused {
                    entry: home,
                    id,
                    by: entry_name(entry),
                },
            );
            return;
        }
        if let Some(request) = self.requests.get(&id) {
            self.counters
                .refusal_waits
                .push(self.now_ms - request.arrived_ms);
        }
        self.close(id, false, false);
    }

    fn done(&mut self, entry: usize, id: u64, target: &Arc<str>, ok: bool, took_ms: u64) {
        if !self.alive[entry] {
            return;
        }
        let outcome = if ok {
            AttemptOutcome::Answered
        } else {
            AttemptOutcome::Failed
        };
        let (will_retry, decisions) =
            self.routers[entry].finished(self.now_ms, id, target, outcome, took_ms);
        self.carry_out(entry, decisions);
        if will_retry {
            return;
        }
        let home = self
            .requests
            .get(&id)
            .map_or(entry, |request| request.entry);
        if home != entry {
            self.routers[home].forward_ended(id);
        }
        self.close(id, ok, true);
    }

    fn close(&mut self, id: u64, ok: bool, ran: bool) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.closed) else {
            return;
        };
        request.closed = true;
        let took_ms = self.now_ms - request.arrived_ms;
        match (ok, ran) {
            (true, _) if took_ms <= DEADLINE_MS => {
                self.counters.good += 1;
                self.counters.latencies.push(took_ms);
                self.counters
                    .by_customer
                    .entry(request.customer)
                    .or_default()
                    .1 += 1;
            }
            (true, _) => self.counters.late += 1,
            (false, true) => self.counters.failed += 1,
            (false, false) => self.counters.refused += 1,
        }
        self.pending_requests.remove(&id);
    }
}

/// Returns the goodput of a single first-come queue in which every request runs to its end, whatever its deadline.
fn first_come_goodput(load: f64) -> f64 {
    let mut random = Random(0x1234_5678_9abc_def1);
    let capacity_per_ms = TARGETS as f64 * f64::from(SLOTS) / SERVICE_MS;
    let (mut at, mut good) = (1.0, 0u64);
    let mut heap: std::collections::BinaryHeap<std::cmp::Reverse<u64>> = (0..TARGETS
        * SLOTS as usize)
        .map(|_| std::cmp::Reverse(0))
        .collect();
    while at < LENGTH_MS as f64 {
        at += -(1.0 - random.unit()).ln() / (capacity_per_ms * load);
        let service = -(1.0 - random.unit()).ln() * SERVICE_MS;
        let std::cmp::Reverse(free_us) = heap.pop().unwrap_or(std::cmp::Reverse(0));
        let start_us = free_us.max((at * 1_000.0) as u64);
        let end_us = start_us + (service * 1_000.0) as u64;
        heap.push(std::cmp::Reverse(end_us));
        if end_us as f64 / 1_000.0 - at <= DEADLINE_MS as f64 {
            good += 1;
        }
    }
    good as f64 / (LENGTH_MS as f64 / 1_000.0)
}

fn percentile(values: &mut [u64], share: f64) -> u64 {
    values.sort_unstable();
    values
        .get(((values.len() as f64 - 1.0).max(0.0) * share) as usize)
        .copied()
        .unwrap_or(0)
}

fn print(load: f64, broken: usize, kill: bool) {
    let mut counters = Bench::new(load, broken, kill).run();
    let seconds = LENGTH_MS as f64 / 1_000.0;
    let goodput = counters.good as f64 / seconds;
    let share = |customer: usize| {
        let (offered, good) = counters
            .by_customer
            .get(&customer)
            .copied()
            .unwrap_or_default();
        good as f64 / offered.max(1) as f64
    };
    let (flood, grocer, press) = (share(0), share(1), share(3));
    let wasted =
        (counters.attempts as f64 - counters.good as f64) / counters.attempts.max(1) as f64;
    println!(
        "{load:>4} {broken:>6} {:>6} | {:>8.0} {:>7.0} | {:>8} {:>5} {:>6} | {:>4} {:>4} | {:.3} | {flood:.2} {grocer:.2} {press:.2} | {}",
        if kill { "yes" } else { "no" },
        goodput,
        first_come_goodput(load),
        counters.refused,
        counters.late,
        counters.failed,
        percentile(&mut counters.latencies, 0.5),
        percentile(&mut counters.latencies, 0.99),
        wasted,
        percentile(&mut counters.refusal_waits, 0.99),
    );
}

fn main() {
    println!(
        "load broken killed | goodput first-come | refused late failed | p50 p99 ms | wasted | answered: flood grocer press | refusal p99 ms"
    );
    for load in [0.5, 0.9, 1.0, 1.2, 2.0, 5.0] {
        print(load, 0, false);
    }
    for broken in [1, 5] {
        print(0.7, broken, false);
        print(2.0, broken, false);
    }
    print(0.7, 0, true);
    print(2.0, 0, true);
}
