//! Preemption under a stream of urgent gangs over a full pool, with and without a limit on displacements.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod pressure;
mod support;

use bh_workload::plan::Policy;
use pressure::Outcome;
use pressure::Pressure;
use pressure::Stream;
use std::ops::RangeInclusive;

const LIMIT: u32 = 3;
const DURATION_MS: u64 = 48_000;
/// Busy times in which the urgent gangs take 140 of the 320 accelerators on average.
const BUSY_GAP_MS: u64 = 350;
/// Busy times in which they take 250 of the 320 accelerators on average.
const VERY_BUSY_GAP_MS: u64 = 200;

/// Quiet and busy times of 6 s take turns. In quiet times, an urgent gang comes every 2 s.
fn stream(customer: &'static str, busy_gap_ms: u64) -> Stream {
    Stream {
        customer,
        quiet_gap_ms: 2_000,
        busy_gap_ms,
        phase_ms: 6_000,
        guaranteed_accelerators: 240,
    }
}

fn policies() -> [Policy; 2] {
    [Policy::new(), Policy::new().with_max_displacements(LIMIT)]
}

/// Outcomes of the load with each of these seeds.
fn outcomes(seeds: RangeInclusive<u64>, stream: Stream, policy: Policy) -> Vec<Outcome> {
    let outcome = |seed| {
        let mut pressure = Pressure::new(seed, stream, policy);
        pressure.run(DURATION_MS);
        pressure.finish()
    };
    seeds.map(outcome).collect()
}

fn discarded(outcomes: &[Outcome]) -> u64 {
    outcomes.iter().map(|outcome| outcome.discarded).sum()
}

fn done(outcomes: &[Outcome]) -> u64 {
    outcomes.iter().map(|outcome| outcome.done).sum()
}

/// Prints what was measured, for the design note.
fn print(name: &str, outcomes: &[Outcome]) {
    let waits_ms = waits_ms(outcomes);
    let stops: usize = outcomes.iter().map(|outcome| outcome.stops).sum();
    let most = outcomes.iter().map(|outcome| outcome.max_displacements);
    println!(
        "{name}: discarded {} and done {} core-s, {stops} stops, at most {} of a task; urgent gangs waited {} ms, at most {}",
        discarded(outcomes) / 1_000_000,
        done(outcomes) / 1_000_000,
        most.max().unwrap_or(0),
        mean(&waits_ms),
        waits_ms.iter().max().unwrap(),
    );
}

fn waits_ms(outcomes: &[Outcome]) -> Vec<u64> {
    let waits = outcomes.iter().flat_map(|outcome| &outcome.urgent_waits_ms);
    waits.copied().collect()
}

fn mean(values: &[u64]) -> u64 {
    values.iter().sum::<u64>() / u64::try_from(values.len()).unwrap()
}

/// Guards against tasks that are stopped again and again: without a limit, single tasks are stopped five times and more. A new leader must not
/// start to count anew.
#[test]
fn no_task_is_displaced_beyond_the_limit_under_changing_leaders() {
    const LEADER_MS: u64 = 8_000;
    let most = policies().map(|policy| {
        let of_seed = |seed| {
            let stream = stream("other", VERY_BUSY_GAP_MS);
            let mut pressure = Pressure::new(seed, stream, policy);
            for _ in 0..DURATION_MS / LEADER_MS {
                pressure.run(LEADER_MS);
                pressure.take_over(policy);
            }
            pressure.finish().max_displacements
        };
        (1..=4).map(of_seed).max().unwrap()
    });
    println!("displacements of a task without and with a limit: {most:?}");
    assert!(most[0] > LIMIT, "the load displaces tasks often");
    assert!(most[1] <= LIMIT);
}

/// Guards against throwing work away without need: under busy times of urgent gangs that no guarantee covers, the same load discards at most
/// half as much work as without a limit, and does no less.
#[test]
fn discarded_work_falls_by_half() {
    let stream = stream("other", BUSY_GAP_MS);
    let [before, after] = policies().map(|policy| outcomes(1..=12, stream, policy));
    print("without limit", &before);
    print("with limit", &after);
    assert!(discarded(&after) * 2 <= discarded(&before));
    assert!(done(&after) >= done(&before));
}

/// Guards against a limit that delays guaranteed work, and against more discarded work where guaranteed work must be served at once.
#[test]
fn guaranteed_work_starts_as_soon_as_before() {
    /// Time in which work that a guarantee covers must start, in milliseconds.
    const START_LIMIT_MS: u64 = 2_700;
    /// Half of the time between two plans of the model, which is as exact as it is.
    const TOLERANCE_MS: u64 = 25;
    for busy_gap_ms in [BUSY_GAP_MS, VERY_BUSY_GAP_MS] {
        let stream = stream("guaranteed", busy_gap_ms);
        let [before, after] = policies().map(|policy| outcomes(1..=12, stream, policy));
        print("without limit", &before);
        print("with limit", &after);
        let (waits_before, waits_after) = (waits_ms(&before), waits_ms(&after));
        assert!(waits_after.iter().all(|wait_ms| *wait_ms <= START_LIMIT_MS));
        assert!(waits_after.iter().max() <= waits_before.iter().max());
        assert!(mean(&waits_after) <= mean(&waits_before) + TOLERANCE_MS);
        assert!(discarded(&after) < discarded(&before));
    }
}

/// Guards against a limit that delays urgent gangs that no guarantee covers in very busy times: their mean wait does not grow. The discarded
/// work does not fall there; it is printed.
#[test]
fn urgent_gangs_start_as_soon_in_very_busy_times() {
    let stream = stream("other", VERY_BUSY_GAP_MS);
    let [before, after] = policies().map(|policy| outcomes(1..=12, stream, policy));
    print("without limit", &before);
    print("with limit", &after);
    assert!(mean(&waits_ms(&after)) <= mean(&waits_ms(&before)));
    assert!(
        after
            .iter()
            .all(|outcome| outcome.max_displacements <= LIMIT)
    );
}
