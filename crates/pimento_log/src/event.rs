//! The catalogue of numbered events.

use slog::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// The kind of a log line.
        ///
        /// Numbers are never reused. The hundreds digit is the subsystem: 1
        /// process, 2 links, 3 members, 4 leases, 5 requests, 6 control, 7 storage,
        /// 8 rules.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $($(#[$doc])* $name = $number,)*
        }

        impl Event {
            /// All events, in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The number in logs and in `docs/EVENTS.md`.
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// The log level of the event.
            pub const fn level(self) -> Level {
                match self {
                    $(Self::$name => Level::$level,)*
                }
            }

            /// The message in the log line.
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

events! {
    /// The process has started and serves.
    VmStarted = 101, Info, "process started";
    /// A graceful shutdown has begun.
    StopBegun = 102, Info, "graceful shutdown begun";
    /// A graceful shutdown has ended.
    StopEnded = 103, Info, "graceful shutdown ended";
    /// The process became ready to serve requests, or is no longer ready.
    ReadyChanged = 104, Info, "readiness changed";
    /// The settings were reloaded, or reloading them failed.
    SettingsRead = 105, Info, "settings read again";
    /// A link to or from another process was opened.
    LinkOpened = 201, Debug, "link opened";
    /// A link was closed; it is reopened for the next message.
    LinkClosed = 202, Warning, "link closed";
    /// The handshake of an incoming link failed.
    LinkRefused = 203, Warning, "link refused";
    /// A link that a peer had opened has ended.
    LinkEnded = 204, Debug, "incoming link ended";
    /// A VM of the failure domain was declared dead.
    VmDead = 301, Warning, "VM declared dead";
    /// A VM of the failure domain is alive or alive again.
    VmAlive = 302, Info, "VM alive";
    /// A VM of the failure domain has left in a graceful shutdown.
    VmLeft = 303, Info, "VM left";
    /// A shard owner did not answer permit requests and is suspected.
    VmSuspected = 304, Warning, "VM did not answer";
    /// An entry VM lacks items that the control VM it follows should have sent.
    VmLagging = 305, Warning, "VM lags behind";
    /// The socket did not take datagrams to other processes.
    DatagramsDropped = 306, Warning, "datagrams not sent";
    /// This VM has acquired the lease of a target.
    LeaseTaken = 401, Info, "target lease taken";
    /// This VM has lost or released the lease of a target.
    LeaseLost = 402, Info, "target lease ended";
    /// An operator drained a target.
    TargetDrained = 403, Info, "target drained by an operator";
    /// A request failed.
    RequestFailed = 501, Info, "request failed";
    /// An announcement of a target was rejected.
    AnnounceRefused = 502, Warning, "announcement refused";
    /// A request was answered, rejected or aborted.
    RequestEnded = 503, Info, "request ended";
    /// A request was sent to a target, but no complete response arrived.
    AttemptFailed = 504, Info, "attempt failed";
    /// A report changed the recorded state of a target.
    TargetReported = 505, Info, "target report";
    /// A look-up by a caller found no address to return.
    LookupFailed = 506, Warning, "look-up failed";
    /// A failure domain denied a request a permit.
    PlaceRefused = 507, Info, "place refused";
    /// The process exited before a request had its response.
    RequestCut = 508, Warning, "request cut off";
    /// A target's response said that it leaves.
    TargetLeaves = 509, Info, "target leaves";
    /// A target's response asked for a pause.
    TargetPaused = 510, Info, "target paused";
    /// The pause of a target has ended.
    TargetResumed = 511, Info, "target resumed";
    /// A target named another limit of requests per second, or none any more.
    TargetLimited = 512, Info, "target limited";
    /// A target crashed while it had requests.
    TargetCrashed = 513, Warning, "target crashed";
    /// A verdict on a request that may crash targets was made or learned.
    RequestRuled = 514, Warning, "verdict on a request";
    /// A request was refused because it crashes targets.
    RequestBarred = 515, Info, "request refused as poison";
    /// This control VM became the leader.
    LeaderElected = 601, Info, "elected leader";
    /// This control VM is no longer the leader.
    LeaderLost = 602, Warning, "leadership lost";
    /// An operator's command was accepted or rejected, or its outcome is unknown.
    CallDecided = 603, Info, "operator call decided";
    /// The leader proposed a change of the control group's members.
    MemberChange = 604, Info, "member change asked for";
    /// The data folder was opened.
    StoreOpened = 701, Info, "data folder opened";
    /// A write or sync failed; the replica acknowledges nothing until its log is
    /// written again.
    StoreFailed = 702, Critical, "data folder failed";
    /// A torn record at the end of the log file was removed.
    TailCut = 703, Warning, "torn log tail cut off";
    /// The whole log was written again after a failed write.
    StoreRecovered = 704, Info, "data folder works again";
    /// New rules are in force on this VM.
    RulesApplied = 801, Info, "rules in force";
    /// A release note was rejected.
    NoteRefused = 802, Warning, "release note refused";
}
