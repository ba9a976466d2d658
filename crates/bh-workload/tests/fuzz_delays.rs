//! Orders to workers where everything takes time: records that commit late or are lost with their leader, orders and answers that are held up
//! or read late, orders that are sent twice unseen, leaders that lose the processor. Judged by what the workers began and ended, not by the record.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod delays;
mod support;

use bh_testkit::model_worker::ProtocolFault;
use delays::Reached;
use delays::Stretch;
use delays::faults::Case;
use delays::faults::Fault;
use delays::faults::case;
use delays::faults::fault;
use delays::faults::repeating_fault;
use delays::faults::series;
use delays::faults::slow_record;
use delays::findings;
use delays::fleet::Fleet;
use delays::history::Finding;
use delays::history::Rule;
use delays::load::Load;
use delays::reached;
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
/// Cases of the others for one of a series, which takes as much longer.
const SERIES_SHARE: u32 = 20;

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

/// Which cases are run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    /// Everything takes time.
    Delays,
    /// Nothing but workers that are cut off and records that take longer than their proposers wait.
    SlowRecords,
    /// Orders are sent twice, and the leader hears the second answer.
    SentTwice,
    /// Gangs.
    Gangs,
    /// Narrow jobs of all ranks, leaders lost in series.
    Series,
    /// The same in a larger fleet.
    LargeSeries,
    /// With wide gangs.
    WideSeries,
    /// And with jobs that are slower outside a rack of their own.
    RackSeries,
}

impl Group {
    fn cases(self) -> BoxedStrategy<Case> {
        match self {
            Group::Delays => case(fault()).boxed(),
            Group::SlowRecords => case(slow_record()).boxed(),
            Group::SentTwice => case(repeating_fault()).boxed(),
            Group::Gangs => {
                let gangs = true;
                let cases = case(repeating_fault());
                cases.prop_map(move |case| Case { gangs, ..case }).boxed()
            }
            Group::Series => series(Fleet::with_load(Load::Narrow, 24, 40)).boxed(),
            Group::LargeSeries => series(Fleet::with_load(Load::Narrow, 48, 80)).boxed(),
            Group::WideSeries => series(Fleet::with_load(Load::Mixed, 24, 25)).boxed(),
            Group::RackSeries => series(Fleet::with_load(Load::Racks, 24, 25)).boxed(),
        }
    }

    /// How many are run.
    fn count(self, config: &ProptestConfig) -> u32 {
        match self {
            Group::Series | Group::WideSeries | Group::RackSeries => {
                config.cases.div_ceil(SERIES_SHARE)
            }
            Group::LargeSeries => config.cases.div_ceil(SERIES_SHARE * 2),
            _ => config.cases,
        }
    }

    /// Runs all cases once, whichever test asks first.
    fn broken(self) -> &'static BTreeMap<Rule, Broken> {
        static ALL: [OnceLock<BTreeMap<Rule, Broken>>; 8] = [const { OnceLock::new() }; 8];
        ALL[self as usize].get_or_init(|| {
            let config = config();
            let count = self.count(&config);
            let (mut runner, cases) = (TestRunner::new(config), self.cases());
            let mut broken: BTreeMap<Rule, Broken> = BTreeMap::new();
            for _ in 0..count {
                let tree = cases.new_tree(&mut runner).unwrap();
                let found = findings(&tree.current());
                let rules: BTreeSet<Rule> = found.iter().map(|finding| finding.rule).collect();
                for rule in rules {
                    let of_rule = broken.entry(rule).or_default();
                    of_rule.cases += 1;
                    of_rule.first.get_or_insert_with(|| tree.current());
                }
            }
            broken
        })
    }
}

/// Cases that broke a rule.
#[derive(Default)]
struct Broken {
    cases: u32,
    first: Option<Case>,
}

/// The first of what a case breaks of a rule.
fn first(case: &Case, rule: Rule) -> Option<Finding> {
    let found = findings(case);
    found.into_iter().find(|finding| finding.rule == rule)
}

/// Leaves out faults, and whatever else can be left out, as long as the case breaks the rule.
fn shrink(mut case: Case, rule: Rule) -> Case {
    let breaks = |case: &Case| first(case, rule).is_some();
    let mut index = 0;
    while index < case.faults.len() {
        let mut less = case.clone();
        less.faults.remove(index);
        if breaks(&less) {
            case = less;
            index = 0;
        } else {
            index += 1;
        }
    }
    let simpler: [fn(&mut Case); 3] = [
        |case| case.busy_percent = 0,
        |case| case.failing_percent = 0,
        |case| case.record_ms = 1,
    ];
    for simplify in simpler {
        let mut less = case.clone();
        simplify(&mut less);
        if breaks(&less) {
            case = less;
        }
    }
    case
}

/// Fails with the shrunk case that breaks a rule, and what happened there.
fn keeps(group: Group, rule: Rule) {
    let Some(broken) = group.broken().get(&rule) else {
        return;
    };
    let case = shrink(broken.first.clone().unwrap(), rule);
    let finding = first(&case, rule).unwrap();
    let trace = trace(&case, &finding);
    let cases = broken.cases;
    panic!("{cases} cases break a rule; the first:\n{finding}\n{case:?}\n{trace}");
}

/// Callers are promised that a task runs once at a time, not again after it was done, and no more often than it may fail; and that every job ends.
#[rstest]
fn fuzz_delays_keep_the_promises(
    #[values(
        Rule::OneAtOnce,
        Rule::NotAfterDone,
        Rule::NotAfterFailures,
        Rule::RecordedFirst,
        Rule::JobsEnd
    )]
    rule: Rule,
    // Behind the rule, so that tests that run side by side begin with different groups.
    #[values(Group::Delays, Group::SlowRecords, Group::SentTwice, Group::Gangs)] group: Group,
) {
    keeps(group, rule);
}

/// A job of which nothing runs, though its turn has come and there is room for it twice over, begins soon once nothing is disturbed, whoever leads: the
/// workers decide, not what their leader knows.
#[rstest]
fn fuzz_delays_begin_what_may_begin(
    #[values(Group::Series, Group::LargeSeries)] group: Group,
    #[values(
        Rule::BeginsSoon,
        Rule::OneAtOnce,
        Rule::NotAfterDone,
        Rule::NotAfterFailures,
        Rule::RecordedFirst,
        Rule::JobsEnd
    )]
    rule: Rule,
) {
    keeps(group, rule);
}

/// The same beside wide gangs that wait, and with work that is faster in a rack of its own.
#[rstest]
fn fuzz_delays_begin_beside_wide_gangs(
    #[values(Group::WideSeries, Group::RackSeries)] group: Group,
    #[values(Rule::BeginsSoon, Rule::BeginsSoonElsewhere)] rule: Rule,
) {
    keeps(group, rule);
}

/// The series come to what they are for: leaders that are lost while gangs are broken, and jobs that stand though there is room.
#[rstest]
fn the_series_reach_what_they_are_for(#[values(Group::Series, Group::LargeSeries)] group: Group) {
    let cases = group.cases();
    let config = config();
    let count = group.count(&config);
    let mut runner = TestRunner::new(config);
    let (mut all, mut stretches) = (Vec::new(), Vec::new());
    for _ in 0..count {
        let case = cases.new_tree(&mut runner).unwrap().current();
        let (reached, stood) = delays::stretches(&case);
        all.push(reached);
        stretches.extend(stood);
    }
    for (what, of) in [
        ("whole", Stretch::whole_ms as fn(&Stretch) -> u64),
        ("calm", Stretch::calm_ms),
    ] {
        let mut times_ms: Vec<u64> = stretches.iter().map(of).collect();
        times_ms.sort_unstable();
        let longer = [1, 500, 1_000, 2_000, 3_000].map(|ms| {
            let longer = times_ms.iter().filter(|time_ms| **time_ms >= ms).count();
            format!("{longer} of {ms} ms")
        });
        println!("{what}: {longer:?}, longest {:?}", times_ms.last());
    }
    let sum = |of: fn(&Reached) -> usize| all.iter().map(of).sum::<usize>();
    let counts = [
        ("cases", all.len()),
        ("begins", sum(|reached| reached.begins)),
        ("begun again", sum(|reached| reached.begun_again)),
        ("lapses", sum(|reached| reached.lapses)),
        ("changes of the leader", sum(|reached| reached.changes)),
        (
            "those with broken gangs",
            sum(|reached| reached.changes_with_broken_gangs),
        ),
        ("misdelivered orders", sum(|reached| reached.misdelivered)),
        ("jobs that stood", stretches.len()),
    ];
    println!("{counts:?}");
    for (what, number) in counts {
        assert!(number > 0, "{what}: none in {count} cases");
    }
}

/// A case that was found by hand, with these faults.
fn found(seed: u64, (record_ms, failing_percent): (u64, u64), faults: Vec<(u64, Fault)>) -> Case {
    Case {
        seed,
        record_ms,
        failing_percent,
        busy_percent: 0,
        faults,
        planted: ProtocolFault::None,
        gangs: false,
        fleet: Fleet::SMALL,
    }
}

/// Fails with what happened if a case breaks a rule.
fn assert_keeps(case: &Case, rule: Rule) {
    if let Some(finding) = first(case, rule) {
        panic!("{finding}\n{case:?}\n{}", trace(case, &finding));
    }
}

/// A worker's lease has run out unseen, and that takes over three seconds to be recorded. The leader took it for not recorded, sent the start again to
/// the worker, which answered by then, and began the task elsewhere once the record came through.
#[test]
fn a_run_that_was_given_up_is_not_begun_again_while_that_is_recorded() {
    let for_ms = 4_356;
    let faults = vec![
        (14_577, Fault::StuckRecords { for_ms }),
        (
            5_466,
            Fault::BrokenConnections {
                percent: 45,
                for_ms: 1_059,
            },
        ),
        (
            5_463,
            Fault::LateReads {
                percent: 7,
                for_ms: 1_653,
            },
        ),
        (
            6_200,
            Fault::Cut {
                worker: 0,
                for_ms: 9_665,
            },
        ),
        (
            4_428,
            Fault::LateOrders {
                percent: 25,
                for_ms: 5_288,
            },
        ),
    ];
    let case = Case {
        gangs: true,
        ..found(17_841_802_254_305_342_593, (1, 0), faults)
    };
    assert_keeps(&case, Rule::OneAtOnce);
}

/// A gang fails twice, and both failures are taken note of; it began a third time. The first was taken to be over before its worker said how, and
/// the leader that knew so was replaced before that.
#[test]
fn a_gang_that_fails_unheard_by_its_leader_is_counted_by_the_next() {
    let faults = vec![
        (
            6_982,
            Fault::Leader {
                same_core: true,
                lost: 0,
                gap_ms: 119,
                deposed_ms: 599,
            },
        ),
        (
            2_258,
            Fault::Stall {
                for_ms: 1_301,
                in_turn: true,
            },
        ),
        (
            1_864,
            Fault::LateOrders {
                percent: 38,
                for_ms: 7_440,
            },
        ),
    ];
    let case = Case {
        gangs: true,
        ..found(10_578_456_042_968_728_707, (354, 40), faults)
    };
    assert_keeps(&case, Rule::NotAfterFailures);
}

/// The same with one leader: the second run fails, and the third begins, before the first one's worker says that it had failed.
#[test]
fn a_gang_that_may_have_failed_is_not_begun_once_too_often() {
    let faults = vec![
        (
            10_805,
            Fault::BrokenConnections {
                percent: 40,
                for_ms: 7_032,
            },
        ),
        (
            2_700,
            Fault::FailsAll {
                worker: 2,
                for_ms: 6_792,
            },
        ),
        (
            6_419,
            Fault::LateAnswers {
                percent: 18,
                for_ms: 5_804,
            },
        ),
        (4_734, Fault::Reborn { worker: 3 }),
    ];
    let case = Case {
        gangs: true,
        ..found(8_704_983_681_574_955_260, (95, 38), faults)
    };
    assert_keeps(&case, Rule::NotAfterFailures);
}

/// A task that is no gang: given up, begun again while that is being recorded, and begun beside it once that is.
#[test]
fn a_task_that_was_given_up_is_not_begun_again_while_that_is_recorded() {
    let cut = Fault::Cut {
        worker: 1,
        for_ms: 11_988,
    };
    let faults = vec![
        (11_937, Fault::StuckRecords { for_ms: 2_872 }),
        (266, cut),
        (9_892, Fault::StuckRecords { for_ms: 2_859 }),
    ];
    let case = found(7_338_814_041_010_260_219, (1, 0), faults);
    assert_keeps(&case, Rule::OneAtOnce);
}

/// The record of an end is released by the commit of another one, and lost with the leader: the worker has forgotten it, and the task runs again.
#[test]
fn an_end_is_not_forgotten_while_its_record_may_be_lost() {
    let faults = vec![
        (
            3_515,
            Fault::Leader {
                same_core: false,
                lost: 3,
                gap_ms: 326,
                deposed_ms: 1_267,
            },
        ),
        (
            1_130,
            Fault::Leader {
                same_core: true,
                lost: 3,
                gap_ms: 2_214,
                deposed_ms: 1_056,
            },
        ),
        (548, Fault::StuckRecords { for_ms: 4_159 }),
    ];
    let case = Case {
        busy_percent: 11,
        ..found(15_995_428_796_853_810_333, (1, 12), faults)
    };
    assert_keeps(&case, Rule::NotAfterDone);
}

/// The cases come to what they are for: runs begun anew, leases that run out, proposals that are lost, results that reach another leader, answers
/// that are read late, busy workers, and stalls between decision and sending.
#[test]
fn the_cases_reach_what_they_are_for() {
    let mut all: Vec<Reached> = Vec::new();
    let cases = case(fault());
    let mut runner = TestRunner::new(config());
    for _ in 0..CASES {
        let case = cases.new_tree(&mut runner).unwrap().current();
        all.push(reached(&case));
    }
    let sum = |of: fn(&Reached) -> usize| all.iter().map(of).sum::<usize>();
    let counts = [
        ("begins", sum(|reached| reached.begins)),
        ("begun again", sum(|reached| reached.begun_again)),
        ("lapses", sum(|reached| reached.lapses)),
        ("noted as done", sum(|reached| reached.noted_done)),
        ("noted as failed", sum(|reached| reached.noted_failed)),
        ("lost proposals", sum(|reached| reached.lost_proposals)),
        ("older results", sum(|reached| reached.older_results)),
        ("late reads", sum(|reached| reached.late_reads)),
        ("denied orders", sum(|reached| reached.denied)),
        ("stalls in a turn", sum(|reached| reached.stalls_in_turn)),
    ];
    println!("{counts:?}");
    for (what, count) in counts {
        assert!(count > 0, "{what}: none in {CASES} cases");
    }
}

/// Each fault is planted in the workers in turn, and must show as the rule that it breaks. A check that lets all of them pass would prove nothing.
#[rstest]
#[case(ProtocolFault::HalfClock, Rule::OneAtOnce)]
#[case(ProtocolFault::IgnoresLease, Rule::OneAtOnce)]
#[case(ProtocolFault::ForgetsStops, Rule::OneAtOnce)]
#[case(ProtocolFault::HidesSuccess, Rule::NotAfterDone)]
#[case(ProtocolFault::HidesFailures, Rule::NotAfterFailures)]
#[case(ProtocolFault::SkipsEnds, Rule::RecordedFirst)]
#[case(ProtocolFault::NeverEnds, Rule::JobsEnd)]
fn a_worker_that_breaks_the_protocol_is_noticed(
    #[case] planted: ProtocolFault,
    #[case] rule: Rule,
) {
    let config = ProptestConfig {
        max_shrink_iters: 0,
        ..config()
    };
    let cases = case(fault());
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
