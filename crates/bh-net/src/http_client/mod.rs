//! HTTP/1.1 client, for calls to targets and for calls of `beechctl` to entries.

mod connection;
mod limited_reader;
mod pool;
mod send_error;

pub use connection::Connection;
pub use pool::Pool;
pub use send_error::SendError;
