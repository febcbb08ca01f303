//! The identity of a VM and its listening addresses.

use pimento_core::hash;
use pimento_core::{DomainId, RegionId, VmId};
use std::net::SocketAddr;

/// The facts about a VM that stay the same for the lifetime of its process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmInfo {
    /// The name of the VM.
    pub vm: VmId,
    /// The region of the VM.
    pub region: RegionId,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// The incarnation of the VM's process, such as its start time; it increases
    /// with each restart.
    pub incarnation: u64,
    /// The address that links from other VMs connect to.
    pub link: SocketAddr,
    /// The listener for look-ups and requests, if the VM has the entry role.
    pub callers: Option<SocketAddr>,
    /// The listener for forwarded requests, if the VM has the entry role.
    pub forwards: Option<SocketAddr>,
    /// The listener for announcements of targets, if the VM has the entry role.
    pub targets: Option<SocketAddr>,
}

impl VmInfo {
    /// A 32-bit hash of the name and the incarnation, which identifies the sender
    /// of a heartbeat. It only has to be unique within one domain.
    pub fn incarnation_hash(&self) -> u32 {
        let incarnation = self.incarnation.to_le_bytes();
        hash::fnv([self.vm.as_bytes(), &incarnation]) as u32
    }
}

/// A VM of another failure domain, with the addresses that are needed there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contact {
    /// The name of the VM.
    pub vm: VmId,
    /// The address that links from other VMs connect to.
    pub link: SocketAddr,
    /// The listener for look-ups and requests, if known.
    pub callers: Option<SocketAddr>,
    /// The listener for forwarded requests, if known.
    pub forwards: Option<SocketAddr>,
}

impl From<&VmInfo> for Contact {
    fn from(info: &VmInfo) -> Self {
        Self {
            vm: info.vm.clone(),
            link: info.link,
            callers: info.callers,
            forwards: info.forwards,
        }
    }
}
