//! The planned hand-over of a lease.

/// A holder's promise that it no longer sends to a target.
///
/// It travels to the next holder, which then need not wait. It counts only
/// together with the target's own word that no other holder came between; see
/// `docs/design/leases.md`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseRelease {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The target's process, as in [`crate::Announcement::instance`].
    #[prost(uint64, tag = "2")]
    pub target_instance: u64,
    /// The epoch that has ended.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// The VM that held the lease.
    #[prost(string, tag = "4")]
    pub holder: String,
    /// The holder's process.
    #[prost(uint64, tag = "5")]
    pub holder_instance: u64,
    /// The slots that requests of former holders may still use.
    #[prost(uint32, tag = "6")]
    pub used_slots: u32,
    /// Whether an operator drains the target.
    #[prost(bool, tag = "7")]
    pub drained: bool,
}
