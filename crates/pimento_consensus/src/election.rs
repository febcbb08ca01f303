//! Founding, elections and the step down.

use crate::{
    Body, BootstrapProbe, EntryKind, Member, Members, Raft, RejectReason, RequestVote,
    RequestVoteReply, Role, TimeoutNow, effect::Effect,
};
use pimento_core::{Time, VmId};
use prost::Message as _;

/// What a candidate asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ballot {
    /// Whether it could win; changes no term.
    Pre,
    /// A vote.
    Vote,
    /// A vote that the leader itself wants.
    Forced,
}

impl Raft {
    /// Takes over a newer term and drops what is outdated; whether the message
    /// is to be handled.
    pub(crate) fn admit(&mut self, now: Time, from: &VmId, term: u64, body: &Body) -> bool {
        match body {
            Body::BootstrapProbe(_) => return true,
            Body::RequestVote(vote) if term > self.hard_state.term => {
                if self.hears_leader(now) && !vote.leader_transfer {
                    return false;
                }
                if !vote.pre_vote && vote.voter_folder == self.config.folder_id {
                    self.follow(now, term, None);
                }
                return true;
            }
            Body::RequestVoteReply(reply) if reply.pre_vote && reply.granted => return true,
            _ => {}
        }
        if term > self.hard_state.term {
            self.follow(now, term, None);
        }
        if term < self.hard_state.term {
            self.refuse_stale(from, body);
            return false;
        }
        true
    }

    /// Shows an outdated sender the newer term, so that it steps down.
    fn refuse_stale(&mut self, from: &VmId, body: &Body) {
        match body {
            Body::RequestVote(vote) => {
                let pre_vote = vote.pre_vote;
                let reply = RequestVoteReply {
                    pre_vote,
                    granted: false,
                };
                self.send_held(from, Body::RequestVoteReply(reply));
            }
            Body::AppendEntries(_) | Body::InstallSnapshot(_) => {
                let reply = Body::RequestVoteReply(RequestVoteReply::default());
                self.send_held(from, reply);
            }
            _ => {}
        }
    }

    /// Whether a leader is known to live, so that no election is helped.
    fn hears_leader(&self, now: Time) -> bool {
        let heard = now.since(self.heard) < self.config.election_timeout;
        self.role == Role::Leader || (self.leader.is_some() && heard)
    }

    pub(crate) fn tick_follower(&mut self, now: Time) {
        if self.founding {
            self.greet(now);
        } else if now >= self.deadline {
            self.rearm(now);
            self.unlead(None);
            if self.is_voter() {
                self.campaign(now, Ballot::Pre);
            }
        }
    }

    /// Becomes or stays a follower.
    pub(crate) fn follow(&mut self, now: Time, term: u64, leader: Option<&VmId>) {
        if term > self.hard_state.term {
            self.set_hard(term, "");
            self.verified = 0;
            self.round = 0;
            self.partial = None;
        }
        if self.role != Role::Follower {
            self.rearm(now);
        }
        self.role = Role::Follower;
        self.own_vote = 0;
        self.votes.clear();
        self.peers.clear();
        self.unlead(leader);
    }

    /// Notes another leader and rejects the reads that this one was asked for.
    fn unlead(&mut self, leader: Option<&VmId>) {
        for id in self.reads.drain() {
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

    /// Asks for votes, first without any change of terms.
    fn campaign(&mut self, now: Time, ballot: Ballot) {
        let pre = ballot == Ballot::Pre;
        self.votes.clear();
        self.own_vote = 0;
        let term = self.hard_state.term + 1;
        if pre {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            let me = self.config.vm.clone();
            self.own_vote = self.set_hard(term, &me);
            self.verified = 0;
            self.round = 0;
            self.partial = None;
        }
        self.ask_votes(ballot, term);
        if pre {
            self.count_vote(now, &self.config.vm.clone());
        }
    }

    /// Stands for election at once, if the leader asks and nothing is missing.
    pub(crate) fn take_over(&mut self, now: Time, from: &VmId, handover: &TimeoutNow) {
        let whole = self.log.last() >= handover.last_index;
        let asked = self.leader.as_ref() == Some(from) && self.role == Role::Follower;
        if !whole || !asked || !self.is_voter() {
            return;
        }
        self.unlead(None);
        self.rearm(now);
        self.campaign(now, Ballot::Forced);
    }

    fn ask_votes(&mut self, ballot: Ballot, term: u64) {
        let pre_vote = ballot == Ballot::Pre;
        let (last_index, last_term) = (self.log.last(), self.log.last_term());
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
                leader_transfer: ballot == Ballot::Forced,
            });
            if pre_vote {
                self.send_as(&vm, term, body);
            } else {
                self.send_held(&vm, body);
            }
        }
    }

    pub(crate) fn vote(&mut self, now: Time, from: &VmId, term: u64, vote: &RequestVote) {
        let mine = (self.log.last_term(), self.log.last());
        let current =
            (vote.last_term, vote.last_index) >= mine && vote.voter_folder == self.config.folder_id;
        if vote.pre_vote {
            let granted = current && term > self.hard_state.term;
            let reply = Body::RequestVoteReply(RequestVoteReply {
                pre_vote: true,
                granted,
            });
            let shown = if granted { term } else { self.hard_state.term };
            self.send_as(from, shown, reply);
            return;
        }
        let open = self.hard_state.vote.is_empty() || self.hard_state.vote == from.as_str();
        let granted =
            current && open && term == self.hard_state.term && self.role == Role::Follower;
        if granted {
            self.set_hard(term, from);
            self.rearm(now);
        }
        let reply = RequestVoteReply {
            pre_vote: false,
            granted,
        };
        self.send_held(from, Body::RequestVoteReply(reply));
    }

    pub(crate) fn vote_reply(
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
        let voter = self.members().is_voter(from, folder_id);
        if expected && reply.granted && voter {
            self.count_vote(now, from);
        }
    }

    /// Counts a granted vote and goes on when it decides.
    pub(crate) fn count_vote(&mut self, now: Time, from: &VmId) {
        if let Err(at) = self.votes.binary_search(from) {
            self.votes.insert(at, from.clone());
        }
        let won = self.votes.len() >= self.quorum();
        match self.role {
            Role::PreCandidate if won => self.campaign(now, Ballot::Vote),
            Role::Candidate if won => self.lead(now),
            _ => {}
        }
    }

    /// Asks the other first members whether they know of a group.
    fn greet(&mut self, now: Time) {
        if now < self.beat {
            return;
        }
        self.beat = now + self.config.heartbeat_interval;
        for member in self.config.initial_members.clone() {
            let Ok(vm) = VmId::new(&member.vm) else {
                continue;
            };
            if vm != self.config.vm && self.unfounded.binary_search(&vm).is_err() {
                let hello = BootstrapProbe {
                    wants_reply: true,
                    knows_group: false,
                };
                self.send(&vm, Body::BootstrapProbe(hello));
            }
        }
    }

    pub(crate) fn hello(&mut self, now: Time, from: &VmId, hello: &BootstrapProbe) {
        if hello.wants_reply {
            let knows_group = self.hard_state.term != 0 || self.log.last() != 0;
            let answer = BootstrapProbe {
                wants_reply: false,
                knows_group,
            };
            self.send(from, Body::BootstrapProbe(answer));
        } else if hello.knows_group {
            // A group exists, so this folder replaces one that was lost.
            self.founding = false;
        } else if let Err(at) = self.unfounded.binary_search(from) {
            self.unfounded.insert(at, from.clone());
            self.maybe_found(now);
        }
    }

    /// Founds the group as its only voter, with the others as learners, once
    /// all of them have said that they know of none.
    pub(crate) fn maybe_found(&mut self, now: Time) {
        let answered = |m: &Member| {
            m.vm == self.config.vm.as_str() || self.unfounded.iter().any(|vm| vm.as_str() == m.vm)
        };
        let complete = self.config.initial_members.iter().all(answered);
        if !self.founding || !complete || self.hard_state.term != 0 {
            return;
        }
        self.founding = false;
        let members = Members::new(self.config.initial_members.clone());
        let members = members.promoted(&self.config.vm, self.config.folder_id);
        let me = self.config.vm.clone();
        self.own_vote = self.set_hard(1, &me);
        self.push(crate::Entry {
            index: 1,
            term: 1,
            kind: EntryKind::Members as i32,
            payload: members.encode_to_vec().into(),
        });
        self.role = Role::Candidate;
        self.rearm(now);
    }
}
