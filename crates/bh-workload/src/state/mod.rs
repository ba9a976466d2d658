//! The replicated record and the commands that change it.

mod apply;
mod command;
mod end;
mod job;
mod news;
mod start;
mod task;
mod wave;
mod worker;
mod workload;

pub use command::Command;
pub use command::End;
pub use command::EndKind;
pub use command::Place;
pub use command::Refusal;
pub use command::Reply;
pub use command::Start;
pub use command::WorkerChange;
pub use job::Job;
pub use job::JobState;
pub use job::Outcome;
pub use news::News;
pub use task::Step;
pub use task::Task;
pub use task::TaskState;
pub use wave::VmUpkeep;
pub use wave::Wave;
pub use wave::WaveSpec;
pub use worker::Worker;
pub use worker::WorkerInfo;
pub use workload::Found;
pub use workload::Workload;
