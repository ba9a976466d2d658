//! A site whose workers differ in speed, and whose tasks take the time that a test gives them.

use super::Site;
use super::rules;
use bh_protocol::Incarnation;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::OrderBody;
use bh_workload::dispatch::Report;
use bh_workload::dispatch::Running;
use bh_workload::job::JobId;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::plan::Planner;
use bh_workload::plan::Policy;
use bh_workload::state::Command;
use bh_workload::state::End;
use bh_workload::state::EndKind;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time of one turn of the leader, in milliseconds.
pub const TURN_MS: u64 = 50;
/// Interval between two checks for overdue runs, in milliseconds.
const OVERDUE_CHECK_MS: u64 = 500;
/// Run time on a slow worker, in percent.
pub const SLOW_PERCENT: u64 = 220;
/// One of this many workers is slow.
const SLOW_SHARE: usize = 4;

/// A submitted job, and what became of it.
#[derive(Clone, Debug)]
pub struct Submitted {
    pub priority: u32,
    /// Time of a task on a worker that is not slow, in milliseconds.
    pub usual_ms: u64,
    /// One of this many tasks takes seven times as long; 0 for none.
    pub long_share: u64,
    pub submitted_ms: u64,
    pub ended_ms: Option<u64>,
    pub workers: BTreeSet<Incarnation>,
}

/// The site, and what its workers do.
#[derive(Clone)]
pub struct UnevenFleet {
    pub site: Site,
    pub slow: BTreeSet<Incarnation>,
    pub jobs: BTreeMap<JobId, Submitted>,
    /// Worker and start of each run.
    running: BTreeMap<RunId, (Incarnation, u64)>,
    policy: Policy,
    /// Runs that were stopped.
    pub stopped: usize,
    /// Runs that were done.
    pub done: usize,
}

impl UnevenFleet {
    /// `workers` workers in racks of 8, of which every fourth is slow. Queues 0 and 1 have tight deadlines: 1.5 times the run time and 250 ms.
    pub fn new(workers: usize, policy: Policy) -> Self {
        let mut site = Site::new(workers, 8);
        let mut rules = rules(2);
        for queue in &mut rules.queues[..2] {
            let queue = Arc::make_mut(queue);
            queue.slack_factor = 1.5;
            queue.target_latency_ms = 250;
        }
        site.workload.apply(Command::SetRules(Box::new(rules)));
        site.take_events();
        site.planner = Planner::new().with_policy(policy);
        let ids = site.workload.workers().map(|worker| worker.info.id.clone());
        let slow = ids.skip(SLOW_SHARE - 1).step_by(SLOW_SHARE).collect();
        let mut fleet = Self {
            site,
            slow,
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            policy,
            stopped: 0,
            done: 0,
        };
        // No capacity is kept for urgent work any more by then.
        fleet.site.advance(60_000);
        fleet.play(1_000);
        fleet
    }

    /// Submits a job whose tasks take `usual_ms`, or seven times as long for one of `long_share` tasks.
    pub fn submit(
        &mut self,
        priority: u32,
        (usual_ms, long_share): (u64, u64),
        spec: StepSpec,
    ) -> JobId {
        let id = self.site.submit(priority, "other", vec![spec]);
        let submitted = Submitted {
            priority,
            usual_ms,
            long_share,
            submitted_ms: self.site.now_ms,
            ended_ms: None,
            workers: BTreeSet::new(),
        };
        self.jobs.insert(id, submitted);
        id
    }

    /// Runs that are open in the record and were started, with their workers.
    pub fn running(&self) -> impl Iterator<Item = (&RunId, &Incarnation)> {
        self.running.iter().map(|(run, (worker, _))| (run, worker))
    }

    /// Another core becomes leader; it knows only the record.
    pub fn change_leader(&mut self, token: u64) {
        self.site.take_over(token);
        self.site.planner = Planner::new().with_policy(self.policy);
    }

    /// Lets the site run for a time.
    pub fn play(&mut self, time_ms: u64) {
        for _ in 0..time_ms / TURN_MS {
            self.turn();
        }
    }

    fn turn(&mut self) {
        self.site.advance(TURN_MS);
        self.answer_orders();
        self.end_runs();
        let site = &mut self.site;
        if (site.now_ms / TURN_MS).is_multiple_of(OVERDUE_CHECK_MS / TURN_MS) {
            let overdue = site
                .planner
                .overdue(site.now_ms, &site.workload, &site.dispatcher);
            for late in overdue {
                site.dispatcher.request_stop(&late.worker, late.run);
            }
        }
        for (worker, run) in site.plan_and_start().evictions {
            site.dispatcher.request_stop(&worker, run);
        }
        self.answer_orders();
    }

    fn answer_orders(&mut self) {
        let now_ms = self.site.now_ms;
        let (orders, _) = self
            .site
            .dispatcher
            .orders(now_ms, &self.site.workload, true);
        for order in orders {
            let worker = order.to.worker.clone();
            let report = match order.body {
                OrderBody::Start { run, .. } => {
                    self.running.insert(run, (worker.clone(), now_ms));
                    None
                }
                OrderBody::Probe { .. } => Some(self.report_of(&worker)),
                _ => None,
            };
            let answer = Answer::Done {
                clock_ms: Some(now_ms),
                report,
            };
            let site = &mut self.site;
            site.dispatcher
                .note_answer(now_ms, &order, &answer, &site.workload);
            if let OrderBody::Stop { run } = order.body {
                self.end(run, EndKind::Stopped);
                self.stopped += 1;
            }
        }
    }

    fn report_of(&self, worker: &Incarnation) -> Report {
        let recorded = self.site.workload.worker(worker);
        let own = recorded.into_iter().flat_map(|worker| worker.runs.keys());
        let running = own.filter_map(|run| {
            let (_, since_ms) = self.running.get(run)?;
            let ran_ms = self.site.now_ms - since_ms;
            Some(Running {
                run: *run,
                checkpoint: None,
                percent: (ran_ms * 100 / self.time_of(*run)).clamp(1, 99),
                load: 0,
            })
        });
        Report {
            running: running.collect(),
            ..Report::default()
        }
    }

    /// Time that a run takes: on the slowest worker of its members if it belongs to a gang.
    fn time_of(&self, run: RunId) -> u64 {
        let job = &self.jobs[&run.task.step.job];
        let workload = &self.site.workload;
        let spec = workload.step_spec(run.task.step);
        let is_slow = if spec.is_some_and(|spec| spec.gang) {
            let mut members = workload.runs_of(run.task.step);
            members.any(|(_, worker)| self.slow.contains(&worker.info.id))
        } else {
            let own = self.running.get(&run);
            own.is_some_and(|(worker, _)| self.slow.contains(worker))
        };
        let number = run.task.step.job.0 * 7 + u64::from(run.task.index) * 13;
        let is_long = job.long_share > 0 && number.is_multiple_of(job.long_share);
        // Runs of a kind differ by up to 12 % either way.
        let varied_ms = job.usual_ms * (88 + number * 31 % 25) / 100;
        let long_ms = if is_long { varied_ms * 7 } else { varied_ms };
        if is_slow {
            long_ms * SLOW_PERCENT / 100
        } else {
            long_ms
        }
    }

    fn end_runs(&mut self) {
        let now_ms = self.site.now_ms;
        let is_done = |(run, (_, since_ms)): &(&RunId, &(Incarnation, u64))| {
            now_ms - since_ms >= self.time_of(**run)
        };
        let done: Vec<RunId> = self
            .running
            .iter()
            .filter(is_done)
            .map(|(run, _)| *run)
            .collect();
        for run in done {
            let (worker, _) = self.running[&run].clone();
            self.end(run, EndKind::Done);
            self.done += 1;
            let id = run.task.step.job;
            let has_ended = self
                .site
                .workload
                .job(id)
                .is_none_or(|job| job.outcome.is_some());
            if let Some(job) = self.jobs.get_mut(&id) {
                job.workers.insert(worker);
                if has_ended && job.ended_ms.is_none() {
                    job.ended_ms = Some(now_ms);
                }
            }
        }
    }

    fn end(&mut self, run: RunId, kind: EndKind) {
        let Some((worker, _)) = self.running.remove(&run) else {
            return;
        };
        let end = End {
            run,
            worker: worker.clone(),
            kind,
            checkpoint: None,
        };
        let site = &mut self.site;
        site.planner
            .note_ends(site.now_ms, &[end], &site.workload, &site.dispatcher);
        site.end(run, kind);
    }
}
