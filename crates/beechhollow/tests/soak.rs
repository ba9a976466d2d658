//! A short run of the soak: real processes, faults from outside, the promises checked meanwhile.

use bh_soak::Options;
use bh_soak::run;
use rstest::rstest;
use std::path::Path;
use std::time::Duration;

/// Too few for a leader that talks to the four workers of the soak itself.
const FEW_DESCRIPTORS: usize = 40;

/// Callers hand in and take back jobs, an operator changes the rules, while cores and entries are killed, paused, stalled again and again, told to stop, cut off and
/// emptied, and workers crash, fall silent, fail what they start, break connections, refuse and answer late. Nothing runs twice or after its last allowed failure, nothing refused runs, no rules go back, and every accepted job ends. The same where
/// cores have so few descriptors that they share the workers: then the core that carries an order may be lost as well as the one that gives it.
#[rstest]
#[case(11, None)]
#[case(12, None)]
#[case(13, Some(FEW_DESCRIPTORS))]
#[case(14, Some(FEW_DESCRIPTORS))]
fn promises_hold_under_faults(#[case] seed: u64, #[case] descriptors: Option<usize>) {
    check(seed, descriptors, false);
}

/// Workers carry orders out, close the connection without an answer and refuse what is sent again: what an order that was sent twice may have
/// begun is not begun elsewhere. Seen to fail by a second send of which only the refusal was known.
#[rstest]
#[case(22, None)]
#[case(33, Some(FEW_DESCRIPTORS))]
fn no_run_begins_beside_one_whose_answer_was_lost(
    #[case] seed: u64,
    #[case] descriptors: Option<usize>,
) {
    check(seed, descriptors, true);
}

fn check(seed: u64, descriptors: Option<usize>, refusals_only: bool) {
    let binary = Path::new(env!("CARGO_BIN_EXE_beechhollow"));
    let options = Options {
        faulty: Duration::from_secs(12),
        descriptors,
        refusals_only,
    };
    let report = run(binary, seed, options);
    assert!(
        report.problems.is_empty(),
        "seed {seed}\n{}\n{}\n{}",
        report.faults.join("\n"),
        report.problems.join("\n"),
        report.logs
    );
    assert!(report.accepted > 0 && report.started > 0);
}
