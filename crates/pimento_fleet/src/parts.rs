//! Messages that are larger than a datagram.

use bytes::{Bytes, BytesMut};
use pimento_core::Time;
use prost::Message as _;
use std::{net::SocketAddr, time::Duration};

/// The largest payload of a datagram, in bytes, below the usual path MTU.
const PAYLOAD: usize = 1_200;
/// How long the parts of a message are kept.
const MEMORY: Duration = Duration::from_secs(2);
/// The most messages of which parts are kept.
const MOST: usize = 64;
/// The most parts of a message.
const MOST_PARTS: u32 = 4_096;

/// A part of a message.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Part {
    #[prost(uint64, tag = "1")]
    pub message: u64,
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// 0 if the message is whole.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: Bytes,
}

/// Divides a message into datagrams.
pub(crate) fn divide(number: u64, message: Bytes) -> Vec<Bytes> {
    if message.len() <= PAYLOAD {
        let part = Part {
            message: 0,
            number: 0,
            count: 0,
            payload: message,
        };
        return vec![part.encode_to_vec().into()];
    }
    let count = message.len().div_ceil(PAYLOAD);
    let parts = (0..count).map(|i| {
        let end = message.len().min((i + 1) * PAYLOAD);
        let part = Part {
            message: number,
            number: i as u32,
            count: count as u32,
            payload: message.slice(i * PAYLOAD..end),
        };
        part.encode_to_vec().into()
    });
    parts.collect()
}

#[derive(Debug)]
struct Partial {
    from: SocketAddr,
    message: u64,
    since: Time,
    parts: Vec<Option<Bytes>>,
}

/// Messages of which parts are still to come.
#[derive(Debug, Default)]
pub(crate) struct Assembly(Vec<Partial>);

impl Assembly {
    /// Takes a datagram; the message, if it is whole now.
    pub(crate) fn take(&mut self, now: Time, from: SocketAddr, datagram: Bytes) -> Option<Bytes> {
        let part = Part::decode(datagram).ok()?;
        if part.count == 0 {
            return Some(part.payload);
        }
        if part.count > MOST_PARTS || part.number >= part.count {
            return None;
        }
        self.0.retain(|p| now.since(p.since) < MEMORY);
        let at = self.slot(now, from, &part);
        let partial = &mut self.0[at];
        let slot = partial.parts.get_mut(part.number as usize)?;
        *slot = Some(part.payload);
        if partial.parts.iter().any(Option::is_none) {
            return None;
        }
        let partial = self.0.swap_remove(at);
        let mut whole = BytesMut::new();
        for part in partial.parts.into_iter().flatten() {
            whole.extend_from_slice(&part);
        }
        Some(whole.freeze())
    }

    fn slot(&mut self, now: Time, from: SocketAddr, part: &Part) -> usize {
        let same = |p: &Partial| p.from == from && p.message == part.message;
        if let Some(at) = self.0.iter().position(same) {
            return at;
        }
        if self.0.len() >= MOST {
            self.0.remove(0);
        }
        self.0.push(Partial {
            from,
            message: part.message,
            since: now,
            parts: vec![None; part.count as usize],
        });
        self.0.len() - 1
    }
}
