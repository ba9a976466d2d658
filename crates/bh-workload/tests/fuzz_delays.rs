//! Fuzz tests of orders to workers where everything takes time: records that commit late or are lost with their leader, orders and answers
//! that are delayed or read late, orders that are resent without the leader's knowledge, and leaders that stall. The checks use what the
//! workers started and ended, not the record. The head of `delays` says what a site, a core and a carrier are; [`Fault`] describes each fault,
//! [`ProtocolFault`] each way in which a worker breaks the protocol.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod delays;
mod support;

use bh_testkit::model_worker::ProtocolFault;
use delays::Coverage;
use delays::StallDuration;
use delays::coverage;
use delays::faults::Case;
use delays::faults::Fault;
use delays::faults::case;
use delays::faults::fault;
use delays::faults::fault_or_resent_order;
use delays::faults::leader_losses;
use delays::faults::long_disconnect_or_stuck_record;
use delays::findings;
use delays::fleet::Fleet;
use delays::history::Finding;
use delays::history::Rule;
use delays::load::Load;
use delays::trace;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::OnceLock;

const SEED: u64 = 20_261_203;
const CASES: u32 = 300;
/// Divisor of the number of cases that have a series of leader losses: such a case takes this many times longer than another.
const CASES_PER_SERIES: u32 = 20;

/// Configuration for CI, unless `PROPTEST_CASES` or `PROPTEST_RNG_SEED` override it.
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

/// Groups of cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    /// All faults of [`fault`].
    Delays,
    /// Only workers that are cut off and records that take longer than their proposers wait.
    DisconnectsAndStuckRecords,
    /// Also orders that are sent twice, where the leader gets the second answer.
    ResentOrders,
    /// The same faults with gangs.
    Gangs,
    /// Small jobs of all priorities, leaders lost one after another.
    LeaderLosses,
    /// The same in a larger fleet.
    LeaderLossesLargeFleet,
    /// Series of leader losses with large gangs.
    LeaderLossesLargeGangs,
    /// The same, and jobs that are slower outside one rack.
    LeaderLossesRackAffinity,
}

impl Group {
    fn cases(self) -> BoxedStrategy<Case> {
        match self {
            Group::Delays => case(fault()).boxed(),
            Group::DisconnectsAndStuckRecords => case(long_disconnect_or_stuck_record()).boxed(),
            Group::ResentOrders => case(fault_or_resent_order()).boxed(),
            Group::Gangs => {
                let gangs = true;
                let cases = case(fault_or_resent_order());
                cases.prop_map(move |case| Case { gangs, ..case }).boxed()
            }
            Group::LeaderLosses => leader_losses(Fleet::with_load(Load::SmallJobs, 24, 40)).boxed(),
            Group::LeaderLossesLargeFleet => {
                leader_losses(Fleet::with_load(Load::SmallJobs, 48, 80)).boxed()
            }
            Group::LeaderLossesLargeGangs => {
                leader_losses(Fleet::with_load(Load::LargeGangs, 24, 25)).boxed()
            }
            Group::LeaderLossesRackAffinity => {
                leader_losses(Fleet::with_load(Load::RackAffinity, 24, 25)).boxed()
            }
        }
    }

    /// Returns the number of cases to run.
    fn count(self, config: &ProptestConfig) -> u32 {
        match self {
            Group::LeaderLosses
            | Group::LeaderLossesLargeGangs
            | Group::LeaderLossesRackAffinity => config.cases.div_ceil(CASES_PER_SERIES),
            Group::LeaderLossesLargeFleet => config.cases.div_ceil(CASES_PER_SERIES * 2),
            _ => config.cases,
        }
    }

    /// Returns the violations of each rule. The first test that asks for a group runs its cases.
    fn violations(self) -> &'static BTreeMap<Rule, Violations> {
        static ALL: [OnceLock<BTreeMap<Rule, Violations>>; 8] = [const { OnceLock::new() }; 8];
        ALL[self as usize].get_or_init(|| {
            let config = config();
            let count = self.count(&config);
            let (mut runner, cases) = (TestRunner::new(config), self.cases());
            let mut violations: BTreeMap<Rule, Violations> = BTreeMap::new();
            for _ in 0..count {
                let tree = cases.new_tree(&mut runner).unwrap();
                let found = findings(&tree.current());
                let rules: BTreeSet<Rule> = found.iter().map(|finding| finding.rule).collect();
                for rule in rules {
                    let of_rule = violations.entry(rule).or_default();
                    of_rule.cases += 1;
                    of_rule.first.get_or_insert_with(|| tree.current());
                }
            }
            violations
        })
    }
}

/// Cases that broke a rule.
#[derive(Default)]
struct Violations {
    cases: u32,
    first: Option<Case>,
}

/// Returns a case's first finding for a rule.
fn first_finding(case: &Case, rule: Rule) -> Option<Finding> {
    let found = findings(case);
    found.into_iter().find(|finding| finding.rule == rule)
}

/// Removes faults and other complications as long as the case still breaks the rule.
fn shrink(mut case: Case, rule: Rule) -> Case {
    let breaks = |case: &Case| first_finding(case, rule).is_some();
    let mut index = 0;
    while index < case.faults.len() {
        let mut simpler_case = case.clone();
        simpler_case.faults.remove(index);
        if breaks(&simpler_case) {
            case = simpler_case;
            index = 0;
        } else {
            index += 1;
        }
    }
    let simpler: [fn(&mut Case); 3] = [
        |case| case.busy_percent = 0,
        |case| case.failing_percent = 0,
        |case| case.max_commit_ms = 1,
    ];
    for simplify in simpler {
        let mut simpler_case = case.clone();
        simplify(&mut simpler_case);
        if breaks(&simpler_case) {
            case = simpler_case;
        }
    }
    case
}

/// Panics with the shrunk case and its trace if a case of the group breaks the rule.
fn assert_group_keeps(group: Group, rule: Rule) {
    let Some(violations) = group.violations().get(&rule) else {
        return;
    };
    let case = shrink(violations.first.clone().unwrap(), rule);
    let finding = first_finding(&case, rule).unwrap();
    let trace = trace(&case, &finding);
    let cases = violations.cases;
    panic!("{cases} cases break a rule; the first, shrunk:\n{finding}\n{case:?}\n{trace}");
}

/// A task runs once at a time, not again after it was done, and not again after its maximum number of failures, and every job ends.
#[rstest]
fn fuzz_delays_break_no_guarantee(
    #[values(
        Rule::OneAtOnce,
        Rule::NoStartAfterDone,
        Rule::NoStartAfterMaxFailures,
        Rule::RecordedBeforeForgotten,
        Rule::JobsEnd
    )]
    rule: Rule,
    // After the rule, so that tests that run in parallel start with different groups.
    #[values(
        Group::Delays,
        Group::DisconnectsAndStuckRecords,
        Group::ResentOrders,
        Group::Gangs
    )]
    group: Group,
) {
    assert_group_keeps(group, rule);
}

/// A job of which nothing runs, though it is runnable and there is free capacity for it twice over, starts promptly once nothing disturbs the
/// site, whichever core leads. The check uses the state of the workers, not what the leader knows.
#[rstest]
fn fuzz_delays_stall_no_job(
    #[values(Group::LeaderLosses, Group::LeaderLossesLargeFleet)] group: Group,
    #[values(
        Rule::StartsPromptly,
        Rule::OneAtOnce,
        Rule::NoStartAfterDone,
        Rule::NoStartAfterMaxFailures,
        Rule::RecordedBeforeForgotten,
        Rule::JobsEnd
    )]
    rule: Rule,
) {
    assert_group_keeps(group, rule);
}

/// Jobs also start promptly beside large gangs that wait, and if they are faster in one rack.
#[rstest]
fn fuzz_delays_stall_no_job_beside_large_gangs(
    #[values(Group::LeaderLossesLargeGangs, Group::LeaderLossesRackAffinity)] group: Group,
    #[values(Rule::StartsPromptly, Rule::StartsPromptlyOutsideRack)] rule: Rule,
) {
    assert_group_keeps(group, rule);
}

/// Checks that the series cover their conditions: leaders that are lost while gangs are broken (some of their
/// members run, others have ended), and jobs that are stalled beside free
/// capacity.
#[rstest]
fn leader_losses_cover_broken_gangs_and_stalls(
    #[values(Group::LeaderLosses, Group::LeaderLossesLargeFleet)] group: Group,
) {
    let cases = group.cases();
    let config = config();
    let count = group.count(&config);
    let mut runner = TestRunner::new(config);
    let (mut all, mut stall_durations) = (Vec::new(), Vec::new());
    for _ in 0..count {
        let case = cases.new_tree(&mut runner).unwrap().current();
        let (coverage, durations) = delays::stall_durations(&case);
        all.push(coverage);
        stall_durations.extend(durations);
    }
    for (what, duration_of) in [
        (
            "total",
            StallDuration::total_ms as fn(&StallDuration) -> u64,
        ),
        ("undisturbed", StallDuration::undisturbed_ms),
    ] {
        let mut times_ms: Vec<u64> = stall_durations.iter().map(duration_of).collect();
        times_ms.sort_unstable();
        let longer = [1, 500, 1_000, 2_000, 3_000].map(|ms| {
            let longer = times_ms.iter().filter(|time_ms| **time_ms >= ms).count();
            format!("{longer} of at least {ms} ms")
        });
        println!("{what}: {longer:?}, longest {:?}", times_ms.last());
    }
    let sum = |of: fn(&Coverage) -> usize| all.iter().map(of).sum::<usize>();
    let counts = [
        ("cases", all.len()),
        ("starts", sum(|coverage| coverage.starts)),
        ("restarts", sum(|coverage| coverage.restarts)),
        ("lapses", sum(|coverage| coverage.lapses)),
        ("leader changes", sum(|coverage| coverage.leader_changes)),
        (
            "leader changes with broken gangs",
            sum(|coverage| coverage.leader_changes_with_broken_gangs),
        ),
        (
            "misdelivered orders",
            sum(|coverage| coverage.misdelivered_orders),
        ),
        ("stalls", stall_durations.len()),
    ];
    println!("{counts:?}");
    for (what, number) in counts {
        assert!(number > 0, "{what}: none in {count} cases");
    }
}

/// A case found by earlier runs, with these faults and the time at which each starts, in milliseconds.
fn regression_case(
    seed: u64,
    (max_commit_ms, failing_percent): (u64, u64),
    faults: Vec<(u64, Fault)>,
) -> Case {
    Case {
        seed,
        max_commit_ms,
        failing_percent,
        busy_percent: 0,
        faults,
        protocol_fault: ProtocolFault::None,
        gangs: false,
        fleet: Fleet::SMALL,
    }
}

/// Panics with a trace if a case breaks a rule.
fn assert_case_keeps(case: &Case, rule: Rule) {
    if let Some(finding) = first_finding(case, rule) {
        panic!("{finding}\n{case:?}\n{}", trace(case, &finding));
    }
}

/// A worker's lease has run out while nothing was received from it, so the leader presumes its run to have ended, and committing this end takes
/// over three seconds. If the leader took the end as not recorded meanwhile, it would send the start again to the worker, which answers by
/// then, and start the task elsewhere once the end is committed.
#[test]
fn a_run_given_up_is_not_restarted_while_that_is_recorded() {
    let duration_ms = 4_356;
    let faults = vec![
        (14_577, Fault::StuckRecords { duration_ms }),
        (
            5_466,
            Fault::BrokenConnections {
                percent: 45,
                duration_ms: 1_059,
            },
        ),
        (
            5_463,
            Fault::LateReads {
                percent: 7,
                duration_ms: 1_653,
            },
        ),
        (
            6_200,
            Fault::Disconnect {
                worker: 0,
                duration_ms: 9_665,
            },
        ),
        (
            4_428,
            Fault::LateOrders {
                percent: 25,
                duration_ms: 5_288,
            },
        ),
    ];
    let case = Case {
        gangs: true,
        ..regression_case(17_841_802_254_305_342_593, (1, 0), faults)
    };
    assert_case_keeps(&case, Rule::OneAtOnce);
}

/// A gang fails twice, and both failures are acknowledged. The leader presumed the first run to have ended before its worker reported that it
/// had failed, and was replaced before that report; the gang must not start a third time.
#[test]
fn a_gang_failure_unknown_to_its_leader_counts_under_the_next() {
    let faults = vec![
        (
            6_982,
            Fault::ReplaceLeader {
                same_core: true,
                lost: 0,
                gap_ms: 119,
                deposed_ms: 599,
            },
        ),
        (
            2_258,
            Fault::Stall {
                duration_ms: 1_301,
                in_turn: true,
            },
        ),
        (
            1_864,
            Fault::LateOrders {
                percent: 38,
                duration_ms: 7_440,
            },
        ),
    ];
    let case = Case {
        gangs: true,
        ..regression_case(10_578_456_042_968_728_707, (354, 40), faults)
    };
    assert_case_keeps(&case, Rule::NoStartAfterMaxFailures);
}

/// A gang's first run was presumed to have ended. Its second run fails, and a third must not start before the first one's worker reports
/// that it had failed too. All under one leader.
#[test]
fn a_gang_that_may_have_failed_twice_does_not_start_again() {
    let faults = vec![
        (
            10_805,
            Fault::BrokenConnections {
                percent: 40,
                duration_ms: 7_032,
            },
        ),
        (
            2_700,
            Fault::FailingWorker {
                worker: 2,
                duration_ms: 6_792,
            },
        ),
        (
            6_419,
            Fault::LateAnswers {
                percent: 18,
                duration_ms: 5_804,
            },
        ),
        (4_734, Fault::Restart { worker: 3 }),
    ];
    let case = Case {
        gangs: true,
        ..regression_case(8_704_983_681_574_955_260, (95, 38), faults)
    };
    assert_case_keeps(&case, Rule::NoStartAfterMaxFailures);
}

/// The run of a task that is not in a gang is presumed to have ended, because the lease of its worker has run out. The run must not be sent again
/// while that is being recorded, and then run beside the start that follows the commit.
#[test]
fn a_task_given_up_is_not_restarted_while_that_is_recorded() {
    let disconnect = Fault::Disconnect {
        worker: 1,
        duration_ms: 11_988,
    };
    let faults = vec![
        (11_937, Fault::StuckRecords { duration_ms: 2_872 }),
        (266, disconnect),
        (9_892, Fault::StuckRecords { duration_ms: 2_859 }),
    ];
    let case = regression_case(7_338_814_041_010_260_219, (1, 0), faults);
    assert_case_keeps(&case, Rule::OneAtOnce);
}

/// The commit of another proposal must not acknowledge an end whose own proposal may be lost with the leader: the worker would forget the
/// end, and the task would run again after it was done.
#[test]
fn an_end_is_not_forgotten_while_its_record_may_be_lost() {
    let faults = vec![
        (
            3_515,
            Fault::ReplaceLeader {
                same_core: false,
                lost: 3,
                gap_ms: 326,
                deposed_ms: 1_267,
            },
        ),
        (
            1_130,
            Fault::ReplaceLeader {
                same_core: true,
                lost: 3,
                gap_ms: 2_214,
                deposed_ms: 1_056,
            },
        ),
        (548, Fault::StuckRecords { duration_ms: 4_159 }),
    ];
    let case = Case {
        busy_percent: 11,
        ..regression_case(15_995_428_796_853_810_333, (1, 12), faults)
    };
    assert_case_keeps(&case, Rule::NoStartAfterDone);
}

/// Checks that the cases cover their conditions: restarts, leases that run out, lost proposals, outcomes that reach a later leader, answers
/// read late, busy workers, and stalls between a decision and its sending.
#[test]
fn delays_cover_their_conditions() {
    let mut all: Vec<Coverage> = Vec::new();
    let cases = case(fault());
    let mut runner = TestRunner::new(config());
    for _ in 0..CASES {
        let case = cases.new_tree(&mut runner).unwrap().current();
        all.push(coverage(&case));
    }
    let sum = |of: fn(&Coverage) -> usize| all.iter().map(of).sum::<usize>();
    let counts = [
        ("starts", sum(|coverage| coverage.starts)),
        ("restarts", sum(|coverage| coverage.restarts)),
        ("lapses", sum(|coverage| coverage.lapses)),
        (
            "acknowledged as done",
            sum(|coverage| coverage.acknowledged_done),
        ),
        (
            "acknowledged as failed",
            sum(|coverage| coverage.acknowledged_failed),
        ),
        ("lost proposals", sum(|coverage| coverage.lost_proposals)),
        (
            "results of earlier terms",
            sum(|coverage| coverage.results_of_earlier_terms),
        ),
        ("late reads", sum(|coverage| coverage.late_reads)),
        ("denied orders", sum(|coverage| coverage.denied_orders)),
        ("stalls in a turn", sum(|coverage| coverage.stalls_in_turn)),
    ];
    println!("{counts:?}");
    for (what, count) in counts {
        assert!(count > 0, "{what}: none in {CASES} cases");
    }
}

/// Each protocol fault of the workers must show as a broken rule. Checks that let all of them pass would prove nothing.
#[rstest]
#[case(ProtocolFault::HalfClock, Rule::OneAtOnce)]
#[case(ProtocolFault::IgnoresLease, Rule::OneAtOnce)]
#[case(ProtocolFault::ForgetsStops, Rule::OneAtOnce)]
#[case(ProtocolFault::HidesSuccess, Rule::NoStartAfterDone)]
#[case(ProtocolFault::HidesFailures, Rule::NoStartAfterMaxFailures)]
#[case(ProtocolFault::SkipsEnds, Rule::RecordedBeforeForgotten)]
#[case(ProtocolFault::NeverEnds, Rule::JobsEnd)]
fn a_worker_that_breaks_the_protocol_is_noticed(
    #[case] protocol_fault: ProtocolFault,
    #[case] rule: Rule,
) {
    let config = ProptestConfig {
        max_shrink_iters: 0,
        ..config()
    };
    let cases = case(fault());
    let found = TestRunner::new(config).run(&cases, |case| {
        let case = Case {
            protocol_fault,
            ..case
        };
        let breaks = |finding: &Finding| finding.rule == rule;
        if findings(&case).iter().any(breaks) {
            // The runner stops at the first case that fails, that is, in which the fault shows.
            return Err(TestCaseError::fail("noticed"));
        }
        Ok(())
    });
    assert!(found.is_err(), "{protocol_fault:?} was not noticed");
}
