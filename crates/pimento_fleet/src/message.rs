//! Messages between processes.

use pimento_items::AcceptedItem;
use pimento_poison::{Fingerprint, Ruling, Verdict};
use pimento_registry::Target;
use std::{net::SocketAddr, time::Duration};

/// The role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Routes requests of callers to targets.
    Entry = 0,
    /// Keeps the durable state and receives the reports of targets.
    Control = 1,
}

/// The stage of a process in its lifecycle.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Stage {
    /// Lacks state that it needs before it can serve.
    Starting = 0,
    /// Serves.
    Ready = 1,
    /// Shuts down: finishes the requests in flight.
    Stopping = 2,
    /// Exits now.
    Gone = 3,
}

/// How a process describes itself to others.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct NodeInfo {
    /// Where it receives datagrams, as `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Random number drawn at the start of the process, which tells a restarted
    /// process from its predecessor at the same address.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The [`Role`] as a number.
    #[prost(enumeration = "Role", tag = "3")]
    pub role: i32,
    /// The [`Stage`] as a number.
    #[prost(enumeration = "Stage", tag = "4")]
    pub stage: i32,
    /// The name of its failure domain.
    #[prost(string, tag = "5")]
    pub domain: String,
    /// Where callers reach it, as `ip:port`; empty for control VMs.
    #[prost(string, tag = "6")]
    pub caller_address: String,
}

impl NodeInfo {
    /// The parsed `address`; `None` if it is malformed.
    pub fn socket_addr(&self) -> Option<SocketAddr> {
        self.address.parse().ok()
    }
}

/// A message between two processes.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Message {
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18"
    )]
    pub body: Option<Body>,
}

/// The content of a [`Message`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Body {
    /// A full heartbeat: the sender is alive, and which state it has.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// The reply to a full heartbeat.
    #[prost(message, tag = "2")]
    HeartbeatReply(HeartbeatReply),
    /// The processes that a control VM considers alive.
    #[prost(message, tag = "3")]
    MemberList(MemberList),
    /// Items that the receiver lacks.
    #[prost(message, tag = "4")]
    Items(Items),
    /// Targets of the buckets in which sender and receiver differ.
    #[prost(message, tag = "5")]
    Targets(Targets),
    /// Target updates, sent repeatedly until acknowledged.
    #[prost(message, tag = "6")]
    TargetUpdate(TargetUpdateMessage),
    /// Acknowledges the target update with this id.
    #[prost(fixed64, tag = "7")]
    UpdateAck(u64),
    /// Asks the shard owner for a permit.
    #[prost(message, tag = "8")]
    PermitRequest(PermitRequestMessage),
    /// The decision on a permit request.
    #[prost(message, tag = "9")]
    PermitDecision(PermitDecisionMessage),
    /// Releases permits.
    #[prost(message, tag = "10")]
    Release(ReleaseMessage),
    /// The process with this incarnation exits now.
    #[prost(fixed64, tag = "11")]
    Leave(u64),
    /// A heartbeat to control VMs that the sender doesn't follow.
    #[prost(message, tag = "12")]
    ShortHeartbeat(ShortHeartbeat),
    /// The receiver of a [`ShortHeartbeat`] doesn't know its sender.
    #[prost(bool, tag = "13")]
    UnknownProcess(bool),
    /// All processes that must know this state of a target have
    /// acknowledged it.
    #[prost(message, tag = "14")]
    UpdateConfirmed(Target),
    /// The revision that an entry VM has after it received items.
    #[prost(message, tag = "15")]
    RevisionReport(RevisionReport),
    /// A target crashed while it had requests, sent repeatedly until acknowledged.
    #[prost(message, tag = "16")]
    CrashReport(CrashReport),
    /// Acknowledges the crash report with this id.
    #[prost(fixed64, tag = "17")]
    CrashReportAck(u64),
    /// Verdicts on requests.
    #[prost(message, tag = "18")]
    Rulings(Rulings),
}

/// A target crashed while it had requests of the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct CrashReport {
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The hash of the target's name and incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// How long ago it crashed, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    #[prost(message, repeated, tag = "4")]
    pub requests: Vec<CrashedRequest>,
}

/// A request that a crashed target had.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct CrashedRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
}

/// Verdicts on requests.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Rulings {
    #[prost(message, repeated, tag = "1")]
    pub rulings: Vec<RulingMessage>,
    /// Whether these are all that the sender has. The receiver replies with those
    /// that it lacks.
    #[prost(bool, tag = "2")]
    pub complete: bool,
}

/// The verdict on a request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RulingMessage {
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// The code of the verdict.
    #[prost(uint32, tag = "2")]
    pub verdict: u32,
    /// Counts the decisions on the request.
    #[prost(uint32, tag = "3")]
    pub version: u32,
    /// How long ago it was decided, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// How long ago the request was last refused, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub unseen_ms: u64,
}

pub(crate) fn ruling_message(ruling: &Ruling) -> RulingMessage {
    RulingMessage {
        fingerprint: ruling.request.as_bytes().to_vec(),
        verdict: ruling.verdict.code(),
        version: ruling.version,
        age_ms: ruling.age.as_millis() as u64,
        unseen_ms: ruling.unseen.as_millis() as u64,
    }
}

/// Reads a ruling; `None` if it is malformed or of an unknown kind.
pub(crate) fn ruling_from_message(message: &RulingMessage) -> Option<Ruling> {
    Some(Ruling {
        request: Fingerprint::from_bytes(&message.fingerprint)?,
        verdict: Verdict::from_code(message.verdict)?,
        version: message.version,
        age: Duration::from_millis(message.age_ms),
        unseen: Duration::from_millis(message.unseen_ms),
    })
}

/// The revision that an entry VM has after it received items.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct RevisionReport {
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The revision of its items.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// A heartbeat to control VMs that the sender doesn't follow.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct ShortHeartbeat {
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    #[prost(enumeration = "Stage", tag = "2")]
    pub stage: i32,
    /// The revision of its items.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The share of its link bandwidth that requests use, in percent.
    #[prost(uint32, tag = "4")]
    pub load: u32,
    /// The number of this heartbeat, by which the receiver counts the lost ones.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
}

/// A full heartbeat: the sender is alive, and which state it has.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Heartbeat {
    #[prost(message, required, tag = "1")]
    pub info: NodeInfo,
    /// The revision of its items.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The digests of its target buckets; empty if the sender doesn't ask for
    /// the state that it lacks.
    #[prost(fixed32, repeated, tag = "3")]
    pub buckets: Vec<u32>,
    /// The digest of its member list.
    #[prost(fixed64, tag = "4")]
    pub list_digest: u64,
    /// The share of its link bandwidth that requests use, in percent.
    #[prost(uint32, tag = "5")]
    pub load: u32,
    /// The number of this heartbeat, by which the receiver counts the lost ones.
    #[prost(uint64, tag = "6")]
    pub sequence: u64,
    /// The digest of its verdicts on requests.
    #[prost(fixed64, tag = "7")]
    pub verdicts: u64,
}

/// The reply to a full heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HeartbeatReply {
    #[prost(message, required, tag = "1")]
    pub info: NodeInfo,
    /// Whether both sides have the same targets.
    #[prost(bool, tag = "2")]
    pub in_sync: bool,
    /// The digest of the member list that the receiver should have; 0 if the
    /// heartbeat didn't ask for it.
    #[prost(fixed64, tag = "3")]
    pub list_digest: u64,
}

/// The processes that a control VM considers alive.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct MemberList {
    #[prost(message, repeated, tag = "1")]
    pub nodes: Vec<NodeInfo>,
}

/// Items that the receiver lacks.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Items {
    /// All changes after this revision are included.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The revision that the receiver has after merging them.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<AcceptedItem>,
    /// Which part of the changes this message contains, from 0.
    #[prost(uint32, tag = "4")]
    pub part: u32,
    /// The number of parts.
    #[prost(uint32, tag = "5")]
    pub parts: u32,
    /// The digest of all changes; only parts with the same one belong together.
    #[prost(fixed64, tag = "6")]
    pub digest: u64,
}

/// Targets of the buckets in which sender and receiver differ.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Targets {
    /// The buckets that are included completely. The receiver replies with the
    /// targets in them that the sender lacks.
    #[prost(uint32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<Target>,
}

/// Target updates, sent repeatedly until acknowledged.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct TargetUpdateMessage {
    #[prost(fixed64, tag = "1")]
    pub update_id: u64,
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<Target>,
}

/// Asks the shard owner for a permit.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PermitRequestMessage {
    /// The incarnation of the requesting process.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    #[prost(uint64, tag = "2")]
    pub serial: u64,
    #[prost(string, tag = "3")]
    pub service: String,
    #[prost(string, tag = "4")]
    pub domain: String,
    /// The hash of the affinity key.
    #[prost(fixed64, optional, tag = "5")]
    pub affinity: Option<u64>,
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// The time left until the objective, in milliseconds.
    #[prost(sint64, tag = "7")]
    pub objective_ms: i64,
    /// The time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub deadline_ms: u64,
    /// How long a request that can no longer meet its objective may wait before
    /// it is refused, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub wait_ms: u64,
    #[prost(string, repeated, tag = "10")]
    pub tried: Vec<String>,
    /// Whether the failure domain is the preferred one of the affinity key.
    #[prost(bool, tag = "11")]
    pub preferred: bool,
    /// The index of the shard within the service's targets of that domain.
    #[prost(uint32, tag = "12")]
    pub shard: u32,
    /// The number of this transmission of the request, from 1.
    #[prost(uint32, tag = "13")]
    pub attempt: u32,
}

/// The decision on a permit request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PermitDecisionMessage {
    #[prost(uint64, tag = "1")]
    pub serial: u64,
    #[prost(oneof = "DecisionKind", tags = "2, 3, 4, 5, 6")]
    pub kind: Option<DecisionKind>,
    /// The reason of [`DecisionKind::Refuse`] is that all targets want no
    /// requests.
    #[prost(bool, tag = "7")]
    pub paused: bool,
    /// The transmission that this message answers immediately; 0 for a decision
    /// that the request waited for.
    #[prost(uint32, tag = "8")]
    pub attempt: u32,
    /// The reason of [`DecisionKind::Refuse`] is that the free slots are kept
    /// for other affinity keys.
    #[prost(bool, tag = "9")]
    pub foreign: bool,
}

/// The kinds of [`PermitDecisionMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum DecisionKind {
    /// A permit for the target with this name.
    #[prost(string, tag = "2")]
    Grant(String),
    /// Refused: all slots are in use. One may be free after this many
    /// milliseconds.
    #[prost(uint64, tag = "3")]
    Refuse(u64),
    /// Not decided yet: the request waits in the admission queue.
    #[prost(bool, tag = "4")]
    Queued(bool),
    /// Refused: no target of the shard can be used.
    #[prost(bool, tag = "5")]
    Unusable(bool),
    /// The receiver of the request grants no permits now, since it is starting
    /// or shutting down.
    #[prost(bool, tag = "6")]
    Unavailable(bool),
}

/// Releases permits.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReleaseMessage {
    /// The incarnation of the releasing process.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// Newest first. Earlier releases are repeated in case their datagram was
    /// lost.
    #[prost(message, repeated, tag = "2")]
    pub permits: Vec<ReleasedPermit>,
}

/// A permit that is released, with what its request observed.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct ReleasedPermit {
    #[prost(uint64, tag = "1")]
    pub serial: u64,
    /// The index of the outcome in `OUTCOME_CODES`.
    #[prost(uint32, tag = "2")]
    pub outcome: u32,
    #[prost(uint64, tag = "3")]
    pub took_us: u64,
    #[prost(uint32, optional, tag = "4")]
    pub running: Option<u32>,
    #[prost(uint32, optional, tag = "5")]
    pub waiting: Option<u32>,
    #[prost(uint32, optional, tag = "6")]
    pub cold_ms: Option<u32>,
    /// The target said that it shuts down.
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// How much longer the target wants no requests.
    #[prost(uint32, optional, tag = "8")]
    pub pause_ms: Option<u32>,
    /// How long ago the target last said how many requests it takes.
    #[prost(uint32, optional, tag = "9")]
    pub limit_age_ms: Option<u32>,
    /// The limit that it named then, in thousandths of a request per second;
    /// `None` if it named none.
    #[prost(uint64, optional, tag = "10")]
    pub limit_millis: Option<u64>,
}
