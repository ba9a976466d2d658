//! Random jobs of all priorities and shapes.

use super::fleet::Fleet;
use super::load::Load;
use bh_testkit::Random;
use bh_workload::job::Resources;
use bh_workload::job::StepSpec;
use std::sync::Arc;

/// Maximum number of tasks of a step where all jobs are small.
const SMALL_JOB_TASKS: u64 = 4;
/// Maximum number of tasks, beside the first, of a step that requires a rack's label. The rack must have capacity for all of them.
const MAX_EXTRA_LABELLED_TASKS: u32 = 5;

/// A job to submit.
pub struct JobDraft {
    pub priority: u32,
    pub customer: &'static str,
    pub steps: Vec<StepSpec>,
}

/// Draws a random job: large gangs that take large parts of workers, small urgent gangs, or many small tasks; some have a second step,
/// require a label, or run faster in one rack.
pub fn draw_job(random: &mut Random, fleet: &Fleet) -> JobDraft {
    let priority = [0, 0, 1, 1, 2][random.index(5)];
    let customer = ["guaranteed", "other", "other"][random.index(3)];
    let (max_tasks, cpu_millis, memory_mb, declared_ms) = match priority {
        0 => (8, 3_700, 9_800, 1_500),
        1 => (14, 13_000, 34_000, 3_000),
        _ => (24, 2_800, 4_100, 3_000),
    };
    let max_tasks = match fleet.load {
        Load::SmallJobs => max_tasks.min(SMALL_JOB_TASKS),
        _ => max_tasks,
    };
    let accelerators = match priority {
        2 => 1,
        _ => [1, 2, 4, 8][random.index(4)],
    };
    let racks = fleet.workers / fleet.workers_per_rack;
    let mut steps: Vec<StepSpec> = Vec::new();
    let count = 1 + random.below(2);
    for position in 0..count {
        let is_gang = priority < 2 || random.below(4) == 0;
        let has_rack_affinity = fleet.load == Load::RackAffinity;
        let near_rack = (has_rack_affinity && random.below(8) == 0)
            .then(|| format!("rack{}", random.index(racks)));
        // The tasks must fit into the rack that has the label.
        let required_label = (random.below(8) == 0).then(|| format!("rack{}", random.index(racks)));
        let max_extra_tasks = if required_label.is_some() {
            MAX_EXTRA_LABELLED_TASKS
        } else {
            u32::MAX
        };
        steps.push(StepSpec {
            count: 1 + u32::try_from(random.below(max_tasks))
                .unwrap()
                .min(max_extra_tasks),
            needs: Resources {
                cpu_millis,
                memory_mb,
                accelerators,
            },
            declared_ms: declared_ms * (1 + random.below(3)) / 2,
            after: (0..u32::try_from(position).unwrap()).collect(),
            checkpoints: random.below(2) == 0,
            gang: is_gang,
            rack_local: has_rack_affinity && is_gang && random.below(3) == 0,
            near_rack: near_rack.map(Arc::from),
            required_label: required_label.map(Arc::from),
            ..StepSpec::default()
        });
    }
    JobDraft {
        priority,
        customer,
        steps,
    }
}
