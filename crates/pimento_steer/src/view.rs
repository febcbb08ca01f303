//! The state of the other VMs, as one entry VM knows it.

use pimento_admit::Headroom;
use pimento_core::prelude::*;
use std::net::SocketAddr;

/// The headroom of one service at one VM or failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceHeadroom {
    /// The service that the headroom is for.
    pub service: ServiceId,
    /// The remaining capacity of its targets there.
    pub headroom: Headroom,
}

/// The name and addresses of an entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVm {
    /// The name of the VM.
    pub vm: VmId,
    /// The address for requests of callers.
    pub caller_addr: SocketAddr,
    /// The address for requests that other entry VMs forward.
    pub forward_addr: SocketAddr,
}

/// A live entry VM of this VM's own failure domain, or this VM itself.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name and addresses.
    pub entry: EntryVm,
    /// Whether it is about to stop and accepts no new requests.
    pub stopping: bool,
    /// When its headroom was received, by this VM's clock.
    pub received_at: Time,
    /// The headroom of the targets whose leases it holds, sorted by service.
    pub services: Vec<ServiceHeadroom>,
}

/// The summarized state of another failure domain.
#[derive(Clone, Debug)]
pub struct DomainSummary {
    /// The name of the failure domain.
    pub domain: DomainId,
    /// Some or all of its live entry VMs that are reachable.
    pub entries: Vec<EntryVm>,
    /// When its headroom was received, by this VM's clock.
    pub received_at: Time,
    /// The headroom of all its targets, sorted by service.
    pub services: Vec<ServiceHeadroom>,
}

/// The state of all other VMs at one time.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The live entry VMs of this VM's failure domain, including this VM.
    pub peers: Vec<Peer>,
    /// The other failure domains.
    pub domains: Vec<DomainSummary>,
}

/// The headroom of a service in a sorted list; zero if the service is missing.
pub(crate) fn headroom_of(services: &[ServiceHeadroom], service: &str) -> Headroom {
    let found = services.binary_search_by(|item| item.service.as_str().cmp(service));
    found.map_or_else(|_| Headroom::default(), |i| services[i].headroom)
}
