//! Asks of this process that wait for another VM's verdict.

use crate::{message::AskMessage, patience::Patience};
use pimento_core::Time;
use std::{net::SocketAddr, time::Duration};

/// How often an ask is sent until the other VM counts as out of reach.
const TRIES: u32 = 3;
/// The time after which an ask that waits there is sent again, in case the
/// verdict was lost.
const POLL: Duration = Duration::from_millis(250);

/// An ask without a verdict.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub ask: AskMessage,
    pub to: SocketAddr,
    /// When the ask was made.
    pub since: Time,
    pub due: Time,
    pub deadline: Time,
    /// How often it was sent since the last answer.
    pub tries: u32,
    /// Whether the other VM said that it waits there.
    pub queued: bool,
}

/// Asks of this process that wait for another VM's verdict.
#[derive(Clone, Debug, Default)]
pub(crate) struct Asks {
    pending: Vec<Pending>,
    patience: Patience,
}

impl Asks {
    pub(crate) fn begin(&mut self, now: Time, to: SocketAddr, ask: AskMessage) {
        let deadline = now + Duration::from_millis(ask.deadline_ms);
        self.pending.push(Pending {
            ask,
            to,
            since: now,
            due: now + self.patience.wait(),
            deadline,
            tries: 1,
            queued: false,
        });
    }

    /// Notes that a process answered an ask for the first time. The time counts
    /// from when it was first sent: which one was answered, nobody knows, and
    /// while a link is full it is the first.
    pub(crate) fn answered(&mut self, now: Time, serial: u64) {
        let first = |p: &&Pending| p.ask.serial == serial && !p.queued;
        if let Some(pending) = self.pending.iter().find(first) {
            self.patience.note(now.since(pending.since));
        }
    }

    /// Takes an ask that has its verdict.
    pub(crate) fn take(&mut self, serial: u64) -> Option<Pending> {
        let at = self.pending.iter().position(|p| p.ask.serial == serial)?;
        Some(self.pending.swap_remove(at))
    }

    /// Takes the asks that a process never answered.
    pub(crate) fn take_unanswered(&mut self, to: &SocketAddr) -> Vec<Pending> {
        let unanswered = |p: &mut Pending| p.to == *to && !p.queued;
        self.pending.extract_if(.., unanswered).collect()
    }

    /// Notes that an ask waits at the other VM.
    pub(crate) fn queued(&mut self, now: Time, serial: u64) {
        if let Some(pending) = self.pending.iter_mut().find(|p| p.ask.serial == serial) {
            pending.tries = 0;
            pending.queued = true;
            pending.due = now + POLL;
        }
    }

    /// Asks to send again, and asks that are given up.
    pub(crate) fn due(&mut self, now: Time) -> (Vec<(SocketAddr, AskMessage)>, Vec<Pending>) {
        let over = |p: &mut Pending| p.deadline <= now || (p.due <= now && p.tries >= TRIES);
        let given_up = self.pending.extract_if(.., over).collect();
        let wait = self.patience.wait();
        let mut again = Vec::new();
        for pending in self.pending.iter_mut().filter(|p| p.due <= now) {
            pending.tries += 1;
            pending.due = now + wait;
            again.push((pending.to, pending.remaining(now)));
        }
        (again, given_up)
    }
}

impl Pending {
    /// The ask with the times that are left now.
    fn remaining(&self, now: Time) -> AskMessage {
        let passed = now.since(self.since).as_millis() as u64;
        let mut ask = self.ask.clone();
        ask.objective_ms = ask.objective_ms.saturating_sub_unsigned(passed);
        ask.deadline_ms = ask.deadline_ms.saturating_sub(passed);
        ask
    }
}
