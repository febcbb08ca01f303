//! Asking the control group from another process.

use crate::{
    ControlError, Fault, StateQuery,
    wire::{Answer, Ask, NotLeader, Question, Reply},
};
use bytes::Bytes;
use futures_util::future::join_all;
use pimento_consensus::Change as MemberChange;
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

/// How long a control VM that leads is looked for.
const SEARCH: Duration = Duration::from_secs(3);
/// The longest wait for one control VM. It is never cut short for a command,
/// since a command that was sent may run.
const LIMIT: Duration = Duration::from_secs(5);
/// The longest wait for one control VM, if another one may be asked instead.
const READ_LIMIT: Duration = Duration::from_secs(1);
/// The pause after all control VMs were tried in vain.
const PAUSE: Duration = Duration::from_millis(100);

/// Asks the control group and follows its leader.
///
/// Cloning is cheap, and clones share what they know of the leader.
#[derive(Clone, Debug)]
pub struct ControlClient {
    links: Links,
    peers: Arc<[SocketAddr]>,
    leader: Arc<Mutex<Option<SocketAddr>>>,
}

impl ControlClient {
    /// A client that knows the first control VMs from the settings.
    pub fn new(links: Links, peers: &[ControlPeer]) -> Self {
        Self {
            links,
            peers: peers.iter().map(|peer| peer.address).collect(),
            leader: Arc::default(),
        }
    }

    /// Applies a command on a quorum.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] whose verdict says whether the command may
    /// have been applied; a lost answer means that it may.
    pub async fn propose(&self, command: &Command) -> Result<Outcome, ControlError> {
        let payload = command.encode_to_vec().into();
        outcome(self.ask(Question::Propose(payload)).await?)
    }

    /// Asks for what a VM lacks of the rules, current as a quorum confirms.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if no quorum answered in time.
    pub async fn pull_rules(&self, pull: RulesPull) -> Result<RulesPush, ControlError> {
        rules(self.ask(Question::Rules(pull)).await?)
    }

    /// Looks at the state as a quorum confirms it; the answer is JSON, or empty
    /// if there is no such thing.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if no quorum answered in time.
    pub async fn query_state(&self, query: StateQuery) -> Result<Bytes, ControlError> {
        json(self.ask(Question::StateQuery(query)).await?)
    }

    /// Asks each control VM of the settings for its own view of the group, as
    /// JSON; a VM that doesn't answer is left out.
    pub async fn statuses(&self) -> Vec<Bytes> {
        let question = Some(Question::Status(true));
        let payload = Bytes::from(Ask { question }.encode_to_vec());
        let calls = self.peers.iter().map(|to| {
            let payload = payload.clone();
            self.links.call(*to, Channel::Control, payload, READ_LIMIT)
        });
        let replies = join_all(calls).await;
        let answers = replies.into_iter().filter_map(Result::ok);
        answers
            .filter_map(|reply| answer(reply).and_then(json).ok())
            .collect()
    }

    /// Adds or removes a control VM.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] whose verdict says whether the change may
    /// have been made.
    pub async fn change_members(&self, change: MemberChange) -> Result<u64, ControlError> {
        index(self.ask(change.into()).await?)
    }

    /// Asks for a backup of the state as a quorum confirms it.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if no quorum answered in time.
    pub async fn backup(&self) -> Result<Bytes, ControlError> {
        backup(self.ask(Question::Backup(true)).await?)
    }

    /// Asks one control VM after another until one answers that leads.
    pub(crate) async fn ask(&self, question: Question) -> Result<Answer, ControlError> {
        let writes = question.writes();
        let question = Some(question);
        let payload = Bytes::from(Ask { question }.encode_to_vec());
        let end = Instant::now() + SEARCH;
        let mut next = self.known_leader();
        let mut turn = 0;
        while let Some(left) = end.checked_duration_since(Instant::now()) {
            let to = next.take().or_else(|| self.peers.get(turn).copied());
            let Some(to) = to else {
                turn = 0;
                tokio::time::sleep(PAUSE.min(left)).await;
                next = self.known_leader();
                continue;
            };
            let limit = if writes { LIMIT } else { READ_LIMIT };
            let call = self
                .links
                .call(to, Channel::Control, payload.clone(), limit);
            match call.await {
                Ok(reply) => match answer(reply)? {
                    Answer::NotLeader(hint) => {
                        next = self.redirected(to, &hint);
                        turn += usize::from(next.is_none());
                    }
                    Answer::Failed(failed) => return Err(failed.into()),
                    answer => {
                        self.remember(Some(to));
                        return Ok(answer);
                    }
                },
                Err(CallError::Timeout) if writes => {
                    self.remember(None);
                    return Err(ControlError::may_have_run(Fault::Timeout));
                }
                Err(_) => {
                    self.remember(None);
                    turn += 1;
                }
            }
        }
        Err(ControlError::not_run(Fault::NoLeader))
    }

    fn known_leader(&self) -> Option<SocketAddr> {
        *self.leader.lock().expect("no holder panics")
    }

    /// Notes who leads.
    pub(crate) fn remember(&self, leader: Option<SocketAddr>) {
        *self.leader.lock().expect("no holder panics") = leader;
    }

    /// Where a VM that doesn't lead points to, if that is somewhere else.
    fn redirected(&self, asked: SocketAddr, hint: &NotLeader) -> Option<SocketAddr> {
        let leader = hint.leader.parse().ok().filter(|to| *to != asked);
        let fresh = leader != self.known_leader();
        self.remember(leader);
        leader.filter(|_| fresh)
    }
}

fn answer(reply: Bytes) -> Result<Answer, ControlError> {
    let malformed = ControlError::may_have_run(Fault::Malformed);
    let Ok(reply) = Reply::decode(reply) else {
        return Err(malformed);
    };
    reply.answer.ok_or(malformed)
}

/// What an answer of another kind than expected means.
fn unexpected(answer: Answer) -> ControlError {
    match answer {
        Answer::Failed(failed) => failed.into(),
        Answer::NotLeader(_) => ControlError::not_run(Fault::NoLeader),
        _ => ControlError::may_have_run(Fault::Malformed),
    }
}

pub(crate) fn outcome(answer: Answer) -> Result<Outcome, ControlError> {
    let Answer::Outcome(bytes) = answer else {
        return Err(unexpected(answer));
    };
    let malformed = ControlError::may_have_run(Fault::Malformed);
    Outcome::decode(bytes).ok().ok_or(malformed)
}

fn json(answer: Answer) -> Result<Bytes, ControlError> {
    match answer {
        Answer::Json(bytes) => Ok(bytes),
        other => Err(unexpected(other)),
    }
}

pub(crate) fn index(answer: Answer) -> Result<u64, ControlError> {
    match answer {
        Answer::Index(index) => Ok(index),
        other => Err(unexpected(other)),
    }
}

pub(crate) fn backup(answer: Answer) -> Result<Bytes, ControlError> {
    match answer {
        Answer::Backup(bytes) => Ok(bytes),
        other => Err(unexpected(other)),
    }
}

fn rules(answer: Answer) -> Result<RulesPush, ControlError> {
    match answer {
        Answer::Rules(push) => Ok(push),
        other => Err(unexpected(other)),
    }
}
