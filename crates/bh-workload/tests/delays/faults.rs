//! What is done to a site while its jobs run.

use super::fleet::Fleet;
use bh_testkit::model_worker::ProtocolFault;
use proptest::prelude::*;

/// Workers of a site.
pub const WORKERS: usize = 4;
/// Faults begin within this time.
pub const FAULTY_MS: u64 = 15_000;
/// Longest time for which anything is held, in milliseconds.
pub const MOST_HELD_MS: u64 = 3_000;

/// One fault.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Orders, answers and heartbeats of a worker are lost.
    Cut { worker: usize, for_ms: u64 },
    /// A worker crashes, and lives again under another identity.
    Reborn { worker: usize },
    /// A worker that runs a member of a gang crashes, and lives again under another identity.
    CrashInGang,
    /// The leader is replaced as soon as ends wait to be committed, after `gap_ms` without any. Up to `lost` of the newest proposals are lost. One
    /// that is deposed goes on for a while.
    Leader {
        same_core: bool,
        lost: usize,
        gap_ms: u64,
        deposed_ms: u64,
    },
    /// A share of orders comes to the worker up to three seconds late, percent.
    LateOrders { percent: u64, for_ms: u64 },
    /// A share of answers is on its way for up to three seconds, percent: the leader gives up those that take too long.
    LateAnswers { percent: u64, for_ms: u64 },
    /// A share of answers arrives in time, and each is read up to three seconds later, percent.
    LateReads { percent: u64, for_ms: u64 },
    /// A share of connections breaks once the order is carried out, percent.
    BrokenConnections { percent: u64, for_ms: u64 },
    /// The same, but the order is sent again at once, and the leader hears what comes back for that, percent.
    Repeats { percent: u64, for_ms: u64 },
    /// The cores that carry a share of orders are lost, percent: the order is carried out at once, seconds later, or never.
    Carriers { percent: u64, for_ms: u64 },
    /// The leader loses the processor: between two turns, or between its decision and the sending.
    Stall { for_ms: u64, in_turn: bool },
    /// Nothing is committed.
    StuckRecords { for_ms: u64 },
    /// A share of proposals is refused at once, percent.
    RefusedRecords { percent: u64, for_ms: u64 },
    /// A share of orders is denied by busy workers, which have done nothing, percent.
    Busy { percent: u64, for_ms: u64 },
    /// A worker fails all it starts.
    FailsAll { worker: usize, for_ms: u64 },
    /// The leader wants the runs of a job to end, to begin them anew elsewhere.
    GiveUp { job: usize },
    /// A share of heartbeats comes up to three seconds late, and as many do not come at all, percent.
    LateHeartbeats { percent: u64, for_ms: u64 },
    /// One of two data centres is evacuated.
    Evacuation { far: bool, for_ms: u64 },
    /// A queue is not in the rules.
    NoQueue { priority: u32, for_ms: u64 },
    /// Jobs may fail but once.
    FewerAttempts { for_ms: u64 },
}

impl Fault {
    /// How long it lasts, in milliseconds, where its beginning and its end matter; `None` for one that disturbs for all of its time.
    pub fn lasts_ms(&self) -> Option<u64> {
        match self {
            Fault::Cut { for_ms, .. }
            | Fault::Evacuation { for_ms, .. }
            | Fault::NoQueue { for_ms, .. }
            | Fault::FewerAttempts { for_ms } => Some(*for_ms),
            _ => None,
        }
    }

    /// For how long it disturbs from its beginning, in milliseconds.
    pub fn disturbs_ms(&self) -> u64 {
        match self {
            Fault::LateOrders { for_ms, .. }
            | Fault::LateAnswers { for_ms, .. }
            | Fault::LateReads { for_ms, .. }
            | Fault::BrokenConnections { for_ms, .. }
            | Fault::Repeats { for_ms, .. }
            | Fault::Carriers { for_ms, .. }
            | Fault::Stall { for_ms, .. }
            | Fault::StuckRecords { for_ms }
            | Fault::RefusedRecords { for_ms, .. }
            | Fault::Busy { for_ms, .. }
            | Fault::FailsAll { for_ms, .. }
            | Fault::LateHeartbeats { for_ms, .. } => *for_ms,
            _ => 0,
        }
    }
}

/// One run of the fuzz.
#[derive(Clone, Debug)]
pub struct Case {
    /// Seed of everything that the faults leave open.
    pub seed: u64,
    /// Longest time until a proposal is committed, in milliseconds.
    pub record_ms: u64,
    /// Share of runs that fail, percent.
    pub failing_percent: u64,
    /// Share of orders that are denied by busy workers all the time, percent.
    pub busy_percent: u64,
    /// When each fault begins, in milliseconds.
    pub faults: Vec<(u64, Fault)>,
    /// What the workers do wrong.
    pub planted: ProtocolFault,
    /// Whether some steps are gangs.
    pub gangs: bool,
    pub fleet: Fleet,
}

fn share() -> impl Strategy<Value = (u64, u64)> {
    (5u64..70, 300u64..8_000)
}

/// Faults with the leader, the network and the record.
pub fn fault() -> impl Strategy<Value = (u64, Fault)> {
    let kind = prop_oneof![
        2 => (0..WORKERS, 300u64..14_000).prop_map(|(worker, for_ms)| Fault::Cut { worker, for_ms }),
        1 => (0..WORKERS).prop_map(|worker| Fault::Reborn { worker }),
        3 => (any::<bool>(), 0usize..5, 0u64..3_000, 0u64..1_500).prop_map(
            |(same_core, lost, gap_ms, deposed_ms)| Fault::Leader { same_core, lost, gap_ms, deposed_ms }
        ),
        3 => share().prop_map(|(percent, for_ms)| Fault::LateOrders { percent, for_ms }),
        3 => share().prop_map(|(percent, for_ms)| Fault::LateAnswers { percent, for_ms }),
        3 => share().prop_map(|(percent, for_ms)| Fault::LateReads { percent, for_ms }),
        1 => share().prop_map(|(percent, for_ms)| Fault::BrokenConnections { percent, for_ms }),
        1 => share().prop_map(|(percent, for_ms)| Fault::Carriers { percent, for_ms }),
        3 => (50u64..MOST_HELD_MS, any::<bool>()).prop_map(|(for_ms, in_turn)| Fault::Stall { for_ms, in_turn }),
        1 => (500u64..4_500).prop_map(|for_ms| Fault::StuckRecords { for_ms }),
        2 => share().prop_map(|(percent, for_ms)| Fault::Busy { percent, for_ms }),
        1 => (0..WORKERS, 500u64..8_000).prop_map(|(worker, for_ms)| Fault::FailsAll { worker, for_ms }),
        1 => (0usize..8).prop_map(|job| Fault::GiveUp { job }),
    ];
    (0..FAULTY_MS, kind)
}

/// The same with orders that are sent twice unseen.
pub fn repeating_fault() -> impl Strategy<Value = (u64, Fault)> {
    let repeats = (0..FAULTY_MS, share())
        .prop_map(|(at_ms, (percent, for_ms))| (at_ms, Fault::Repeats { percent, for_ms }));
    prop_oneof![2 => fault(), 1 => repeats]
}

/// Workers that are cut off for about as long as a lease, and records that take about as long as their proposers wait.
pub fn slow_record() -> impl Strategy<Value = (u64, Fault)> {
    let kind = prop_oneof![
        1 => (0..WORKERS, 7_000u64..12_000).prop_map(|(worker, for_ms)| Fault::Cut { worker, for_ms }),
        1 => (2_000u64..4_500).prop_map(|for_ms| Fault::StuckRecords { for_ms }),
    ];
    (0..FAULTY_MS, kind)
}

/// A whole case with such faults.
pub fn case(fault: impl Strategy<Value = (u64, Fault)>) -> impl Strategy<Value = Case> {
    let record_ms = prop_oneof![1 => Just(1u64), 3 => 2u64..=500];
    let failing_percent = prop_oneof![1 => Just(0u64), 1 => 1u64..50];
    let busy_percent = prop_oneof![2 => Just(0u64), 1 => 1u64..20];
    let faults = proptest::collection::vec(fault, 0..20);
    (
        any::<u64>(),
        record_ms,
        failing_percent,
        busy_percent,
        faults,
    )
        .prop_map(
            move |(seed, record_ms, failing_percent, busy_percent, faults)| Case {
                seed,
                record_ms,
                failing_percent,
                busy_percent,
                faults,
                planted: ProtocolFault::None,
                gangs: false,
                fleet: Fleet::SMALL,
            },
        )
}

/// Time between bursts of faults, in milliseconds: what is left of one shows before the next.
const BURST_MS: u64 = 17_000;
/// Bursts of a case.
const BURSTS: u64 = 3;

/// One fault of a burst, on `workers` workers.
fn short_fault(workers: usize) -> impl Strategy<Value = Fault> {
    let short = || (5u64..70, 300u64..3_000);
    prop_oneof![
        3 => (0..workers, 300u64..14_000).prop_map(|(worker, for_ms)| Fault::Cut { worker, for_ms }),
        1 => (0..workers).prop_map(|worker| Fault::Reborn { worker }),
        3 => Just(Fault::CrashInGang),
        1 => short().prop_map(|(percent, for_ms)| Fault::LateOrders { percent, for_ms }),
        1 => short().prop_map(|(percent, for_ms)| Fault::LateAnswers { percent, for_ms }),
        1 => short().prop_map(|(percent, for_ms)| Fault::LateReads { percent, for_ms }),
        1 => short().prop_map(|(percent, for_ms)| Fault::BrokenConnections { percent, for_ms }),
        1 => short().prop_map(|(percent, for_ms)| Fault::Repeats { percent, for_ms }),
        2 => short().prop_map(|(percent, for_ms)| Fault::Carriers { percent, for_ms }),
        1 => (50u64..MOST_HELD_MS, any::<bool>()).prop_map(|(for_ms, in_turn)| Fault::Stall { for_ms, in_turn }),
        2 => (500u64..4_500).prop_map(|for_ms| Fault::StuckRecords { for_ms }),
        1 => short().prop_map(|(percent, for_ms)| Fault::RefusedRecords { percent, for_ms }),
        1 => short().prop_map(|(percent, for_ms)| Fault::Busy { percent, for_ms }),
        1 => (0..workers, 500u64..3_000).prop_map(|(worker, for_ms)| Fault::FailsAll { worker, for_ms }),
        1 => (0usize..40).prop_map(|job| Fault::GiveUp { job }),
        2 => short().prop_map(|(percent, for_ms)| Fault::LateHeartbeats { percent, for_ms }),
        1 => (any::<bool>(), 500u64..12_000).prop_map(|(far, for_ms)| Fault::Evacuation { far, for_ms }),
        1 => (0u32..3, 500u64..12_000).prop_map(|(priority, for_ms)| Fault::NoQueue { priority, for_ms }),
        1 => (500u64..12_000).prop_map(|for_ms| Fault::FewerAttempts { for_ms }),
    ]
}

/// The leader is replaced.
fn leader() -> impl Strategy<Value = Fault> {
    (any::<bool>(), 0usize..5, 0u64..5_000, 0u64..1_500).prop_map(
        |(same_core, lost, gap_ms, deposed_ms)| Fault::Leader {
            same_core,
            lost,
            gap_ms,
            deposed_ms,
        },
    )
}

/// Leaders lost in series, each among other faults that come within a second or two.
pub fn series(fleet: Fleet) -> impl Strategy<Value = Case> {
    let burst = (
        proptest::collection::vec((0u64..1_500, short_fault(fleet.workers)), 0..6),
        proptest::option::weighted(0.8, (0u64..1_500, leader())),
    );
    let bursts = proptest::collection::vec(burst, usize::try_from(BURSTS).unwrap());
    let failing_percent = prop_oneof![2 => Just(0u64), 1 => 1u64..20];
    (any::<u64>(), 1u64..200, failing_percent, bursts).prop_map(
        move |(seed, record_ms, failing_percent, bursts)| {
            let bursts = (0u64..).zip(bursts);
            let faults = bursts.flat_map(|(at, (others, leader))| {
                let own = others.into_iter().chain(leader);
                own.map(move |(at_ms, fault)| (BURST_MS * at + 4_000 + at_ms, fault))
            });
            Case {
                seed,
                record_ms,
                failing_percent,
                busy_percent: 0,
                faults: faults.collect(),
                planted: ProtocolFault::None,
                gangs: true,
                fleet,
            }
        },
    )
}
