//! Members that join and are removed without an operator.

use crate::{MemberChange, Raft, Role, progress::Progress};
use pimento_core::{Time, VmId};

/// The number of election timeouts without a leader after which a voter requests
/// to join. Most elections take less.
const FORGOTTEN_TIMEOUTS: u32 = 4;

/// The number of election timeouts for which a member is silent before it is
/// removed. A machine that was removed for good has to leave the voters before
/// its successor counts as one; one that returns joins again.
const SILENT_TIMEOUTS: u32 = 5;

impl Raft {
    /// Whether this replica has to request to join the group.
    ///
    /// A voter that hears no leader for long may have been removed meanwhile: the
    /// others no longer send it the log, so it can't see that there.
    pub fn should_join(&self, now: Time) -> bool {
        let timeout = self.config.election_timeout * FORGOTTEN_TIMEOUTS;
        let is_forgotten = self.leader.is_none() && now.since(self.last_heard) >= timeout;
        !self.is_voter() || is_forgotten
    }

    /// The change that a leader makes for a VM that requests to join, if any.
    ///
    /// A member of the same name with another data folder is removed first; the
    /// VM repeats the request until it is a voter.
    pub fn change_for_join(
        &self,
        vm: &VmId,
        folder_id: u64,
        address: &str,
    ) -> Option<MemberChange> {
        let members = self.members();
        let Some(member) = members.get(vm) else {
            return Some(MemberChange::Add {
                vm: vm.clone(),
                address: address.to_owned(),
            });
        };
        let is_replaced = member.folder_id != 0 && member.folder_id != folder_id;
        is_replaced.then(|| MemberChange::Remove { vm: vm.clone() })
    }

    /// The member, if any, that a leader removes since it has been silent for
    /// [`SILENT_TIMEOUTS`]; at least `min_voters` remain.
    ///
    /// A leader that was frozen finds all others silent, so it must have heard
    /// from a quorum recently.
    pub fn member_to_remove(&self, now: Time) -> Option<VmId> {
        if self.role != Role::Leader || !self.has_quorum_contact(now) {
            return None;
        }
        let members = self.members();
        let has_spare = members.voters().count() > self.config.min_voters;
        let timeout = self.config.election_timeout * SILENT_TIMEOUTS;
        let is_removable = |vm: &VmId| members.get(vm).is_some_and(|m| !m.voter || has_spare);
        let is_silent = |p: &&Progress| now.since(p.last_heard) >= timeout && is_removable(&p.vm);
        self.peers.iter().find(is_silent).map(|p| p.vm.clone())
    }
}
