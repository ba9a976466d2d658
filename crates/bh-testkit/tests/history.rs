//! Tests that the checkers of histories accept a correct history and find the fault in each faulty one.

use bh_testkit::history::ObservedChange;
use bh_testkit::history::ObservedRead;
use bh_testkit::history::ObservedRequest;
use bh_testkit::history::check_changes;
use bh_testkit::history::check_reads;
use bh_testkit::history::check_requests;
use std::collections::BTreeMap;

fn change(
    id: &str,
    base: u64,
    sent: u64,
    answered: u64,
    answer: Result<u64, u32>,
) -> ObservedChange {
    ObservedChange {
        change_id: id.to_owned(),
        base_revision: base,
        sent,
        answered,
        answer: Some(answer),
    }
}

fn read(entry: &str, at: u64, revision: u64) -> ObservedRead {
    ObservedRead {
        entry: entry.to_owned(),
        at,
        revision,
    }
}

fn request(key: &str, ran: &str, body: Option<&str>) -> ObservedRequest {
    ObservedRequest {
        key: key.to_owned(),
        ran: Some(ran.to_owned()),
        body: body.map(str::to_owned),
    }
}

fn runs(pairs: &[(&str, u64)]) -> BTreeMap<String, u64> {
    pairs
        .iter()
        .map(|(key, count)| ((*key).to_owned(), *count))
        .collect()
}

#[test]
fn a_proper_history_passes() {
    let changes = [
        change("a", 0, 1, 5, Ok(1)),
        change("b", 0, 2, 6, Err(130)),
        change("c", 1, 7, 9, Ok(2)),
        change("a", 0, 10, 11, Ok(1)),
    ];
    assert_eq!(check_changes(&changes), Vec::<String>::new());
    assert_eq!(
        check_reads(&[read("x", 1, 0), read("x", 2, 2), read("y", 3, 1)]),
        Vec::<String>::new()
    );
    let answers = [
        request("k", "unknown", None),
        request("k", "yes", Some("out")),
        request("n", "no", None),
    ];
    assert_eq!(
        check_requests(&answers, &runs(&[("k", 1)])),
        Vec::<String>::new()
    );
}

#[test]
fn two_winners_of_one_race_are_found() {
    let changes = [change("a", 0, 1, 5, Ok(1)), change("b", 0, 2, 6, Ok(2))];
    assert!(!check_changes(&changes).is_empty());
}

#[test]
fn one_revision_for_two_changes_is_found() {
    let changes = [change("a", 0, 1, 5, Ok(1)), change("b", 0, 2, 6, Ok(1))];
    assert!(!check_changes(&changes).is_empty());
}

#[test]
fn two_answers_to_one_change_are_found() {
    let changes = [change("a", 0, 1, 5, Ok(1)), change("a", 0, 6, 7, Ok(2))];
    assert!(!check_changes(&changes).is_empty());
}

#[test]
fn an_order_against_real_time_is_found() {
    let changes = [
        change("late", 0, 10, 12, Ok(1)),
        change("early", 1, 1, 5, Ok(2)),
    ];
    assert!(!check_changes(&changes).is_empty());
}

#[test]
fn an_entry_that_goes_back_is_found() {
    assert!(!check_reads(&[read("x", 1, 4), read("x", 2, 3)]).is_empty());
}

#[test]
fn a_request_that_ran_twice_is_found() {
    assert!(!check_requests(&[request("k", "yes", None)], &runs(&[("k", 2)])).is_empty());
}

#[test]
fn a_false_not_run_is_found() {
    assert!(!check_requests(&[request("k", "no", None)], &runs(&[("k", 1)])).is_empty());
}

#[test]
fn a_false_done_and_two_bodies_are_found() {
    assert!(!check_requests(&[request("k", "yes", Some("a"))], &runs(&[])).is_empty());
    let answers = [
        request("k", "yes", Some("a")),
        request("k", "yes", Some("b")),
    ];
    assert!(!check_requests(&answers, &runs(&[("k", 1)])).is_empty());
}
