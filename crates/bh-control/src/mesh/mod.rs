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
pub use accept::Reply;
pub use accept::Service;
pub use accept::accept;
pub use mesh::Mesh;
pub use mesh::SIGN_OF_LIFE_MS;
pub use mesh::SILENCE_MS;
pub use peer::Peer;
