//! The event loop, the clock, HTTP/1.1, and the authenticated link between entries.
//!
//! Everything runs on one thread; only disk syncs run on helper threads.

pub mod clock;
pub mod http_client;
pub mod http_server;
pub mod link;
pub mod runtime;

pub use clock::Clock;
