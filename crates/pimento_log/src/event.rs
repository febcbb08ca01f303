//! The numbered events.

use slog::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// An event that is worth a log line.
        ///
        /// Numbers are never reused. The hundreds name the duty: 1 process, 2
        /// links, 3 members, 4 leases, 5 requests, 6 control, 7 storage, 8 rules.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $($(#[$doc])* $name = $number,)*
        }

        impl Event {
            /// All events, in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The number in logs and in the catalogue.
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// The level that the event is logged at.
            pub const fn level(self) -> Level {
                match self {
                    $(Self::$name => Level::$level,)*
                }
            }

            /// The message of the event.
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

events! {
    /// The process serves.
    VmStarted = 101, Info, "process started";
    /// A planned stop has begun.
    StopBegun = 102, Info, "graceful shutdown begun";
    /// A planned stop has ended.
    StopEnded = 103, Info, "graceful shutdown ended";
    /// The process began or ceased to know enough to serve.
    ReadyChanged = 104, Info, "readiness changed";
    /// The settings were read again.
    SettingsRead = 105, Info, "settings read again";
    /// A link was opened.
    LinkOpened = 201, Debug, "link opened";
    /// A link was closed and will be opened again.
    LinkClosed = 202, Warning, "link closed";
    /// A process failed to prove the shared key.
    LinkRefused = 203, Warning, "link refused";
    /// A VM of the failure domain was declared dead.
    VmDead = 301, Warning, "VM declared dead";
    /// A VM of the failure domain is alive again.
    VmAlive = 302, Info, "VM alive";
    /// A VM of the failure domain has stopped as planned.
    VmLeft = 303, Info, "VM left";
    /// A VM that grants places did not answer.
    VmSuspected = 304, Warning, "VM did not answer";
    /// This VM holds the lease of a target.
    LeaseTaken = 401, Info, "target lease taken";
    /// This VM no longer holds the lease of a target.
    LeaseLost = 402, Info, "target lease ended";
    /// An operator drained a target.
    TargetDrained = 403, Info, "target drained by an operator";
    /// A request failed.
    RequestFailed = 501, Info, "request failed";
    /// An announcement was refused.
    AnnounceRefused = 502, Warning, "announcement refused";
    /// A request was answered, refused or broken off.
    RequestEnded = 503, Info, "request ended";
    /// A request was sent to a target and did not get its answer.
    AttemptFailed = 504, Info, "attempt failed";
    /// A target's report changed what is known of it.
    TargetReported = 505, Info, "target report";
    /// A caller could not be told where to go.
    LookupFailed = 506, Warning, "look-up failed";
    /// A failure domain granted a request no place.
    PlaceRefused = 507, Info, "place refused";
    /// This control VM became leader.
    LeaderElected = 601, Info, "elected leader";
    /// This control VM is no longer leader.
    LeaderLost = 602, Warning, "leadership lost";
    /// An operator's call was accepted, refused or left open.
    CallDecided = 603, Info, "operator call decided";
    /// This leader asked for a change of the control group's members.
    MemberChange = 604, Info, "member change asked for";
    /// The data folder was opened.
    StoreOpened = 701, Info, "data folder opened";
    /// A write or sync failed; nothing more is acknowledged.
    StoreFailed = 702, Critical, "data folder failed";
    /// A torn tail was cut off the log.
    TailCut = 703, Warning, "torn log tail cut off";
    /// New rules are in force on this VM.
    RulesApplied = 801, Info, "rules in force";
    /// A release note was refused.
    NoteRefused = 802, Warning, "release note refused";
}
