//! The frame format of links.

use bytes::Bytes;
use tokio_util::codec::LengthDelimitedCodec;

/// The maximum frame size after the handshake; a snapshot with two million blocks
/// fits.
const MAX_FRAME_BYTES: usize = 128 << 20;

/// The maximum frame size before the peer is authenticated.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 1 << 10;

/// The subsystem that a message belongs to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Channel {
    /// Replies to calls, and empty acknowledgements that show that a connection
    /// works.
    KeepAlive = 0,
    /// Messages of the membership protocol.
    Members = 1,
    /// Messages of the consensus protocol.
    Consensus = 2,
    /// Commands and queries for the control group.
    Control = 3,
    /// Rules that one VM fetches from another.
    Rules = 4,
    /// Releases of target leases.
    Lease = 5,
    /// Drains of targets that an operator requested.
    Drain = 6,
}

/// One frame on a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The subsystem that the message belongs to.
    #[prost(enumeration = "Channel", tag = "1")]
    pub channel: i32,
    /// Matches a reply to its call; zero for a message without a reply.
    #[prost(uint64, tag = "2")]
    pub call_id: u64,
    /// The encoded message of the subsystem.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: Bytes,
}

/// The codec for frames of an authenticated peer.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// The codec for the handshake, whose small limit keeps unauthenticated peers from
/// causing large allocations.
pub(crate) fn handshake_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_HANDSHAKE_FRAME_BYTES)
        .new_codec()
}
