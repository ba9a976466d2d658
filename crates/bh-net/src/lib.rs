//! The event loop, the clock, HTTP/1.1, and the authenticated link between entries.
//!
//! Everything runs on one thread; only disk syncs and the parsing of large bodies run on helper threads.
//!
//! An *entry* is the process of a VM that takes callers' requests. Cores, the processes
//! that keep the replicated record of the workload, use the same link.

pub mod background;
pub mod clock;
pub mod connections;
pub mod http_client;
pub mod http_server;
pub mod link;
pub mod runtime;

pub use background::Background;
pub use clock::Clock;
