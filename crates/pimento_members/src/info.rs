//! Who a VM is and where it listens.

use pimento_core::hash;
use pimento_core::{DomainId, RegionId, VmId};
use std::net::SocketAddr;

/// What a VM says of itself for as long as its process lives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmInfo {
    /// The name of the VM.
    pub vm: VmId,
    /// The region of the VM.
    pub region: RegionId,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// Grows with each start of the VM's process, such as its start time.
    pub incarnation: u64,
    /// Where the VM takes links.
    pub link: SocketAddr,
    /// Where the VM takes look-ups and requests, if it has the entry role.
    pub callers: Option<SocketAddr>,
    /// Where the VM takes forwarded requests, if it has the entry role.
    pub forwards: Option<SocketAddr>,
    /// Where the VM takes announcements, if it has the entry role.
    pub targets: Option<SocketAddr>,
}

impl VmInfo {
    /// A short hash of the name and the incarnation, which stands for them in
    /// heartbeats. It only has to differ between the VMs of one domain.
    pub fn incarnation_hash(&self) -> u32 {
        let incarnation = self.incarnation.to_le_bytes();
        hash::fnv([self.vm.as_bytes(), &incarnation]) as u32
    }
}

/// A VM of another failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contact {
    /// The name of the VM.
    pub vm: VmId,
    /// Where the VM takes links.
    pub link: SocketAddr,
    /// Where the VM takes look-ups and requests, if known.
    pub callers: Option<SocketAddr>,
    /// Where the VM takes forwarded requests, if known.
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
