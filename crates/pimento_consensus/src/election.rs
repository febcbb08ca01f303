//! Bootstrap, elections and stepping down.

use crate::{
    Body, BootstrapProbe, EntryKind, Member, Members, Raft, RejectReason, RequestVote,
    RequestVoteReply, Role, TimeoutNow, effect::Effect,
};
use pimento_core::{Time, VmId};
use prost::Message as _;

/// The type of vote that a candidate requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ballot {
    /// A pre-vote: whether it could win, without a change of term.
    PreVote,
    /// A regular vote.
    Vote,
    /// A vote in an election that the leader asked for.
    LeaderTransfer,
}

impl Raft {
    /// Adopts a newer term and rejects messages of older terms; returns whether
    /// to handle the message.
    pub(crate) fn check_term(&mut self, now: Time, from: &VmId, term: u64, body: &Body) -> bool {
        match body {
            Body::BootstrapProbe(_) => return true,
            Body::RequestVote(request) if term > self.hard_state.term => {
                if self.has_live_leader(now) && !request.leader_transfer {
                    return false;
                }
                if !request.pre_vote && request.voter_folder == self.config.folder_id {
                    self.become_follower(now, term, None);
                }
                return true;
            }
            Body::RequestVoteReply(reply) if reply.pre_vote && reply.granted => return true,
            _ => {}
        }
        if term > self.hard_state.term {
            self.become_follower(now, term, None);
        }
        if term < self.hard_state.term {
            self.reject_stale(from, body);
            return false;
        }
        true
    }

    /// Replies to a message of an older term with the current one, so that its
    /// sender steps down.
    fn reject_stale(&mut self, from: &VmId, body: &Body) {
        match body {
            Body::RequestVote(request) => {
                let pre_vote = request.pre_vote;
                let reply = RequestVoteReply {
                    pre_vote,
                    granted: false,
                };
                self.send_after_sync(from, Body::RequestVoteReply(reply));
            }
            Body::AppendEntries(_) | Body::InstallSnapshot(_) => {
                let reply = Body::RequestVoteReply(RequestVoteReply::default());
                self.send_after_sync(from, reply);
            }
            _ => {}
        }
    }

    /// Whether a leader was heard from within the election timeout, so that
    /// candidates get no vote.
    fn has_live_leader(&self, now: Time) -> bool {
        let recent = now.since(self.last_heard) < self.config.election_timeout;
        self.role == Role::Leader || (self.leader.is_some() && recent)
    }

    pub(crate) fn tick_follower(&mut self, now: Time) {
        if self.bootstrapping {
            self.send_bootstrap_probes(now);
        } else if now >= self.deadline {
            self.reset_election_timer(now);
            self.set_leader(None);
            if self.is_voter() {
                self.campaign(now, Ballot::PreVote);
            }
        }
    }

    /// Becomes or stays a follower.
    pub(crate) fn become_follower(&mut self, now: Time, term: u64, leader: Option<&VmId>) {
        if term > self.hard_state.term {
            self.set_hard_state(term, "");
            self.verified_index = 0;
            self.round = 0;
            self.partial_snapshot = None;
        }
        if self.role != Role::Follower {
            self.reset_election_timer(now);
        }
        self.role = Role::Follower;
        self.vote_seq = 0;
        self.granted_votes.clear();
        self.peers.clear();
        self.set_leader(leader);
    }

    /// Sets or clears the leader, and rejects all pending reads.
    fn set_leader(&mut self, leader: Option<&VmId>) {
        for id in self.pending_reads.drain() {
            let leader = leader.cloned();
            let reason = RejectReason::NotLeader { leader };
            self.emit(Effect::Rejected { id, reason });
        }
        if self.leader.as_ref() != leader {
            self.leader = leader.cloned();
            let leader = leader.cloned();
            self.emit(Effect::LeaderChanged { leader });
        }
    }

    /// Starts a pre-vote, which changes no term, or an election.
    fn campaign(&mut self, now: Time, ballot: Ballot) {
        let pre_vote = ballot == Ballot::PreVote;
        self.granted_votes.clear();
        self.vote_seq = 0;
        let term = self.hard_state.term + 1;
        if pre_vote {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            let own_vm = self.config.vm.clone();
            self.vote_seq = self.set_hard_state(term, &own_vm);
            self.verified_index = 0;
            self.round = 0;
            self.partial_snapshot = None;
        }
        self.request_votes(ballot, term);
        if pre_vote {
            self.record_vote(now, &self.config.vm.clone());
        }
    }

    /// Starts an election at once if the leader asks for it and this replica has
    /// the leader's whole log.
    pub(crate) fn handle_timeout_now(&mut self, now: Time, from: &VmId, request: &TimeoutNow) {
        let has_whole_log = self.log.last_index() >= request.last_index;
        let from_leader = self.leader.as_ref() == Some(from) && self.role == Role::Follower;
        if !has_whole_log || !from_leader || !self.is_voter() {
            return;
        }
        self.set_leader(None);
        self.reset_election_timer(now);
        self.campaign(now, Ballot::LeaderTransfer);
    }

    fn request_votes(&mut self, ballot: Ballot, term: u64) {
        let pre_vote = ballot == Ballot::PreVote;
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for member in self.members().voters() {
            let Ok(vm) = VmId::new(&member.vm) else {
                continue;
            };
            if vm == self.config.vm {
                continue;
            }
            let voter_folder = member.folder_id;
            let body = Body::RequestVote(RequestVote {
                pre_vote,
                last_index,
                last_term,
                voter_folder,
                leader_transfer: ballot == Ballot::LeaderTransfer,
            });
            if pre_vote {
                self.send_with_term(&vm, term, body);
            } else {
                self.send_after_sync(&vm, body);
            }
        }
    }

    pub(crate) fn handle_request_vote(
        &mut self,
        now: Time,
        from: &VmId,
        term: u64,
        request: &RequestVote,
    ) {
        let own_last = (self.log.last_term(), self.log.last_index());
        let eligible = (request.last_term, request.last_index) >= own_last
            && request.voter_folder == self.config.folder_id;
        if request.pre_vote {
            let granted = eligible && term > self.hard_state.term;
            let reply = Body::RequestVoteReply(RequestVoteReply {
                pre_vote: true,
                granted,
            });
            let reply_term = if granted { term } else { self.hard_state.term };
            self.send_with_term(from, reply_term, reply);
            return;
        }
        let can_vote = self.hard_state.vote.is_empty() || self.hard_state.vote == from.as_str();
        let granted =
            eligible && can_vote && term == self.hard_state.term && self.role == Role::Follower;
        if granted {
            self.set_hard_state(term, from);
            self.reset_election_timer(now);
        }
        let reply = RequestVoteReply {
            pre_vote: false,
            granted,
        };
        self.send_after_sync(from, Body::RequestVoteReply(reply));
    }

    pub(crate) fn handle_request_vote_reply(
        &mut self,
        now: Time,
        from: &VmId,
        folder_id: u64,
        term: u64,
        reply: &RequestVoteReply,
    ) {
        let expected = match self.role {
            Role::PreCandidate => reply.pre_vote && term == self.hard_state.term + 1,
            Role::Candidate => !reply.pre_vote && term == self.hard_state.term,
            Role::Follower | Role::Leader => false,
        };
        let from_voter = self.members().is_voter(from, folder_id);
        if expected && reply.granted && from_voter {
            self.record_vote(now, from);
        }
    }

    /// Records a granted vote; a majority of pre-votes starts the election, and
    /// a majority of votes wins it.
    pub(crate) fn record_vote(&mut self, now: Time, from: &VmId) {
        if let Err(at) = self.granted_votes.binary_search(from) {
            self.granted_votes.insert(at, from.clone());
        }
        let won = self.granted_votes.len() >= self.quorum();
        match self.role {
            Role::PreCandidate if won => self.campaign(now, Ballot::Vote),
            Role::Candidate if won => self.become_leader(now),
            _ => {}
        }
    }

    /// Asks the other initial members whether they know of a group.
    fn send_bootstrap_probes(&mut self, now: Time) {
        if now < self.heartbeat_due {
            return;
        }
        self.heartbeat_due = now + self.config.heartbeat_interval;
        for member in self.config.initial_members.clone() {
            let Ok(vm) = VmId::new(&member.vm) else {
                continue;
            };
            if vm != self.config.vm && self.probe_replies.binary_search(&vm).is_err() {
                let probe = BootstrapProbe {
                    wants_reply: true,
                    knows_group: false,
                };
                self.send(&vm, Body::BootstrapProbe(probe));
            }
        }
    }

    pub(crate) fn handle_bootstrap_probe(
        &mut self,
        now: Time,
        from: &VmId,
        probe: &BootstrapProbe,
    ) {
        if probe.wants_reply {
            let knows_group = self.hard_state.term != 0 || self.log.last_index() != 0;
            let reply = BootstrapProbe {
                wants_reply: false,
                knows_group,
            };
            self.send(from, Body::BootstrapProbe(reply));
        } else if probe.knows_group {
            // A group exists, so this data folder replaces one that was lost.
            self.bootstrapping = false;
        } else if let Err(at) = self.probe_replies.binary_search(from) {
            self.probe_replies.insert(at, from.clone());
            self.maybe_bootstrap(now);
        }
    }

    /// Bootstraps the group with this replica as the only voter and the others
    /// as learners, once all of them have reported that they know of no group.
    pub(crate) fn maybe_bootstrap(&mut self, now: Time) {
        let has_replied = |m: &Member| {
            m.vm == self.config.vm.as_str()
                || self.probe_replies.iter().any(|vm| vm.as_str() == m.vm)
        };
        let all_replied = self.config.initial_members.iter().all(has_replied);
        if !self.bootstrapping || !all_replied || self.hard_state.term != 0 {
            return;
        }
        self.bootstrapping = false;
        let members = Members::new(self.config.initial_members.clone());
        let members = members.with_voter(&self.config.vm, self.config.folder_id);
        let own_vm = self.config.vm.clone();
        self.vote_seq = self.set_hard_state(1, &own_vm);
        self.append_to_log(crate::Entry {
            index: 1,
            term: 1,
            kind: EntryKind::Members as i32,
            payload: members.encode_to_vec().into(),
        });
        self.role = Role::Candidate;
        self.reset_election_timer(now);
    }
}
