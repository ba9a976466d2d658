//! Calls to the leader of a group, wherever it is, and calls of other entries to this one.

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

/// Head of a call that was passed on once already; it is not passed on again.
const PASSED_ON: &str = "passed-on";
/// Time between attempts to reach a leader, in milliseconds.
const RETRY_MS: u64 = 30;
/// Least time worth another attempt, in milliseconds. A proposal that is given up on before its refusal could come back
/// counts as perhaps recorded, so that a change that nobody took would be answered "unknown" in place of "not run".
const LEAST_ATTEMPT_MS: u64 = 300;
/// Longest wait for one attempt, in milliseconds.
const ATTEMPT_MS: u64 = 1_500;

/// Name of the group that replicates the settings.
pub const SETTINGS_GROUP: &str = "settings";

/// Name of the group of a data centre.
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
    fn group(&self, name: &str) -> Option<&Group> {
        if *self.settings.name == *name {
            return Some(&self.settings);
        }
        self.jobs
            .values()
            .map(|jobs| &jobs.group)
            .find(|group| *group.name == *name)
    }

    /// The peer to ask about a group that this entry does not lead: its leader, or else one that hosts it.
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

    /// Replicates `command` in `group`, wherever it is led, and returns the state machine's answer.
    ///
    /// Every command may be proposed again: it names its change, job or attempt, and the state machine knows it.
    ///
    /// # Errors
    ///
    /// [`Code::NoQuorum`] when nothing was recorded, [`Code::OutcomeUnknown`] when it may have been.
    pub async fn propose(
        &self,
        group: &str,
        command: Vec<u8>,
        limit_ms: u64,
    ) -> Result<Vec<u8>, Failure> {
        let until_ms = self.clock.now_ms() + limit_ms;
        let mut may_be_recorded = None;
        for attempt in 0.. {
            let left_ms = until_ms.saturating_sub(self.clock.now_ms());
            let result = self
                .propose_once(group, &command, left_ms.min(ATTEMPT_MS), attempt)
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
            if self.clock.now_ms() + RETRY_MS + LEAST_ATTEMPT_MS >= until_ms {
                return Err(may_be_recorded.unwrap_or(failure));
            }
            sleep_ms(RETRY_MS).await;
        }
        unreachable!("the loop above ends by returning")
    }

    async fn propose_once(
        &self,
        group: &str,
        command: &[u8],
        limit_ms: u64,
        attempt: usize,
    ) -> Result<Vec<u8>, Failure> {
        if let Some(local) = self.group(group).filter(|local| local.is_leader()) {
            return local.propose(command.to_vec(), limit_ms).await;
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
                limit_ms,
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

    /// Asks the leader of a data centre's group.
    ///
    /// # Errors
    ///
    /// What the leader answers, or [`Code::NoQuorum`] when none answered in time.
    pub async fn ask_leader(
        &self,
        data_centre: &str,
        call: &LeaderCall,
        limit_ms: u64,
    ) -> Result<LeaderAnswer, Failure> {
        let until_ms = self.clock.now_ms() + limit_ms;
        let group = jobs_group(data_centre);
        for attempt in 0.. {
            let left_ms = until_ms.saturating_sub(self.clock.now_ms());
            let failure = match self
                .ask_once(&group, data_centre, call, left_ms.min(ATTEMPT_MS), attempt)
                .await
            {
                Ok(answer) => return Ok(answer),
                Err(failure) if matches!(failure.code, Code::NoQuorum | Code::OutcomeUnknown) => {
                    failure
                }
                Err(failure) => return Err(failure),
            };
            if self.clock.now_ms() + RETRY_MS >= until_ms {
                return Err(Failure::new(Code::NoQuorum, failure.label).with_retry_after_ms(500));
            }
            sleep_ms(RETRY_MS).await;
        }
        unreachable!("the loop above ends by returning")
    }

    async fn ask_once(
        &self,
        group: &str,
        data_centre: &str,
        call: &LeaderCall,
        limit_ms: u64,
        attempt: usize,
    ) -> Result<LeaderAnswer, Failure> {
        if let Some(jobs) = self.jobs.get(data_centre)
            && jobs.is_on_duty()
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
                limit_ms,
            )
            .await
            .map_err(|error| error.into_failure(group))?;
        let (_, body) = into_result(reply)?;
        from_json(&body)
    }

    /// Serves a call of another entry.
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
            RpcKind::Workload | RpcKind::Carry | RpcKind::Signs => Err(Failure::new(
                Code::Internal,
                "an entry with jobs of its own keeps no workload",
            )),
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
            return group.propose(request.body, ATTEMPT_MS).await;
        }
        self.pass_on(RpcKind::Propose, request).await
    }

    async fn serve_leader(&self, request: RpcRequest) -> Result<Vec<u8>, Failure> {
        let jobs = self
            .jobs
            .values()
            .find(|jobs| *jobs.group.name == *request.group);
        if let Some(jobs) = jobs.filter(|jobs| jobs.is_on_duty()) {
            return to_json(&jobs.answer(self, from_json(&request.body)?)?);
        }
        self.pass_on(RpcKind::Leader, request).await
    }

    async fn pass_on(&self, kind: RpcKind, request: RpcRequest) -> Result<Vec<u8>, Failure> {
        let group = &*request.group;
        let peer = self
            .peer_for(group, 0)
            .filter(|_| request.head != PASSED_ON)
            .ok_or_else(|| self.no_leader(group))?;
        let reply = peer
            .call(kind, group, PASSED_ON.to_owned(), request.body, ATTEMPT_MS)
            .await
            .map_err(|error| error.into_failure(group))?;
        into_result(reply).map(|(_, body)| body)
    }
}

/// The label and body of a reply, or its failure.
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
