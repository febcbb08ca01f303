//! What an entry VM knows of the others.

use pimento_admit::Headroom;
use pimento_core::prelude::*;
use std::net::SocketAddr;

/// The headroom of one service at one place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceHeadroom {
    /// The service.
    pub service: ServiceId,
    /// What its targets can still take there.
    pub headroom: Headroom,
}

/// The addresses of an entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryVm {
    /// The name of the VM.
    pub vm: VmId,
    /// Where callers send requests.
    pub caller_addr: SocketAddr,
    /// Where other entry VMs send requests.
    pub forward_addr: SocketAddr,
}

/// A live entry VM of the own failure domain, this VM included.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its addresses.
    pub entry: EntryVm,
    /// Whether it prepares to stop, and takes nothing new.
    pub stopping: bool,
    /// When its headroom was received, by the own clock.
    pub received_at: Time,
    /// The headroom of the targets that it holds, sorted by service.
    pub services: Vec<ServiceHeadroom>,
}

/// What is known of another failure domain.
#[derive(Clone, Debug)]
pub struct DomainSummary {
    /// The failure domain.
    pub domain: DomainId,
    /// Its live entry VMs that can be reached, or some of them.
    pub entries: Vec<EntryVm>,
    /// When its headroom was received, by the own clock.
    pub received_at: Time,
    /// The headroom of all its targets, sorted by service.
    pub services: Vec<ServiceHeadroom>,
}

/// Everything that steering knows of other VMs at one time.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The live entry VMs of the own failure domain, this one included.
    pub peers: Vec<Peer>,
    /// The other failure domains.
    pub domains: Vec<DomainSummary>,
}

/// Finds the headroom of a service in a sorted list.
pub(crate) fn room(rooms: &[ServiceHeadroom], service: &str) -> Headroom {
    let found = rooms.binary_search_by(|room| room.service.as_str().cmp(service));
    found.map_or_else(|_| Headroom::default(), |i| rooms[i].headroom)
}
