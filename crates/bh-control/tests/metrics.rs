//! Metrics with a label whose values are known only at run time.

use bh_control::observe::Metrics;

/// Metrics of a gauge by customer, as printed.
fn lines(metrics: &Metrics) -> Vec<String> {
    let text = metrics.text();
    text.lines().map(str::to_owned).collect()
}

/// Guards against a monitoring system that is filled by one series for each customer: of 40 customers the first 16 are named, and the rest
/// is added up, so that the sum stays that of all.
#[test]
fn a_gauge_names_sixteen_label_values_and_adds_up_the_rest() {
    let metrics = Metrics::new();
    let names: Vec<String> = (0..40).map(|number| format!("c{number:02}")).collect();
    let values = names.iter().map(|name| (Some(&**name), 10));
    metrics.replace_gauge("customer_runs", "customer", values);
    let lines = lines(&metrics);
    assert_eq!(lines.len(), 17);
    assert!(lines.contains(&"customer_runs{customer=\"c15\"} 10".to_owned()));
    assert!(lines.contains(&"customer_runs{customer=\"other\"} 240".to_owned()));
}

/// Guards against figures of a customer that was removed, or of a core that led before: a gauge has only the values that were set last.
#[test]
fn values_that_are_no_longer_set_disappear() {
    let metrics = Metrics::new();
    let set = |values: &[(Option<&str>, u64)]| {
        metrics.replace_gauge("customer_runs", "customer", values.iter().copied());
    };
    set(&[(Some("mill"), 1), (Some("quarry"), 2)]);
    set(&[(Some("quarry"), 3)]);
    assert_eq!(
        lines(&metrics),
        [
            "customer_runs{customer=\"other\"} 0",
            "customer_runs{customer=\"quarry\"} 3"
        ]
    );
    set(&[]);
    assert!(lines(&metrics).is_empty());
}

/// Guards against two series with the same labels, which monitoring systems reject with all other metrics: a customer may be named `other`.
#[test]
fn a_customer_named_other_is_part_of_the_rest() {
    let metrics = Metrics::new();
    let values = [(Some("other"), 1), (None, 2), (Some("mill"), 4)];
    metrics.replace_gauge("customer_runs", "customer", values);
    assert_eq!(
        lines(&metrics),
        [
            "customer_runs{customer=\"mill\"} 4",
            "customer_runs{customer=\"other\"} 3"
        ]
    );
}

/// Guards against counters that fall: a label value that was counted first stays named, however many come later.
#[test]
fn a_counter_names_the_label_values_that_came_first() {
    let metrics = Metrics::new();
    for number in 0..40 {
        let name = format!("c{number:02}");
        metrics.count_with("customer_runs_stopped", ("customer", Some(&name)), 1);
    }
    metrics.count_with("customer_runs_stopped", ("customer", Some("c00")), 5);
    metrics.count_with("customer_runs_stopped", ("customer", None), 7);
    let lines = lines(&metrics);
    assert_eq!(lines.len(), 17);
    assert!(lines.contains(&"customer_runs_stopped_total{customer=\"c00\"} 6".to_owned()));
    assert!(lines.contains(&"customer_runs_stopped_total{customer=\"other\"} 31".to_owned()));
}

/// Guards against metrics that cannot be parsed: names of customers may contain any character.
#[test]
fn label_values_are_escaped() {
    let metrics = Metrics::new();
    let values = [(Some("a\"b\\c\nd"), 1)];
    metrics.replace_gauge("customer_runs", "customer", values);
    let expected = r#"customer_runs{customer="a\"b\\c\nd"} 1"#;
    assert_eq!(lines(&metrics)[0], expected);
}
