//! Scheduling of jobs, which consist of steps and tasks, on leased workers.
//!
//! The modules do no I/O: [`state`] is the replicated record, [`plan`] decides which task runs on which worker, [`dispatch`] turns recorded
//! runs into orders to workers and their answers into ends of runs, [`upkeep`] empties VMs and orders their maintenance, and [`admission`]
//! decides which submissions are refused and what is shed under load. None of them owns a socket, a file or a clock.
//!
//! Terms that all modules use:
//!
//! - The *record* is the replicated state of rules, jobs, workers and runs, [`state::Workload`]. The leader plans on it and changes it by
//!   commands.
//! - A *queue* receives callers' jobs and sets their priority, 0 being the most urgent. A *pool* is the set of workers that run the tasks of
//!   one or more queues.
//! - An *occurrence* is one repetition of a job that has a schedule; other jobs have one occurrence.
//! - A *run* is one attempt of a task on one worker. It is *open* while it is recorded and not known to have ended.
//! - A *core* is a process that keeps the record and may lead. A *carrier* is a core that passes the leader's orders on to a worker.
//! - A *target* is the leader's view of one worker: what the leader knows of it beyond the record.
//! - The *adviser* is an external service that says which workers may run a step.

pub mod admission;
pub mod dispatch;
pub mod job;
pub mod pairs;
pub mod plan;
pub mod rules;
pub mod state;
pub mod upkeep;
