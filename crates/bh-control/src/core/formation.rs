//! Bootstrap: how the cores of a new deployment form the replicated group.

use super::core_node::CoreNode;
use bh_group::Formation;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::wire::RpcKind;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

/// Time to wait for an answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 500;
/// File with the first voters. It survives a crash between the first start and the end of the bootstrap, and is lost with the disk's
/// contents: a core that lost its disk must not form a second group beside the one that it no longer knows.
const FIRST_VOTERS_FILE: &str = "first-voters";

/// Addresses of the first voters, when this core may still take part in forming the group.
///
/// # Errors
///
/// [`Code::DiskFailed`].
pub fn first_voters(core: &CoreNode, folder: &Path) -> Result<Option<BTreeSet<IpAddr>>, Failure> {
    let file = folder.join(FIRST_VOTERS_FILE);
    let failed = |error| Failure::new(Code::DiskFailed, format!("{}: {error}", file.display()));
    if let Ok(text) = std::fs::read_to_string(&file) {
        let voters: BTreeSet<IpAddr> = text.lines().filter_map(|line| line.parse().ok()).collect();
        return Ok((!voters.is_empty()).then_some(voters));
    }
    if !core.config.may_form {
        return Ok(None);
    }
    let voters: BTreeSet<IpAddr> = core.config.seeds.iter().map(SocketAddr::ip).collect();
    let lines: Vec<String> = voters.iter().map(IpAddr::to_string).collect();
    let write = || -> std::io::Result<()> {
        let mut handle = File::create(&file)?;
        handle.write_all(lines.join("\n").as_bytes())?;
        handle.sync_all()?;
        File::open(folder)?.sync_all()
    };
    write().map_err(failed)?;
    Ok(Some(voters))
}

/// Takes part in the bootstrap of the group of `voters`.
pub async fn form(core: Rc<CoreNode>, replica: u64, voters: BTreeSet<IpAddr>) {
    let names: BTreeSet<Arc<str>> = voters.iter().map(|ip| Arc::from(ip.to_string())).collect();
    let own: Arc<str> = Arc::from(core.config.ip.to_string());
    let asking = core.clone();
    let ask = move |name: Arc<str>| {
        let core = asking.clone();
        async move {
            let address = SocketAddr::new(name.parse().ok()?, core.config.peer_port);
            let peer = core.mesh.peer(address)?;
            let reply = peer
                .call(RpcKind::Formation, Vec::new(), ANSWER_TIMEOUT_MS)
                .await
                .ok()?;
            serde_json::from_slice::<Formation>(&reply.body).ok()
        }
    };
    bh_group::form(core.group.clone(), own, replica, names, ask).await;
}
