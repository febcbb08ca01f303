//! The frame that carries every message.

/// The duty that a message belongs to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Channel {
    /// Membership and summaries.
    Members = 0,
    /// Messages of the replicated log.
    Consensus = 1,
    /// Commands and queries to the control group.
    Control = 2,
    /// Rules that one VM hands to another.
    Rules = 3,
    /// Releases of target leases.
    Lease = 4,
}
