//! Replication of planned starts, which delays the next plan.

use bh_control::core::StartsRecord;

/// Guards against a plan being delayed by a record of starts without a trace, and against one such delay being counted at every iteration.
#[test]
fn a_plan_that_is_kept_back_is_counted_once_for_each_record() {
    let mut record = StartsRecord::new();
    assert!(!record.is_open());
    assert!(!record.defer_plan());
    assert_eq!(record.age_ms(50), 0);
    for began_ms in [100, 5_000] {
        record.begin(began_ms);
        assert!(record.is_open());
        assert_eq!(record.age_ms(began_ms + 700), 700);
        assert!(record.defer_plan());
        assert!(!record.defer_plan());
        record.end();
        assert!(!record.is_open());
        assert!(!record.defer_plan());
        assert_eq!(record.age_ms(began_ms + 900), 0);
    }
}
