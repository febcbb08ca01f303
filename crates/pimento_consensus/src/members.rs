//! The members of the control group.

use pimento_core::VmId;

/// A VM of the control group.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Member {
    /// The name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its network address; this crate only stores it for the caller.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The ID of the data folder that the membership is bound to, or 0 for a
    /// learner.
    ///
    /// A VM that lost its disk comes back with a new ID, so it can't vote as
    /// the replica whose log and votes it has lost.
    #[prost(uint64, tag = "3")]
    pub folder_id: u64,
    /// Whether it votes; otherwise it is a learner.
    #[prost(bool, tag = "4")]
    pub voter: bool,
}

/// All members, sorted by the name of the VM.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Members {
    /// Voters and learners.
    #[prost(message, repeated, tag = "1")]
    pub list: Vec<Member>,
    /// When the group was restored from a backup, in milliseconds since the Unix
    /// epoch, or 0. This crate only stores it, for a caller that must not rely
    /// on the state for anything older.
    #[prost(uint64, tag = "2")]
    pub restored_at: u64,
}

impl Member {
    /// A learner that has yet to catch up.
    pub fn learner(vm: &VmId, address: impl Into<String>) -> Self {
        Self {
            vm: vm.as_str().to_owned(),
            address: address.into(),
            folder_id: 0,
            voter: false,
        }
    }
}

impl Members {
    /// Sorts a list of members and drops duplicate VMs.
    pub fn new(mut list: Vec<Member>) -> Self {
        list.sort_by(|a, b| a.vm.cmp(&b.vm));
        list.dedup_by(|a, b| a.vm == b.vm);
        Self {
            list,
            restored_at: 0,
        }
    }

    /// Finds a member by name.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        let found = self.list.binary_search_by(|m| m.vm.as_str().cmp(vm));
        found.ok().map(|i| &self.list[i])
    }

    /// The members that vote.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.list.iter().filter(|m| m.voter)
    }

    /// The number of votes that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether a VM is a voter with this data folder.
    pub fn is_voter(&self, vm: &str, folder_id: u64) -> bool {
        self.get(vm)
            .is_some_and(|m| m.voter && m.folder_id == folder_id)
    }

    /// Whether at least half of the members vote, as commands require: while
    /// the group bootstraps, the first voter alone is too few.
    pub fn has_enough_voters(&self) -> bool {
        self.voters().count() * 2 >= self.list.len()
    }

    /// The members with one more learner.
    pub(crate) fn with_member(&self, member: Member) -> Self {
        let mut list = self.list.clone();
        list.push(member);
        Self {
            restored_at: self.restored_at,
            ..Self::new(list)
        }
    }

    /// The members without one.
    pub(crate) fn without_member(&self, vm: &str) -> Self {
        let list = self.list.iter().filter(|m| m.vm != vm).cloned();
        Self {
            list: list.collect(),
            restored_at: self.restored_at,
        }
    }

    /// The members with a learner promoted to voter.
    pub(crate) fn with_voter(&self, vm: &str, folder_id: u64) -> Self {
        let mut next = self.clone();
        for member in next.list.iter_mut().filter(|m| m.vm == vm) {
            member.voter = true;
            member.folder_id = folder_id;
        }
        next
    }
}
