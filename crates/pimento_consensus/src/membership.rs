//! Membership changes, one at a time.

use crate::{
    Effect, EntryKind, Member, MemberChange, Members, Raft, RejectReason, Role, progress::Progress,
};
use pimento_core::{Time, VmId};
use prost::Message as _;

impl Raft {
    /// Why a proposal can't be accepted now, if so.
    pub(crate) fn reject_reason(&self) -> Option<RejectReason> {
        if self.role != Role::Leader {
            let leader = self.leader.clone();
            return Some(RejectReason::NotLeader { leader });
        }
        if self.log.last_index() - self.commit_index >= self.config.max_uncommitted {
            return Some(RejectReason::TooManyUncommitted);
        }
        let needed = self.config.min_voters;
        let enough = |m: &Members| m.has_enough_voters() && m.voters().count() >= needed;
        let has_enough = self.log.newest_members().is_some_and(|(_, m)| enough(m));
        (!has_enough).then_some(RejectReason::MembershipPending)
    }

    /// The index of the entry that set the newest members.
    pub(crate) fn members_index(&self) -> u64 {
        self.log.newest_members().map_or(0, |(at, _)| at)
    }

    /// Whether this replica leads and the last membership change and an entry of
    /// the current term are committed; only then may the members change again.
    fn can_change_members(&self) -> bool {
        let committed = self.members_index().max(self.term_start) <= self.commit_index;
        self.role == Role::Leader && committed
    }

    pub(crate) fn handle_change(&mut self, now: Time, id: u64, change: MemberChange) {
        match self.members_after(change) {
            Ok(members) => {
                let payload = members.encode_to_vec().into();
                self.append_for_request(id, EntryKind::Members, payload);
                self.refresh_peers(now);
            }
            Err(reason) => self.emit(Effect::Rejected { id, reason }),
        }
    }

    /// The members after a change, if it is allowed now.
    fn members_after(&self, change: MemberChange) -> Result<Members, RejectReason> {
        if self.role != Role::Leader {
            let leader = self.leader.clone();
            return Err(RejectReason::NotLeader { leader });
        }
        if !self.can_change_members() {
            return Err(RejectReason::MembershipPending);
        }
        let members = self.members();
        match change {
            MemberChange::Add { vm, .. } if members.get(&vm).is_some() => {
                Err(RejectReason::AlreadyMember)
            }
            MemberChange::Add { vm, address } => {
                Ok(members.with_member(Member::learner(&vm, address)))
            }
            MemberChange::Remove { vm } => {
                let member = members.get(&vm).ok_or(RejectReason::NotMember)?;
                let is_last = member.voter && members.voters().count() == 1;
                if is_last {
                    return Err(RejectReason::LastVoter);
                }
                Ok(members.without_member(&vm))
            }
        }
    }

    /// Promotes a learner that has caught up.
    pub(crate) fn promote_learner(&mut self, now: Time) {
        if !self.can_change_members() {
            return;
        }
        let members = self.members();
        let is_caught_up = |peer: &&Progress| {
            let learner = members.get(&peer.vm).is_some_and(|m| !m.voter);
            let active = now.since(peer.last_heard) < self.config.election_timeout;
            learner && active && peer.folder_id != 0 && peer.match_index >= self.commit_index
        };
        let Some(peer) = self.peers.iter().find(is_caught_up) else {
            return;
        };
        let next = members.with_voter(&peer.vm, peer.folder_id);
        self.append_entry(EntryKind::Members, next.encode_to_vec().into());
        self.refresh_peers(now);
    }

    /// Updates the list of peers to the newest members.
    pub(crate) fn refresh_peers(&mut self, now: Time) {
        let members = self.members();
        let next_index = self.log.last_index() + 1;
        self.peers.retain(|p| members.get(&p.vm).is_some());
        for member in &members.list {
            let Ok(vm) = VmId::new(&member.vm) else {
                continue;
            };
            if vm == self.config.vm {
                continue;
            }
            if let Err(at) = self.peers.binary_search_by(|p| p.vm.cmp(&vm)) {
                self.peers.insert(at, Progress::new(vm, next_index, now));
            }
        }
    }
}
