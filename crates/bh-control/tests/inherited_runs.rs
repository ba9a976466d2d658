//! Runs that a new leader inherits from an earlier one.

#[path = "../../bh-workload/tests/support/mod.rs"]
mod support;

use bh_control::core::InheritedRuns;
use bh_workload::job::StepSpec;
use bh_workload::state::EndKind;
use support::Site;
use support::step;

/// Guards against a takeover that counts as settled while a run is unconfirmed, or that is reported twice.
#[test]
fn a_takeover_is_settled_once_every_run_is_confirmed() {
    let mut site = Site::new(3, 3);
    site.advance(60_000);
    site.submit(2, "other", vec![step(3, 8)]);
    site.plan_and_start();
    site.send_starts();
    site.take_over(2);
    let mut inherited_runs = InheritedRuns::new(&site.workload);
    assert_eq!(inherited_runs.count(), 3);
    let runs = site.open_runs();

    site.advance(100);
    let answer = site.probe_answer(&runs[0].0, &[]);
    site.answer_for(&runs[0].0, &answer);
    site.end(runs[1].1, EndKind::Done);
    assert_eq!(
        inherited_runs.remove_settled(&site.workload, &site.dispatcher),
        None
    );
    assert_eq!(inherited_runs.count(), 1);

    site.end(runs[2].1, EndKind::Lost);
    let last = inherited_runs.remove_settled(&site.workload, &site.dispatcher);
    assert_eq!(last, Some(runs[2].clone()));
    assert_eq!(
        inherited_runs.remove_settled(&site.workload, &site.dispatcher),
        None
    );
}

/// Guards against a gang that waits for some of its runs being counted as whole, and one that waits for free capacity being counted as
/// broken.
#[test]
fn broken_gangs_are_counted() {
    let mut site = Site::new(4, 4);
    site.advance(60_000);
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    let job = site.submit(2, "other", vec![gang.clone(), gang]);
    let broken = |site: &Site| site.workload.job(job).unwrap().broken_gangs(job);
    assert_eq!(broken(&site), 0);
    site.plan_and_start();
    assert_eq!(broken(&site), 0);
    let runs = site.open_runs();
    site.end(runs[0].1, EndKind::Broken);
    assert_eq!(broken(&site), 1);
    let rest: Vec<_> = site.open_runs();
    for (_, run) in rest {
        site.end(run, EndKind::Lost);
    }
    assert_eq!(broken(&site), 0);
}
