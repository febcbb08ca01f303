//! What the VMs say to each other.

use pimento_items::AcceptedItem;
use pimento_registry::Target;
use std::net::SocketAddr;

/// What a process does in the system.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// It takes requests.
    Entry = 0,
    /// It keeps the durable state and takes reports of targets.
    Control = 1,
}

/// How far a process has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Stage {
    /// It does not know enough to serve.
    Starting = 0,
    /// It serves.
    Ready = 1,
    /// It finishes what it has.
    Stopping = 2,
    /// It ends now.
    Gone = 3,
}

/// A process as it describes itself.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct NodeInfo {
    /// Where it takes datagrams, as `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Drawn at random when the process started.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// What it does.
    #[prost(enumeration = "Role", tag = "3")]
    pub role: i32,
    /// How far it has come.
    #[prost(enumeration = "Stage", tag = "4")]
    pub stage: i32,
    /// Its failure domain.
    #[prost(string, tag = "5")]
    pub domain: String,
    /// Where callers reach it, if they do.
    #[prost(string, tag = "6")]
    pub caller_address: String,
}

impl NodeInfo {
    /// Where it takes datagrams, if that can be read.
    pub fn socket_addr(&self) -> Option<SocketAddr> {
        self.address.parse().ok()
    }
}

/// A message.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Message {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<Body>,
}

/// The content of a [`Message`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Body {
    /// A process lives, and this is what it has.
    #[prost(message, tag = "1")]
    Beat(Beat),
    /// The answer to a beat.
    #[prost(message, tag = "2")]
    Pong(Pong),
    /// The processes that a control VM hears.
    #[prost(message, tag = "3")]
    Roster(Roster),
    /// Items that the receiver lacks.
    #[prost(message, tag = "4")]
    Items(Items),
    /// Targets of the parts in which sender and receiver differ.
    #[prost(message, tag = "5")]
    Targets(Targets),
    /// News of targets, repeated until acknowledged.
    #[prost(message, tag = "6")]
    Announce(Announce),
    /// News with this number were taken.
    #[prost(fixed64, tag = "7")]
    Heard(u64),
    /// A request needs a place.
    #[prost(message, tag = "8")]
    Ask(AskMessage),
    /// What became of it.
    #[prost(message, tag = "9")]
    Verdict(VerdictMessage),
    /// Places are given back.
    #[prost(message, tag = "10")]
    Done(Done),
    /// A process ends now.
    #[prost(fixed64, tag = "11")]
    Bye(u64),
    /// A process lives, told to control VMs that it doesn't follow.
    #[prost(message, tag = "12")]
    Alive(Alive),
    /// The receiver of an [`Alive`] doesn't know the process.
    #[prost(bool, tag = "13")]
    Unknown(bool),
    /// This state of a target is known wherever it must be.
    #[prost(message, tag = "14")]
    Settled(Target),
}

/// A process lives, told to control VMs that it doesn't follow.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct Alive {
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    #[prost(enumeration = "Stage", tag = "2")]
    pub stage: i32,
    /// The revision of its items.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The share of its link that requests take, in percent.
    #[prost(uint32, tag = "4")]
    pub load: u32,
}

/// A process lives, and this is what it has.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Beat {
    #[prost(message, required, tag = "1")]
    pub info: NodeInfo,
    /// The revision of its items.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The digests of its targets; empty if the receiver is not asked for what
    /// the sender lacks.
    #[prost(fixed32, repeated, tag = "3")]
    pub buckets: Vec<u32>,
    /// The digest of the roster that it has.
    #[prost(fixed64, tag = "4")]
    pub roster: u64,
    /// The share of its link that requests take, in percent.
    #[prost(uint32, tag = "5")]
    pub load: u32,
}

/// The answer to a beat.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Pong {
    #[prost(message, required, tag = "1")]
    pub info: NodeInfo,
    /// Whether the receiver's targets are the sender's.
    #[prost(bool, tag = "2")]
    pub level: bool,
    /// The digest of the roster that the receiver should have; 0 if it was not
    /// asked for.
    #[prost(fixed64, tag = "3")]
    pub roster: u64,
}

/// The processes that a control VM hears.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Roster {
    #[prost(message, repeated, tag = "1")]
    pub nodes: Vec<NodeInfo>,
}

/// Items that the receiver lacks.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Items {
    /// The revision after which all changes are here.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The revision that the receiver then has.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    #[prost(message, repeated, tag = "3")]
    pub held: Vec<AcceptedItem>,
}

/// Targets of the parts in which sender and receiver differ.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Targets {
    /// The parts that are here in full; the receiver answers with what it has
    /// beyond them.
    #[prost(uint32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<Target>,
}

/// News of targets, repeated until acknowledged.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Announce {
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<Target>,
}

/// A request needs a place.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AskMessage {
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    #[prost(uint64, tag = "2")]
    pub serial: u64,
    #[prost(string, tag = "3")]
    pub service: String,
    #[prost(string, tag = "4")]
    pub domain: String,
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
    /// The longest wait that may end in a refusal, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub max_wait_ms: u64,
    #[prost(string, repeated, tag = "10")]
    pub tried: Vec<String>,
    /// Whether the failure domain is the first one for the object.
    #[prost(bool, tag = "11")]
    pub preferred: bool,
    /// The shard of the targets in the failure domain.
    #[prost(uint32, tag = "12")]
    pub shard: u32,
}

/// What became of an ask.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct VerdictMessage {
    #[prost(uint64, tag = "1")]
    pub serial: u64,
    #[prost(oneof = "VerdictKind", tags = "2, 3, 4, 5, 6")]
    pub kind: Option<VerdictKind>,
}

/// The kinds of [`VerdictMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum VerdictKind {
    /// A place on this target.
    #[prost(string, tag = "2")]
    Grant(String),
    /// None; there may be one after so many milliseconds.
    #[prost(uint64, tag = "3")]
    Refuse(u64),
    /// It waits.
    #[prost(bool, tag = "4")]
    Queued(bool),
    /// None, and no target can be used.
    #[prost(bool, tag = "5")]
    Unusable(bool),
    /// The receiver of the ask grants no places now.
    #[prost(bool, tag = "6")]
    Away(bool),
}

/// Places are given back.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Done {
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// The newest one first; older ones again, in case they were lost.
    #[prost(message, repeated, tag = "2")]
    pub places: Vec<DonePlace>,
}

/// A place is given back.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct DonePlace {
    #[prost(uint64, tag = "1")]
    pub serial: u64,
    #[prost(uint32, tag = "2")]
    pub ending: u32,
    #[prost(uint64, tag = "3")]
    pub took_us: u64,
    #[prost(uint32, optional, tag = "4")]
    pub running: Option<u32>,
    #[prost(uint32, optional, tag = "5")]
    pub waiting: Option<u32>,
    #[prost(uint32, optional, tag = "6")]
    pub cold_ms: Option<u32>,
}
