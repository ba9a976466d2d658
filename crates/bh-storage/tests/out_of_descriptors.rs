//! A process that has reached its limit of open files and connections. The test is alone in its file, since the limit is per process.

use bh_protocol::Code;
use bh_protocol::wire::LogEntry;
use bh_storage::Journal;
use bh_storage::Snapshot;
use bh_storage::Vote;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::setrlimit;

/// A leader has a connection to every worker of a fleet that has grown, so no file descriptor is left when it replaces its journal. A process
/// that took this for a failed disk stopped, and the next leader had the same number of connections. The old journal is intact, so the leader
/// goes on with it and replaces it once some connections are closed.
#[test]
fn a_journal_that_cannot_be_replaced_for_want_of_descriptors_stays_in_force() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("journal");
    let (mut journal, _) = Journal::open(&path).unwrap();
    let vote = Vote {
        term: 2,
        voted_for: 0,
    };
    let snapshot = Snapshot {
        index: 1,
        term: 1,
        voters: Vec::new(),
        state: b"state".to_vec(),
    };
    let entry = LogEntry {
        index: 2,
        term: 2,
        command: b"command".to_vec(),
        voters: Vec::new(),
    };
    let limit = getrlimit(Resource::Nofile);
    let none_left = Rlimit {
        current: Some(0),
        ..limit
    };
    setrlimit(Resource::Nofile, none_left).unwrap();
    let refused = journal.replace(vote, &snapshot, &[]);
    setrlimit(Resource::Nofile, limit).unwrap();
    assert_eq!(refused.unwrap_err().code, Code::NoDescriptors);
    journal.append_entries(vec![entry.clone()]);
    journal.sync().unwrap();
    journal.replace(vote, &snapshot, &[entry]).unwrap();
    let (_, recovered) = Journal::open(&path).unwrap();
    assert_eq!(recovered.snapshot.unwrap().index, 1);
    assert_eq!(recovered.entries.len(), 1);
}
