//! Replicas of a group in one process, each with a folder of its own.
#![expect(
    clippy::unwrap_used,
    reason = "an unexpected result must fail the test"
)]
#![allow(dead_code, reason = "each test file uses a part")]

use bh_consensus::Config;
use bh_consensus::VoterPolicy;
use bh_group::Codec;
use bh_group::Driver;
use bh_group::Group;
use bh_group::Hooks;
use bh_group::Machine;
use bh_net::Clock;
use bh_net::runtime::sleep_ms;
use bh_protocol::wire::Member;
use bh_protocol::wire::RaftMessage;
use bh_storage::BeforeOperation;
use bh_storage::Folder;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Deref;
use std::path::Path;
use std::rc::Rc;
use std::rc::Weak;
use std::sync::Arc;

const GROUP: &str = "group";
/// Bytes of applied commands after which a snapshot is taken.
pub const MAX_LOG_BYTES: u64 = 1 << 20;
pub const TIMEOUT_MS: u64 = 5_000;
const POLL_MS: u64 = 5;

/// The state is the last command.
const CODEC: Codec<Vec<u8>> = Codec {
    apply: |state, command| {
        *state = command.to_vec();
        Ok(Vec::new())
    },
    snapshot: |state| Ok(state.clone()),
    restore: |state, bytes| {
        *state = bytes.to_vec();
        Ok(())
    },
};

/// The replicas that run, by identity.
type Running = RefCell<BTreeMap<u64, Group<Vec<u8>>>>;

/// All replicas of a group, in the order of their disks. They end with this.
pub struct Members {
    pub groups: Vec<Group<Vec<u8>>>,
    _running: Rc<Running>,
}

impl Deref for Members {
    type Target = [Group<Vec<u8>>];

    fn deref(&self) -> &Self::Target {
        &self.groups
    }
}

/// A replica's folder and its disk.
pub struct Disk<'a> {
    pub path: &'a Path,
    /// Size of the journal's reserve in bytes; 0 for none.
    pub reserve_bytes: usize,
    pub before: BeforeOperation,
}

impl<'a> Disk<'a> {
    /// A disk that never fails, without a reserve.
    pub fn new(path: &'a Path) -> Self {
        Self {
            path,
            reserve_bytes: 0,
            before: Arc::new(|_| Ok(())),
        }
    }
}

fn deliver(running: &Weak<Running>, own: u64, message: &RaftMessage) {
    let Some(running) = running.upgrade() else {
        return;
    };
    for (id, group) in running.borrow().iter() {
        if *id != own && (message.to == 0 || message.to == *id) {
            group.deliver(message.clone());
        }
    }
}

/// Starts a replica on each disk; together they are the voters of the group.
pub fn start(disks: &[Disk]) -> Members {
    let name = |index: usize| format!("vm{index}");
    let names: Vec<Arc<str>> = (0..disks.len()).map(|i| Arc::from(name(i))).collect();
    let folders: Vec<Folder> = disks
        .iter()
        .zip(&names)
        .map(|(disk, name)| Folder::open(disk.path, name).unwrap())
        .collect();
    let members = folders.iter().zip(&names).map(|(folder, name)| Member {
        id: folder.replica_id(),
        name: name.to_string(),
    });
    let members: Vec<Member> = members.collect();
    let running: Rc<Running> = Rc::default();
    let mut groups = Vec::new();
    for ((disk, folder), name) in disks.iter().zip(folders).zip(&names) {
        let id = folder.replica_id();
        let config = Config {
            group: Arc::from(GROUP),
            id,
            name: name.clone(),
            durable: true,
            voter_policy: VoterPolicy::Names(BTreeSet::from_iter(names.iter().cloned())),
            heartbeat_ms: 20,
            election_timeout_ms: 100,
            first_election_timeout_ms: 50,
            election_delay_ms: 0,
            seed: id,
        };
        let (mut journal, recovered) = folder.journal(GROUP).unwrap();
        if disk.reserve_bytes > 0 {
            journal = journal.with_reserve(disk.reserve_bytes);
        }
        let storage = Some((journal.with_before(disk.before.clone()), recovered));
        let others = Rc::downgrade(&running);
        let hooks = Hooks {
            send: Box::new(move |message| deliver(&others, id, &message)),
            applied: Box::new(|_, _| {}),
            changed: Box::new(|| {}),
        };
        let machine = Machine::new(Vec::new(), CODEC);
        let (driver, group) = Driver::new(config, machine, storage, Clock::new(), hooks).unwrap();
        let driver = driver.with_max_log_bytes(MAX_LOG_BYTES);
        group.form(members.clone());
        running.borrow_mut().insert(id, group.clone());
        groups.push(group);
        monoio::spawn(async move {
            driver.run().await.unwrap();
            drop(folder);
        });
    }
    Members {
        groups,
        _running: running,
    }
}

/// Waits until `condition` returns a value.
pub async fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    for _ in 0..TIMEOUT_MS / POLL_MS {
        if let Some(value) = condition() {
            return value;
        }
        sleep_ms(POLL_MS).await;
    }
    panic!("not in time: {what}");
}

/// Waits until a replica leads and has applied everything. Returns its index.
pub async fn wait_for_leader(groups: &[Group<Vec<u8>>]) -> usize {
    let leads = |group: &Group<Vec<u8>>| {
        let status = group.status();
        status.is_leader && status.caught_up
    };
    wait_for("a leader", || groups.iter().position(leads)).await
}

/// Proposes a command until it is recorded, at whichever replica leads.
pub async fn record(groups: &[Group<Vec<u8>>], command: &[u8]) {
    for _ in 0..100 {
        let leader = wait_for_leader(groups).await;
        let proposed = groups[leader].propose(command.to_vec(), TIMEOUT_MS);
        if proposed.await.is_ok() {
            return;
        }
        sleep_ms(POLL_MS).await;
    }
    panic!("not recorded");
}

/// Size of all files in a folder, in bytes.
pub fn folder_bytes(path: &Path) -> u64 {
    let files = std::fs::read_dir(path).unwrap().map(Result::unwrap);
    // A temporary file may be renamed meanwhile.
    let sizes = files.filter_map(|file| Some(file.metadata().ok()?.len()));
    sizes.sum()
}
