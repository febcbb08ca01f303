//! The state of a target as it reports it.

use pimento_core::hash;

/// The stage of a target's incarnation, which only advances.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Stage {
    /// The target accepts requests.
    Ready = 0,
    /// The target finishes its requests and accepts no new ones.
    Draining = 1,
    /// The target has stopped, or another target uses its address.
    Gone = 2,
}

/// One incarnation of a target, as it reports itself.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Target {
    /// The name, which a later incarnation may reuse.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The start time in milliseconds since the Unix epoch. It is only compared
    /// with that of other incarnations, never with a clock.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The sequence number of the report, which increases within an incarnation.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// The [`Stage`] as a number.
    #[prost(enumeration = "Stage", tag = "4")]
    pub stage: i32,
    /// The address that accepts requests, as `ip:port`.
    #[prost(string, tag = "5")]
    pub address: String,
    /// The name of the service that the target runs.
    #[prost(string, tag = "6")]
    pub service: String,
    /// The failure domain that the target runs in.
    #[prost(string, tag = "7")]
    pub domain: String,
    /// The number of requests that the target runs concurrently.
    #[prost(uint32, tag = "8")]
    pub slots: u32,
    /// How much longer the target stays cold, in milliseconds from when the
    /// report was sent.
    #[prost(uint32, tag = "9")]
    pub cold_ms: u32,
}

impl Target {
    /// An incarnation of which only its end is known.
    pub fn gone(id: &str, incarnation: u64) -> Self {
        Self {
            id: id.to_owned(),
            incarnation,
            stage: Stage::Gone as i32,
            ..Self::default()
        }
    }

    /// Whether only its end is known, see [`Self::gone`].
    pub(crate) const fn is_only_end(&self) -> bool {
        self.address.is_empty()
    }

    /// A hash of the fields that must be equal on all VMs.
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
