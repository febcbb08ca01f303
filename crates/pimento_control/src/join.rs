//! Members that come and go without an operator.

use crate::{
    Control,
    waiters::Done,
    wire::{Add, Answer, Join, Joining, Question},
};
use actix::prelude::*;
use pimento_consensus::{Change, RejectReason, Role};
use pimento_core::VmId;
use pimento_log::{Event, event};
use std::time::Duration;

/// The silence after which a voter is taken for lost, well above that of a VM
/// that restarts or of a region that is cut off for some seconds.
const LOST: Duration = Duration::from_secs(12);

impl Control {
    /// Asks to be a member, unless this VM votes already.
    pub(crate) fn seek_membership(&mut self, ctx: &mut Context<Self>) {
        let members = self.raft.members();
        if self.failed || self.founding() || members.is_voter(&self.vm, self.instance) {
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
        let asked = async move { client.ask(join).await };
        let told = asked.into_actor(self).map(|answer, control, _| {
            // Without an answer it is asked again after the interval.
            if let Ok(Answer::Members(joining)) = answer {
                control.learn_addresses(&joining.members);
            }
        });
        ctx.spawn(told);
    }

    /// Notes where the members are reached, before the log tells it.
    fn learn_addresses(&mut self, members: &[Add]) {
        let read = |m: &Add| Some((VmId::new(&m.vm).ok()?, m.address.parse().ok()?));
        self.told = members.iter().filter_map(read).collect();
        self.addresses.clear();
    }

    /// Whether this VM takes part in the founding of the group and must not
    /// join another way.
    fn founding(&self) -> bool {
        let first = self.peers.iter().any(|peer| peer.vm == self.vm);
        let found = matches!(
            self.membership,
            crate::MembershipMode::Dynamic {
                bootstrap: true,
                ..
            }
        );
        found && first && self.raft.members().list.is_empty()
    }

    fn own_address(&mut self) -> Option<String> {
        if let Some(address) = self.advertise_address {
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
            let answer = self.refused(&RejectReason::NotLeader { leader });
            return done.send(answer);
        }
        let told = status.members.list.iter().map(|m| Add {
            vm: m.vm.clone(),
            address: m.address.clone(),
        });
        let members = told.collect();
        done.send(Answer::Members(Joining { members }));
        let Ok(vm) = VmId::new(&join.vm) else {
            return;
        };
        let change = match status.members.get(&vm) {
            None => Change::Add {
                vm,
                address: join.address.clone(),
            },
            Some(member) if member.folder_id != 0 && member.folder_id != join.instance => {
                Change::Remove { vm }
            }
            Some(_) => return,
        };
        event!(self.log, Event::MemberChange, "change" => ?change, "instance" => join.instance);
        self.change_members(change, Done::new(drop), ctx);
    }

    /// Removes a voter that is lost for good, while enough others vote.
    pub(crate) fn evict(&mut self, needed: usize, ctx: &mut Context<Self>) {
        let voters = self.raft.members().voters().count();
        if self.raft.status().role != Role::Leader || voters <= needed {
            return;
        }
        if let Some(vm) = self.raft.silent_voter(self.now(), LOST) {
            event!(self.log, Event::MemberChange, "change" => "remove a silent voter",
                "vm" => vm.as_str());
            // It is tried again while the voter stays silent.
            let done = Done::new(drop);
            self.change_members(Change::Remove { vm }, done, ctx);
        }
    }
}
