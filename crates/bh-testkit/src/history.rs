//! Checkers of histories: compare what concurrent clients sent and were answered with what must hold.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// A change of the settings as its operator observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedChange {
    /// Id of the change.
    pub change_id: String,
    /// Revision that the change is based on.
    pub base_revision: u64,
    /// When the change was sent; all times of a history are from one clock.
    pub sent: u64,
    /// When the answer came.
    pub answered: u64,
    /// The new revision if accepted, or the result code if refused; `None` if the answer was lost.
    pub answer: Option<Result<u64, u32>>,
}

/// A read of the revision in force on an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRead {
    /// Entry.
    pub entry: String,
    /// When it was read.
    pub at: u64,
    /// Revision read.
    pub revision: u64,
}

/// Checks concurrent changes of one subtree. The accepted changes must form one chain, each based on its predecessor, in an
/// order that agrees with real time; and no change may be accepted as two revisions. Returns the violations.
pub fn check_changes(changes: &[ObservedChange]) -> Vec<String> {
    let mut problems = Vec::new();
    let mut by_id: BTreeMap<&str, u64> = BTreeMap::new();
    let mut accepted: BTreeMap<u64, &ObservedChange> = BTreeMap::new();
    for change in changes {
        let Some(Ok(revision)) = change.answer else {
            continue;
        };
        if let Some(other) = by_id.insert(&change.change_id, revision)
            && other != revision
        {
            problems.push(format!(
                "change {} was accepted as {other} and as {revision}",
                change.change_id
            ));
        }
        if revision <= change.base_revision {
            problems.push(format!(
                "change {} made against {} became {revision}",
                change.change_id, change.base_revision
            ));
        }
        match accepted.get(&revision) {
            Some(other) if other.change_id != change.change_id => {
                problems.push(format!(
                    "revision {revision} is both {} and {}",
                    other.change_id, change.change_id
                ));
            }
            // The earliest answer counts for real time.
            Some(other) if other.answered <= change.answered => {}
            _ => {
                accepted.insert(revision, change);
            }
        }
    }
    let chain: Vec<(&u64, &&ObservedChange)> = accepted.iter().collect();
    for pair in chain.windows(2) {
        let ((earlier, _), (later, change)) = (pair[0], pair[1]);
        if change.base_revision < *earlier {
            problems.push(format!(
                "revision {later} was made against {}, but {earlier} came between",
                change.base_revision
            ));
        }
    }
    for (revision, change) in &accepted {
        let first_sent = changes
            .iter()
            .filter(|other| other.change_id == change.change_id)
            .map(|other| other.sent)
            .min();
        for (other_revision, other) in accepted.range(revision + 1..) {
            if first_sent.is_some_and(|sent| other.answered < sent) {
                problems.push(format!(
                    "revision {other_revision} was answered before {revision} was sent"
                ));
            }
        }
    }
    problems
}

/// Checks that the revision on an entry never goes back: a later read shows the same or a newer one. Returns the violations.
pub fn check_reads(reads: &[ObservedRead]) -> Vec<String> {
    let mut newest: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut problems = Vec::new();
    let mut ordered: Vec<&ObservedRead> = reads.iter().collect();
    ordered.sort_by_key(|read| read.at);
    for read in ordered {
        let (revision, at) = newest
            .entry(&read.entry)
            .or_insert((read.revision, read.at));
        if read.revision < *revision {
            problems.push(format!(
                "{} went from {revision} (at {at}) back to {} (at {})",
                read.entry, read.revision, read.at
            ));
        }
        *revision = (*revision).max(read.revision);
        *at = read.at;
    }
    problems
}

/// An answer to a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRequest {
    /// Idempotency key of the request.
    pub key: String,
    /// Whether the request ran, according to the answer: `yes`, `no` or `unknown`; `None` if the answer was lost.
    pub ran: Option<String>,
    /// Body of a complete answer.
    pub body: Option<String>,
}

/// Checks the answers to non-idempotent requests against how often workers ran each key. Returns the violations.
pub fn check_requests(answers: &[ObservedRequest], runs: &BTreeMap<String, u64>) -> Vec<String> {
    let mut problems = Vec::new();
    for (key, count) in runs {
        if *count > 1 {
            problems.push(format!("key {key} ran {count} times"));
        }
    }
    let mut by_key: BTreeMap<&str, Vec<&ObservedRequest>> = BTreeMap::new();
    for answer in answers {
        by_key.entry(&answer.key).or_default().push(answer);
    }
    for (key, answers) in by_key {
        let ran = runs.get(key).copied().unwrap_or(0) > 0;
        let says = |word: &str| {
            answers
                .iter()
                .any(|answer| answer.ran.as_deref() == Some(word))
        };
        if says("yes") && !ran {
            problems.push(format!("key {key} is said to have run, and did not"));
        }
        // All attempts have ended: if each answer says "not run", the request must not have run.
        let all_say_no = answers
            .iter()
            .all(|answer| answer.ran.as_deref() == Some("no"));
        if all_say_no && ran {
            problems.push(format!("key {key} is said not to have run, and did"));
        }
        let bodies: BTreeSet<&String> = answers
            .iter()
            .filter_map(|answer| answer.body.as_ref())
            .collect();
        if bodies.len() > 1 {
            problems.push(format!("key {key} got different answers: {bodies:?}"));
        }
    }
    problems
}
