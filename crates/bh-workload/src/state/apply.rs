//! Applies commands to the replicated record.

use super::Command;
use super::EarlyCancels;
use super::End;
use super::EndKind;
use super::GiveUp;
use super::Job;
use super::Outcome;
use super::Place;
use super::Refusal;
use super::Reply;
use super::Wave;
use super::Worker;
use super::WorkerChange;
use super::WorkerInfo;
use super::Workload;
use crate::job::JobId;
use crate::job::JobSpec;
use crate::job::RunId;
use crate::job::StepId;
use crate::rules::Queue;
use crate::rules::Rules;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Workload {
    /// Applies one command.
    pub fn apply(&mut self, command: Command) -> Reply {
        self.latest_ms = self.latest_ms.max(command.time_ms().unwrap_or(0));
        match command {
            Command::SetRules(rules) => self.set_rules(*rules),
            Command::Accept {
                place,
                spec,
                now_ms,
            } => self.accept(&place, spec, now_ms),
            Command::Cancel {
                place,
                bars_late_submission,
                ..
            } => self.cancel(&place, bars_late_submission),
            Command::Workers(changes) => self.change_workers(changes),
            Command::Starts(starts) => self.start(starts),
            Command::Ends {
                ends,
                crash,
                late_failures,
                not_displaced,
                cleared,
                exonerated,
                ..
            } => {
                self.clear_crashes(&cleared);
                // Whether the end of the run was recorded only as lost, and the worker may still report a failure.
                let may_still_report = |run: &RunId| {
                    ends.iter().any(|end| {
                        let worker = self.workers.get(&end.worker);
                        end.run == *run && worker.is_some_and(|worker| worker.unheard.contains(run))
                    })
                };
                // A failure that is proposed a second time is not counted again: the first one removed the run from `unheard`.
                let late_failures: Vec<RunId> =
                    late_failures.into_iter().filter(may_still_report).collect();
                self.end_runs(ends, &not_displaced, crash, &exonerated);
                for run in late_failures {
                    self.count_late_failure(run);
                }
                Reply::Done
            }
            Command::StartWave { spec, now_ms } => {
                // A known wave was ordered again because its acknowledgement was lost.
                self.waves
                    .entry(spec.id)
                    .or_insert_with(|| Wave::new(&spec, now_ms));
                Reply::Done
            }
            Command::Upkeep { wave, vm, upkeep } => {
                let known = self
                    .waves
                    .get_mut(&wave)
                    .and_then(|wave| wave.vms.get_mut(&vm));
                if let Some(known) = known {
                    *known = upkeep;
                }
                Reply::Done
            }
            Command::Evacuate {
                data_centre,
                now_ms,
                known_change,
            } => self.change_evacuation(data_centre, Some(now_ms), known_change),
            Command::EndEvacuation {
                data_centre,
                known_change,
            } => self.change_evacuation(data_centre, None, known_change),
            Command::Forget { before_ms } => {
                self.forget(before_ms);
                Reply::Done
            }
        }
    }

    /// Sets the rules. A version that is not higher than the one in force is outdated or was sent again; it is acknowledged without effect.
    fn set_rules(&mut self, rules: Rules) -> Reply {
        if let Some(problem) = rules.problem() {
            return Reply::Refused(Refusal::BadRules(problem));
        }
        let in_force = self.rules.as_ref().map(|rules| rules.version);
        if in_force.is_none_or(|version| rules.version > version) {
            self.rules = Some(Arc::new(rules));
            self.events.plan = true;
            self.update_queues();
            self.give_up_exhausted_jobs();
            self.drop_past_customers();
        }
        Reply::Done
    }

    /// Replaces the queues of active jobs by those of the new rules. If a queue is removed later, its jobs keep the limits that were last in
    /// force, and not those of the time at which they were accepted.
    fn update_queues(&mut self) {
        let Some(rules) = self.rules.clone() else {
            return;
        };
        let queues = rules.queues.iter().map(|queue| (&*queue.name, queue));
        let queues: BTreeMap<&str, &Arc<Queue>> = queues.collect();
        for id in &self.active {
            if let Some(job) = self.jobs.get_mut(id)
                && let Some(queue) = queues.get(&*job.queue.name)
            {
                job.queue = Arc::clone(queue);
            }
        }
    }

    /// Gives up the jobs of which a waiting task or gang has failed as often as the current rules allow. It may not start again, so the job
    /// would wait forever. A task or gang with a run in progress is not affected.
    fn give_up_exhausted_jobs(&mut self) {
        let mut exhausted = Vec::new();
        for (id, job) in self.active_jobs() {
            let steps = job.spec.steps.iter().cycle().zip(&job.steps).zip(0u32..);
            for ((spec, step), position) in steps {
                let limit = self.failure_limit(job, spec);
                if !limit.is_some_and(|limit| step.has_exhausted_attempts(limit, spec.gang)) {
                    continue;
                }
                let count = u32::try_from(job.spec.steps.len())
                    .unwrap_or(u32::MAX)
                    .max(1);
                let step = StepId {
                    job: id,
                    occurrence: position / count,
                    step: position % count,
                };
                exhausted.push((id, GiveUp::Failures { step }));
            }
        }
        for (id, reason) in exhausted {
            self.give_up(id, reason);
        }
    }

    /// Accepts a job. A known job is not added twice, so a caller that got no answer may send it again.
    fn accept(&mut self, place: &Place, spec: JobSpec, now_ms: u64) -> Reply {
        let found = match self.find(place) {
            Ok(found) => found,
            Err(refusal) => return Reply::Refused(refusal),
        };
        let Some(id) = JobId::parse(found.rest) else {
            return Reply::Refused(Refusal::BadJob("its name is malformed".to_owned()));
        };
        if let Some(job) = self.jobs.get(&id) {
            return if found.may_access(job) {
                Reply::Done
            } else {
                Reply::Refused(Refusal::BadJob("its name is in use".to_owned()))
            };
        }
        if self.early_cancels.cancelled_ms(place, &found, id).is_some() {
            return Reply::Refused(Refusal::Cancelled);
        }
        if let Some(problem) = spec.problem() {
            return Reply::Refused(Refusal::BadJob(problem.to_owned()));
        }
        let customer = found.customer.map(|customer| customer.name.clone());
        let queue = found.queue.clone();
        self.jobs
            .insert(id, Job::new(spec, queue, customer, now_ms));
        self.active.insert(id);
        self.charge_open_runs(id);
        self.events.plan = true;
        Reply::Done
    }

    /// Cancels a job. If it is not recorded, its submission may still arrive; `bars_late_submission` says whether that is refused then.
    fn cancel(&mut self, place: &Place, bars_late_submission: bool) -> Reply {
        match self.find_job(place) {
            Ok((id, _)) => {
                self.end_job(id, Outcome::Cancelled);
                Reply::Done
            }
            Err(Refusal::NoJob) if bars_late_submission => self.cancel_early(place),
            Err(refusal) => Reply::Refused(refusal),
        }
    }

    /// Cancels a job that is not recorded.
    fn cancel_early(&mut self, place: &Place) -> Reply {
        let found = match self.find(place) {
            Ok(found) => found,
            Err(refusal) => return Reply::Refused(refusal),
        };
        let Some(id) = JobId::parse(found.rest) else {
            return Reply::Refused(Refusal::NoJob);
        };
        let caller = EarlyCancels::caller(place, &found);
        let share = self.early_cancels_per_caller();
        let is_stored = self.early_cancels.insert(caller, id, self.latest_ms, share);
        Reply::Refused(if is_stored {
            Refusal::NoJob
        } else {
            Refusal::TooManyCancels
        })
    }

    /// Ends a job at the record's time; only the first outcome counts. Its runs stay recorded until each of them has ended.
    pub(super) fn end_job(&mut self, id: JobId, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        job.outcome = Some(outcome);
        job.ended_ms = self.latest_ms;
        self.active.remove(&id);
        self.events.ended_jobs.insert(id);
        for (_, worker) in self.open_runs.of_job(id) {
            self.events.mark_worker(worker);
        }
    }

    /// Starts the evacuation of a data centre at `since_ms`, in milliseconds since 1970, or ends it if that is `None`.
    fn change_evacuation(
        &mut self,
        data_centre: Arc<str>,
        since_ms: Option<u64>,
        known_change: Option<u64>,
    ) -> Reply {
        // An order that is in effect was sent again because its acknowledgement was lost.
        if self.evacuations.contains_key(&data_centre) == since_ms.is_some() {
            return Reply::Done;
        }
        let last_change = self.evacuation_changes.last(&data_centre);
        if known_change.is_some_and(|known_change| known_change < last_change) {
            return Reply::Refused(Refusal::Outdated);
        }
        match since_ms {
            Some(since_ms) => self.evacuations.insert(data_centre.clone(), since_ms),
            None => self.evacuations.remove(&data_centre),
        };
        self.mark_workers_in(&data_centre);
        self.evacuation_changes.note(data_centre);
        Reply::Done
    }

    /// Marks the workers of a data centre as changed, because what may start there has changed.
    fn mark_workers_in(&mut self, data_centre: &str) {
        let local_workers = self
            .workers
            .iter()
            .filter(|(_, worker)| *worker.info.data_centre == *data_centre);
        for (id, _) in local_workers {
            self.events.mark_worker(id);
        }
        self.events.plan = true;
    }

    fn change_workers(&mut self, changes: Vec<WorkerChange>) -> Reply {
        for change in changes {
            match change {
                WorkerChange::Known(info) => self.update_worker(info),
                WorkerChange::Draining(id) => {
                    if let Some(worker) = self.workers.get_mut(&id) {
                        worker.draining = true;
                        self.events.mark_worker(&id);
                    }
                }
                WorkerChange::Gone(id) => self.remove_worker(&id),
            }
        }
        Reply::Done
    }

    /// Updates a worker from a heartbeat. An older heartbeat than the last one that changed something is ignored: it may have been delayed,
    /// and if it were applied, a worker that has lost capacity since would be filled beyond what it has.
    fn update_worker(&mut self, info: WorkerInfo) {
        let known = self.workers.get_mut(&info.id);
        if let Some(worker) = known {
            if info.sequence >= worker.info.sequence {
                self.events.mark_worker(&info.id);
                self.worker_index.remove(&worker.info);
                self.worker_index.insert(&info);
                worker.info = info;
            }
            return;
        }
        self.events.mark_worker(&info.id);
        self.arrivals += 1;
        let restarts = self.restarts_of(&info.id);
        self.worker_index.insert(&info);
        let worker = Worker::new(info, self.arrivals, restarts);
        self.workers.insert(worker.info.id.clone(), worker);
    }

    /// Number of earlier incarnations of the worker. Removes the stored count of its removed incarnations, which the result includes. An
    /// incarnation that started before a recorded one is known only from a delayed heartbeat and does not get a higher count than that one.
    fn restarts_of(&mut self, id: &Incarnation) -> u64 {
        let removed = self.past_starts.remove(&id.id).unwrap_or_default().count;
        let others = self.incarnations(id).map(|other| {
            let is_earlier = other.info.id < *id;
            other.restarts + u64::from(is_earlier)
        });
        others.max().unwrap_or(0).max(removed)
    }

    /// Counts the start of a removed worker, so that its next incarnation has a higher count.
    fn note_past_start(&mut self, worker: &Worker) {
        /// Limits the stored worker ids; the one with the earliest arrival is evicted first.
        const MAX_PAST_STARTS: usize = 4_096;
        let id = &worker.info.id;
        // The count of an incarnation that is still recorded must not be exceeded: its worker would refuse its orders.
        if id.started_ms.is_none() || self.incarnations(id).next().is_some() {
            return;
        }
        let past = self.past_starts.entry(id.id.clone()).or_default();
        past.count = past.count.max(worker.restarts + 1);
        past.arrival = past.arrival.max(worker.arrival);
        if self.past_starts.len() > MAX_PAST_STARTS {
            let oldest = self.past_starts.iter().min_by_key(|(_, past)| past.arrival);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.past_starts.remove(&oldest);
            }
        }
    }

    /// Removes a worker that is gone, and records its runs as lost.
    pub(super) fn remove_worker(&mut self, id: &Incarnation) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let runs: Vec<RunId> = worker.runs.keys().copied().collect();
        for run in runs {
            let end = End {
                run,
                worker: id.clone(),
                kind: EndKind::Lost,
                checkpoint: None,
            };
            self.count_displacement(&end, false);
            self.end_run(end);
        }
        if let Some(worker) = self.workers.remove(id) {
            self.worker_index.remove(&worker.info);
            self.note_past_start(&worker);
        }
        self.events.mark_worker(id);
    }
}
