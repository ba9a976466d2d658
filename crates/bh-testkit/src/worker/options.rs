//! What a stand-in worker is told at its start.

use std::net::SocketAddr;

/// Name, place and size of a worker.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Rack.
    pub rack: String,
    /// Entries it announces itself to, `IP:port`.
    pub entries: Vec<String>,
    /// Accelerators.
    pub accelerators: u32,
    /// Slots for short requests.
    pub slots: u32,
    /// Where it listens; a free port when `None`.
    pub listen: Option<SocketAddr>,
    /// The address it announces; its own when `None`. A test puts a link there.
    pub announced_address: Option<SocketAddr>,
}

impl WorkerOptions {
    /// A worker with eight accelerators and eight slots.
    pub fn new(name: &str, data_centre: &str, rack: &str, entries: Vec<String>) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            rack: rack.to_owned(),
            entries,
            accelerators: 8,
            slots: 8,
            listen: None,
            announced_address: None,
        }
    }
}
