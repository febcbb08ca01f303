//! What the actor does with each message.

use crate::{
    Backup, CatalogChanged, ChangeMembers, Control, ControlError, ControlStatus, Fault, GetRules,
    GetStatus, Propose, RulesChanged, Shutdown, SubscribeCatalog, SubscribeRules, View, client,
    waiters::{Done, Late, Purpose, Reader},
    wire::{Answer, Ask, NotLeader, Question, Reply},
};
use actix::prelude::*;
use bytes::Bytes;
use pimento_consensus::{Change as MemberChange, Message as Wire, Role};
use pimento_link::{Channel, Incoming};
use pimento_rules::{Rules, RulesPull};
use pimento_state::{Command, Outcome};
use prost::Message as _;
use std::{sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// The longest wait of a caller for a quorum.
pub(crate) const LIMIT: Duration = Duration::from_secs(5);

/// How long a leader that stops waits for the next one: an election without a
/// timeout takes two messages each way and a sync.
const HANDOVER: Duration = Duration::from_millis(300);

type Asked = std::pin::Pin<Box<dyn Future<Output = Result<Answer, ControlError>>>>;

impl Control {
    /// Answers a question if this VM leads.
    fn take(&mut self, question: &Question, done: Done, ctx: &mut Context<Self>) {
        if self.failed {
            // Another control VM can still answer.
            return done.send(Answer::NotLeader(NotLeader::default()));
        }
        match question {
            Question::Propose(payload) => self.propose(payload.clone(), done, ctx),
            Question::Confirm(_) => self.read(Purpose::Index, done, ctx),
            Question::Rules(pull) => self.read(Purpose::Rules(*pull), done, ctx),
            Question::StateQuery(query) => self.read(Purpose::StateQuery(query.clone()), done, ctx),
            Question::Status(_) => done.send(self.status_answer()),
            Question::Backup(_) => self.read(Purpose::Backup, done, ctx),
            Question::Add(_) | Question::Remove(_) => self.change(question, done, ctx),
            Question::Join(join) => self.join(join, done, ctx),
        }
    }

    fn propose(&mut self, payload: Bytes, done: Done, ctx: &mut Context<Self>) {
        let Ok(command) = Command::decode(payload.clone()) else {
            return done.send(ControlError::not_run(Fault::Malformed));
        };
        if let Some(answer) = self.fenced(&command) {
            return done.send(answer);
        }
        self.serial += 1;
        let id = self.serial;
        let effects = self.raft.propose(self.now(), id, payload);
        self.submitted(effects, id, done, ctx);
    }

    fn change(&mut self, question: &Question, done: Done, ctx: &mut Context<Self>) {
        let Some(change) = question.change() else {
            return done.send(ControlError::not_run(Fault::Malformed));
        };
        self.change_members(change, done, ctx);
    }

    /// Asks for a change of the members, and leaves the answer to the log.
    pub(crate) fn change_members(
        &mut self,
        change: MemberChange,
        done: Done,
        ctx: &mut Context<Self>,
    ) {
        self.serial += 1;
        let id = self.serial;
        let effects = self.raft.change_members(self.now(), id, change);
        self.submitted(effects, id, done, ctx);
    }

    fn read(&mut self, purpose: Purpose, done: Done, ctx: &mut Context<Self>) {
        self.serial += 1;
        let id = self.serial;
        let deadline = self.now() + LIMIT;
        self.readers.push(Reader {
            id,
            purpose,
            deadline,
            done,
        });
        let effects = self.raft.read_index(self.now(), id);
        self.run(effects, ctx);
    }

    /// Asks this VM, and the leader if this VM doesn't lead.
    fn ask(&mut self, question: Question, ctx: &mut Context<Self>) -> Asked {
        let (sender, receiver) = oneshot::channel();
        let done = Done::new(move |answer| drop(sender.send(answer)));
        self.take(&question, done, ctx);
        let client = self.client.clone();
        Box::pin(async move {
            match receiver.await {
                Ok(Answer::NotLeader(_)) => client.ask(question).await,
                Ok(Answer::Failed(failed)) => Err(failed.into()),
                Ok(answer) => Ok(answer),
                Err(_) => Err(ControlError::may_have_run(Fault::Timeout)),
            }
        })
    }

    /// Reads once a quorum has confirmed that what is applied here is current.
    fn view<T: 'static>(
        &mut self,
        ctx: &mut Context<Self>,
        read: impl FnOnce(&Self) -> T + 'static,
    ) -> ResponseActFuture<Self, Result<T, ControlError>> {
        let asked = self.ask(Question::Confirm(true), ctx);
        let confirmed = asked.into_actor(self).then(|answer, control, _| {
            let applied = answer
                .and_then(client::index)
                .map(|index| control.wait_applied(index));
            wait(applied).into_actor(control)
        });
        let viewed = confirmed.map(|applied, control, _| {
            applied?;
            Ok(read(control))
        });
        Box::pin(viewed)
    }

    /// Asks another VM to lead, if this one does, and leaves it some time.
    fn hand_over(&mut self, ctx: &mut Context<Self>) -> impl Future<Output = ()> + use<> {
        let leads = !self.failed && self.raft.status().role == Role::Leader;
        if leads {
            let effects = self.raft.transfer_leadership(self.now());
            self.run(effects, ctx);
        }
        let alone = self.raft.members().voters().count() < 2;
        let wait = if leads && !alone {
            HANDOVER
        } else {
            Duration::ZERO
        };
        tokio::time::sleep(wait)
    }

    /// Waits until an index is applied here.
    fn wait_applied(&mut self, index: u64) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        let done = Done::new(move |answer| drop(sender.send(answer)));
        if self.failed {
            done.send(ControlError::not_run(Fault::DiskFailed));
            return receiver;
        }
        let deadline = self.now() + LIMIT;
        self.late.push(Late {
            index,
            deadline,
            done,
        });
        self.answer_late();
        receiver
    }
}

impl Handler<Propose> for Control {
    type Result = ResponseFuture<Result<Outcome, ControlError>>;

    fn handle(&mut self, msg: Propose, ctx: &mut Context<Self>) -> Self::Result {
        let payload = msg.command.encode_to_vec().into();
        let asked = self.ask(Question::Propose(payload), ctx);
        Box::pin(async move { client::outcome(asked.await?) })
    }
}

impl Handler<ChangeMembers> for Control {
    type Result = ResponseFuture<Result<u64, ControlError>>;

    fn handle(&mut self, msg: ChangeMembers, ctx: &mut Context<Self>) -> Self::Result {
        let asked = self.ask(msg.0.into(), ctx);
        Box::pin(async move { client::index(asked.await?) })
    }
}

impl Handler<Backup> for Control {
    type Result = ResponseFuture<Result<Bytes, ControlError>>;

    fn handle(&mut self, _: Backup, ctx: &mut Context<Self>) -> Self::Result {
        let asked = self.ask(Question::Backup(true), ctx);
        Box::pin(async move { client::backup(asked.await?) })
    }
}

impl Handler<GetRules> for Control {
    type Result = ResponseActFuture<Self, Result<Arc<Rules>, ControlError>>;

    fn handle(&mut self, _: GetRules, ctx: &mut Context<Self>) -> Self::Result {
        self.view(ctx, |control| Arc::clone(&control.rules))
    }
}

impl<T: Send + 'static> Handler<View<T>> for Control {
    type Result = ResponseActFuture<Self, Result<T, ControlError>>;

    fn handle(&mut self, msg: View<T>, ctx: &mut Context<Self>) -> Self::Result {
        self.view(ctx, move |control| (msg.0)(&control.state))
    }
}

/// Waits for the index of a confirmed read to be applied here.
async fn wait(
    applied: Result<oneshot::Receiver<Answer>, ControlError>,
) -> Result<u64, ControlError> {
    match applied?.await {
        Ok(answer) => client::index(answer),
        Err(_) => Err(ControlError::not_run(Fault::Timeout)),
    }
}

impl Control {
    /// This VM's own view of the group.
    pub(crate) fn status(&self) -> ControlStatus {
        let status = self.raft.status();
        let role = match status.role {
            _ if self.failed => "failed",
            Role::Leader => "leader",
            Role::Follower => "follower",
            Role::PreCandidate | Role::Candidate => "candidate",
        };
        let list = &status.members.list;
        ControlStatus {
            vm: self.vm.clone(),
            role,
            leader: status.leader,
            term: status.term,
            commit: status.commit_index,
            applied: self.applied.0,
            members: list.iter().filter(|m| m.voter).map(Into::into).collect(),
            learners: list.iter().filter(|m| !m.voter).map(Into::into).collect(),
            rules: self.rules.version,
        }
    }
}

impl Handler<GetStatus> for Control {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.status())
    }
}

impl Handler<Shutdown> for Control {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Shutdown, ctx: &mut Context<Self>) -> Self::Result {
        let wait = self.hand_over(ctx).into_actor(self);
        let freed = wait.then(|(), control, _| control.halt().into_actor(control));
        Box::pin(freed.map(|_, _, ctx| ctx.stop()))
    }
}

impl Handler<SubscribeRules> for Control {
    type Result = ();

    fn handle(&mut self, msg: SubscribeRules, _: &mut Context<Self>) {
        let rules = Arc::clone(&self.rules);
        msg.0.do_send(RulesChanged { rules });
        self.subscribers.push(msg.0);
    }
}

impl Handler<SubscribeCatalog> for Control {
    type Result = ();

    fn handle(&mut self, msg: SubscribeCatalog, _: &mut Context<Self>) {
        let catalog = Arc::clone(&self.catalog);
        msg.0.do_send(CatalogChanged { catalog });
        self.catalog_readers.push(msg.0);
    }
}

impl Handler<Incoming> for Control {
    type Result = ();

    fn handle(&mut self, msg: Incoming, ctx: &mut Context<Self>) {
        match msg.channel {
            Channel::Consensus if !self.failed => {
                if let Ok(message) = Wire::decode(msg.payload) {
                    let effects = self.raft.receive(self.now(), &msg.from, message);
                    self.run(effects, ctx);
                }
            }
            Channel::Control => {
                let Some(back) = msg.reply else { return };
                let done = Done::new(move |answer| {
                    let answer = Some(answer);
                    back.send(Reply { answer }.encode_to_vec().into());
                });
                match Ask::decode(msg.payload).ok().and_then(|ask| ask.question) {
                    Some(question) => self.take(&question, done, ctx),
                    None => done.send(ControlError::not_run(Fault::Malformed)),
                }
            }
            Channel::Rules => {
                let Some(back) = msg.reply else { return };
                if let Ok(pull) = RulesPull::decode(msg.payload) {
                    back.send(self.state.answer_rules_pull(&pull).encode_to_vec().into());
                }
            }
            _ => {}
        }
    }
}
