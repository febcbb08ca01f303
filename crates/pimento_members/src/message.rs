//! The messages between members.
//!
//! They are sent on the `Members` channel of the links. Names are plain strings
//! here, and are validated on receipt.

use std::sync::Arc;

/// The envelope of all membership messages.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// The content; a message of an unknown kind has none.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub body: Option<Body>,
}

/// The content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A heartbeat inside a failure domain.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// A hello for discovery, or the reply to one.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// The notice of a graceful shutdown.
    #[prost(message, tag = "3")]
    Leave(Leave),
    /// A summary for another failure domain.
    #[prost(message, tag = "4")]
    Summary(Summary),
}

/// A heartbeat, which is sent to every live VM of the failure domain.
///
/// Most heartbeats have no names: the hashes tell the receiver which sender and
/// which services the load values belong to.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The sender's name, in heartbeats with names.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// The sender's incarnation, in heartbeats with names.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The sender's interval between heartbeats, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub interval_ms: u32,
    /// The version of the sender's rules.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// The hash of the services and slot counts that `load_values` belong to.
    #[prost(fixed32, tag = "5")]
    pub layout_hash: u32,
    /// For each service: the free slots, the queued requests and the latency in
    /// units of 100 µs.
    #[prost(uint32, repeated, tag = "6")]
    pub load_values: Vec<u32>,
    /// The services and slot counts, in heartbeats with names.
    #[prost(message, repeated, tag = "7")]
    pub services: Vec<EncodedService>,
    /// VMs that the sender suspects.
    #[prost(message, repeated, tag = "8")]
    pub suspects: Vec<VmIncarnation>,
    /// VMs that others suspect and that the sender has recently heard from.
    #[prost(message, repeated, tag = "9")]
    pub confirmed_alive: Vec<VmIncarnation>,
    /// Summaries of other domains that the sender has received since its last
    /// heartbeat.
    #[prost(message, repeated, tag = "10")]
    pub summaries: Vec<Summary>,
    /// The sender's link address, in heartbeats with names.
    #[prost(bytes = "vec", tag = "11")]
    pub link: Vec<u8>,
    /// The hash of the names of the VMs that the sender counts as live and of the
    /// domains that it knows.
    #[prost(fixed32, tag = "12")]
    pub view_digest: u32,
    /// The hash of the sender's name and incarnation.
    #[prost(fixed32, tag = "13")]
    pub incarnation_hash: u32,
}

/// One incarnation of a VM's process.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct VmIncarnation {
    /// The name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// A service and the slots that a VM or domain holds leases for.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EncodedService {
    /// The name of the service.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The number of slots.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// The number of these slots that belong to cold targets.
    #[prost(uint32, tag = "3")]
    pub cold: u32,
}

/// A hello, which introduces its sender to a VM, or the reply to one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub info: Option<EncodedInfo>,
    /// Whether the sender asks for a reply.
    #[prost(bool, tag = "2")]
    pub wants_reply: bool,
    /// Whether the reply can leave out the summaries of other domains, because the
    /// sender already has some.
    #[prost(bool, tag = "3")]
    pub skip_summaries: bool,
    /// The version of the sender's rules.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// VMs that the receiver may not know yet.
    #[prost(message, repeated, tag = "5")]
    pub hints: Vec<Hint>,
    /// Summaries of other domains, in replies.
    #[prost(message, repeated, tag = "6")]
    pub summaries: Vec<Summary>,
}

/// A VM that the receiver may not know yet.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hint {
    /// The name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Its link address.
    #[prost(bytes = "vec", tag = "3")]
    pub link: Vec<u8>,
}

/// The notice of a graceful shutdown.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Leave {
    /// The VM that stops.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether the receiver, a VM of another domain, relays it to its own domain.
    #[prost(bool, tag = "3")]
    pub relay: bool,
}

/// The state of a failure domain, aggregated by one of its VMs.
///
/// Summaries without names only have load values, which the layout hash matches
/// to the names of an earlier summary.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Summary {
    /// The domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// The hash of the services, slot counts and contacts that `load_values` belong
    /// to.
    #[prost(fixed32, tag = "2")]
    pub layout_hash: u32,
    /// For each service: the free slots, the queued requests, the latency in units
    /// of 100 µs, and the two VMs with the most free slots. These are positions in
    /// `contacts`, counted from one; zero means none.
    #[prost(uint32, repeated, tag = "3")]
    pub load_values: Vec<u32>,
    /// The lowest rules version among the domain's live VMs.
    #[prost(uint64, tag = "4")]
    pub min_version: u64,
    /// The difference between the highest and the lowest rules version.
    #[prost(uint64, tag = "5")]
    pub version_spread: u64,
    /// The number of the domain's live VMs.
    #[prost(uint32, tag = "6")]
    pub live: u32,
    /// The number of the domain's known VMs, except those that left as planned.
    #[prost(uint32, tag = "7")]
    pub total: u32,
    /// The time since the summary was created, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub age_ms: u32,
    /// The region, in summaries with names.
    #[prost(string, tag = "9")]
    pub region: String,
    /// The services, in summaries with names.
    #[prost(message, repeated, tag = "10")]
    pub services: Vec<EncodedService>,
    /// Some of the domain's VMs, in summaries with names.
    #[prost(message, repeated, tag = "11")]
    pub contacts: Vec<EncodedContact>,
    /// The VM that sends the summary to another domain. When the summary is relayed
    /// within that domain, the field is only set together with the names or after
    /// the sender has changed.
    #[prost(message, optional, tag = "12")]
    pub sender: Option<EncodedContact>,
    /// The version of the sender's rules.
    #[prost(uint64, tag = "13")]
    pub version: u64,
    /// A VM of a third domain, which the receiver may not know yet.
    #[prost(message, optional, tag = "14")]
    pub hint: Option<Hint>,
}

/// The encoded form of [`VmInfo`](crate::VmInfo).
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EncodedInfo {
    /// The name of the VM.
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
    /// Its listener for callers, or empty.
    #[prost(bytes = "vec", tag = "6")]
    pub callers: Vec<u8>,
    /// Its listener for forwarded requests, or empty.
    #[prost(bytes = "vec", tag = "7")]
    pub forwards: Vec<u8>,
    /// Its listener for targets, or empty.
    #[prost(bytes = "vec", tag = "8")]
    pub targets: Vec<u8>,
}

/// The encoded form of [`Contact`](crate::Contact).
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EncodedContact {
    /// The name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its link address.
    #[prost(bytes = "vec", tag = "2")]
    pub link: Vec<u8>,
    /// Its listener for callers, or empty.
    #[prost(bytes = "vec", tag = "3")]
    pub callers: Vec<u8>,
    /// Its listener for forwarded requests, or empty.
    #[prost(bytes = "vec", tag = "4")]
    pub forwards: Vec<u8>,
}

impl Body {
    /// Wraps the content in a message that can be shared by several receivers.
    pub(crate) fn into_shared(self) -> Arc<Message> {
        Arc::new(Message { body: Some(self) })
    }
}
