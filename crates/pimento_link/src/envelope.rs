//! The frame that carries every message.

use bytes::Bytes;
use tokio_util::codec::LengthDelimitedCodec;

/// The largest frame after the handshake, in bytes; a snapshot with two million
/// blocks fits.
const MAX_FRAME: usize = 128 << 20;

/// The largest frame before the peer has proved the shared key, in bytes.
const MAX_GREETING: usize = 1 << 10;

/// The duty that a message belongs to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Channel {
    /// Keeps a connection proven; carries no payload.
    KeepAlive = 0,
    /// Membership and summaries.
    Members = 1,
    /// Messages of the replicated log.
    Consensus = 2,
    /// Commands and queries to the control group.
    Control = 3,
    /// Rules that one VM hands to another.
    Rules = 4,
    /// Releases of target leases.
    Lease = 5,
    /// Operators' drains of targets.
    Drain = 6,
}

/// One message on a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The duty that the message belongs to.
    #[prost(enumeration = "Channel", tag = "1")]
    pub channel: i32,
    /// Joins a reply to its call; zero for a message that wants no reply.
    #[prost(uint64, tag = "2")]
    pub call: u64,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: Bytes,
}

/// The codec for frames of a peer that proved the shared key.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// The codec for the handshake, so that a stranger can't make us allocate.
pub(crate) fn greeting_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_GREETING)
        .new_codec()
}
