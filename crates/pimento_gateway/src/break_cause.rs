//! Why a request that was sent got no response that is certainly its own.

/// Why a request that was sent got no response that is certainly its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BreakCause {
    /// The connection closed or was reset before a response.
    Closed,
    /// The response was truncated.
    Truncated,
    /// The response echoes the id of another request, or none.
    ForeignAnswer,
    /// The target upgraded the connection, which nobody requested.
    Upgrade,
    /// The target refused the request without saying that it did not run it.
    UnclearRefusal,
}

impl BreakCause {
    /// The reason for logs and callers.
    pub(crate) const fn reason(self) -> &'static str {
        match self {
            Self::Closed => "the target broke off",
            Self::Truncated => "the answer ended early",
            Self::ForeignAnswer => "the answer belongs to another request",
            Self::Upgrade => "the target upgrades the connection",
            Self::UnclearRefusal => "the target refused the request, but may have run it",
        }
    }

    /// Whether the end of the target's process looks like this.
    pub(crate) const fn may_be_crash(self) -> bool {
        matches!(self, Self::Closed | Self::Truncated)
    }
}
