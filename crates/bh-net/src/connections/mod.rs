//! What the connections of a process take together: their number and their memory.
//!
//! Each connection has a [`Slot`], which says what the connection is doing and how much memory it holds. When there is no room for another
//! connection or for more memory, connections that stay open without ending their request give way first.

mod connection_limits;
mod eviction;
mod figures;
mod resource;
mod shortage;
mod slot;
mod stage;
mod state;
mod table;

pub use connection_limits::ConnectionLimits;
pub use connection_limits::KERNEL_BUFFER_BYTES;
pub use figures::Figures;
pub use resource::Resource;
pub use shortage::Shortage;
pub use slot::Slot;
pub use stage::Stage;
pub use table::Connections;
