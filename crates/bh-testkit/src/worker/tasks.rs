//! Tasks of a stand-in worker, each with a lease.

use bh_protocol::target::TaskKey;
use bh_protocol::target::TaskOrder;
use bh_protocol::target::TaskPhase;
use bh_protocol::target::TaskReport;
use bh_protocol::target::TaskVerb;
use std::collections::BTreeMap;

/// Run time of a task whose payload gives none, in milliseconds.
const DEFAULT_RUN_MS: u64 = 200;

#[derive(Clone, Debug)]
struct Task {
    phase: TaskPhase,
    accelerators: u32,
    lease_until_ms: u64,
    ends_ms: u64,
    fails: bool,
}

/// All tasks of the worker.
#[derive(Clone, Debug, Default)]
pub struct Tasks {
    tasks: BTreeMap<TaskKey, Task>,
    /// Newest attempt known of each job; orders of older attempts are refused.
    newest_epochs: BTreeMap<u64, u64>,
    lease_ms: u64,
    /// Started tasks with their start times on the worker's clock, for the checks of a test.
    pub started: Vec<(TaskKey, u64)>,
}

impl Tasks {
    /// Number of accelerators that prepared and running tasks hold.
    pub fn accelerators(&self) -> u32 {
        self.tasks
            .values()
            .filter(|task| holds_accelerators(task.phase))
            .map(|task| task.accelerators)
            .sum()
    }

    /// Tasks that are running now.
    pub fn running(&self) -> Vec<TaskKey> {
        self.tasks
            .iter()
            .filter(|(_, task)| task.phase == TaskPhase::Running)
            .map(|(key, _)| *key)
            .collect()
    }

    /// Ends the tasks whose run time or lease has ended.
    pub fn advance(&mut self, now_ms: u64) {
        for task in self.tasks.values_mut() {
            if holds_accelerators(task.phase) && now_ms >= task.lease_until_ms {
                task.phase = TaskPhase::Stopped;
            } else if task.phase == TaskPhase::Running && now_ms >= task.ends_ms {
                task.phase = if task.fails {
                    TaskPhase::Failed
                } else {
                    TaskPhase::Done
                };
            }
        }
    }

    /// Executes an order, or returns the reason for refusing it.
    pub fn order(
        &mut self,
        now_ms: u64,
        order: &TaskOrder,
        capacity: u32,
        fails: bool,
    ) -> Result<(), String> {
        self.advance(now_ms);
        let newest_epoch = self.newest_epochs.entry(order.job).or_insert(0);
        if order.epoch < *newest_epoch {
            return Err(format!("attempt {newest_epoch} is known"));
        }
        *newest_epoch = order.epoch;
        self.lease_ms = order.lease_ms;
        match order.verb {
            TaskVerb::Prepare => self.prepare(now_ms, order, capacity),
            TaskVerb::Start => self.start(now_ms, order, fails),
            TaskVerb::Checkpoint | TaskVerb::Stop => {
                for (key, task) in &mut self.tasks {
                    if key.job == order.job
                        && key.epoch <= order.epoch
                        && holds_accelerators(task.phase)
                    {
                        task.phase = TaskPhase::Stopped;
                    }
                }
                Ok(())
            }
        }
    }

    fn prepare(&mut self, now_ms: u64, order: &TaskOrder, capacity: u32) -> Result<(), String> {
        let count = u32::try_from(order.tasks.len()).unwrap_or(u32::MAX);
        if self.accelerators() + count * order.accelerators_per_task > capacity {
            return Err("not enough free accelerators".to_owned());
        }
        for index in &order.tasks {
            let task = Task {
                phase: TaskPhase::Prepared,
                accelerators: order.accelerators_per_task,
                lease_until_ms: now_ms + order.lease_ms,
                ends_ms: 0,
                fails: false,
            };
            self.tasks.insert(
                TaskKey {
                    job: order.job,
                    epoch: order.epoch,
                    task: *index,
                },
                task,
            );
        }
        Ok(())
    }

    fn start(&mut self, now_ms: u64, order: &TaskOrder, fails: bool) -> Result<(), String> {
        let keys: Vec<TaskKey> = order
            .tasks
            .iter()
            .map(|task| TaskKey {
                job: order.job,
                epoch: order.epoch,
                task: *task,
            })
            .collect();
        let known = |key: &TaskKey| {
            self.tasks
                .get(key)
                .is_some_and(|task| !matches!(task.phase, TaskPhase::Stopped))
        };
        if !keys.iter().all(known) {
            return Err("not prepared".to_owned());
        }
        for key in keys {
            if let Some(task) = self.tasks.get_mut(&key)
                && task.phase == TaskPhase::Prepared
            {
                task.phase = TaskPhase::Running;
                task.lease_until_ms = now_ms + order.lease_ms;
                task.ends_ms = now_ms + run_ms(&order.payload);
                task.fails = fails || order.payload.contains("fail=1");
                self.started.push((key, now_ms));
            }
        }
        Ok(())
    }

    /// Renews, stops and removes tasks as the leader's reply says.
    pub fn apply_reply(
        &mut self,
        now_ms: u64,
        renewed: &[TaskKey],
        stop: &[TaskKey],
        acknowledged: &[TaskKey],
    ) {
        let lease_ms = self.lease_ms;
        for key in renewed {
            if let Some(task) = self
                .tasks
                .get_mut(key)
                .filter(|task| holds_accelerators(task.phase))
            {
                task.lease_until_ms = now_ms + lease_ms;
            }
        }
        for key in stop {
            if let Some(task) = self
                .tasks
                .get_mut(key)
                .filter(|task| holds_accelerators(task.phase))
            {
                task.phase = TaskPhase::Stopped;
            }
        }
        for key in acknowledged {
            self.tasks.remove(key);
        }
    }

    /// Reports of all tasks, for the worker's announcement.
    pub fn reports(&self) -> Vec<TaskReport> {
        self.tasks
            .iter()
            .map(|(key, task)| TaskReport {
                job: key.job,
                epoch: key.epoch,
                task: key.task,
                phase: task.phase,
            })
            .collect()
    }
}

fn holds_accelerators(phase: TaskPhase) -> bool {
    matches!(phase, TaskPhase::Prepared | TaskPhase::Running)
}

/// The run time that the payload gives as `run_ms=N`.
fn run_ms(payload: &str) -> u64 {
    payload
        .split_whitespace()
        .find_map(|word| word.strip_prefix("run_ms=")?.parse().ok())
        .unwrap_or(DEFAULT_RUN_MS)
}
