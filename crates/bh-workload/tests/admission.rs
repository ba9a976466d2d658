//! Load shedding and refusal of submissions, with a modelled leader.
mod support;

use bh_workload::admission::AdmissionController;
use bh_workload::admission::AdmissionPolicy;
use bh_workload::admission::LeaderLag;
use bh_workload::admission::LoadShedder;
use bh_workload::admission::OpenCalls;
use bh_workload::admission::ShedLevel;
use bh_workload::admission::retry_after_ms;
use rstest::rstest;
use std::collections::BTreeMap;
use support::modelled_leader::Kind;
use support::modelled_leader::LOOP_MS;
use support::modelled_leader::ModelledLeader;

/// Time after an overload in which all calls are served as before, in milliseconds.
const MAX_RECOVERY_MS: u64 = 2_000;

/// Load pattern: 0.8 of what the leader can carry, for 20 s. Guards against a leader that refuses work that it could serve.
#[test]
fn nothing_is_refused_at_four_fifths_of_the_load() {
    let mut leader = ModelledLeader::new();
    leader.run(20_000, 80);
    for (kind, outcomes) in &leader.outcomes {
        assert_eq!(outcomes.refused, 0, "{kind:?}");
        assert!(outcomes.served > 0, "{kind:?}");
    }
    let levels = leader.levels.iter().map(|(_, level)| *level);
    assert_eq!(levels.max(), Some(ShedLevel::Nothing));
}

/// Load pattern: 0.8 of what the leader can carry for 5 s, two, three or five times that for 10 to 11 s, and 0.8 again. Guards against urgent
/// work and ends that are lost among other calls, a shedding order other than the written one, and a leader that goes on refusing jobs when
/// the load is over.
#[rstest]
fn an_overloaded_leader_serves_urgent_work_and_ends(
    #[values(200, 300, 500)] percent: u64,
    #[values(0, 180, 450, 720, 990)] extra_ms: u64,
) {
    /// Callers and workers wait at least this long for an answer, in milliseconds.
    const CALLER_PATIENCE_MS: u64 = 2_500;
    let mut leader = ModelledLeader::new();
    leader.run(5_000, 80);
    leader.run(10_000 + extra_ms, percent);
    let ended_ms = leader.now_ms();
    leader.run(10_000, 80);
    for kind in [Kind::Urgent, Kind::Worker] {
        let outcomes = leader.outcomes_of(kind);
        assert_eq!(outcomes.refused, 0, "{kind:?}");
        assert!(outcomes.slowest_ms < CALLER_PATIENCE_MS, "{outcomes:?}");
    }
    let [reads, lowest, normal] =
        [Kind::QueueRead, Kind::Lowest, Kind::Normal].map(|kind| leader.outcomes_of(kind));
    let first_ms = [reads, lowest, normal].map(|outcomes| outcomes.first_refused_ms());
    assert!(first_ms.is_sorted(), "{first_ms:?}");
    assert!(reads.refused > 0 && lowest.refused > 0);
    // Twice the load can be served without the submissions of the lowest priority, so that no others need to be refused.
    assert_eq!(normal.refused > 0, percent > 200, "{normal:?}");
    for outcomes in [lowest, normal, reads] {
        let last_ms = outcomes.last_refused_ms();
        assert!(
            last_ms <= ended_ms + MAX_RECOVERY_MS,
            "{last_ms} {ended_ms}"
        );
    }
    let last_level = leader.levels.last().map(|(_, level)| *level);
    assert_eq!(last_level, Some(ShedLevel::Nothing));
}

/// Load pattern: five times what the leader can carry. Guards against telling a caller that its job was not run although an earlier
/// submission of it was accepted.
#[test]
fn no_accepted_job_is_refused_when_it_is_sent_again() {
    let mut leader = ModelledLeader::new();
    leader.run(5_000, 500);
    assert!(leader.admission.level() >= ShedLevel::LowestPriority);
    let accepted = leader.accepted.clone();
    assert!(!accepted.is_empty());
    for place in accepted {
        assert_eq!(leader.check(&place), None);
    }
}

/// Guards against a new leader that goes on shedding because the one before it was overloaded, although the load may have ended with it.
#[test]
fn a_new_leader_sheds_nothing() {
    let mut leader = ModelledLeader::new();
    leader.run(5_000, 500);
    let policy = AdmissionPolicy::new().with_load_shedding();
    leader.admission = AdmissionController::new(policy, LOOP_MS);
    assert_eq!(leader.admission.level(), ShedLevel::Nothing);
    leader.site.take_over(2);
    let accepted = leader.accepted.clone();
    for place in accepted {
        assert_eq!(leader.check(&place), None);
    }
}

/// Guards against levels that rise at other lags than those derived from the objectives, or that fall at once, so that the load comes back at
/// once.
#[test]
fn levels_rise_with_the_lag_and_fall_one_by_one() {
    let mut shedder = LoadShedder::new();
    let lags = [249, 250, 499, 500, 999, 1_000];
    let levels: Vec<u64> = lags
        .iter()
        .zip(10_000..)
        .map(|(lag_ms, now_ms)| {
            shedder.observe(now_ms, *lag_ms);
            shedder.level().number()
        })
        .collect();
    assert_eq!(levels, [0, 2, 2, 3, 3, 4]);
    let mut fell_ms = Vec::new();
    for now_ms in 10_006..14_000 {
        if shedder.observe(now_ms, 0).is_some() {
            fell_ms.push((now_ms, shedder.level().number()));
        }
    }
    // The lag called for the highest level until 10,005.
    assert_eq!(
        fell_ms,
        [(10_255, 3), (10_505, 2), (10_755, 1), (11_005, 0)]
    );
}

/// Guards against a level that falls while the lag still calls for it, and then rises again at every second iteration.
#[test]
fn a_level_stays_while_the_lag_calls_for_it() {
    let mut shedder = LoadShedder::new();
    for now_ms in 0..5_000 {
        let lag_ms = if now_ms % 400 < 200 { 600 } else { 0 };
        shedder.observe(now_ms, lag_ms);
        assert_eq!(shedder.level(), ShedLevel::LowestPriority);
    }
}

/// Guards against refusing the most urgent work, also where it is the only work.
#[test]
fn priority_0_is_never_shed() {
    for level in ShedLevel::ALL {
        assert!(!level.sheds_submission(0, 0));
        assert!(!level.sheds_submission(0, 2));
    }
    let sheds = |priority| ShedLevel::ALL.map(|level| level.sheds_submission(priority, 2));
    assert_eq!(sheds(1), [false, false, false, false, true]);
    assert_eq!(sheds(2), [false, false, false, true, true]);
}

/// A leader's process is suspended for 3 s while a call is on its way. Guards against a leader that sheds load after that although it is not
/// behind.
#[test]
fn a_suspended_leader_is_not_behind() {
    let mut lag = LeaderLag::new(LOOP_MS);
    let mut calls = OpenCalls::new();
    lag.note_iteration(1_000);
    let call = calls.begin(1_010);
    lag.note_activity(1_010);
    assert_eq!(lag.note_iteration(4_000), 0);
    assert_eq!(lag.lag_ms(4_000, calls.oldest_ms()), 0);
    lag.note_iteration(4_050);
    assert_eq!(lag.lag_ms(4_050, calls.oldest_ms()), 50);
    calls.end(call);
    // A second suspension long after the first one does not count either.
    for now_ms in (4_100..=6_000).step_by(50) {
        assert_eq!(lag.note_iteration(now_ms), 0);
    }
    assert_eq!(lag.note_iteration(8_000), 0);
}

/// Every iteration of the loop takes 600 ms, during which no call is handled. Guards against taking such a leader for one that is suspended
/// again and again.
#[test]
fn iterations_that_all_take_long_are_a_lag() {
    let mut lag = LeaderLag::new(LOOP_MS);
    lag.note_iteration(1_000);
    assert_eq!(lag.note_iteration(1_600), 0);
    assert_eq!(lag.note_iteration(2_200), 550);
    assert_eq!(lag.note_iteration(2_800), 550);
}

/// A call waits for its record while the loop runs in time. Guards against a leader that does not notice that its disk or its followers are
/// behind.
#[test]
fn the_age_of_the_oldest_call_is_a_lag() {
    let mut lag = LeaderLag::new(LOOP_MS);
    let mut calls = OpenCalls::new();
    let first = calls.begin(1_000);
    let second = calls.begin(1_300);
    for now_ms in (1_000..=1_500).step_by(50) {
        lag.note_iteration(now_ms);
    }
    assert_eq!(lag.lag_ms(1_500, calls.oldest_ms()), 500);
    calls.end(first);
    assert_eq!(lag.lag_ms(1_500, calls.oldest_ms()), 200);
    calls.end(second);
    assert_eq!(lag.lag_ms(1_500, calls.oldest_ms()), 0);
}

/// Guards against callers that were refused together and retry together, and against times that the wire cannot carry.
#[test]
fn retries_are_spread_over_half_of_the_time_to_drain() {
    let cases = [
        (0, 1..=2),
        (1_000, 1..=2),
        (3_200, 4..=6),
        (6_000, 6..=9),
        (10_000, 5..=10),
        (90_000, 5..=10),
    ];
    for (drain_ms, seconds) in cases {
        let times = (0..1_000).map(|job| retry_after_ms(drain_ms, &format!("/p1/{job:016x}")));
        let mut counts: BTreeMap<u64, u64> = BTreeMap::new();
        for time_ms in times {
            *counts.entry(time_ms).or_default() += 1;
        }
        let expected: Vec<u64> = seconds.map(|seconds| seconds * 1_000).collect();
        assert_eq!(counts.keys().copied().collect::<Vec<u64>>(), expected);
        let mean = 1_000 / u64::try_from(expected.len()).unwrap();
        assert!(counts.values().all(|count| *count > mean / 2), "{counts:?}");
    }
    assert_eq!(
        retry_after_ms(9_000, "/p1/1"),
        retry_after_ms(9_000, "/p1/1")
    );
}
