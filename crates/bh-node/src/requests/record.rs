//! The record that keeps a non-idempotent request at most once.

use super::final_answer::FinalAnswer;
use super::work::Work;
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

/// Longest wait for the record of a beginning, in milliseconds, within the caller's deadline.
const BEGIN_MS: u64 = 3_000;
/// Longest wait for one attempt to record an end, in milliseconds.
const END_MS: u64 = 3_000;
/// Time between such attempts, in milliseconds.
const RETRY_MS: u64 = 200;
/// Attempts to record an end before it is given up; a resend then hears that the outcome is unknown.
const END_ATTEMPTS: usize = 20;

/// A request that was begun.
#[derive(Clone)]
pub(super) struct Begun {
    group: String,
    key: RequestKey,
    attempt: u64,
}

/// What the record said to a beginning.
pub(super) enum Beginning {
    /// The request may be sent.
    Granted(Begun),
    /// It must not be sent; this is its answer.
    Answer(FinalAnswer),
}

/// Records that the request is about to be sent.
///
/// The record's home is a data centre chosen by the key alone, so that a resend finds it through whichever entry it
/// comes. When that data centre cannot be reached the request is refused: it might have run there before.
pub(super) async fn begin(node: &Rc<Node>, work: &Work, left_ms: u64) -> Beginning {
    let data_centres = node.config.data_centres();
    let Some(home) = rendezvous::choose(
        &format!("{}/{}", work.customer, work.key),
        data_centres.iter(),
    ) else {
        return Beginning::Answer(FinalAnswer::Failed(Failure::new(
            Code::NoQuorum,
            "no data centre is known",
        )));
    };
    let begun = Begun {
        group: crate::node::jobs_group(home),
        key: RequestKey {
            customer: work.customer.clone(),
            key: work.key.clone(),
        },
        attempt: attempt_number(node),
    };
    let command = LedgerCommand::Begin {
        key: begun.key.clone(),
        digest: digest(work),
        attempt: begun.attempt,
        expires_wall_ms: node.clock.wall_ms() + left_ms,
    };
    let start_ms = node.clock.now_ms();
    match propose(node, &begun, command, left_ms.min(BEGIN_MS)).await {
        Ok(LedgerAnswer::Granted) => Beginning::Granted(begun),
        Ok(LedgerAnswer::Ended(stored)) => Beginning::Answer(FinalAnswer::from_stored(stored)),
        Ok(LedgerAnswer::Begun { expires_wall_ms }) => Beginning::Answer(FinalAnswer::Failed(
            in_progress(node, work, expires_wall_ms),
        )),
        Ok(LedgerAnswer::KeyReused) => Beginning::Answer(FinalAnswer::Failed(Failure::new(
            Code::KeyReused,
            format!("key `{}`", work.key),
        ))),
        Ok(LedgerAnswer::Recorded) => Beginning::Answer(FinalAnswer::Failed(Failure::new(
            Code::Internal,
            "an unexpected answer of the record",
        ))),
        Err(failure) => {
            let took_ms = node.clock.now_ms().saturating_sub(start_ms);
            log::warn!(group = &*begun.group, customer = &*work.customer, took_ms = took_ms; "beginning not recorded: {}", failure.label);
            // The record may stand without an answer having come back. Nothing was sent, so it is taken back.
            withdraw(node, begun);
            let refusal = Failure::new(Code::NoQuorum, failure.label).with_retry_after_ms(500);
            Beginning::Answer(FinalAnswer::Failed(refusal))
        }
    }
}

/// A number that no other attempt has, of this process or any other. It must differ between two lives of an entry: the
/// record would take the resend of a request that the earlier life sent for a repeated proposal, and grant it again.
fn attempt_number(node: &Node) -> u64 {
    let mut bytes = node.incarnation.to_le_bytes().to_vec();
    bytes.extend_from_slice(&node.request_number().to_le_bytes());
    xxh3_64(&bytes)
}

fn in_progress(node: &Rc<Node>, work: &Work, expires_wall_ms: u64) -> Failure {
    let left_ms = expires_wall_ms.saturating_sub(node.clock.wall_ms());
    let label = format!("key `{}`", work.key);
    if left_ms > 0 {
        Failure::new(Code::StillRunning, label).with_retry_after_ms(left_ms)
    } else {
        // The entry that began it is past its deadline and has recorded no outcome: it died, or could not.
        Failure::new(Code::OutcomeUnknown, label)
    }
}

fn digest(work: &Work) -> u64 {
    let mut bytes = work.request_type.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(&work.body);
    xxh3_64(&bytes)
}

async fn propose(
    node: &Rc<Node>,
    begun: &Begun,
    command: LedgerCommand,
    limit_ms: u64,
) -> Result<LedgerAnswer, Failure> {
    let bytes = crate::node::to_json(&JobsCommand::Request(command))?;
    let answer = node.propose(&begun.group, bytes, limit_ms).await?;
    match crate::node::from_json(&answer)? {
        JobsAnswer::Request(answer) => Ok(answer),
        JobsAnswer::Job(_) => Err(Failure::new(
            Code::Internal,
            "an answer about a job to a request",
        )),
    }
}

/// Records the answer for resends, in the background: the caller already has it.
pub(super) fn end(node: &Rc<Node>, begun: Begun, answer: StoredAnswer) {
    let command = LedgerCommand::End {
        key: begun.key.clone(),
        attempt: begun.attempt,
        answer,
    };
    in_background(node, begun, command);
}

/// Takes a beginning back: nothing was sent.
pub(super) fn withdraw(node: &Rc<Node>, begun: Begun) {
    let command = withdrawal(&begun);
    in_background(node, begun, command);
}

/// Takes a beginning back and waits for the record of that, `limit_ms` at most; it goes on in the background after that.
pub(super) async fn withdraw_now(node: &Rc<Node>, begun: Begun, limit_ms: u64) {
    let command = withdrawal(&begun);
    let limit_ms = limit_ms.min(END_MS);
    if propose(node, &begun, command.clone(), limit_ms)
        .await
        .is_err()
    {
        in_background(node, begun, command);
    }
}

fn withdrawal(begun: &Begun) -> LedgerCommand {
    LedgerCommand::Withdraw {
        key: begun.key.clone(),
        attempt: begun.attempt,
    }
}

fn in_background(node: &Rc<Node>, begun: Begun, command: LedgerCommand) {
    let node = node.clone();
    node.in_progress.set(node.in_progress.get() + 1);
    monoio::spawn(async move {
        for _ in 0..END_ATTEMPTS {
            if propose(&node, &begun, command.clone(), END_MS)
                .await
                .is_ok()
            {
                break;
            }
            sleep_ms(RETRY_MS).await;
        }
        node.in_progress.set(node.in_progress.get() - 1);
    });
}
