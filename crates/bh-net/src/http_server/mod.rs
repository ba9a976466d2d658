//! HTTP/1.1 server for callers, targets and operators.

mod accept;
pub mod answer;
mod body_buffer;
mod chunked_decoder;
mod connection;
mod framing;
mod limits;
pub mod parse_cost;
mod progress_writer;
mod read_error;
mod refusal;
mod request_reader;

pub use accept::Service;
pub use accept::accept;
pub use accept::bind;
pub use connection::serve;
pub use framing::Framing;
pub use framing::check_head;
pub use limits::Limits;
