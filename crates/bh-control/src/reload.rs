//! Reloads the config file of the process.

use crate::config::LocalConfig;
use crate::mesh::Mesh;
use bh_net::runtime;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Time between checks for a signal, in milliseconds.
const SIGNAL_POLL_MS: u64 = 200;
/// Time without a link to any core after which the file is reloaded without a signal, in milliseconds. Its seeds may have been replaced,
/// and there is no other source for the cores' addresses.
const UNLINKED_RELOAD_MS: u64 = 1_000;

/// Starts to follow the file at `path`.
///
/// # Errors
///
/// [`Code::Internal`] when the signal cannot be caught.
pub fn follow(mesh: Rc<Mesh>, path: Arc<str>) -> Result<(), Failure> {
    let hangup = runtime::flag_on_hangup()
        .map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
    monoio::spawn(watch(mesh, path, hangup));
    Ok(())
}

async fn watch(mesh: Rc<Mesh>, path: Arc<str>, hangup: Arc<AtomicBool>) {
    let mut last_linked_ms = mesh.now_ms();
    loop {
        sleep_ms(SIGNAL_POLL_MS).await;
        let now_ms = mesh.now_ms();
        if mesh.peers().iter().any(|peer| peer.is_linked()) {
            last_linked_ms = now_ms;
        }
        let signalled = hangup.swap(false, Ordering::Relaxed);
        if !signalled && now_ms < last_linked_ms + UNLINKED_RELOAD_MS {
            continue;
        }
        last_linked_ms = now_ms;
        match LocalConfig::load(&path) {
            Ok(config) => {
                if signalled {
                    log::info!(seeds = config.seeds.len(); "config file reloaded");
                }
                mesh.add_cores(config.seed_peers());
            }
            Err(failure) => log::warn!("config file not reloaded: {failure}"),
        }
    }
}
