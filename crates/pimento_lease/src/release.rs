//! The planned hand-over of a lease to another VM.

/// A former holder's promise that it no longer sends to a target.
///
/// It is sent to the next holder, which then doesn't have to wait. It is only
/// valid if the target confirms that there was no other holder in between; see
/// `docs/design/leases.md`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseRelease {
    /// The name of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The incarnation of the target's process, as in
    /// [`crate::Announcement::instance`].
    #[prost(uint64, tag = "2")]
    pub target_incarnation: u64,
    /// The epoch that ended.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// The VM that held the lease.
    #[prost(string, tag = "4")]
    pub holder: String,
    /// The incarnation of the former holder's process.
    #[prost(uint64, tag = "5")]
    pub holder_incarnation: u64,
    /// Slots that may still be in use by requests of former holders.
    #[prost(uint32, tag = "6")]
    pub used_slots: u32,
    /// Whether an operator drains the target.
    #[prost(bool, tag = "7")]
    pub drained: bool,
}
