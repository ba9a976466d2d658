//! The table of all other entries.

use super::Peer;
use bh_settings::entry::EntryVm;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// The other entries by name.
pub struct Peers {
    peers: BTreeMap<Arc<str>, Rc<Peer>>,
}

impl Peers {
    /// Peers for all of `vms` except the one named `own`.
    pub fn new<'a>(vms: impl Iterator<Item = &'a EntryVm>, own: &str) -> Self {
        let peers = vms
            .filter(|vm| &*vm.name != own)
            .map(|vm| (vm.name.clone(), Rc::new(Peer::new(vm.clone()))))
            .collect();
        Self { peers }
    }

    /// The peer with this name.
    pub fn get(&self, name: &str) -> Option<&Rc<Peer>> {
        self.peers.get(name)
    }

    /// The peer whose replicas have this id.
    pub fn by_replica(&self, replica: u64) -> Option<&Rc<Peer>> {
        self.peers
            .values()
            .find(|peer| peer.replica.get() == replica)
    }

    /// All peers in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Peer>> {
        self.peers.values()
    }
}
