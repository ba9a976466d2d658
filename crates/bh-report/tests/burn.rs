//! Error-budget burn: windows, flags, merging and compaction of counters, and the HTML pages.

use bh_report::BurnReport;
use bh_report::Counters;
use bh_report::Objective;
use bh_report::Tally;
use bh_report::report;
use bh_report::to_html;
use std::collections::BTreeMap;
use std::sync::Arc;

const MINUTE_MS: u64 = 60_000;
const NOW_MS: u64 = 30_000_000 * MINUTE_MS;

fn objectives() -> BTreeMap<(Arc<str>, Arc<str>), Objective> {
    let objective = Objective {
        objective_ppm: 999_000,
        objective_ms: 500,
    };
    ["grocers", "bakeries", "kiosks"]
        .into_iter()
        .map(|customer| ((Arc::from(customer), Arc::from("receipt")), objective))
        .collect()
}

/// Counts a thousand requests in each of the last `minutes`, of which `bad` failed.
fn add_requests(counters: &mut Counters, customer: &str, minutes: u64, bad: u64) {
    let (customer, request_type): (Arc<str>, Arc<str>) =
        (Arc::from(customer), Arc::from("receipt"));
    for minute in 0..minutes {
        for number in 0..1_000 {
            counters.note(
                NOW_MS - minute * MINUTE_MS,
                &customer,
                &request_type,
                number >= bad,
            );
        }
    }
}

fn sample_report() -> BurnReport {
    let mut counters = Counters::new();
    add_requests(&mut counters, "grocers", 60, 20);
    add_requests(&mut counters, "bakeries", 400, 2);
    add_requests(&mut counters, "kiosks", 60, 0);
    report(
        &counters,
        NOW_MS,
        &objectives(),
        vec![Arc::from("e1")],
        vec![Arc::from("e2")],
    )
}

/// The objective allows 0.1 % of failures. 2 % burn the budget at twenty times its rate, which is fast; 0.2 % burn it at twice its rate for
/// hours, which is slow; without failures nothing burns.
#[test]
fn windows_and_flags() {
    let report = sample_report();
    let row = |customer: &str| {
        report
            .rows
            .iter()
            .find(|row| &*row.customer == customer)
            .unwrap()
    };
    let five_minutes = row("grocers").windows[0];
    assert_eq!((five_minutes.good, five_minutes.bad), (4_900, 100));
    assert!((five_minutes.burn - 20.0).abs() < 1e-6, "{five_minutes:?}");
    assert!(row("grocers").fast_burn);
    assert!(!row("bakeries").fast_burn && row("bakeries").slow_burn);
    assert!(!row("kiosks").fast_burn && !row("kiosks").slow_burn);
    assert!((row("kiosks").budget_left - 1.0).abs() < 1e-9);
}

/// Compaction merges old buckets without losing a request of the last thirty days, and drops older requests.
#[test]
fn compaction_keeps_the_sums() {
    let mut counters = Counters::new();
    let (customer, request_type): (Arc<str>, Arc<str>) =
        (Arc::from("grocers"), Arc::from("receipt"));
    for hours in [1, 30, 29 * 24, 40 * 24] {
        counters.note(
            NOW_MS - hours * 60 * MINUTE_MS,
            &customer,
            &request_type,
            true,
        );
    }
    counters.compact(NOW_MS);
    let month = counters.window(NOW_MS, 43_200, "grocers", "receipt");
    assert_eq!(month, Tally { good: 3, bad: 0 });
}

/// Counters of several entries add up, and can be serialized and read back.
#[test]
fn counters_merge_and_round_trip() {
    let mut one = Counters::new();
    add_requests(&mut one, "grocers", 2, 100);
    let bytes = serde_json::to_vec(&one).unwrap();
    let mut sum: Counters = serde_json::from_slice(&bytes).unwrap();
    assert_eq!(sum, one);
    sum.merge(&one);
    assert_eq!(
        sum.window(NOW_MS, 5, "grocers", "receipt"),
        Tally {
            good: 3_600,
            bad: 400
        }
    );
}

/// The page shows every row and the entries that did not answer, escapes names and references no other file. `BURN_HTML=FILE` writes the page to
/// a file, to view it.
#[test]
fn the_page_is_self_contained() {
    let mut report = sample_report();
    report.rows[0].customer = Arc::from("<script>");
    let page = to_html(&report);
    assert!(page.contains("&lt;script&gt;") && !page.contains("<script"));
    assert!(
        page.contains("No answer from e2")
            && page.contains("fast burn")
            && page.contains("slow burn")
    );
    assert!(!page.contains("http://") && !page.contains("https://"));
    if let Ok(path) = std::env::var("BURN_HTML") {
        std::fs::write(path, to_html(&sample_report())).unwrap();
    }
}

/// The fragmentation page shows each data centre and shape. `FRAGMENTATION_HTML=FILE` writes the page to a file.
#[test]
fn the_fragmentation_page_shows_shapes() {
    use bh_protocol::shape::Adjacency;
    use bh_protocol::shape::Shape;
    let row = |tasks, usable, fragmentation| bh_report::ShapeFragmentation {
        shape: Shape::new(tasks, 4, Adjacency::Rack),
        usable,
        fragmentation,
    };
    let report = bh_report::FragmentationReport {
        data_centre: Arc::from("ulemiste"),
        accelerators: 400,
        free: 120,
        guaranteed: 3,
        uncovered: 0,
        shapes: vec![row(4, 112, 0.07), row(12, 48, 0.6)],
    };
    let page = bh_report::fragmentation_to_html(&[report]);
    assert!(
        page.contains("ulemiste") && page.contains("12 x 4 in one rack") && page.contains("0.60")
    );
    if let Ok(path) = std::env::var("FRAGMENTATION_HTML") {
        std::fs::write(path, page).unwrap();
    }
}
