//! The commands. Each has a file of its own, named after it.

mod all;
mod arguments;
mod completion;
mod core_customers;
mod core_evacuate;
mod core_explain;
mod core_late;
mod core_load;
mod core_status;
mod job_cancel;
mod job_list;
mod job_status;
mod job_submit;
mod optional_figure;
mod report_burn;
mod report_fragmentation;
mod request;
mod settings_apply;
mod settings_check;
mod settings_diff;
mod settings_get;
mod settings_in_force;
mod status;
mod target_list;
mod token_hash;

pub use all::command;
pub use all::run;
