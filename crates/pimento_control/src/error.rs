//! Why the control group gave no result.

use pimento_core::Verdict;

/// What went wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum Fault {
    /// No control VM that could be reached leads.
    NoLeader = 0,
    /// Too many commands wait for a quorum.
    Busy = 1,
    /// The group is being founded, or its members are being changed.
    MembershipPending = 2,
    /// No quorum, or no answer, came in time.
    Timeout = 3,
    /// The disk of the leader failed.
    DiskFailed = 4,
    /// The VM is a member already.
    AlreadyMember = 5,
    /// The VM is no member.
    NotMember = 6,
    /// The last voter can't leave.
    LastVoter = 7,
    /// Another leader's entry took the place of this one.
    Superseded = 8,
    /// The message does not decode.
    Malformed = 9,
}

impl Fault {
    /// The fault in words.
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

/// The control group gave no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{} ({verdict})", .fault.text())]
pub struct ControlError {
    /// Whether the command may have been applied.
    pub verdict: Verdict,
    /// What went wrong.
    pub fault: Fault,
}

impl ControlError {
    /// The command can't have been applied, now or later.
    pub const fn not_run(fault: Fault) -> Self {
        let verdict = Verdict::NotRun;
        Self { verdict, fault }
    }

    /// The command may have been applied, or may still be.
    pub const fn may_have_run(fault: Fault) -> Self {
        let verdict = Verdict::MayHaveRun;
        Self { verdict, fault }
    }
}
