//! A client of the control group that finds and follows the leader.

use crate::{
    ControlError, Fault, StateQuery,
    wire::{NotLeader, Request, RequestMessage, Response, ResponseMessage},
};
use bytes::Bytes;
use futures_util::future::join_all;
use pimento_consensus::MemberChange;
use pimento_link::{CallError, Channel, Links};
use pimento_rules::{RulesPull, RulesPush};
use pimento_settings::ControlPeer;
use pimento_state::{Command, Outcome};
use prost::Message as _;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// The maximum time to search for the leader. A request that is already sent may
/// take longer.
const LEADER_SEARCH_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout of a write at one control VM. It is never shortened, since a
/// command that was sent may run.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout of a read at one control VM; a read can be retried at another.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay after all control VMs were tried without success.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends requests to the leader of the control group.
///
/// Cloning is cheap, and clones share the cached address of the leader.
#[derive(Clone, Debug)]
pub struct ControlClient {
    links: Links,
    peers: Arc<[SocketAddr]>,
    leader: Arc<Mutex<Option<SocketAddr>>>,
}

impl ControlClient {
    /// Creates a client that finds the leader through the control VMs listed in
    /// the settings.
    pub fn new(links: Links, peers: &[ControlPeer]) -> Self {
        Self {
            links,
            peers: peers.iter().map(|peer| peer.address).collect(),
            leader: Arc::default(),
        }
    }

    /// Replicates a command to a quorum and returns its outcome.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] whose verdict says whether the command may
    /// have been applied; it may have been if the reply is lost.
    pub async fn propose(&self, command: &Command) -> Result<Outcome, ControlError> {
        let payload = command.encode_to_vec().into();
        outcome_from(self.request(Request::Propose(payload)).await?)
    }

    /// Pulls the rules that this VM is missing, with a linearizable read.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if no quorum answered in time.
    pub async fn pull_rules(&self, pull: RulesPull) -> Result<RulesPush, ControlError> {
        rules_from(self.request(Request::Rules(pull)).await?)
    }

    /// Queries the state with a linearizable read. The result is JSON, or empty
    /// if nothing matches.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if no quorum answered in time.
    pub async fn query_state(&self, query: StateQuery) -> Result<Bytes, ControlError> {
        json_from(self.request(Request::Query(query)).await?)
    }

    /// Returns each listed control VM's own view of the group, as JSON. VMs that
    /// don't reply are omitted.
    pub async fn statuses(&self) -> Vec<Bytes> {
        let request = Some(Request::Status(true));
        let payload = Bytes::from(RequestMessage { request }.encode_to_vec());
        let calls = self.peers.iter().map(|to| {
            let payload = payload.clone();
            self.links
                .call(*to, Channel::Control, payload, READ_TIMEOUT)
        });
        let replies = join_all(calls).await;
        let received = replies.into_iter().filter_map(Result::ok);
        received
            .filter_map(|reply| decode_response(reply).and_then(json_from).ok())
            .collect()
    }

    /// Adds or removes a member, and returns the log index of the change.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] whose verdict says whether the change may
    /// have been made.
    pub async fn change_members(&self, change: MemberChange) -> Result<u64, ControlError> {
        index_from(self.request(change.into()).await?)
    }

    /// Returns a backup of the state, taken with a linearizable read.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if no quorum answered in time.
    pub async fn backup(&self) -> Result<Bytes, ControlError> {
        backup_from(self.request(Request::Backup(true)).await?)
    }

    /// Sends a request to one control VM after another until the leader replies.
    pub(crate) async fn request(&self, request: Request) -> Result<Response, ControlError> {
        let is_write = request.is_write();
        let request = Some(request);
        let payload = Bytes::from(RequestMessage { request }.encode_to_vec());
        let deadline = Instant::now() + LEADER_SEARCH_TIMEOUT;
        let mut next = self.cached_leader();
        let mut peer_index = 0;
        while let Some(remaining) = deadline.checked_duration_since(Instant::now()) {
            let to = next.take().or_else(|| self.peers.get(peer_index).copied());
            let Some(to) = to else {
                peer_index = 0;
                tokio::time::sleep(RETRY_DELAY.min(remaining)).await;
                next = self.cached_leader();
                continue;
            };
            let timeout = if is_write {
                WRITE_TIMEOUT
            } else {
                READ_TIMEOUT
            };
            let call = self
                .links
                .call(to, Channel::Control, payload.clone(), timeout);
            match call.await {
                Ok(reply) => match decode_response(reply)? {
                    Response::NotLeader(hint) => {
                        next = self.follow_redirect(to, &hint);
                        peer_index += usize::from(next.is_none());
                    }
                    Response::Failed(failed) => return Err(failed.into()),
                    response => {
                        self.set_leader(Some(to));
                        return Ok(response);
                    }
                },
                Err(CallError::Timeout) if is_write => {
                    self.set_leader(None);
                    return Err(ControlError::may_have_run(Fault::Timeout));
                }
                Err(_) => {
                    self.set_leader(None);
                    peer_index += 1;
                }
            }
        }
        Err(ControlError::not_run(Fault::NoLeader))
    }

    fn cached_leader(&self) -> Option<SocketAddr> {
        *self.leader.lock().expect("no holder panics")
    }

    /// Updates the cached address of the leader.
    pub(crate) fn set_leader(&self, leader: Option<SocketAddr>) {
        *self.leader.lock().expect("no holder panics") = leader;
    }

    /// Caches the leader that a follower named, and returns its address if it is
    /// neither the follower nor the leader cached before.
    fn follow_redirect(&self, from: SocketAddr, hint: &NotLeader) -> Option<SocketAddr> {
        let leader = hint.leader.parse().ok().filter(|to| *to != from);
        let is_new = leader != self.cached_leader();
        self.set_leader(leader);
        leader.filter(|_| is_new)
    }
}

fn decode_response(payload: Bytes) -> Result<Response, ControlError> {
    let malformed = ControlError::may_have_run(Fault::Malformed);
    let Ok(message) = ResponseMessage::decode(payload) else {
        return Err(malformed);
    };
    message.response.ok_or(malformed)
}

/// Converts a response of an unexpected kind to an error.
fn unexpected(response: Response) -> ControlError {
    match response {
        Response::Failed(failed) => failed.into(),
        Response::NotLeader(_) => ControlError::not_run(Fault::NoLeader),
        _ => ControlError::may_have_run(Fault::Malformed),
    }
}

pub(crate) fn outcome_from(response: Response) -> Result<Outcome, ControlError> {
    let Response::Outcome(bytes) = response else {
        return Err(unexpected(response));
    };
    let malformed = ControlError::may_have_run(Fault::Malformed);
    Outcome::decode(bytes).ok().ok_or(malformed)
}

fn json_from(response: Response) -> Result<Bytes, ControlError> {
    match response {
        Response::Json(bytes) => Ok(bytes),
        other => Err(unexpected(other)),
    }
}

pub(crate) fn index_from(response: Response) -> Result<u64, ControlError> {
    match response {
        Response::Index(index) => Ok(index),
        other => Err(unexpected(other)),
    }
}

pub(crate) fn backup_from(response: Response) -> Result<Bytes, ControlError> {
    match response {
        Response::Backup(bytes) => Ok(bytes),
        other => Err(unexpected(other)),
    }
}

fn rules_from(response: Response) -> Result<RulesPush, ControlError> {
    match response {
        Response::Rules(push) => Ok(push),
        other => Err(unexpected(other)),
    }
}
