//! The operator's interface of a core: JSON at the metrics address.

use super::admit;
use super::core_node::CoreNode;
use super::evacuations;
use super::evacuations::Evacuation;
use super::load_reports;
use super::shortage::Shortage;
use super::surveys;
use crate::observe::Metrics;
use crate::observe::OperatorHooks;
use crate::observe::log_lines_dropped;
use bh_net::http_server::answer;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_workload::dispatch::FleetCounts;
use bh_workload::job::JobId;
use bh_workload::plan::JobReport;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use serde::Deserialize;
use serde::Serialize;
use std::rc::Rc;
use std::sync::Arc;

const STATUS_PATH: &str = "/v1/status";
const CUSTOMERS_PATH: &str = "/v1/customers";
const LOAD_PATH: &str = "/v1/load";
const JOB_PATH: &str = "/v1/jobs/";
const EVACUATION_PATH: &str = "/v1/evacuations/";

/// State of a core, as operators read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreReport {
    /// Name of its VM.
    pub core: Arc<str>,
    /// Whether it leads.
    pub leads: bool,
    /// Address of the leader's links, if known.
    pub leader: Option<String>,
    /// Current term.
    pub term: u64,
    /// Whether it is a voter.
    pub is_voter: bool,
    /// Addresses of the voters.
    pub voters: Vec<String>,
    /// Index of the last applied change.
    pub applied: u64,
    /// Time since it last heard from the leader, in milliseconds.
    pub heard_ms_ago: Option<u64>,
    /// Latest time of a recorded change, in milliseconds since 1970; 0 if the core is of an older version.
    #[serde(default)]
    pub recorded_ms: u64,
    /// Length of the journal, in bytes.
    #[serde(default)]
    pub journal_bytes: u64,
    /// Length of the last snapshot, in bytes.
    #[serde(default)]
    pub snapshot_bytes: u64,
    /// Whether its disk has little space left.
    #[serde(default)]
    pub low_on_space: bool,
    /// Why the leader refuses new jobs and rules, if it does.
    #[serde(default)]
    pub shortage: Option<String>,
    /// Version of the rules in force.
    pub rules_version: u64,
    /// Number of jobs that have not ended.
    pub active_jobs: usize,
    /// Number of recorded workers.
    pub workers: usize,
    /// Number of recorded runs.
    pub runs: usize,
    /// Number of accelerators of all workers.
    pub accelerators: u64,
    /// Number of accelerators that no recorded run uses.
    pub free_accelerators: u64,
    /// Numbers of the maintenance waves in progress.
    pub waves: Vec<u64>,
    /// Data centres under evacuation.
    #[serde(default)]
    pub evacuations: Vec<Evacuation>,
}

/// Creates the operator's interface: gauges that are refreshed on each read, and the paths beside the metrics.
pub(super) fn operator_hooks(core: &Rc<CoreNode>) -> OperatorHooks {
    let (gauged, asked) = (core.clone(), core.clone());
    let refresh = move |metrics: &Metrics| {
        let report = report(&gauged);
        let size = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        metrics.gauge("leads", u64::from(report.leads));
        metrics.gauge("term", report.term);
        let record_age_ms = gauged.wall_ms().saturating_sub(report.recorded_ms);
        metrics.gauge("record_age_ms", record_age_ms);
        metrics.gauge("journal_bytes", report.journal_bytes);
        metrics.gauge("snapshot_bytes", report.snapshot_bytes);
        metrics.gauge("disk_low_on_space", u64::from(report.low_on_space));
        metrics.gauge("changes_refused", u64::from(report.shortage.is_some()));
        metrics.gauge("votes", u64::from(report.is_voter));
        metrics.gauge("voters", size(report.voters.len()));
        metrics.gauge("applied_index", report.applied);
        metrics.gauge(
            "leader_heard_ms_ago",
            report.heard_ms_ago.unwrap_or(u64::MAX),
        );
        metrics.gauge("rules_version", report.rules_version);
        metrics.gauge("jobs_active", size(report.active_jobs));
        let cancels_kept = gauged.group.machine.read().early_cancel_count();
        metrics.gauge("cancels_kept", size(cancels_kept));
        metrics.gauge("workers", size(report.workers));
        metrics.gauge("runs", size(report.runs));
        metrics.gauge("accelerators", report.accelerators);
        metrics.gauge("accelerators_free", report.free_accelerators);
        metrics.gauge("waves", size(report.waves.len()));
        metrics.gauge("data_centres_evacuated", size(report.evacuations.len()));
        metrics.gauge("links_open", size(gauged.mesh.links_open()));
        metrics.gauge(
            "worker_calls_in_progress",
            size(gauged.workers.in_progress()),
        );
        metrics.gauge("shares_workers", u64::from(gauged.shares_workers()));
        metrics.gauge("calls_in_progress", size(gauged.in_progress.get()));
        metrics.gauge("log_lines_dropped", log_lines_dropped());
        set_fleet_gauges(&gauged, metrics);
        load_reports::set_gauges(&gauged, metrics);
    };
    OperatorHooks::new(refresh).with_answer(move |request| answer_call(asked.clone(), request))
}

/// Sets the gauges that are computed from the leader's state. On a core that does not lead they are 0.
fn set_fleet_gauges(core: &CoreNode, metrics: &Metrics) {
    let held = core.leadership.borrow();
    let workload = core.group.machine.read();
    let (counts, jobs_without_runs) = match held.as_ref() {
        Some(leadership) => (
            FleetCounts::new(core.clock.now_ms(), &workload, &leadership.dispatcher),
            workload
                .active_jobs()
                .filter(|(_, job)| !job.has_open_runs())
                .count(),
        ),
        None => (FleetCounts::default(), 0),
    };
    surveys::set_gauges(held.as_ref(), metrics);
    admit::set_gauges(held.as_ref(), metrics);
    let size = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    let now_ms = core.clock.now_ms();
    let plan_age_ms = held.as_ref().map_or(0, |led| led.plan_age_ms(now_ms));
    metrics.gauge("plan_age_ms", plan_age_ms);
    let record = held.as_ref().map(|led| led.starts_record);
    let recording_ms = record.map_or(0, |record| record.age_ms(now_ms));
    metrics.gauge("starts_recording_ms", recording_ms);
    let inherited_runs = held.as_ref().map_or(0, |led| led.inherited_runs.count());
    metrics.gauge("runs_inherited", size(inherited_runs));
    metrics.gauge("jobs_without_runs", size(jobs_without_runs));
    metrics.gauge("workers_silent", size(counts.workers_silent));
    metrics.gauge("workers_outdated", size(counts.workers_outdated));
    metrics.gauge("workers_set_aside", size(counts.workers_set_aside));
    metrics.gauge("workers_draining", size(counts.workers_draining));
    metrics.gauge("runs_unconfirmed", size(counts.runs_unconfirmed));
    metrics.gauge("runs_unreported", size(counts.runs_unreported));
    metrics.gauge(
        "runs_on_silent_workers",
        size(counts.runs_on_silent_workers),
    );
    metrics.gauge("runs_stopping", size(counts.runs_stopping));
}

/// Answers an operator's request; `None` for an unknown path or method.
async fn answer_call(core: Rc<CoreNode>, request: Request<Bytes>) -> Option<Response<Bytes>> {
    let path = request.uri().path();
    if let Some(data_centre) = path.strip_prefix(EVACUATION_PATH) {
        return evacuations::order(&core, request.method(), data_centre).await;
    }
    if request.method() != Method::GET {
        return None;
    }
    Some(match path {
        STATUS_PATH => answer::json(&report(&core)),
        CUSTOMERS_PATH => json_or_failure(load_reports::customers(&core)),
        LOAD_PATH => json_or_failure(load_reports::load(&core)),
        _ => json_or_failure(job(&core, path.strip_prefix(JOB_PATH)?)),
    })
}

fn json_or_failure(report: Result<impl Serialize, Failure>) -> Response<Bytes> {
    match report {
        Ok(report) => answer::json(&report),
        Err(failure) => answer::failed(&failure),
    }
}

/// The failure of a question that only the leader answers. It names the leader if this core knows it.
pub(super) fn not_leading(core: &CoreNode) -> Failure {
    let leader = core.mesh.leader().map(|peer| peer.address.to_string());
    let label = match leader {
        Some(leader) => format!("this core does not lead; {leader} does"),
        None => "this core does not lead, and it knows of no leader".to_owned(),
    };
    Failure::new(Code::NoQuorum, label)
}

/// The current state of this core.
fn report(core: &Rc<CoreNode>) -> CoreReport {
    let status = core.group.status();
    let workload = core.group.machine.read();
    let free = workload.workers().map(|worker| worker.free().accelerators);
    let all = workload
        .workers()
        .map(|worker| worker.info.capacity.accelerators);
    CoreReport {
        core: core.config.name.clone(),
        leads: core.leadership.borrow().is_some() && status.is_leader,
        leader: core.mesh.leader().map(|peer| peer.address.to_string()),
        term: status.term,
        is_voter: status.is_voter,
        voters: status.members.iter().map(|m| m.name.clone()).collect(),
        applied: status.applied,
        heard_ms_ago: status
            .last_leader_contact_ms
            .map(|at_ms| core.clock.now_ms().saturating_sub(at_ms)),
        recorded_ms: workload.latest_ms,
        journal_bytes: status.journal_bytes,
        snapshot_bytes: status.snapshot_bytes,
        low_on_space: status.low_on_space,
        shortage: Shortage::new(&status, &core.config.storage_limits())
            .filter(|_| status.is_leader)
            .map(|shortage| format!("{shortage:?}")),
        rules_version: workload.rules.as_ref().map_or(0, |rules| rules.version),
        active_jobs: workload.active_jobs().count(),
        workers: workload.worker_count(),
        runs: workload.workers().map(|worker| worker.runs.len()).sum(),
        accelerators: all.sum(),
        free_accelerators: free.sum(),
        waves: workload
            .waves()
            .filter(|(_, wave)| !wave.has_ended())
            .map(|(id, _)| id)
            .collect(),
        evacuations: evacuations::list(core.wall_ms(), &workload),
    }
}

fn job(core: &Rc<CoreNode>, name: &str) -> Result<JobReport, Failure> {
    let unknown = || Failure::new(Code::UnknownJob, format!("no job is named `{name}`"));
    let id = JobId::parse(name).ok_or_else(unknown)?;
    let held = core.leadership.borrow();
    let Some(leadership) = held.as_ref() else {
        return Err(not_leading(core));
    };
    let times = (core.clock.now_ms(), core.wall_ms());
    let workload = core.group.machine.read();
    leadership
        .planner
        .explain(times, &workload, &leadership.dispatcher, id)
        .ok_or_else(unknown)
}
