//! Writes the `Save*` outputs of a batch of steps to the journal, with one sync.

use bh_consensus::Output;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_storage::Journal;
use bh_storage::Snapshot;
use bh_storage::Vote;
use std::collections::VecDeque;

/// Wait before a write is retried that failed because the disk was full or no file descriptor was left, in milliseconds. Other replicas can
/// lead meanwhile, so a shorter wait would gain nothing.
const RETRY_WAIT_MS: u64 = 200;

/// Writes and syncs the `Save*` outputs of a batch on a helper thread, and returns the other outputs.
///
/// # Errors
///
/// [`Code::DiskFailed`]: the process must stop, since it can no longer save its votes and the entries that it acknowledges.
pub(crate) async fn persist(
    journal: &mut Option<Journal>,
    outputs: Vec<Output>,
) -> Result<Vec<Output>, Failure> {
    let (saves, others): (Vec<Output>, Vec<Output>) = outputs.into_iter().partition(is_save);
    let Some(mut owned) = journal.take() else {
        return Ok(others);
    };
    if saves.is_empty() {
        *journal = Some(owned);
        return Ok(others);
    }
    let mut saves: VecDeque<Output> = saves.into();
    loop {
        let writing = monoio::spawn_blocking(move || {
            let result = write(&mut owned, &mut saves);
            (owned, saves, result)
        });
        let result;
        (owned, saves, result) = writing
            .await
            .map_err(|_| Failure::new(Code::Internal, "the disk thread has ended"))?;
        match result {
            Ok(()) => break,
            // Nothing leaves this replica until the write succeeds. To the other replicas it is silent, as if its disk hung.
            Err(failure) if matches!(failure.code, Code::DiskFull | Code::NoDescriptors) => {
                log::warn!(code = failure.code.number(); "waiting for room: {failure}");
                sleep_ms(RETRY_WAIT_MS).await;
            }
            Err(failure) => return Err(failure),
        }
    }
    *journal = Some(owned);
    Ok(others)
}

fn is_save(output: &Output) -> bool {
    matches!(
        output,
        Output::SaveVote { .. } | Output::SaveEntries(_) | Output::SaveSnapshot { .. }
    )
}

/// Writes `saves` in order, and removes those that a retry need not write again.
fn write(journal: &mut Journal, saves: &mut VecDeque<Output>) -> Result<(), Failure> {
    while let Some(save) = saves.front() {
        match save {
            Output::SaveVote { term, voted_for } => journal.append_vote(Vote {
                term: *term,
                voted_for: *voted_for,
            }),
            Output::SaveEntries(entries) => journal.append_entries(entries.clone()),
            Output::SaveSnapshot {
                index,
                term,
                voters,
                state,
                vote,
                entries,
            } => {
                let vote = Vote {
                    term: vote.0,
                    voted_for: vote.1,
                };
                let snapshot = Snapshot {
                    index: *index,
                    term: *term,
                    voters: voters.clone(),
                    state: state.clone(),
                };
                journal.replace(vote, &snapshot, entries)?;
            }
            _ => {}
        }
        saves.pop_front();
    }
    journal.sync()
}
