//! HTTP/1.1 server for callers, targets and operators.

pub mod answer;
mod connection;
mod framing;
mod guard;
mod limits;
mod shared;

pub use connection::serve;
pub use framing::Framing;
pub use framing::check_head;
pub use limits::Limits;
