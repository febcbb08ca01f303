//! The messages between members.
//!
//! They travel on the members' channel of the links. Names are text here, and
//! are checked when they are taken in.

use std::sync::Arc;

/// A message of membership.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub body: Option<Body>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A heartbeat inside a failure domain.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// A greeting, or the answer to one.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// A planned stop.
    #[prost(message, tag = "3")]
    Leave(Leave),
    /// A summary for another failure domain.
    #[prost(message, tag = "4")]
    Summary(Summary),
}

/// A heartbeat, which goes to every live VM of the failure domain.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The sender, in some of the heartbeats.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// The sender's incarnation, in some of the heartbeats.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The sender's interval between heartbeats, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub interval_ms: u32,
    /// The version of the sender's rules.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// The hash of the services and slots that `numbers` belong to.
    #[prost(fixed32, tag = "5")]
    pub layout_hash: u32,
    /// For each service the free slots, the queued requests and the latency in
    /// units of 100 µs.
    #[prost(uint32, repeated, tag = "6")]
    pub load_values: Vec<u32>,
    /// The services and slots, in some of the heartbeats.
    #[prost(message, repeated, tag = "7")]
    pub services: Vec<EncodedService>,
    /// VMs that the sender has not heard for some time.
    #[prost(message, repeated, tag = "8")]
    pub suspects: Vec<VmIncarnation>,
    /// VMs that others suspect and that the sender has heard itself.
    #[prost(message, repeated, tag = "9")]
    pub confirmed_alive: Vec<VmIncarnation>,
    /// Summaries of other domains that reached the sender since its last
    /// heartbeat.
    #[prost(message, repeated, tag = "10")]
    pub summaries: Vec<Summary>,
    /// The sender's link address, in some of the heartbeats.
    #[prost(bytes = "vec", tag = "11")]
    pub link: Vec<u8>,
    /// The hash of the names of the VMs that the sender counts as live and of
    /// the domains that it knows.
    #[prost(fixed32, tag = "12")]
    pub view_digest: u32,
    /// The hash of the sender's name and incarnation.
    #[prost(fixed32, tag = "13")]
    pub incarnation_hash: u32,
}

/// One run of a VM's process.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct VmIncarnation {
    /// The VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// A service and the slots that a VM or domain holds for it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EncodedService {
    /// The service.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The slots.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// The slots of cold targets among them.
    #[prost(uint32, tag = "3")]
    pub cold: u32,
}

/// A greeting, or the answer to one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub info: Option<EncodedInfo>,
    /// Whether the sender asks for an answer.
    #[prost(bool, tag = "2")]
    pub wants_reply: bool,
    /// Whether the answer should hold the summaries of other domains.
    #[prost(bool, tag = "3")]
    pub skip_summaries: bool,
    /// The version of the sender's rules.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// VMs that the receiver may not know.
    #[prost(message, repeated, tag = "5")]
    pub hints: Vec<Hint>,
    /// Summaries of other domains.
    #[prost(message, repeated, tag = "6")]
    pub summaries: Vec<Summary>,
}

/// A VM that the receiver may not know.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hint {
    /// The VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Its link address.
    #[prost(bytes = "vec", tag = "3")]
    pub link: Vec<u8>,
}

/// A planned stop.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Leave {
    /// The VM that stops.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether a VM of another domain passes it on to its own.
    #[prost(bool, tag = "3")]
    pub relay: bool,
}

/// A failure domain as one of its VMs sums it up.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Summary {
    /// The domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// The hash of the names that `numbers` belong to.
    #[prost(fixed32, tag = "2")]
    pub layout_hash: u32,
    /// For each service the free slots, the queued requests, the latency in
    /// units of 100 µs, and the VMs with the most free slots as two places in
    /// `contacts`, counted from one, or zero.
    #[prost(uint32, repeated, tag = "3")]
    pub load_values: Vec<u32>,
    /// The lowest version of the rules among the domain's live VMs.
    #[prost(uint64, tag = "4")]
    pub min_version: u64,
    /// The highest one, as the distance from the lowest.
    #[prost(uint64, tag = "5")]
    pub version_spread: u64,
    /// The domain's live VMs.
    #[prost(uint32, tag = "6")]
    pub live: u32,
    /// The domain's known VMs.
    #[prost(uint32, tag = "7")]
    pub total: u32,
    /// The time since the summary was made, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub age_ms: u32,
    /// The region, together with the names below.
    #[prost(string, tag = "9")]
    pub region: String,
    /// The services, in some of the summaries.
    #[prost(message, repeated, tag = "10")]
    pub services: Vec<EncodedService>,
    /// Some of the domain's VMs, in some of the summaries.
    #[prost(message, repeated, tag = "11")]
    pub contacts: Vec<EncodedContact>,
    /// The VM that sends the summary to another domain; when the summary is
    /// passed on inside that domain, only together with the names or after a
    /// change.
    #[prost(message, optional, tag = "12")]
    pub sender: Option<EncodedContact>,
    /// The version of that VM's rules.
    #[prost(uint64, tag = "13")]
    pub version: u64,
    /// A VM of a third domain.
    #[prost(message, optional, tag = "14")]
    pub hint: Option<Hint>,
}

/// A VM with its addresses.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EncodedInfo {
    /// The VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Its failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// Its incarnation.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Its link address.
    #[prost(bytes = "vec", tag = "5")]
    pub link: Vec<u8>,
    /// Its listener for callers, or nothing.
    #[prost(bytes = "vec", tag = "6")]
    pub callers: Vec<u8>,
    /// Its listener for forwarded requests, or nothing.
    #[prost(bytes = "vec", tag = "7")]
    pub forwards: Vec<u8>,
    /// Its listener for targets, or nothing.
    #[prost(bytes = "vec", tag = "8")]
    pub targets: Vec<u8>,
}

/// A VM of another domain with the addresses that matter there.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EncodedContact {
    /// The VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its link address.
    #[prost(bytes = "vec", tag = "2")]
    pub link: Vec<u8>,
    /// Its listener for callers, or nothing.
    #[prost(bytes = "vec", tag = "3")]
    pub callers: Vec<u8>,
    /// Its listener for forwarded requests, or nothing.
    #[prost(bytes = "vec", tag = "4")]
    pub forwards: Vec<u8>,
}

impl Body {
    /// The message that says this.
    pub(crate) fn into_shared(self) -> Arc<Message> {
        Arc::new(Message { body: Some(self) })
    }
}
