//! Orders to workers where everything takes time: records that commit late or are lost with their leader, orders and answers that are held up
//! or read late, orders that are sent twice unseen, leaders that lose the processor. Judged by what the workers began and ended, not by the record.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod delays;
mod support;

use bh_testkit::model_worker::Planted;
use delays::faults::Case;
use delays::faults::Release;
use delays::faults::case;
use delays::faults::fault;
use delays::faults::repeating_fault;
use delays::findings;
use delays::history::Finding;
use delays::history::Rule;
use delays::trace;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use rstest::rstest;

const SEED: u64 = 20_261_203;
const CASES: u32 = 300;

/// The configuration of CI, unless `PROPTEST_CASES` or `PROPTEST_RNG_SEED` say otherwise.
fn config() -> ProptestConfig {
    let mut config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = CASES;
    }
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(SEED);
    }
    config
}

/// Runs cases until one breaks `rule`, and shrinks that.
fn keeps(rule: Rule, cases: impl Strategy<Value = Case>) {
    let result = TestRunner::new(config()).run(&cases, |case| {
        let found = findings(&case);
        let broken = found.iter().find(|finding| finding.rule == rule);
        broken.map_or(Ok(()), |finding| {
            Err(TestCaseError::fail(finding.to_string()))
        })
    });
    if let Err(proptest::test_runner::TestError::Fail(why, case)) = &result {
        let found = findings(case);
        let first = found.iter().find(|finding| finding.rule == rule);
        let trace = first.map(|finding| trace(case, finding));
        panic!("{why}\n{case:#?}\n{}", trace.unwrap_or_default());
    }
    result.unwrap();
}

/// Everything takes time, and nothing is sent twice unseen.
#[rstest]
#[case(Rule::OneAtOnce)]
#[case(Rule::NotAfterDone)]
#[case(Rule::NotAfterFailures)]
#[case(Rule::RecordedFirst)]
#[case(Rule::JobsEnd)]
fn fuzz_delays_keep(#[case] rule: Rule) {
    keeps(rule, case(fault(), Release::AnyRecord));
}

/// The same where only the record of a report releases its ends: what is left to find beside that.
#[rstest]
#[case(Rule::OneAtOnce)]
#[case(Rule::NotAfterDone)]
#[case(Rule::NotAfterFailures)]
#[case(Rule::RecordedFirst)]
#[case(Rule::JobsEnd)]
fn fuzz_delays_with_own_records_keep(#[case] rule: Rule) {
    keeps(rule, case(fault(), Release::OwnRecord));
}

/// The same with orders that are sent twice, and of which the leader hears only the second answer.
#[rstest]
#[case(Rule::OneAtOnce)]
#[case(Rule::NotAfterDone)]
#[case(Rule::NotAfterFailures)]
#[case(Rule::RecordedFirst)]
#[case(Rule::JobsEnd)]
fn fuzz_orders_sent_twice_keep(#[case] rule: Rule) {
    keeps(rule, case(repeating_fault(), Release::OwnRecord));
}

/// Each fault is planted in the workers in turn, and must show as the rule that it breaks. A check that lets all of them pass would prove nothing.
#[rstest]
#[case(Planted::HalfClock, Rule::OneAtOnce)]
#[case(Planted::IgnoresLease, Rule::OneAtOnce)]
#[case(Planted::ForgetsStops, Rule::OneAtOnce)]
#[case(Planted::HidesSuccess, Rule::NotAfterDone)]
#[case(Planted::HidesFailures, Rule::NotAfterFailures)]
#[case(Planted::SkipsEnds, Rule::RecordedFirst)]
#[case(Planted::NeverEnds, Rule::JobsEnd)]
fn a_worker_that_breaks_the_protocol_is_noticed(#[case] planted: Planted, #[case] rule: Rule) {
    let config = ProptestConfig {
        max_shrink_iters: 0,
        ..config()
    };
    let cases = case(fault(), Release::OwnRecord);
    let found = TestRunner::new(config).run(&cases, |case| {
        let case = Case { planted, ..case };
        let breaks = |finding: &Finding| finding.rule == rule;
        if findings(&case).iter().any(breaks) {
            return Err(TestCaseError::fail("noticed"));
        }
        Ok(())
    });
    assert!(found.is_err(), "{planted:?} was not noticed");
}
