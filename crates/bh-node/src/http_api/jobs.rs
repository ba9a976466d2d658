//! `/v1/customers/{customer}/jobs`: submits, lists and cancels long jobs.

use super::answer;
use crate::jobs_machine::JobsAnswer;
use crate::jobs_machine::JobsCommand;
use crate::leader::LeaderAnswer;
use crate::leader::LeaderCall;
use crate::node::Node;
use crate::node::from_json;
use crate::node::jobs_group;
use crate::node::to_json;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::job::Spec;
use bh_protocol::job::Submission;
use bh_scheduler::Command;
use bh_scheduler::Outcome;
use bh_settings::check;
use bh_settings::check::Resolved;
use bytes::Bytes;
use http::Request;
use http::Response;
use serde::Deserialize;
use serde_json::json;
use std::rc::Rc;
use std::sync::Arc;

/// Longest wait for the leader or a quorum, in milliseconds.
const LEADER_TIMEOUT_MS: u64 = 5_000;
/// Largest payload, in bytes; the replicated record stores it.
const MAX_PAYLOAD_BYTES: usize = 64 << 10;
/// Largest number of jobs in one cancellation.
const MAX_CANCELLED_JOBS: usize = 10_000;

/// Body of a cancellation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Cancellation {
    jobs: Vec<u64>,
}

fn data_centre<'a>(node: &'a Node, request: &'a Request<Bytes>) -> Result<&'a str, Failure> {
    let Some(requested) = answer::parameter(request, "data_centre") else {
        return Ok(&node.config.own.data_centre);
    };
    if node.config.data_centres().contains(requested) {
        Ok(requested)
    } else {
        Err(Failure::new(
            Code::NotFound,
            format!("data centre `{requested}`"),
        ))
    }
}

/// Submits a job. The answer is sent when the job's record is synced on a quorum.
pub(super) async fn submit(
    node: &Rc<Node>,
    request: &Request<Bytes>,
    customer: &str,
) -> Result<Response<Bytes>, Failure> {
    let submission: Submission = answer::read(node, request).await?;
    let data_centre = data_centre(node, request)?;
    let spec = resolve(node, request, customer, submission)?;
    check_can_fit(node, data_centre, &spec).await?;
    let command = Command::Submit {
        spec,
        submitted_wall_ms: node.clock.wall_ms(),
    };
    match propose(node, data_centre, command).await? {
        Outcome::Submitted { job } => {
            log::info!(job = job, customer = customer, data_centre = data_centre; "job recorded");
            Ok(answer::json(
                &json!({ "job": job, "data_centre": data_centre }),
            ))
        }
        outcome => Err(outcome.failure().unwrap_or_else(|| {
            Failure::new(Code::Internal, "unexpected answer from the job table")
        })),
    }
}

fn resolve(
    node: &Node,
    request: &Request<Bytes>,
    customer: &str,
    submission: Submission,
) -> Result<Spec, Failure> {
    let (_, settings) = node.settings_in_force();
    let resolved = check::resolve(
        &settings,
        customer,
        &submission.request_type,
        answer::token(request.headers()),
    )?;
    let shape = check::shape(resolved.team, &submission.shape)?;
    if submission.key.is_empty() || submission.payload.len() > MAX_PAYLOAD_BYTES {
        let label =
            format!("`key` must not be empty, and `payload` has at most {MAX_PAYLOAD_BYTES} bytes");
        return Err(Failure::new(Code::MalformedBody, label));
    }
    check_quota(&resolved, shape.accelerators())?;
    Ok(Spec {
        team: resolved.team_name.clone(),
        customer: Arc::from(customer),
        key: submission.key,
        shape_name: submission.shape,
        shape,
        priority: resolved.request_type.priority,
        declared_ms: submission.declared_ms,
        payload: submission.payload,
    })
}

fn check_quota(resolved: &Resolved<'_>, accelerators: u32) -> Result<(), Failure> {
    let quota = resolved
        .team
        .quota_accelerators
        .min(resolved.customer.quota_accelerators);
    if accelerators > quota {
        let label = format!("the job needs {accelerators} accelerators, the quota is {quota}");
        return Err(Failure::new(Code::QuotaTooSmall, label));
    }
    Ok(())
}

/// Refuses a job that could not run even on an empty data centre, before it is recorded.
async fn check_can_fit(node: &Rc<Node>, data_centre: &str, spec: &Spec) -> Result<(), Failure> {
    let answer = node
        .ask_leader(
            data_centre,
            &LeaderCall::CanFit(spec.shape),
            LEADER_TIMEOUT_MS,
        )
        .await?;
    match answer {
        LeaderAnswer::CanFit(Some(false)) => Err(Failure::new(
            Code::NeverFits,
            format!("shape `{}` in {data_centre}", spec.shape_name),
        )),
        _ => Ok(()),
    }
}

async fn propose(node: &Rc<Node>, data_centre: &str, command: Command) -> Result<Outcome, Failure> {
    let bytes = to_json(&JobsCommand::Job(command))?;
    let answer = node
        .propose(&jobs_group(data_centre), bytes, LEADER_TIMEOUT_MS)
        .await?;
    match from_json(&answer)? {
        JobsAnswer::Job(outcome) => Ok(outcome),
        JobsAnswer::Request(_) => Err(Failure::new(
            Code::Internal,
            "the group answered about a request, not about the job",
        )),
    }
}

fn authorize(node: &Node, request: &Request<Bytes>, customer: &str) -> Result<(), Failure> {
    let (_, settings) = node.settings_in_force();
    let (_, team) = settings
        .team_of(customer)
        .ok_or_else(|| Failure::new(Code::UnknownCustomer, format!("customer `{customer}`")))?;
    check::authorize_caller(team, answer::token(request.headers()))
}

/// Cancels jobs together: all of them, or none if one is not the customer's.
pub(super) async fn cancel(
    node: &Rc<Node>,
    request: &Request<Bytes>,
    customer: &str,
) -> Result<Response<Bytes>, Failure> {
    authorize(node, request, customer)?;
    let cancellation: Cancellation = answer::read(node, request).await?;
    if cancellation.jobs.len() > MAX_CANCELLED_JOBS {
        return Err(Failure::new(
            Code::MalformedBody,
            format!("at most {MAX_CANCELLED_JOBS} jobs at once"),
        ));
    }
    let data_centre = data_centre(node, request)?;
    let command = Command::Cancel {
        customer: Arc::from(customer),
        jobs: cancellation.jobs,
    };
    match propose(node, data_centre, command).await? {
        Outcome::Cancelled { jobs } => Ok(answer::json(&json!({ "cancelled": jobs }))),
        outcome => Err(outcome.failure().unwrap_or_else(|| {
            Failure::new(Code::Internal, "unexpected answer from the job table")
        })),
    }
}

/// Lists a customer's jobs, or one of them, as the leader reports them.
pub(super) async fn list(
    node: &Rc<Node>,
    request: &Request<Bytes>,
    customer: &str,
    job: Option<u64>,
) -> Result<Response<Bytes>, Failure> {
    authorize(node, request, customer)?;
    let data_centre = data_centre(node, request)?;
    let call = LeaderCall::Jobs {
        customer: Arc::from(customer),
        job,
    };
    let LeaderAnswer::Jobs(mut jobs) = node
        .ask_leader(data_centre, &call, LEADER_TIMEOUT_MS)
        .await?
    else {
        return Err(Failure::new(
            Code::Internal,
            "unexpected kind of answer from the leader",
        ));
    };
    match (job, jobs.pop()) {
        (None, last) => {
            jobs.extend(last);
            Ok(answer::json(&jobs))
        }
        (Some(_), Some(one)) => Ok(answer::json(&one)),
        (Some(number), None) => Err(Failure::new(
            Code::UnknownJob,
            format!("job {number} in {data_centre}"),
        )),
    }
}
