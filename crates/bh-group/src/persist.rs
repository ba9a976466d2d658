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
    let mut saves: VecDeque<Output> = saves.into();
    while !saves.is_empty() && journal.is_some() {
        let result;
        (saves, result) = on_disk_thread(journal, move |journal| {
            let result = write(journal, &mut saves);
            (saves, result)
        })
        .await?;
        match result {
            Ok(()) => break,
            // Nothing leaves this replica until the write succeeds. To the other replicas it is silent, as if its disk hung.
            Err(failure) if is_temporary(&failure) => {
                log::warn!(code = failure.code.number(); "waiting for room: {failure}");
                sleep_ms(RETRY_WAIT_MS).await;
            }
            Err(failure) => return Err(failure),
        }
    }
    Ok(others)
}

/// Replaces the journal by a snapshot of this replica's own state, if the disk has room for it. Returns whether it had. The journal holds the
/// same without the snapshot, so nothing waits for it.
///
/// # Errors
///
/// [`Code::DiskFailed`].
pub(crate) async fn persist_own_snapshot(
    journal: &mut Option<Journal>,
    outputs: Vec<Output>,
) -> Result<bool, Failure> {
    let mut saves: VecDeque<Output> = outputs.into_iter().filter(is_save).collect();
    if journal.is_none() {
        return Ok(true);
    }
    match on_disk_thread(journal, move |journal| write(journal, &mut saves)).await? {
        Ok(()) => Ok(true),
        Err(failure) if is_temporary(&failure) => {
            log::warn!(code = failure.code.number(); "no room for a snapshot: {failure}");
            Ok(false)
        }
        Err(failure) => Err(failure),
    }
}

/// Sets the reserve of the journal aside again, if the disk has room for it.
///
/// # Errors
///
/// [`Code::Internal`] if the disk thread has ended.
pub(crate) async fn restore_reserve(journal: &mut Option<Journal>) -> Result<(), Failure> {
    if journal.is_some() {
        on_disk_thread(journal, Journal::restore_reserve).await?;
    }
    Ok(())
}

/// Runs `work` with the journal on a helper thread.
async fn on_disk_thread<T: Send + 'static>(
    journal: &mut Option<Journal>,
    work: impl FnOnce(&mut Journal) -> T + Send + 'static,
) -> Result<T, Failure> {
    let ended = || Failure::new(Code::Internal, "the disk thread has ended");
    let mut owned = journal.take().ok_or_else(ended)?;
    let working = monoio::spawn_blocking(move || {
        let result = work(&mut owned);
        (owned, result)
    });
    let (owned, result) = working.await.map_err(|_| ended())?;
    *journal = Some(owned);
    Ok(result)
}

/// Whether a write failed for a lack that may end.
fn is_temporary(failure: &Failure) -> bool {
    matches!(failure.code, Code::DiskFull | Code::NoDescriptors)
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
