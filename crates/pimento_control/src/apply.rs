//! Applies committed entries to the state and responds to waiting callers.

use crate::{
    CatalogChanged, Control, ControlError, Fault, RulesChanged, backup,
    waiters::{PendingProposal, PendingRead, ReadKind, Responder},
    wire::{self, NotLeader, Response},
};
use actix::prelude::*;
use bytes::Bytes;
use pimento_consensus::{Effect, Entry, EntryKind, RejectReason, Snapshot};
use pimento_core::Time;
use pimento_state::{Command, State};
use prost::Message as _;
use std::sync::Arc;

/// The minimum size of the entries applied between two snapshots. If the last
/// snapshot was larger, the next one waits for as many bytes as that had, so
/// that snapshots are at most about half of what is written.
const MIN_SNAPSHOT_INTERVAL_BYTES: usize = 4 << 20;

/// The size of an entry in the log beside its payload.
const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Control {
    /// Handles the effects on the log and its waiting callers.
    pub(crate) fn handle_log_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Apply(entry) => self.apply(&entry),
            Effect::Restore { index, data } => self.restore(index, &data),
            Effect::ReadReady { id } => self.answer_read(id),
            Effect::Rejected { id, reason } => self.reject_read(id, &reason),
            // `handle_submission` handles accepted proposals.
            _ => {}
        }
    }

    fn apply(&mut self, entry: &Entry) {
        let response = if entry.kind == EntryKind::Command as i32 {
            self.apply_command(entry)
        } else {
            Response::Index(entry.index)
        };
        self.applied = (entry.index, entry.term);
        self.applied_bytes += entry.payload.len() + ENTRY_OVERHEAD_BYTES;
        self.answer_proposals(entry, response);
        self.notify_applied();
    }

    fn apply_command(&mut self, entry: &Entry) -> Response {
        // The proposer checked that it decodes; otherwise all replicas skip it alike.
        let Ok(command) = Command::decode(entry.payload.clone()) else {
            return ControlError::not_run(Fault::Malformed).into();
        };
        let outcome = self.state.apply(entry.index, &command);
        Response::Outcome(outcome.encode_to_vec().into())
    }

    fn answer_proposals(&mut self, entry: &Entry, response: Response) {
        let end = self
            .pending_proposals
            .partition_point(|p| p.index <= entry.index);
        let mut response = Some(response);
        for proposal in self.pending_proposals.drain(..end) {
            if (proposal.index, proposal.term) != (entry.index, entry.term) {
                // Another entry is committed at this index, which is final.
                let superseded = ControlError::not_run(Fault::Superseded);
                proposal.responder.send(superseded);
            } else if let Some(response) = response.take() {
                proposal.responder.send(response);
            }
        }
    }

    pub(crate) fn notify_applied(&mut self) {
        let applied = self.applied.0;
        let waiters = std::mem::take(&mut self.apply_waiters);
        for waiter in waiters {
            if waiter.index <= applied {
                waiter.responder.send(Response::Index(applied));
            } else {
                self.apply_waiters.push(waiter);
            }
        }
    }

    fn restore(&mut self, index: u64, data: &Bytes) {
        match State::restore(data) {
            Ok(state) => self.state = state,
            Err(e) => return self.stop_working(&e.to_string()),
        }
        let term = self.raft.snapshot().map_or(0, |s| s.term);
        self.applied = (index, term);
        // The snapshot doesn't tell which of these entries it contains.
        let end = self.pending_proposals.partition_point(|p| p.index <= index);
        for proposal in self.pending_proposals.drain(..end) {
            let unknown = ControlError::may_have_run(Fault::Timeout);
            proposal.responder.send(unknown);
        }
        self.notify_applied();
    }

    /// Notifies the subscribers of newer rules and items, once for all entries that
    /// were applied together: a replica that restarts applies its whole log, and
    /// old states of it must not come into force.
    pub(crate) fn publish(&mut self) {
        self.publish_catalog();
        self.publish_rules();
    }

    fn publish_catalog(&mut self) {
        let catalog = self.state.catalog();
        if catalog.revision() <= self.catalog.revision() {
            return;
        }
        self.catalog = Arc::clone(catalog);
        for subscriber in &self.catalog_subscribers {
            let catalog = Arc::clone(&self.catalog);
            subscriber.do_send(CatalogChanged { catalog });
        }
    }

    fn publish_rules(&mut self) {
        let rules = self.state.rules();
        if rules.version <= self.rules.version {
            return;
        }
        self.rules = Arc::clone(rules);
        for subscriber in &self.rules_subscribers {
            let rules = Arc::clone(&self.rules);
            subscriber.do_send(RulesChanged { rules });
        }
    }

    fn answer_read(&mut self, id: u64) {
        let Ok(position) = self.pending_reads.binary_search_by_key(&id, |r| r.id) else {
            return;
        };
        let read = self.pending_reads.remove(position);
        let response = match read.kind {
            ReadKind::Index => Response::Index(self.applied.0),
            ReadKind::Rules(pull) => Response::Rules(self.state.answer_rules_pull(&pull)),
            ReadKind::Backup => self.backup_response(),
            ReadKind::Query(query) => query.run(&self.state),
        };
        read.responder.send(response);
    }

    fn backup_response(&self) -> Response {
        let (index, term) = self.applied;
        Response::Backup(backup::encode(&Snapshot {
            index,
            term,
            members: self.raft.members(),
            data: self.state.snapshot().into(),
        }))
    }

    fn reject_read(&mut self, id: u64, reason: &RejectReason) {
        let Ok(position) = self.pending_reads.binary_search_by_key(&id, |r| r.id) else {
            return;
        };
        let read = self.pending_reads.remove(position);
        let response = self.rejection(reason);
        read.responder.send(response);
    }

    /// Creates the response to a rejected request.
    pub(crate) fn rejection(&mut self, reason: &RejectReason) -> Response {
        let RejectReason::NotLeader { leader } = reason else {
            return ControlError::not_run(wire::rejection_fault(reason)).into();
        };
        let leader = leader.as_ref().and_then(|vm| self.address_of(vm));
        let leader = leader
            .map(|address| address.to_string())
            .unwrap_or_default();
        Response::NotLeader(NotLeader { leader })
    }

    /// Registers the caller of a proposal or membership change by the index that
    /// it was given, or responds if it was rejected, and runs the effects.
    pub(crate) fn handle_submission(
        &mut self,
        effects: Vec<Effect>,
        id: u64,
        responder: Responder,
        ctx: &mut Context<Self>,
    ) {
        let mut responder = Some(responder);
        let deadline = self.now() + crate::handlers::RESPONSE_TIMEOUT;
        for effect in &effects {
            match effect {
                Effect::Accepted {
                    id: effect_id,
                    index,
                    term,
                } if *effect_id == id => {
                    let Some(responder) = responder.take() else {
                        continue;
                    };
                    self.add_proposal(PendingProposal {
                        index: *index,
                        term: *term,
                        deadline,
                        responder,
                    });
                }
                Effect::Rejected {
                    id: effect_id,
                    reason,
                } if *effect_id == id => {
                    let response = self.rejection(reason);
                    if let Some(responder) = responder.take() {
                        responder.send(response);
                    }
                }
                _ => {}
            }
        }
        self.run_effects(effects, ctx);
    }

    /// Inserts a caller in the order of entry indexes. A caller with the same
    /// index and an older term stays, and gets [`Fault::Superseded`] later.
    fn add_proposal(&mut self, proposal: PendingProposal) {
        let position = self
            .pending_proposals
            .partition_point(|p| p.index <= proposal.index);
        self.pending_proposals.insert(position, proposal);
    }

    /// Responds with a timeout to callers whose deadline has passed.
    pub(crate) fn expire_waiters(&mut self, now: Time) {
        let unknown = ControlError::may_have_run(Fault::Timeout);
        let timeout = ControlError::not_run(Fault::Timeout);
        for proposal in self.pending_proposals.extract_if(.., |p| p.deadline <= now) {
            proposal.responder.send(unknown);
        }
        for read in self.pending_reads.extract_if(.., |r| r.deadline <= now) {
            read.responder.send(timeout);
        }
        for waiter in self.apply_waiters.extract_if(.., |w| w.deadline <= now) {
            waiter.responder.send(timeout);
        }
    }

    /// Responds with a disk failure to all waiting callers.
    pub(crate) fn fail_waiters(&mut self) {
        let unknown = ControlError::may_have_run(Fault::DiskFailed);
        let failed = ControlError::not_run(Fault::DiskFailed);
        for proposal in self.pending_proposals.drain(..) {
            proposal.responder.send(unknown);
        }
        let reads: Vec<PendingRead> = self.pending_reads.drain(..).collect();
        for read in reads {
            read.responder.send(failed);
        }
        for waiter in self.apply_waiters.drain(..) {
            waiter.responder.send(failed);
        }
    }

    /// Compacts the log into a snapshot once enough entries were applied.
    pub(crate) fn compact(&mut self, ctx: &mut Context<Self>) {
        let snapshot_bytes = self.raft.snapshot().map_or(0, |s| s.data.len());
        if !self.is_working()
            || self.applied_bytes < snapshot_bytes.max(MIN_SNAPSHOT_INTERVAL_BYTES)
        {
            return;
        }
        self.applied_bytes = 0;
        let (index, _) = self.applied;
        let data = self.state.snapshot().into();
        let effects = self.raft.compact(self.now(), index, data);
        self.run_effects(effects, ctx);
    }
}
