//! Options of a stand-in worker.

use std::net::SocketAddr;

/// Name, location and size of a worker.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Rack.
    pub rack: String,
    /// Entries that the worker announces itself to, as `IP:port`.
    pub entries: Vec<String>,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Number of slots for short requests.
    pub slots: u32,
    /// Address that the worker listens on; a free port if `None`.
    pub listen: Option<SocketAddr>,
    /// Address that the worker announces; its own if `None`. Tests announce a link in front of the worker.
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
