//! A short run of the soak: real processes, faults from outside, the promises checked meanwhile.

use bh_soak::run;
use rstest::rstest;
use std::path::Path;
use std::time::Duration;

/// Callers hand in and take back jobs, an operator changes the rules, while cores and entries are killed, paused, told to stop, cut off and
/// emptied, and workers crash or fall silent. Nothing runs twice, nothing refused runs, no rules go back, and every accepted job ends.
#[rstest]
#[case(11)]
#[case(12)]
fn promises_hold_under_faults(#[case] seed: u64) {
    const FAULTY: Duration = Duration::from_secs(12);
    let binary = Path::new(env!("CARGO_BIN_EXE_beechhollow"));
    let report = run(binary, seed, FAULTY);
    assert!(
        report.problems.is_empty(),
        "seed {seed}\n{}\n{}\n{}",
        report.faults.join("\n"),
        report.problems.join("\n"),
        report.logs
    );
    assert!(report.accepted > 0 && report.started > 0);
}
