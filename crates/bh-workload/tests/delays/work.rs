//! Jobs of all ranks and shapes.

use super::fleet::Fleet;
use super::load::Load;
use bh_testkit::Random;
use bh_workload::job::Resources;
use bh_workload::job::StepSpec;
use std::sync::Arc;

/// Most tasks of a step where all are narrow.
const NARROW: u64 = 4;
/// Tasks beside the first of a step that must be in one rack, at most.
const MOST_LABELLED: u32 = 5;

/// A job to hand in.
pub struct Work {
    pub priority: u32,
    pub customer: &'static str,
    pub steps: Vec<StepSpec>,
}

/// Draws a job: large gangs on large parts of workers, small urgent ones, and many small tasks, with more steps, labels and racks of their own.
pub fn draw(random: &mut Random, fleet: &Fleet) -> Work {
    let priority = [0, 0, 1, 1, 2][random.index(5)];
    let customer = ["guaranteed", "other", "other"][random.index(3)];
    let (widest, cpu_millis, memory_mb, declared_ms) = match priority {
        0 => (8, 3_700, 9_800, 1_500),
        1 => (14, 13_000, 34_000, 3_000),
        _ => (24, 2_800, 4_100, 3_000),
    };
    let widest = match fleet.load {
        Load::Narrow => widest.min(NARROW),
        _ => widest,
    };
    let accelerators = match priority {
        2 => 1,
        _ => [1, 2, 4, 8][random.index(4)],
    };
    let racks = fleet.workers / fleet.per_rack;
    let mut steps: Vec<StepSpec> = Vec::new();
    let count = 1 + random.below(2);
    for position in 0..count {
        let is_gang = priority < 2 || random.below(4) == 0;
        let has_racks = fleet.load == Load::Racks;
        let near =
            (has_racks && random.below(8) == 0).then(|| format!("rack{}", random.index(racks)));
        // Few enough to fit into the rack that has the label.
        let label = (random.below(8) == 0).then(|| format!("rack{}", random.index(racks)));
        let most = if label.is_some() {
            MOST_LABELLED
        } else {
            u32::MAX
        };
        steps.push(StepSpec {
            count: 1 + u32::try_from(random.below(widest)).unwrap().min(most),
            needs: Resources {
                cpu_millis,
                memory_mb,
                accelerators,
            },
            declared_ms: declared_ms * (1 + random.below(3)) / 2,
            after: (0..u32::try_from(position).unwrap()).collect(),
            checkpoints: random.below(2) == 0,
            gang: is_gang,
            rack_local: has_racks && is_gang && random.below(3) == 0,
            near_rack: near.map(Arc::from),
            required_label: label.map(Arc::from),
            ..StepSpec::default()
        });
    }
    Work {
        priority,
        customer,
        steps,
    }
}
