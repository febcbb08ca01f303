//! Message handlers of the actor.

use crate::{
    Backup, CatalogChanged, ChangeMembers, Control, ControlError, ControlStatus, Fault, GetRules,
    GetStatus, Propose, RulesChanged, Shutdown, SubscribeCatalog, SubscribeRules, View, client,
    waiters::{ApplyWaiter, PendingRead, ReadKind, Responder},
    wire::{NotLeader, Request, RequestMessage, Response, ResponseMessage},
};
use actix::prelude::*;
use bytes::Bytes;
use pimento_consensus::{MemberChange, Message as RaftMessage, Role};
use pimento_link::{Channel, Incoming};
use pimento_rules::{Rules, RulesPull};
use pimento_state::{Command, Outcome};
use prost::Message as _;
use std::{sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// The maximum time that a caller waits for a quorum.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a stopping leader waits after it transferred the leadership. The
/// election starts without a timeout and takes two round trips and a sync.
const TRANSFER_DELAY: Duration = Duration::from_millis(300);

type PendingResponse = std::pin::Pin<Box<dyn Future<Output = Result<Response, ControlError>>>>;

impl Control {
    /// Handles a request if this VM is the leader, and redirects it otherwise.
    fn handle_request(&mut self, request: &Request, responder: Responder, ctx: &mut Context<Self>) {
        if !self.is_working() {
            // Makes the client try another control VM.
            return responder.send(Response::NotLeader(NotLeader::default()));
        }
        match request {
            Request::Propose(payload) => self.propose(payload.clone(), responder, ctx),
            Request::ReadIndex(_) => self.start_read(ReadKind::Index, responder, ctx),
            Request::Rules(pull) => self.start_read(ReadKind::Rules(*pull), responder, ctx),
            Request::Query(q) => self.start_read(ReadKind::Query(q.clone()), responder, ctx),
            Request::Status(_) => responder.send(self.status_response()),
            Request::Backup(_) => self.start_read(ReadKind::Backup, responder, ctx),
            Request::Add(_) | Request::Remove(_) => self.handle_change(request, responder, ctx),
            Request::Join(join) => self.handle_join(join, responder, ctx),
        }
    }

    fn propose(&mut self, payload: Bytes, responder: Responder, ctx: &mut Context<Self>) {
        let Ok(command) = Command::decode(payload.clone()) else {
            return responder.send(ControlError::not_run(Fault::Malformed));
        };
        if let Some(response) = self.fenced_response(&command) {
            return responder.send(response);
        }
        self.last_id += 1;
        let id = self.last_id;
        let effects = self.raft.propose(self.now(), id, payload);
        self.handle_submission(effects, id, responder, ctx);
    }

    fn handle_change(&mut self, request: &Request, responder: Responder, ctx: &mut Context<Self>) {
        let Some(change) = request.member_change() else {
            return responder.send(ControlError::not_run(Fault::Malformed));
        };
        self.change_members(change, responder, ctx);
    }

    /// Proposes a membership change; the response is sent once it is applied.
    pub(crate) fn change_members(
        &mut self,
        change: MemberChange,
        responder: Responder,
        ctx: &mut Context<Self>,
    ) {
        self.last_id += 1;
        let id = self.last_id;
        let effects = self.raft.change_members(self.now(), id, change);
        self.handle_submission(effects, id, responder, ctx);
    }

    fn start_read(&mut self, kind: ReadKind, responder: Responder, ctx: &mut Context<Self>) {
        self.last_id += 1;
        let id = self.last_id;
        let deadline = self.now() + RESPONSE_TIMEOUT;
        self.pending_reads.push(PendingRead {
            id,
            kind,
            deadline,
            responder,
        });
        let effects = self.raft.read_index(self.now(), id);
        self.run_effects(effects, ctx);
    }

    /// Handles a request here, or sends it to the leader if this VM isn't the
    /// leader.
    fn request(&mut self, request: Request, ctx: &mut Context<Self>) -> PendingResponse {
        let (sender, receiver) = oneshot::channel();
        let responder = Responder::new(move |response| drop(sender.send(response)));
        self.handle_request(&request, responder, ctx);
        let client = self.client.clone();
        Box::pin(async move {
            match receiver.await {
                Ok(Response::NotLeader(_)) => client.request(request).await,
                Ok(Response::Failed(failed)) => Err(failed.into()),
                Ok(response) => Ok(response),
                Err(_) => Err(ControlError::may_have_run(Fault::Timeout)),
            }
        })
    }

    /// Performs a linearizable read: gets the read index from the leader, waits
    /// until it is applied here, and then reads.
    fn read_confirmed<T: 'static>(
        &mut self,
        ctx: &mut Context<Self>,
        read: impl FnOnce(&Self) -> T + 'static,
    ) -> ResponseActFuture<Self, Result<T, ControlError>> {
        let response = self.request(Request::ReadIndex(true), ctx);
        let confirmed = response.into_actor(self).then(|response, control, _| {
            let applied = response
                .and_then(client::index_from)
                .map(|index| control.wait_applied(index));
            await_applied(applied).into_actor(control)
        });
        let result = confirmed.map(|applied, control, _| {
            applied?;
            Ok(read(control))
        });
        Box::pin(result)
    }

    /// Transfers the leadership to another VM if this one is the leader, and
    /// waits for the election there.
    fn transfer_leadership(&mut self, ctx: &mut Context<Self>) -> impl Future<Output = ()> + use<> {
        let is_leader = self.is_working() && self.raft.status().role == Role::Leader;
        if is_leader {
            let effects = self.raft.transfer_leadership(self.now());
            self.run_effects(effects, ctx);
        }
        let is_only_voter = self.raft.members().voters().count() < 2;
        let wait = if is_leader && !is_only_voter {
            TRANSFER_DELAY
        } else {
            Duration::ZERO
        };
        tokio::time::sleep(wait)
    }

    /// Returns a receiver that completes once an index is applied here.
    fn wait_applied(&mut self, index: u64) -> oneshot::Receiver<Response> {
        let (sender, receiver) = oneshot::channel();
        let responder = Responder::new(move |response| drop(sender.send(response)));
        if !self.is_working() {
            responder.send(ControlError::not_run(Fault::DiskFailed));
            return receiver;
        }
        let deadline = self.now() + RESPONSE_TIMEOUT;
        self.apply_waiters.push(ApplyWaiter {
            index,
            deadline,
            responder,
        });
        self.notify_applied();
        receiver
    }
}

impl Handler<Propose> for Control {
    type Result = ResponseFuture<Result<Outcome, ControlError>>;

    fn handle(&mut self, msg: Propose, ctx: &mut Context<Self>) -> Self::Result {
        let payload = msg.command.encode_to_vec().into();
        let response = self.request(Request::Propose(payload), ctx);
        Box::pin(async move { client::outcome_from(response.await?) })
    }
}

impl Handler<ChangeMembers> for Control {
    type Result = ResponseFuture<Result<u64, ControlError>>;

    fn handle(&mut self, msg: ChangeMembers, ctx: &mut Context<Self>) -> Self::Result {
        let response = self.request(msg.0.into(), ctx);
        Box::pin(async move { client::index_from(response.await?) })
    }
}

impl Handler<Backup> for Control {
    type Result = ResponseFuture<Result<Bytes, ControlError>>;

    fn handle(&mut self, _: Backup, ctx: &mut Context<Self>) -> Self::Result {
        let response = self.request(Request::Backup(true), ctx);
        Box::pin(async move { client::backup_from(response.await?) })
    }
}

impl Handler<GetRules> for Control {
    type Result = ResponseActFuture<Self, Result<Arc<Rules>, ControlError>>;

    fn handle(&mut self, _: GetRules, ctx: &mut Context<Self>) -> Self::Result {
        self.read_confirmed(ctx, |control| Arc::clone(&control.rules))
    }
}

impl<T: Send + 'static> Handler<View<T>> for Control {
    type Result = ResponseActFuture<Self, Result<T, ControlError>>;

    fn handle(&mut self, msg: View<T>, ctx: &mut Context<Self>) -> Self::Result {
        self.read_confirmed(ctx, move |control| (msg.0)(&control.state))
    }
}

/// Waits until the index of a confirmed read is applied.
async fn await_applied(
    applied: Result<oneshot::Receiver<Response>, ControlError>,
) -> Result<u64, ControlError> {
    match applied?.await {
        Ok(response) => client::index_from(response),
        Err(_) => Err(ControlError::not_run(Fault::Timeout)),
    }
}

impl Control {
    /// Returns this VM's own view of the group, which may be stale.
    pub(crate) fn status(&self) -> ControlStatus {
        let status = self.raft.status();
        let role = match status.role {
            _ if !self.is_working() => "failed",
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
        let wait = self.transfer_leadership(ctx).into_actor(self);
        let stopped = wait.then(|(), control, _| control.shut_down().into_actor(control));
        Box::pin(stopped.map(|_, _, ctx| ctx.stop()))
    }
}

impl Handler<SubscribeRules> for Control {
    type Result = ();

    fn handle(&mut self, msg: SubscribeRules, _: &mut Context<Self>) {
        let rules = Arc::clone(&self.rules);
        msg.0.do_send(RulesChanged { rules });
        self.rules_subscribers.push(msg.0);
    }
}

impl Handler<SubscribeCatalog> for Control {
    type Result = ();

    fn handle(&mut self, msg: SubscribeCatalog, _: &mut Context<Self>) {
        let catalog = Arc::clone(&self.catalog);
        msg.0.do_send(CatalogChanged { catalog });
        self.catalog_subscribers.push(msg.0);
    }
}

impl Handler<Incoming> for Control {
    type Result = ();

    fn handle(&mut self, msg: Incoming, ctx: &mut Context<Self>) {
        match msg.channel {
            Channel::Consensus if self.is_working() => {
                if let Ok(message) = RaftMessage::decode(msg.payload) {
                    let effects = self.raft.receive(self.now(), &msg.from, message);
                    self.run_effects(effects, ctx);
                }
            }
            Channel::Control => {
                let Some(reply) = msg.reply else { return };
                let responder = Responder::new(move |response| {
                    let response = Some(response);
                    reply.send(ResponseMessage { response }.encode_to_vec().into());
                });
                match RequestMessage::decode(msg.payload)
                    .ok()
                    .and_then(|message| message.request)
                {
                    Some(request) => self.handle_request(&request, responder, ctx),
                    None => responder.send(ControlError::not_run(Fault::Malformed)),
                }
            }
            Channel::Rules => {
                let Some(reply) = msg.reply else { return };
                if let Ok(pull) = RulesPull::decode(msg.payload) {
                    reply.send(self.state.answer_rules_pull(&pull).encode_to_vec().into());
                }
            }
            _ => {}
        }
    }
}
