//! Members that come and go without an operator.

use crate::{
    Control,
    waiters::Done,
    wire::{Answer, Join, Question},
};
use actix::prelude::*;
use pimento_consensus::{Change, Refusal, Role};
use pimento_core::VmId;
use std::time::Duration;

/// The silence after which a voter is taken for lost, well above that of a VM
/// that restarts or of a region that is cut off for some seconds.
const LOST: Duration = Duration::from_secs(12);

impl Control {
    /// Asks to be a member, unless this VM votes already.
    pub(crate) fn seek_membership(&mut self, ctx: &mut Context<Self>) {
        let members = self.raft.members();
        if self.failed || self.founding() || members.votes(&self.vm, self.instance) {
            return;
        }
        let Some(address) = self.own_address() else {
            return;
        };
        let client = self.client.clone();
        let join = Question::Join(Join {
            vm: self.vm.as_str().to_owned(),
            address,
            instance: self.instance,
        });
        // Without an answer it is asked again after the interval.
        let asked = async move { drop(client.ask(join).await) };
        ctx.spawn(asked.into_actor(self));
    }

    /// Whether this VM takes part in the founding of the group and must not
    /// join another way.
    fn founding(&self) -> bool {
        let first = self.peers.iter().any(|peer| peer.vm == self.vm);
        let found = matches!(self.group, crate::Group::Open { found: true, .. });
        found && first && self.raft.members().list.is_empty()
    }

    fn own_address(&mut self) -> Option<String> {
        if let Some(address) = self.listen {
            return Some(address.to_string());
        }
        let vm = self.vm.clone();
        self.address(&vm).map(|address| address.to_string())
    }

    /// Makes a VM a member in the place of what it was before it lost its
    /// data folder; it asks again until it votes.
    pub(crate) fn join(&mut self, join: &Join, done: Done, ctx: &mut Context<Self>) {
        let status = self.raft.status();
        if status.role != Role::Leader {
            let leader = status.leader;
            let answer = self.refused(&Refusal::NotLeader { leader });
            return done.send(answer);
        }
        let Ok(vm) = VmId::new(&join.vm) else {
            return done.send(Answer::Index(0));
        };
        let change = match status.members.get(&vm) {
            None => Change::Add {
                vm,
                address: join.address.clone(),
            },
            Some(member) if member.instance != 0 && member.instance != join.instance => {
                Change::Remove { vm }
            }
            Some(_) => return done.send(Answer::Index(0)),
        };
        self.change_members(change, done, ctx);
    }

    /// Removes a voter that is lost for good, while enough others vote.
    pub(crate) fn evict(&mut self, needed: usize, ctx: &mut Context<Self>) {
        let voters = self.raft.members().voters().count();
        if self.raft.status().role != Role::Leader || voters <= needed {
            return;
        }
        if let Some(vm) = self.raft.silent_voter(self.now(), LOST) {
            // It is tried again while the voter stays silent.
            let done = Done::new(drop);
            self.change_members(Change::Remove { vm }, done, ctx);
        }
    }
}
