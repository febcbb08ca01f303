//! Permit requests of this process that wait for the decision of a shard owner.

use crate::{message::PermitRequestMessage, rtt::RttEstimator};
use pimento_core::Time;
use std::{net::SocketAddr, time::Duration};

/// How often a request is sent before the shard owner may count as unreachable.
const MIN_SENDS: u32 = 3;
/// How many transmissions of all its unanswered requests an owner must have
/// missed by then: a single request may lose three datagrams on a full link.
const MIN_MISSED: u32 = 4;
/// The time after which a request that waits in the owner's admission queue is
/// sent again, in case the datagram with the decision was lost.
const QUEUED_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A permit request without a decision.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub request: PermitRequestMessage,
    pub to: SocketAddr,
    /// When the request was first sent.
    pub started: Time,
    pub resend_at: Time,
    pub deadline: Time,
    /// When each transmission was sent.
    pub sent_at: Vec<Time>,
    /// How often it was sent since the last answer of the owner.
    pub sends: u32,
    /// Whether the owner said that it waits in the admission queue.
    pub queued: bool,
}

/// Permit requests of this process that wait for the decision of a shard owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingRequests {
    requests: Vec<PendingRequest>,
    rtt: RttEstimator,
}

impl PendingRequests {
    pub(crate) fn start(&mut self, now: Time, to: SocketAddr, request: PermitRequestMessage) {
        let deadline = now + Duration::from_millis(request.deadline_ms);
        self.requests.push(PendingRequest {
            request,
            to,
            started: now,
            resend_at: now + self.rtt.retransmission_timeout(),
            deadline,
            sent_at: vec![now],
            sends: 1,
            queued: false,
        });
    }

    /// Records the round-trip time of the first answer to a request, from the
    /// transmission that it answers. Without its number, only a request that was
    /// sent once tells the time (Karn's algorithm).
    pub(crate) fn record_answer(&mut self, now: Time, serial: u64, attempt: u32) {
        let first = |p: &&PendingRequest| p.request.serial == serial && !p.queued;
        let Some(pending) = self.requests.iter().find(first) else {
            return;
        };
        let sent_at = match (attempt.checked_sub(1), pending.sent_at.as_slice()) {
            (Some(index), sent_at) => sent_at.get(index as usize),
            (None, [only]) => Some(only),
            (None, _) => None,
        };
        if let Some(sent_at) = sent_at {
            self.rtt.record_rtt(now.since(*sent_at));
        }
    }

    /// Removes a request that is decided or withdrawn.
    pub(crate) fn remove(&mut self, serial: u64) -> Option<PendingRequest> {
        let index = self
            .requests
            .iter()
            .position(|p| p.request.serial == serial)?;
        Some(self.requests.swap_remove(index))
    }

    /// Removes the requests that a process never answered.
    pub(crate) fn remove_unanswered(&mut self, to: &SocketAddr) -> Vec<PendingRequest> {
        let unanswered = |p: &mut PendingRequest| p.to == *to && !p.queued;
        self.requests.extract_if(.., unanswered).collect()
    }

    /// Records that a request waits in the owner's admission queue.
    pub(crate) fn mark_queued(&mut self, now: Time, serial: u64) {
        if let Some(pending) = self
            .requests
            .iter_mut()
            .find(|p| p.request.serial == serial)
        {
            pending.sends = 0;
            pending.queued = true;
            pending.resend_at = now + QUEUED_POLL_INTERVAL;
        }
    }

    /// Returns the requests to send again and the abandoned ones, which it
    /// removes.
    pub(crate) fn take_due(
        &mut self,
        now: Time,
    ) -> (Vec<(SocketAddr, PermitRequestMessage)>, Vec<PendingRequest>) {
        let lost = self.requests.iter().filter(|p| self.is_lost(now, p));
        let lost: Vec<u64> = lost.map(|p| p.request.serial).collect();
        let is_abandoned = |p: &mut PendingRequest| lost.contains(&p.request.serial);
        let abandoned = self.requests.extract_if(.., is_abandoned).collect();
        let timeout = self.rtt.retransmission_timeout();
        let mut resend = Vec::new();
        for pending in self.requests.iter_mut().filter(|p| p.resend_at <= now) {
            pending.sends += 1;
            pending.request.attempt += 1;
            pending.sent_at.push(now);
            pending.resend_at = now + timeout;
            resend.push((pending.to, pending.with_time_left(now)));
        }
        (resend, abandoned)
    }

    /// Whether a request reached its deadline, or its owner seems unreachable.
    fn is_lost(&self, now: Time, request: &PendingRequest) -> bool {
        let is_silent = request.resend_at <= now && request.sends >= MIN_SENDS;
        request.deadline <= now
            || is_silent && (request.queued || self.missed_by(&request.to) >= MIN_MISSED)
    }

    /// The transmissions that an owner has not answered.
    fn missed_by(&self, owner: &SocketAddr) -> u32 {
        let to_owner = self.requests.iter().filter(|p| p.to == *owner);
        to_owner.map(|p| p.sends).sum()
    }
}

impl PendingRequest {
    /// The request with its remaining times reduced by the time it has waited.
    fn with_time_left(&self, now: Time) -> PermitRequestMessage {
        let elapsed = now.since(self.started).as_millis() as u64;
        let mut request = self.request.clone();
        request.objective_ms = request.objective_ms.saturating_sub_unsigned(elapsed);
        request.deadline_ms = request.deadline_ms.saturating_sub(elapsed);
        request
    }
}
