//! The operator's rules: queues, pools and customers.

mod customer;
mod pool;
mod queue;
#[expect(
    clippy::module_inception,
    reason = "one type a file, and the type is the module's subject"
)]
mod rules;

pub use customer::Customer;
pub use pool::Pool;
pub use queue::AdviserTiming;
pub use queue::Queue;
pub use rules::Rules;
