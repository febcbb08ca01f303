//! Errors of the control group.

use pimento_core::Verdict;

/// Why a request to the control group failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum Fault {
    /// No reachable control VM is the leader.
    NoLeader = 0,
    /// Too many uncommitted commands wait for a quorum.
    Busy = 1,
    /// The group is being bootstrapped, or a membership change is in progress.
    MembershipPending = 2,
    /// No quorum or no reply was received in time.
    Timeout = 3,
    /// The disk of the leader failed.
    DiskFailed = 4,
    /// The VM is already a member.
    AlreadyMember = 5,
    /// The VM is not a member.
    NotMember = 6,
    /// The last voter can't be removed.
    LastVoter = 7,
    /// A new leader's entry replaced this one in the log.
    Superseded = 8,
    /// The message does not decode.
    Malformed = 9,
}

impl Fault {
    /// A description for operators, used in error messages.
    pub const fn text(self) -> &'static str {
        match self {
            Self::NoLeader => "no control VM that could be reached leads",
            Self::Busy => "too many commands wait for a quorum",
            Self::MembershipPending => "the members of the control group are being changed",
            Self::Timeout => "no quorum answered in time",
            Self::DiskFailed => "the disk of the control VM failed",
            Self::AlreadyMember => "the VM is a member already",
            Self::NotMember => "the VM is no member",
            Self::LastVoter => "the last voter can't be removed",
            Self::Superseded => "a new leader dropped the command",
            Self::Malformed => "the message does not decode",
        }
    }
}

/// A request to the control group that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{} ({verdict})", .fault.text())]
pub struct ControlError {
    /// Whether the command may have been applied.
    pub verdict: Verdict,
    /// Why the request failed.
    pub fault: Fault,
}

impl ControlError {
    /// Creates an error for a command that was not and will not be applied.
    pub const fn not_run(fault: Fault) -> Self {
        let verdict = Verdict::NotRun;
        Self { verdict, fault }
    }

    /// Creates an error for a command that may have been or may still be applied.
    pub const fn may_have_run(fault: Fault) -> Self {
        let verdict = Verdict::MayHaveRun;
        Self { verdict, fault }
    }
}
