//! Calls to the leader of a replication group, on this or another entry, and calls of other entries to this one.
//!
//! An entry is the process of a VM that takes callers' requests; entries also replicate the groups and lead them.

use super::Node;
use crate::group::Formation;
use crate::group::Group;
use crate::leader::LeaderAnswer;
use crate::leader::LeaderCall;
use crate::peers::Peer;
use crate::requests;
use bh_net::runtime::sleep_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::wire::RpcKind;
use bh_protocol::wire::RpcReply;
use bh_protocol::wire::RpcRequest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::rc::Rc;

/// Value of `head` in a call that another entry has forwarded already. Such a call is not forwarded again.
const ALREADY_FORWARDED: &str = "passed-on";
/// Time between attempts to reach a leader, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 30;
/// Shortest time left for which another attempt is made, in milliseconds. An attempt that times out before a refusal can
/// come back counts as possibly recorded. Then a change that nobody recorded would be answered "unknown" instead of
/// "not run".
const MIN_ATTEMPT_MS: u64 = 300;
/// Longest wait for one attempt, in milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 1_500;

/// Name of the group that replicates the settings.
pub const SETTINGS_GROUP: &str = "settings";

/// Name of the group that replicates the jobs of a data centre.
pub fn jobs_group(data_centre: &str) -> String {
    format!("jobs/{data_centre}")
}

pub(crate) fn to_json(value: &impl Serialize) -> Result<Vec<u8>, Failure> {
    serde_json::to_vec(value).map_err(|error| Failure::new(Code::Internal, error.to_string()))
}

pub(crate) fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(bytes)
        .map_err(|error| Failure::new(Code::MalformedBody, error.to_string()))
}

impl Node {
    /// The replication group of this name, if this entry votes in it or observes it.
    fn group(&self, name: &str) -> Option<&Group> {
        if *self.settings.name == *name {
            return Some(&self.settings);
        }
        self.jobs
            .values()
            .map(|jobs| &jobs.group)
            .find(|group| *group.name == *name)
    }

    /// The peer to call about a group that this entry does not lead: the leader if this entry takes part in the group,
    /// otherwise one of the linked entries that do, a different one for each attempt.
    fn peer_for(&self, group: &str, attempt: usize) -> Option<Rc<Peer>> {
        if let Some(local) = self.group(group) {
            let leader = local.status().leader?;
            return self.peers.by_replica(leader).cloned();
        }
        let data_centre = group.strip_prefix("jobs/")?;
        let voters = self.config.jobs_voters(data_centre);
        let hosts: Vec<&Rc<Peer>> = self
            .peers
            .iter()
            .filter(|peer| {
                peer.is_linked()
                    && (&*peer.vm.data_centre == data_centre || voters.contains(&peer.vm.name))
            })
            .collect();
        if hosts.is_empty() {
            None
        } else {
            Some(hosts[attempt % hosts.len()].clone())
        }
    }

    /// Replicates `command` in `group`, whichever entry leads it, and returns the state machine's answer.
    ///
    /// A command may be proposed more than once. It contains the identity of its change, job or attempt, by which the state machine recognizes
    /// the repetition.
    ///
    /// # Errors
    ///
    /// [`Code::NoQuorum`] when nothing was recorded, [`Code::OutcomeUnknown`] when it may have been.
    pub async fn propose(
        &self,
        group: &str,
        command: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<Vec<u8>, Failure> {
        let deadline_ms = self.clock.now_ms() + timeout_ms;
        let mut may_be_recorded = None;
        for attempt in 0.. {
            let left_ms = deadline_ms.saturating_sub(self.clock.now_ms());
            let result = self
                .propose_once(group, &command, left_ms.min(ATTEMPT_TIMEOUT_MS), attempt)
                .await;
            let failure = match result {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            match failure.code {
                Code::NoQuorum => {}
                Code::OutcomeUnknown => may_be_recorded = Some(failure.clone()),
                _ => return Err(failure),
            }
            if self.clock.now_ms() + RETRY_INTERVAL_MS + MIN_ATTEMPT_MS >= deadline_ms {
                return Err(may_be_recorded.unwrap_or(failure));
            }
            sleep_ms(RETRY_INTERVAL_MS).await;
        }
        unreachable!("the loop above ends by returning")
    }

    async fn propose_once(
        &self,
        group: &str,
        command: &[u8],
        timeout_ms: u64,
        attempt: usize,
    ) -> Result<Vec<u8>, Failure> {
        if let Some(local) = self.group(group).filter(|local| local.is_leader()) {
            return local.propose(command.to_vec(), timeout_ms).await;
        }
        let peer = self
            .peer_for(group, attempt)
            .ok_or_else(|| self.no_leader(group))?;
        let reply = peer
            .call(
                RpcKind::Propose,
                group,
                String::new(),
                command.to_vec(),
                timeout_ms,
            )
            .await
            .map_err(|error| error.into_failure(group))?;
        into_result(reply).map(|(_, body)| body)
    }

    fn no_leader(&self, group: &str) -> Failure {
        Failure::new(
            Code::NoQuorum,
            format!("no leader of group {group} is known"),
        )
        .with_retry_after_ms(500)
    }

    /// Calls the leader of a data centre's group.
    ///
    /// # Errors
    ///
    /// The leader's failure, or [`Code::NoQuorum`] when no leader answered in time.
    pub async fn ask_leader(
        &self,
        data_centre: &str,
        call: &LeaderCall,
        timeout_ms: u64,
    ) -> Result<LeaderAnswer, Failure> {
        let deadline_ms = self.clock.now_ms() + timeout_ms;
        let group = jobs_group(data_centre);
        for attempt in 0.. {
            let left_ms = deadline_ms.saturating_sub(self.clock.now_ms());
            let failure = match self
                .ask_once(
                    &group,
                    data_centre,
                    call,
                    left_ms.min(ATTEMPT_TIMEOUT_MS),
                    attempt,
                )
                .await
            {
                Ok(answer) => return Ok(answer),
                Err(failure) if matches!(failure.code, Code::NoQuorum | Code::OutcomeUnknown) => {
                    failure
                }
                Err(failure) => return Err(failure),
            };
            if self.clock.now_ms() + RETRY_INTERVAL_MS >= deadline_ms {
                return Err(Failure::new(Code::NoQuorum, failure.label).with_retry_after_ms(500));
            }
            sleep_ms(RETRY_INTERVAL_MS).await;
        }
        unreachable!("the loop above ends by returning")
    }

    async fn ask_once(
        &self,
        group: &str,
        data_centre: &str,
        call: &LeaderCall,
        timeout_ms: u64,
        attempt: usize,
    ) -> Result<LeaderAnswer, Failure> {
        if let Some(jobs) = self.jobs.get(data_centre)
            && jobs.is_serving_leader()
        {
            return jobs.answer(self, call.clone());
        }
        let peer = self
            .peer_for(group, attempt)
            .ok_or_else(|| self.no_leader(group))?;
        let reply = peer
            .call(
                RpcKind::Leader,
                group,
                String::new(),
                to_json(call)?,
                timeout_ms,
            )
            .await
            .map_err(|error| error.into_failure(group))?;
        let (_, body) = into_result(reply)?;
        from_json(&body)
    }

    /// Serves a call from another entry.
    ///
    /// # Errors
    ///
    /// The failure to send back.
    pub async fn serve_call(
        self: &Rc<Self>,
        request: RpcRequest,
    ) -> Result<(String, Vec<u8>), Failure> {
        let kind = RpcKind::try_from(request.kind)
            .map_err(|_| Failure::new(Code::Internal, "an unknown kind of call"))?;
        match kind {
            RpcKind::Propose => self
                .serve_propose(request)
                .await
                .map(|body| (String::new(), body)),
            RpcKind::Leader => self
                .serve_leader(request)
                .await
                .map(|body| (String::new(), body)),
            RpcKind::RunRequest => requests::serve_forwarded(self, request).await,
            RpcKind::Workload | RpcKind::Carry | RpcKind::Signs | RpcKind::Relay => Err(
                Failure::new(Code::Internal, "this entry serves no workload calls"),
            ),
            RpcKind::InForce => to_json(&self.in_force()).map(|body| (String::new(), body)),
            RpcKind::Formation => {
                let group = self
                    .group(&request.group)
                    .ok_or_else(|| self.no_leader(&request.group))?;
                to_json(&Formation::of(group, self.replica)).map(|body| (String::new(), body))
            }
        }
    }

    async fn serve_propose(&self, request: RpcRequest) -> Result<Vec<u8>, Failure> {
        let local = self.group(&request.group);
        if let Some(group) = local.filter(|group| group.is_leader()) {
            return group.propose(request.body, ATTEMPT_TIMEOUT_MS).await;
        }
        self.forward_to_leader(RpcKind::Propose, request).await
    }

    async fn serve_leader(&self, request: RpcRequest) -> Result<Vec<u8>, Failure> {
        let jobs = self
            .jobs
            .values()
            .find(|jobs| *jobs.group.name == *request.group);
        if let Some(jobs) = jobs.filter(|jobs| jobs.is_serving_leader()) {
            return to_json(&jobs.answer(self, from_json(&request.body)?)?);
        }
        self.forward_to_leader(RpcKind::Leader, request).await
    }

    async fn forward_to_leader(
        &self,
        kind: RpcKind,
        request: RpcRequest,
    ) -> Result<Vec<u8>, Failure> {
        let group = &*request.group;
        let peer = self
            .peer_for(group, 0)
            .filter(|_| request.head != ALREADY_FORWARDED)
            .ok_or_else(|| self.no_leader(group))?;
        let reply = peer
            .call(
                kind,
                group,
                ALREADY_FORWARDED.to_owned(),
                request.body,
                ATTEMPT_TIMEOUT_MS,
            )
            .await
            .map_err(|error| error.into_failure(group))?;
        into_result(reply).map(|(_, body)| body)
    }
}

/// Returns the label and body of a successful reply, or its failure. On success the label describes the answer, otherwise the failure.
pub(crate) fn into_result(reply: RpcReply) -> Result<(String, Vec<u8>), Failure> {
    match Code::from_number(reply.code) {
        Some(Code::Done) => Ok((reply.label, reply.body)),
        code => Err(Failure {
            code: code.unwrap_or(Code::Internal),
            label: reply.label,
            retry_after_ms: (reply.retry_after_ms > 0).then_some(reply.retry_after_ms),
        }),
    }
}
