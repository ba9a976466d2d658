//! Links between the processes of a deployment.

mod accept;
mod dial;
#[expect(
    clippy::module_inception,
    reason = "one type a file, and the type is the module's subject"
)]
mod mesh;
mod peer;

pub use accept::Inbound;
pub use accept::LinkHandler;
pub use accept::Reply;
pub use accept::accept;
pub use mesh::HEARTBEAT_INTERVAL_MS;
pub use mesh::LINK_TIMEOUT_MS;
pub use mesh::Mesh;
pub use peer::Peer;
