//! Commands of the replicated log and their outcomes.

/// A change of the replicated state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Command {
    /// Wall-clock time at the proposer, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub time: u64,
}

/// What applying a [`Command`] did.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Outcome {
    /// The log index that the command was applied at.
    #[prost(uint64, tag = "1")]
    pub index: u64,
}
