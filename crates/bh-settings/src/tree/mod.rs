//! Types of the settings tree.

mod customer;
mod guarantee;
mod policy;
mod request_type;
mod settings;
mod system;
mod team;

pub use customer::Customer;
pub use guarantee::Guarantee;
pub use policy::Policy;
pub use request_type::RequestType;
pub use settings::Settings;
pub use system::System;
pub use team::Team;
