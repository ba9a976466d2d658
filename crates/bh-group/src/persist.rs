//! Writes what a batch of steps must not forget, then syncs once.

use bh_consensus::Output;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_storage::Journal;
use bh_storage::Snapshot;
use bh_storage::Vote;

/// A snapshot to write with what follows it.
struct Replacement {
    vote: Vote,
    snapshot: Snapshot,
    entries: Vec<bh_protocol::wire::LogEntry>,
}

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
    let writing = monoio::spawn_blocking(move || {
        let result = write(&mut owned, saves);
        (owned, result)
    });
    let (returned, result) = writing
        .await
        .map_err(|_| Failure::new(Code::DiskFailed, "the disk thread has ended"))?;
    *journal = Some(returned);
    result?;
    Ok(rest)
}

fn is_save(output: &Output) -> bool {
    matches!(
        output,
        Output::SaveVote { .. } | Output::SaveEntries(_) | Output::SaveSnapshot { .. }
    )
}

fn write(journal: &mut Journal, saves: Vec<Output>) -> Result<(), Failure> {
    for save in saves {
        match save {
            Output::SaveVote { term, voted_for } => journal.append_vote(Vote { term, voted_for }),
            Output::SaveEntries(entries) => journal.append_entries(entries),
            Output::SaveSnapshot {
                index,
                term,
                voters,
                state,
                vote,
                entries,
            } => {
                let replacement = Replacement {
                    vote: Vote {
                        term: vote.0,
                        voted_for: vote.1,
                    },
                    snapshot: Snapshot {
                        index,
                        term,
                        voters,
                        state,
                    },
                    entries,
                };
                journal.replace(replacement.vote, replacement.snapshot, replacement.entries)?;
            }
            _ => {}
        }
    }
    journal.sync()
}
