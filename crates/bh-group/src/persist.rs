//! Writes what a batch of steps must not forget, then syncs once.

use bh_consensus::Output;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_storage::Journal;
use bh_storage::Snapshot;
use bh_storage::Vote;
use std::collections::VecDeque;

/// Wait before a write is tried again that found no room on the disk or no descriptor, in milliseconds: others lead meanwhile, so nothing is won
/// by more haste.
const NO_ROOM_WAIT_MS: u64 = 200;

/// Writes and syncs the `Save*` outputs of a batch, on a helper thread; the others are returned.
///
/// # Errors
///
/// [`Code::DiskFailed`]: the process must stop, since it can no longer keep what it promises.
pub(crate) async fn persist(
    journal: &mut Option<Journal>,
    outputs: Vec<Output>,
) -> Result<Vec<Output>, Failure> {
    let (saves, rest): (Vec<Output>, Vec<Output>) = outputs.into_iter().partition(is_save);
    let Some(mut owned) = journal.take() else {
        return Ok(rest);
    };
    if saves.is_empty() {
        *journal = Some(owned);
        return Ok(rest);
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
            // Nothing leaves this replica until the write succeeds: to the others it is silent, as with a disk that hangs.
            Err(failure) if matches!(failure.code, Code::DiskFull | Code::NoDescriptors) => {
                log::warn!(code = failure.code.number(); "waiting for room: {failure}");
                sleep_ms(NO_ROOM_WAIT_MS).await;
            }
            Err(failure) => return Err(failure),
        }
    }
    *journal = Some(owned);
    Ok(rest)
}

fn is_save(output: &Output) -> bool {
    matches!(
        output,
        Output::SaveVote { .. } | Output::SaveEntries(_) | Output::SaveSnapshot { .. }
    )
}

/// Writes `saves` in order and takes out those that need not be written again.
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
