//! The HTTP API, with one file for each route.

mod announce;
mod answer;
mod health;
mod in_force;
mod jobs;
mod reports;
mod request;
mod route;
mod settings;
mod status;
mod targets;

pub use reports::load_counters;
pub use reports::save_counters;
pub(crate) use route::parse_bytes;
pub use route::route;
pub use status::EntryStatus;
pub use status::GroupView;
pub use status::PeerView;
