//! Names, shapes, messages and result codes shared by every part of beechhollow.
//!
//! This crate depends on no other crate of the project.

pub mod code;
pub mod failure;
pub mod incarnation;
pub mod job;
pub mod number;
pub mod rendezvous;
pub mod request;
pub mod settings;
pub mod shape;
pub mod target;
pub mod wire;

pub use code::Code;
pub use code::Executed;
pub use failure::Failure;
pub use incarnation::Incarnation;
