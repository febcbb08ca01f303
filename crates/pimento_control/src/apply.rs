//! What the log does to the state and to those who wait for it.

use crate::{
    CatalogChanged, Control, ControlError, Fault, RulesChanged, backup,
    waiters::{Done, Purpose, Reader, Waiter},
    wire::{self, Answer, NotLeader},
};
use actix::prelude::*;
use bytes::Bytes;
use pimento_consensus::{Effect, Entry, EntryKind, RejectReason, Snapshot};
use pimento_core::Time;
use pimento_log::{Event, event};
use pimento_state::{Command, State};
use prost::Message as _;
use std::sync::Arc;

/// The size of the applied entries, in bytes, after which the log is replaced
/// by a snapshot; a larger snapshot waits for as many bytes as it has itself,
/// so that no more than about half of what is written is snapshots.
const SNAPSHOT_AFTER: usize = 4 << 20;

/// What an entry takes beside its payload, in bytes.
const ENTRY_OVERHEAD: usize = 64;

impl Control {
    /// Carries out what concerns the log and its callers.
    pub(crate) fn log_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Apply(entry) => self.apply(&entry),
            Effect::Restore { index, data } => self.restore(index, &data),
            Effect::ReadReady { id } => self.ready(id),
            Effect::Rejected { id, reason } => self.rejected(id, &reason),
            // Accepted proposals are handled by those that made them.
            _ => {}
        }
    }

    fn apply(&mut self, entry: &Entry) {
        let answer = if entry.kind == EntryKind::Command as i32 {
            self.apply_command(entry)
        } else {
            Answer::Index(entry.index)
        };
        self.applied = (entry.index, entry.term);
        self.grown += entry.payload.len() + ENTRY_OVERHEAD;
        self.answer_waiters(entry, answer);
        self.answer_late();
        self.publish();
    }

    fn apply_command(&mut self, entry: &Entry) -> Answer {
        // The proposer checked that it decodes, so all replicas skip it alike.
        let Ok(command) = Command::decode(entry.payload.clone()) else {
            return ControlError::not_run(Fault::Malformed).into();
        };
        let outcome = self.state.apply(entry.index, &command);
        Answer::Outcome(outcome.encode_to_vec().into())
    }

    fn answer_waiters(&mut self, entry: &Entry, answer: Answer) {
        let done = self.waiters.partition_point(|w| w.index <= entry.index);
        let mut answer = Some(answer);
        for waiter in self.waiters.drain(..done) {
            if (waiter.index, waiter.term) != (entry.index, entry.term) {
                // Another entry is committed in its place, now and for good.
                let superseded = ControlError::not_run(Fault::Superseded);
                waiter.done.send(superseded);
            } else if let Some(answer) = answer.take() {
                waiter.done.send(answer);
            }
        }
    }

    pub(crate) fn answer_late(&mut self) {
        let applied = self.applied.0;
        let late = std::mem::take(&mut self.late);
        for late in late {
            if late.index <= applied {
                late.done.send(Answer::Index(applied));
            } else {
                self.late.push(late);
            }
        }
    }

    fn restore(&mut self, index: u64, data: &Bytes) {
        match State::restore(data) {
            Ok(state) => self.state = state,
            Err(e) => {
                event!(self.log, Event::StoreFailed, "reason" => %e);
                self.failed = true;
                return self.abandon();
            }
        }
        let term = self.raft.snapshot().map_or(0, |s| s.term);
        self.applied = (index, term);
        // The snapshot doesn't say which entries it contains.
        let unknown = self.waiters.partition_point(|w| w.index <= index);
        for waiter in self.waiters.drain(..unknown) {
            let unknown = ControlError::may_have_run(Fault::Timeout);
            waiter.done.send(unknown);
        }
        self.answer_late();
        self.publish();
    }

    /// Tells the subscribers of what is newer.
    fn publish(&mut self) {
        self.publish_catalog();
        self.publish_rules();
    }

    fn publish_catalog(&mut self) {
        let catalog = self.state.catalog();
        if catalog.revision() <= self.catalog.revision() {
            return;
        }
        self.catalog = Arc::clone(catalog);
        for reader in &self.catalog_readers {
            let catalog = Arc::clone(&self.catalog);
            reader.do_send(CatalogChanged { catalog });
        }
    }

    fn publish_rules(&mut self) {
        let rules = self.state.rules();
        if rules.version <= self.rules.version {
            return;
        }
        self.rules = Arc::clone(rules);
        for subscriber in &self.subscribers {
            let rules = Arc::clone(&self.rules);
            subscriber.do_send(RulesChanged { rules });
        }
    }

    fn ready(&mut self, id: u64) {
        let Ok(at) = self.readers.binary_search_by_key(&id, |r| r.id) else {
            return;
        };
        let reader = self.readers.remove(at);
        let answer = match reader.purpose {
            Purpose::Index => Answer::Index(self.applied.0),
            Purpose::Rules(pull) => Answer::Rules(self.state.answer_rules_pull(&pull)),
            Purpose::Backup => self.backup_answer(),
            Purpose::StateQuery(query) => query.answer(&self.state),
        };
        reader.done.send(answer);
    }

    fn backup_answer(&self) -> Answer {
        let (index, term) = self.applied;
        Answer::Backup(backup::encode(&Snapshot {
            index,
            term,
            members: self.raft.members(),
            data: self.state.snapshot().into(),
        }))
    }

    fn rejected(&mut self, id: u64, reason: &RejectReason) {
        let Ok(at) = self.readers.binary_search_by_key(&id, |r| r.id) else {
            return;
        };
        let reader = self.readers.remove(at);
        let answer = self.refused(reason);
        reader.done.send(answer);
    }

    /// The answer to a caller whose question was refused.
    pub(crate) fn refused(&mut self, reason: &RejectReason) -> Answer {
        let RejectReason::NotLeader { leader } = reason else {
            return ControlError::not_run(wire::fault(reason)).into();
        };
        let leader = leader.as_ref().and_then(|vm| self.address(vm));
        let leader = leader.map(|to| to.to_string()).unwrap_or_default();
        Answer::NotLeader(NotLeader { leader })
    }

    /// Takes the effects of a proposal or change and notes its caller.
    pub(crate) fn submitted(
        &mut self,
        effects: Vec<Effect>,
        id: u64,
        done: Done,
        ctx: &mut Context<Self>,
    ) {
        let mut done = Some(done);
        let deadline = self.now() + crate::handlers::LIMIT;
        for effect in &effects {
            match effect {
                Effect::Accepted {
                    id: own,
                    index,
                    term,
                } if *own == id => {
                    let Some(done) = done.take() else { continue };
                    self.wait(Waiter {
                        index: *index,
                        term: *term,
                        deadline,
                        done,
                    });
                }
                Effect::Rejected { id: own, reason } if *own == id => {
                    let answer = self.refused(reason);
                    if let Some(done) = done.take() {
                        done.send(answer);
                    }
                }
                _ => {}
            }
        }
        self.run(effects, ctx);
    }

    /// Adds a caller by the index of its entry; one that waited for the same
    /// index of an older term can't be served any more.
    fn wait(&mut self, waiter: Waiter) {
        let at = self.waiters.partition_point(|w| w.index <= waiter.index);
        self.waiters.insert(at, waiter);
    }

    /// Gives up on callers that waited too long.
    pub(crate) fn expire(&mut self, now: Time) {
        let unknown = ControlError::may_have_run(Fault::Timeout);
        let late = ControlError::not_run(Fault::Timeout);
        for waiter in self.waiters.extract_if(.., |w| w.deadline <= now) {
            waiter.done.send(unknown);
        }
        for reader in self.readers.extract_if(.., |r| r.deadline <= now) {
            reader.done.send(late);
        }
        for reader in self.late.extract_if(.., |l| l.deadline <= now) {
            reader.done.send(late);
        }
    }

    /// Gives up on all callers.
    pub(crate) fn abandon(&mut self) {
        let unknown = ControlError::may_have_run(Fault::DiskFailed);
        let failed = ControlError::not_run(Fault::DiskFailed);
        for waiter in self.waiters.drain(..) {
            waiter.done.send(unknown);
        }
        let readers: Vec<Reader> = self.readers.drain(..).collect();
        for reader in readers {
            reader.done.send(failed);
        }
        for late in self.late.drain(..) {
            late.done.send(failed);
        }
    }

    /// Replaces a long log by a snapshot.
    pub(crate) fn compact(&mut self, ctx: &mut Context<Self>) {
        let size = self.raft.snapshot().map_or(0, |s| s.data.len());
        if self.failed || self.grown < size.max(SNAPSHOT_AFTER) {
            return;
        }
        self.grown = 0;
        let (index, _) = self.applied;
        let data = self.state.snapshot().into();
        let effects = self.raft.compact(self.now(), index, data);
        self.run(effects, ctx);
    }
}
