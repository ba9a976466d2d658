//! Records non-idempotent requests in the replicated ledger, so that each runs at most once.

use super::final_answer::FinalAnswer;
use super::short_request::ShortRequest;
use crate::jobs_machine::JobsAnswer;
use crate::jobs_machine::JobsCommand;
use crate::node::Node;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::rendezvous;
use bh_protocol::request::RequestKey;
use bh_protocol::request::StoredAnswer;
use bh_router::LedgerAnswer;
use bh_router::LedgerCommand;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// Longest wait until the begin of a request is recorded, in milliseconds; the caller's deadline may be earlier.
const BEGIN_TIMEOUT_MS: u64 = 3_000;
/// Longest wait for one attempt to record an end, in milliseconds.
const END_TIMEOUT_MS: u64 = 3_000;
/// Time between attempts to record an end, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 200;
/// Times between checks whether the outcome of a request is recorded, in milliseconds. An end is recorded after the caller has its answer,
/// so the caller's resend through another entry may find only the begin. The sum is several times the interval at which a call to a leader
/// is repeated (30 ms). It is short because a resend waits in vain if the entry that began the request was lost.
const OUTCOME_CHECKS_MS: [u64; 4] = [25, 50, 100, 200];
/// Attempts to record an end before giving up; a resend is then answered that the outcome is unknown.
const END_ATTEMPTS: usize = 20;

/// An attempt to run a request whose begin is recorded in the ledger.
#[derive(Clone)]
pub(super) struct RecordedAttempt {
    group: String,
    key: RequestKey,
    attempt: u64,
}

/// The ledger's answer to a begin.
pub(super) enum BeginOutcome {
    /// The request may be sent.
    Granted(RecordedAttempt),
    /// Another attempt began the request, and its outcome is not recorded. This is the answer unless the outcome is recorded soon.
    InProgress(Failure),
    /// The request must not be sent; this is its final answer.
    Answer(FinalAnswer),
}

/// Records that the request is about to be sent.
///
/// The key alone selects the data centre whose group keeps the record, so that a resend through any entry finds it.
/// When that data centre cannot be reached the request is refused: it may have run before.
pub(super) async fn begin(node: &Rc<Node>, request: &ShortRequest, left_ms: u64) -> BeginOutcome {
    let data_centres = node.config.data_centres();
    let Some(home) = rendezvous::choose(
        &format!("{}/{}", request.customer, request.key),
        data_centres.iter(),
    ) else {
        return BeginOutcome::Answer(FinalAnswer::Failed(Failure::new(
            Code::NoQuorum,
            "no data centre is known",
        )));
    };
    let recorded = RecordedAttempt {
        group: crate::node::jobs_group(home),
        key: RequestKey {
            customer: request.customer.clone(),
            key: request.key.clone(),
        },
        attempt: attempt_number(node),
    };
    let command = LedgerCommand::Begin {
        key: recorded.key.clone(),
        digest: digest(request),
        attempt: recorded.attempt,
        expires_wall_ms: node.clock.wall_ms() + left_ms,
    };
    let start_ms = node.clock.now_ms();
    match propose(node, &recorded, command, left_ms.min(BEGIN_TIMEOUT_MS)).await {
        Ok(LedgerAnswer::Granted) => BeginOutcome::Granted(recorded),
        Ok(LedgerAnswer::Ended(stored)) => BeginOutcome::Answer(FinalAnswer::from_stored(stored)),
        Ok(LedgerAnswer::Begun { expires_wall_ms }) => {
            BeginOutcome::InProgress(in_progress(node, request, expires_wall_ms))
        }
        Ok(LedgerAnswer::KeyReused) => BeginOutcome::Answer(FinalAnswer::Failed(Failure::new(
            Code::KeyReused,
            format!("key `{}`", request.key),
        ))),
        Ok(LedgerAnswer::Recorded) => BeginOutcome::Answer(FinalAnswer::Failed(Failure::new(
            Code::Internal,
            "unexpected answer from the request ledger",
        ))),
        Err(failure) => {
            let took_ms = node.clock.now_ms().saturating_sub(start_ms);
            log::warn!(group = &*recorded.group, customer = &*request.customer, took_ms = took_ms; "beginning not recorded: {}", failure.label);
            // The begin may have been recorded although no answer came back. Nothing was sent to a target, so it is withdrawn.
            withdraw(node, recorded);
            let refusal = Failure::new(Code::NoQuorum, failure.label).with_retry_after_ms(500);
            BeginOutcome::Answer(FinalAnswer::Failed(refusal))
        }
    }
}

/// Waits for a short time until the outcome of another attempt at the request is recorded, or its begin is withdrawn. `failure` is the
/// answer if neither happens.
pub(super) async fn begin_after_other_attempt(
    node: &Rc<Node>,
    request: &ShortRequest,
    deadline_ms: u64,
    mut failure: Failure,
) -> BeginOutcome {
    let left_ms = || deadline_ms.saturating_sub(node.clock.now_ms());
    for wait_ms in OUTCOME_CHECKS_MS {
        if failure.code != Code::StillRunning || left_ms() <= wait_ms {
            break;
        }
        sleep_ms(wait_ms).await;
        match begin(node, request, left_ms()).await {
            BeginOutcome::InProgress(latest) => failure = latest,
            // This attempt was not recorded, but the other one may have run. The caller must not be told that nothing ran.
            BeginOutcome::Answer(answer) if answer.has_not_run() => break,
            outcome => return outcome,
        }
    }
    BeginOutcome::InProgress(failure)
}

/// Returns a number that no other attempt has, in this process or any other. It must also differ after a restart of the
/// entry: the ledger would take the resend of a request that was sent before the restart for a repeated proposal, and
/// grant it again.
fn attempt_number(node: &Node) -> u64 {
    let mut bytes = node.incarnation.to_le_bytes().to_vec();
    bytes.extend_from_slice(&node.next_request_number().to_le_bytes());
    xxh3_64(&bytes)
}

fn in_progress(node: &Rc<Node>, request: &ShortRequest, expires_wall_ms: u64) -> Failure {
    let left_ms = expires_wall_ms.saturating_sub(node.clock.wall_ms());
    let label = format!("key `{}`", request.key);
    if left_ms > 0 {
        Failure::new(Code::StillRunning, label).with_retry_after_ms(left_ms)
    } else {
        // The request's deadline has passed and no outcome is recorded: the entry that began it died or could not record one.
        Failure::new(Code::OutcomeUnknown, label)
    }
}

fn digest(request: &ShortRequest) -> u64 {
    let mut bytes = request.request_type.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(&request.body);
    xxh3_64(&bytes)
}

async fn propose(
    node: &Rc<Node>,
    recorded: &RecordedAttempt,
    command: LedgerCommand,
    timeout_ms: u64,
) -> Result<LedgerAnswer, Failure> {
    let bytes = crate::node::to_json(&JobsCommand::Request(command))?;
    let answer = node.propose(&recorded.group, bytes, timeout_ms).await?;
    match crate::node::from_json(&answer)? {
        JobsAnswer::Request(answer) => Ok(answer),
        JobsAnswer::Job(_) => Err(Failure::new(
            Code::Internal,
            "the group answered about a job, not about the request",
        )),
    }
}

/// Records the answer for resends, in the background since the caller need not wait for it.
pub(super) fn end(node: &Rc<Node>, recorded: RecordedAttempt, answer: StoredAnswer) {
    let command = LedgerCommand::End {
        key: recorded.key.clone(),
        attempt: recorded.attempt,
        answer,
    };
    propose_in_background(node, recorded, command);
}

/// Withdraws a recorded begin in the background: nothing was sent.
pub(super) fn withdraw(node: &Rc<Node>, recorded: RecordedAttempt) {
    let command = withdrawal(&recorded);
    propose_in_background(node, recorded, command);
}

/// Withdraws a recorded begin and waits at most `timeout_ms` for it; after a failure it retries in the background.
pub(super) async fn withdraw_now(node: &Rc<Node>, recorded: RecordedAttempt, timeout_ms: u64) {
    let command = withdrawal(&recorded);
    let timeout_ms = timeout_ms.min(END_TIMEOUT_MS);
    if propose(node, &recorded, command.clone(), timeout_ms)
        .await
        .is_err()
    {
        propose_in_background(node, recorded, command);
    }
}

fn withdrawal(recorded: &RecordedAttempt) -> LedgerCommand {
    LedgerCommand::Withdraw {
        key: recorded.key.clone(),
        attempt: recorded.attempt,
    }
}

fn propose_in_background(node: &Rc<Node>, recorded: RecordedAttempt, command: LedgerCommand) {
    let node = node.clone();
    node.in_progress.set(node.in_progress.get() + 1);
    monoio::spawn(async move {
        for _ in 0..END_ATTEMPTS {
            if propose(&node, &recorded, command.clone(), END_TIMEOUT_MS)
                .await
                .is_ok()
            {
                break;
            }
            sleep_ms(RETRY_INTERVAL_MS).await;
        }
        node.in_progress.set(node.in_progress.get() - 1);
    });
}
