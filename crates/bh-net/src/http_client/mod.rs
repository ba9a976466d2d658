//! HTTP/1.1 towards targets, and from `beechctl` towards entries.

mod connection;
mod pool;
mod send_error;

pub use connection::Connection;
pub use pool::Pool;
pub use send_error::SendError;
