//! One-at-a-time changes of the members.

use crate::{
    Change, Effect, EntryKind, Member, Members, Raft, RejectReason, Role, progress::Progress,
};
use pimento_core::{Time, VmId};
use prost::Message as _;
use std::time::Duration;

impl Raft {
    /// Why a proposal can't be taken now, if so.
    pub(crate) fn refusal(&self) -> Option<RejectReason> {
        if self.role != Role::Leader {
            let leader = self.leader.clone();
            return Some(RejectReason::NotLeader { leader });
        }
        if self.log.last() - self.commit >= self.config.max_uncommitted {
            return Some(RejectReason::TooManyUncommitted);
        }
        let needed = self.config.min_voters;
        let enough = |m: &Members| m.has_enough_voters() && m.voters().count() >= needed;
        let formed = self.log.members().is_some_and(|(_, m)| enough(m));
        (!formed).then_some(RejectReason::MembershipPending)
    }

    /// The entry that set the newest members.
    pub(crate) fn changed_at(&self) -> u64 {
        self.log.members().map_or(0, |(at, _)| at)
    }

    /// Whether the last change and an entry of this term are committed; only
    /// then may the members change again.
    fn settled(&self) -> bool {
        let committed = self.changed_at().max(self.start) <= self.commit;
        self.role == Role::Leader && committed
    }

    pub(crate) fn begin_change(&mut self, now: Time, id: u64, change: Change) {
        match self.changed(change) {
            Ok(members) => {
                let payload = members.encode_to_vec().into();
                self.accept(id, EntryKind::Members, payload);
                self.refresh_peers(now);
            }
            Err(reason) => self.emit(Effect::Rejected { id, reason }),
        }
    }

    /// The members after a change, if it is allowed now.
    fn changed(&self, change: Change) -> Result<Members, RejectReason> {
        if self.role != Role::Leader {
            let leader = self.leader.clone();
            return Err(RejectReason::NotLeader { leader });
        }
        if !self.settled() {
            return Err(RejectReason::MembershipPending);
        }
        let members = self.members();
        match change {
            Change::Add { vm, .. } if members.get(&vm).is_some() => {
                Err(RejectReason::AlreadyMember)
            }
            Change::Add { vm, address } => Ok(members.with(Member::learner(&vm, address))),
            Change::Remove { vm } => {
                let member = members.get(&vm).ok_or(RejectReason::NotMember)?;
                let alone = member.voter && members.voters().count() == 1;
                if alone {
                    return Err(RejectReason::LastVoter);
                }
                Ok(members.without(&vm))
            }
        }
    }

    /// Promotes a learner that has caught up.
    pub(crate) fn promote_learner(&mut self, now: Time) {
        if !self.settled() {
            return;
        }
        let members = self.members();
        let ready = |peer: &&Progress| {
            let learner = members.get(&peer.vm).is_some_and(|m| !m.voter);
            let alive = now.since(peer.heard) < self.config.election_timeout;
            learner && alive && peer.folder_id != 0 && peer.matched >= self.commit
        };
        let Some(peer) = self.peers.iter().find(ready) else {
            return;
        };
        let next = members.promoted(&peer.vm, peer.folder_id);
        self.append_own(EntryKind::Members, next.encode_to_vec().into());
        self.refresh_peers(now);
    }

    /// A voter that this leader has not heard of for a time, if any.
    pub fn silent_voter(&self, now: Time, span: Duration) -> Option<VmId> {
        let members = self.members();
        let votes = |vm: &VmId| members.get(vm).is_some_and(|m| m.voter);
        let silent = |p: &&Progress| now.since(p.heard) >= span && votes(&p.vm);
        self.peers.iter().find(silent).map(|p| p.vm.clone())
    }

    /// Makes the list of peers match the newest members.
    pub(crate) fn refresh_peers(&mut self, now: Time) {
        let members = self.members();
        let next = self.log.last() + 1;
        self.peers.retain(|p| members.get(&p.vm).is_some());
        for member in &members.list {
            let Ok(vm) = VmId::new(&member.vm) else {
                continue;
            };
            if vm == self.config.vm {
                continue;
            }
            if let Err(at) = self.peers.binary_search_by(|p| p.vm.cmp(&vm)) {
                self.peers.insert(at, Progress::new(vm, next, now));
            }
        }
    }
}
