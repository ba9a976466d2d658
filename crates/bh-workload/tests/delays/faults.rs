//! Faults of a site while its jobs run, and the strategies that generate them.

use super::fleet::Fleet;
use bh_testkit::model_worker::ProtocolFault;
use proptest::prelude::*;

/// Number of workers of a small site.
pub const WORKERS: usize = 4;
/// Faults start within this time, in milliseconds.
pub const FAULT_WINDOW_MS: u64 = 15_000;
/// Longest time that an order, answer or heartbeat is delayed, in milliseconds.
pub const MAX_DELAY_MS: u64 = 3_000;

/// A fault of a site.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Orders, answers and heartbeats of a worker are lost.
    Disconnect { worker: usize, duration_ms: u64 },
    /// A worker crashes and restarts under another identity.
    Restart { worker: usize },
    /// A worker that runs a member of a gang crashes and restarts under another identity.
    CrashGangMember,
    /// The leader is replaced as soon as ends wait to be committed, after `gap_ms` without a leader. Up to `lost` of the newest proposals
    /// are lost. If another core leads next, the deposed leader keeps sending orders for `deposed_ms`.
    ReplaceLeader {
        same_core: bool,
        lost: usize,
        gap_ms: u64,
        deposed_ms: u64,
    },
    /// A share of orders, in percent, reaches the worker up to three seconds late.
    LateOrders { percent: u64, duration_ms: u64 },
    /// A share of answers, in percent, takes up to three seconds; the leader gives up waiting for those that take too long.
    LateAnswers { percent: u64, duration_ms: u64 },
    /// A share of answers, in percent, arrives in time, and the leader reads each of them up to three seconds later.
    LateReads { percent: u64, duration_ms: u64 },
    /// A share of connections, in percent, breaks after the worker has executed the order.
    BrokenConnections { percent: u64, duration_ms: u64 },
    /// A share of connections, in percent, breaks and the order is sent again at once; the leader gets the answer to the second copy.
    ResentOrders { percent: u64, duration_ms: u64 },
    /// The cores that carry a share of orders, in percent, are lost: the order is executed at once, seconds later, or never.
    LostCarriers { percent: u64, duration_ms: u64 },
    /// The leader gets no processor time: between two turns of its loop, or between its decision and the sending of its orders.
    Stall { duration_ms: u64, in_turn: bool },
    /// No proposal is committed.
    StuckRecords { duration_ms: u64 },
    /// A share of proposals, in percent, is refused at once.
    RefusedRecords { percent: u64, duration_ms: u64 },
    /// Busy workers deny a share of orders, in percent, and do nothing else.
    BusyWorkers { percent: u64, duration_ms: u64 },
    /// All runs that a worker starts fail.
    FailingWorker { worker: usize, duration_ms: u64 },
    /// The leader stops the runs of a job, to restart them elsewhere.
    StopRuns { job: usize },
    /// A share of heartbeats, in percent, is up to three seconds late, and the same share is lost.
    LateHeartbeats { percent: u64, duration_ms: u64 },
    /// One of two data centres is evacuated.
    Evacuation { far: bool, duration_ms: u64 },
    /// A queue is missing from the rules.
    MissingQueue { priority: u32, duration_ms: u64 },
    /// Jobs may fail only once.
    FewerAttempts { duration_ms: u64 },
}

impl Fault {
    /// Returns the duration of a fault that has an explicit start and end, in milliseconds; `None` for any other.
    pub fn timed_duration_ms(&self) -> Option<u64> {
        match self {
            Fault::Disconnect { duration_ms, .. }
            | Fault::Evacuation { duration_ms, .. }
            | Fault::MissingQueue { duration_ms, .. }
            | Fault::FewerAttempts { duration_ms } => Some(*duration_ms),
            _ => None,
        }
    }

    /// Returns for how long a fault without an explicit end disturbs the site from its start, in milliseconds.
    pub fn disturbance_ms(&self) -> u64 {
        match self {
            Fault::LateOrders { duration_ms, .. }
            | Fault::LateAnswers { duration_ms, .. }
            | Fault::LateReads { duration_ms, .. }
            | Fault::BrokenConnections { duration_ms, .. }
            | Fault::ResentOrders { duration_ms, .. }
            | Fault::LostCarriers { duration_ms, .. }
            | Fault::Stall { duration_ms, .. }
            | Fault::StuckRecords { duration_ms }
            | Fault::RefusedRecords { duration_ms, .. }
            | Fault::BusyWorkers { duration_ms, .. }
            | Fault::FailingWorker { duration_ms, .. }
            | Fault::LateHeartbeats { duration_ms, .. } => *duration_ms,
            _ => 0,
        }
    }
}

/// One case of the fuzz test.
#[derive(Clone, Debug)]
pub struct Case {
    /// Seed of everything that the faults don't determine.
    pub seed: u64,
    /// Longest time until a proposal is committed, in milliseconds.
    pub max_commit_ms: u64,
    /// Share of runs that fail, in percent.
    pub failing_percent: u64,
    /// Share of orders that busy workers deny at any time, in percent.
    pub busy_percent: u64,
    /// Faults and when each of them starts, in milliseconds.
    pub faults: Vec<(u64, Fault)>,
    /// How the workers break the protocol.
    pub protocol_fault: ProtocolFault,
    /// Whether some steps are gangs.
    pub gangs: bool,
    pub fleet: Fleet,
}

fn percent_and_duration() -> impl Strategy<Value = (u64, u64)> {
    (5u64..70, 300u64..8_000)
}

/// Faults of the leader, the workers, the network and the record.
pub fn fault() -> impl Strategy<Value = (u64, Fault)> {
    let kind = prop_oneof![
        2 => (0..WORKERS, 300u64..14_000).prop_map(|(worker, duration_ms)| Fault::Disconnect { worker, duration_ms }),
        1 => (0..WORKERS).prop_map(|worker| Fault::Restart { worker }),
        3 => (any::<bool>(), 0usize..5, 0u64..3_000, 0u64..1_500).prop_map(
            |(same_core, lost, gap_ms, deposed_ms)| Fault::ReplaceLeader { same_core, lost, gap_ms, deposed_ms }
        ),
        3 => percent_and_duration().prop_map(|(percent, duration_ms)| Fault::LateOrders { percent, duration_ms }),
        3 => percent_and_duration().prop_map(|(percent, duration_ms)| Fault::LateAnswers { percent, duration_ms }),
        3 => percent_and_duration().prop_map(|(percent, duration_ms)| Fault::LateReads { percent, duration_ms }),
        1 => percent_and_duration().prop_map(|(percent, duration_ms)| Fault::BrokenConnections { percent, duration_ms }),
        1 => percent_and_duration().prop_map(|(percent, duration_ms)| Fault::LostCarriers { percent, duration_ms }),
        3 => (50u64..MAX_DELAY_MS, any::<bool>()).prop_map(|(duration_ms, in_turn)| Fault::Stall { duration_ms, in_turn }),
        1 => (500u64..4_500).prop_map(|duration_ms| Fault::StuckRecords { duration_ms }),
        2 => percent_and_duration().prop_map(|(percent, duration_ms)| Fault::BusyWorkers { percent, duration_ms }),
        1 => (0..WORKERS, 500u64..8_000).prop_map(|(worker, duration_ms)| Fault::FailingWorker { worker, duration_ms }),
        1 => (0usize..8).prop_map(|job| Fault::StopRuns { job }),
    ];
    (0..FAULT_WINDOW_MS, kind)
}

/// The faults of [`fault`], and orders that are sent twice without the leader's knowledge.
pub fn fault_or_resent_order() -> impl Strategy<Value = (u64, Fault)> {
    let resent =
        (0..FAULT_WINDOW_MS, percent_and_duration()).prop_map(|(at_ms, (percent, duration_ms))| {
            (
                at_ms,
                Fault::ResentOrders {
                    percent,
                    duration_ms,
                },
            )
        });
    prop_oneof![2 => fault(), 1 => resent]
}

/// Workers that are cut off for about as long as a lease, and records that take about as long as their proposers wait.
pub fn long_disconnect_or_stuck_record() -> impl Strategy<Value = (u64, Fault)> {
    let kind = prop_oneof![
        1 => (0..WORKERS, 7_000u64..12_000).prop_map(|(worker, duration_ms)| Fault::Disconnect { worker, duration_ms }),
        1 => (2_000u64..4_500).prop_map(|duration_ms| Fault::StuckRecords { duration_ms }),
    ];
    (0..FAULT_WINDOW_MS, kind)
}

/// A case with faults of this strategy.
pub fn case(fault: impl Strategy<Value = (u64, Fault)>) -> impl Strategy<Value = Case> {
    let max_commit_ms = prop_oneof![1 => Just(1u64), 3 => 2u64..=500];
    let failing_percent = prop_oneof![1 => Just(0u64), 1 => 1u64..50];
    let busy_percent = prop_oneof![2 => Just(0u64), 1 => 1u64..20];
    let faults = proptest::collection::vec(fault, 0..20);
    (
        any::<u64>(),
        max_commit_ms,
        failing_percent,
        busy_percent,
        faults,
    )
        .prop_map(
            move |(seed, max_commit_ms, failing_percent, busy_percent, faults)| Case {
                seed,
                max_commit_ms,
                failing_percent,
                busy_percent,
                faults,
                protocol_fault: ProtocolFault::None,
                gangs: false,
                fleet: Fleet::SMALL,
            },
        )
}

/// Time between bursts of faults, in milliseconds: long enough for the effects of one burst to show before the next.
const BURST_INTERVAL_MS: u64 = 17_000;
/// Number of bursts of faults in a case.
const BURSTS: u64 = 3;

/// A fault of a burst, at a site of `workers` workers.
fn short_fault(workers: usize) -> impl Strategy<Value = Fault> {
    let short_share = || (5u64..70, 300u64..3_000);
    prop_oneof![
        3 => (0..workers, 300u64..14_000).prop_map(|(worker, duration_ms)| Fault::Disconnect { worker, duration_ms }),
        1 => (0..workers).prop_map(|worker| Fault::Restart { worker }),
        3 => Just(Fault::CrashGangMember),
        1 => short_share().prop_map(|(percent, duration_ms)| Fault::LateOrders { percent, duration_ms }),
        1 => short_share().prop_map(|(percent, duration_ms)| Fault::LateAnswers { percent, duration_ms }),
        1 => short_share().prop_map(|(percent, duration_ms)| Fault::LateReads { percent, duration_ms }),
        1 => short_share().prop_map(|(percent, duration_ms)| Fault::BrokenConnections { percent, duration_ms }),
        1 => short_share().prop_map(|(percent, duration_ms)| Fault::ResentOrders { percent, duration_ms }),
        2 => short_share().prop_map(|(percent, duration_ms)| Fault::LostCarriers { percent, duration_ms }),
        1 => (50u64..MAX_DELAY_MS, any::<bool>()).prop_map(|(duration_ms, in_turn)| Fault::Stall { duration_ms, in_turn }),
        2 => (500u64..4_500).prop_map(|duration_ms| Fault::StuckRecords { duration_ms }),
        1 => short_share().prop_map(|(percent, duration_ms)| Fault::RefusedRecords { percent, duration_ms }),
        1 => short_share().prop_map(|(percent, duration_ms)| Fault::BusyWorkers { percent, duration_ms }),
        1 => (0..workers, 500u64..3_000).prop_map(|(worker, duration_ms)| Fault::FailingWorker { worker, duration_ms }),
        1 => (0usize..40).prop_map(|job| Fault::StopRuns { job }),
        2 => short_share().prop_map(|(percent, duration_ms)| Fault::LateHeartbeats { percent, duration_ms }),
        1 => (any::<bool>(), 500u64..12_000).prop_map(|(far, duration_ms)| Fault::Evacuation { far, duration_ms }),
        1 => (0u32..3, 500u64..12_000).prop_map(|(priority, duration_ms)| Fault::MissingQueue { priority, duration_ms }),
        1 => (500u64..12_000).prop_map(|duration_ms| Fault::FewerAttempts { duration_ms }),
    ]
}

/// A change of leader.
fn leader_change() -> impl Strategy<Value = Fault> {
    (any::<bool>(), 0usize..5, 0u64..5_000, 0u64..1_500).prop_map(
        |(same_core, lost, gap_ms, deposed_ms)| Fault::ReplaceLeader {
            same_core,
            lost,
            gap_ms,
            deposed_ms,
        },
    )
}

/// Cases in which leaders are lost one after another, each in a burst of other faults within a second or two.
pub fn leader_losses(fleet: Fleet) -> impl Strategy<Value = Case> {
    let burst = (
        proptest::collection::vec((0u64..1_500, short_fault(fleet.workers)), 0..6),
        proptest::option::weighted(0.8, (0u64..1_500, leader_change())),
    );
    let bursts = proptest::collection::vec(burst, usize::try_from(BURSTS).unwrap());
    let failing_percent = prop_oneof![2 => Just(0u64), 1 => 1u64..20];
    (any::<u64>(), 1u64..200, failing_percent, bursts).prop_map(
        move |(seed, max_commit_ms, failing_percent, bursts)| {
            let bursts = (0u64..).zip(bursts);
            let faults = bursts.flat_map(|(burst, (others, leader))| {
                let faults = others.into_iter().chain(leader);
                faults.map(move |(at_ms, fault)| (BURST_INTERVAL_MS * burst + 4_000 + at_ms, fault))
            });
            Case {
                seed,
                max_commit_ms,
                failing_percent,
                busy_percent: 0,
                faults: faults.collect(),
                protocol_fault: ProtocolFault::None,
                gangs: true,
                fleet,
            }
        },
    )
}
