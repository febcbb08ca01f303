//! Fragmentation and reassembly of messages that are larger than a datagram.

use bytes::{Bytes, BytesMut};
use pimento_core::Time;
use prost::Message as _;
use std::{net::SocketAddr, time::Duration};

/// The largest payload of a datagram, below the usual path MTU.
const MAX_PAYLOAD_BYTES: usize = 1_200;
/// How long the fragments of an incomplete message are kept.
const REASSEMBLY_TIMEOUT: Duration = Duration::from_secs(2);
/// The most incomplete messages that are kept; the oldest is dropped first.
const MAX_PARTIAL_MESSAGES: usize = 64;
/// The most fragments that a message may have.
const MAX_FRAGMENTS: u32 = 4_096;

/// A datagram: one fragment of a message, or a whole message.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Fragment {
    #[prost(uint64, tag = "1")]
    pub message_id: u64,
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// The number of fragments; 0 if the payload is the whole message.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: Bytes,
}

/// Splits a message into datagrams.
pub(crate) fn split(message_id: u64, message: Bytes) -> Vec<Bytes> {
    if message.len() <= MAX_PAYLOAD_BYTES {
        let fragment = Fragment {
            message_id: 0,
            index: 0,
            count: 0,
            payload: message,
        };
        return vec![fragment.encode_to_vec().into()];
    }
    let count = message.len().div_ceil(MAX_PAYLOAD_BYTES);
    let fragments = (0..count).map(|i| {
        let end = message.len().min((i + 1) * MAX_PAYLOAD_BYTES);
        let fragment = Fragment {
            message_id,
            index: i as u32,
            count: count as u32,
            payload: message.slice(i * MAX_PAYLOAD_BYTES..end),
        };
        fragment.encode_to_vec().into()
    });
    fragments.collect()
}

#[derive(Debug)]
struct PartialMessage {
    from: SocketAddr,
    message_id: u64,
    started: Time,
    fragments: Vec<Option<Bytes>>,
}

/// Messages of which some fragments have not arrived yet.
#[derive(Debug, Default)]
pub(crate) struct Reassembly(Vec<PartialMessage>);

impl Reassembly {
    /// Adds a datagram. Returns the message that it completes, if any.
    pub(crate) fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        datagram: Bytes,
    ) -> Option<Bytes> {
        let fragment = Fragment::decode(datagram).ok()?;
        if fragment.count == 0 {
            return Some(fragment.payload);
        }
        if fragment.count > MAX_FRAGMENTS || fragment.index >= fragment.count {
            return None;
        }
        self.0.retain(|p| now.since(p.started) < REASSEMBLY_TIMEOUT);
        let index = self.partial_index(now, from, &fragment);
        let partial = &mut self.0[index];
        let entry = partial.fragments.get_mut(fragment.index as usize)?;
        *entry = Some(fragment.payload);
        if partial.fragments.iter().any(Option::is_none) {
            return None;
        }
        let partial = self.0.swap_remove(index);
        let mut whole = BytesMut::new();
        for fragment in partial.fragments.into_iter().flatten() {
            whole.extend_from_slice(&fragment);
        }
        Some(whole.freeze())
    }

    fn partial_index(&mut self, now: Time, from: SocketAddr, fragment: &Fragment) -> usize {
        let same = |p: &PartialMessage| p.from == from && p.message_id == fragment.message_id;
        if let Some(index) = self.0.iter().position(same) {
            return index;
        }
        if self.0.len() >= MAX_PARTIAL_MESSAGES {
            self.0.remove(0);
        }
        self.0.push(PartialMessage {
            from,
            message_id: fragment.message_id,
            started: now,
            fragments: vec![None; fragment.count as usize],
        });
        self.0.len() - 1
    }
}
