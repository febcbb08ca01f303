//! What is known of a target.

use pimento_core::hash;

/// How far a target's lifetime has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Stage {
    /// It takes requests.
    Ready = 0,
    /// It finishes what it has and takes nothing new.
    Draining = 1,
    /// It has ended, or another target has its address.
    Gone = 2,
}

/// A lifetime of a target, as reported by itself.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Target {
    /// The name, which a later lifetime may have again.
    #[prost(string, tag = "1")]
    pub id: String,
    /// When the lifetime began, in milliseconds since the Unix epoch; only
    /// compared with that of another lifetime.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of the report, which grows within a lifetime.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// How far the lifetime has come.
    #[prost(enumeration = "Stage", tag = "4")]
    pub stage: i32,
    /// Where it takes requests, as `ip:port`.
    #[prost(string, tag = "5")]
    pub address: String,
    /// The service that it runs.
    #[prost(string, tag = "6")]
    pub service: String,
    /// Its failure domain.
    #[prost(string, tag = "7")]
    pub domain: String,
    /// The requests that it runs at a time.
    #[prost(uint32, tag = "8")]
    pub slots: u32,
    /// How long it stays cold, in milliseconds from the time of the message.
    #[prost(uint32, tag = "9")]
    pub cold_ms: u32,
}

impl Target {
    /// A hash of all that VMs must agree on.
    pub(crate) fn digest(&self) -> u32 {
        let parts = [
            self.id.as_bytes(),
            &self.incarnation.to_le_bytes(),
            &self.stage.to_le_bytes(),
            self.address.as_bytes(),
            self.service.as_bytes(),
            self.domain.as_bytes(),
            &self.slots.to_le_bytes(),
        ];
        hash::mix(hash::fnv(parts)) as u32
    }
}
