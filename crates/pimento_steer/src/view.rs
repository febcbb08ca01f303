//! What an entry VM knows of the others.

use pimento_admit::Headroom;
use pimento_core::prelude::*;
use std::net::SocketAddr;

/// The headroom of one service at one place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Room {
    /// The service.
    pub service: ServiceId,
    /// What its targets can still take there.
    pub headroom: Headroom,
}

/// The addresses of an entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The name of the VM.
    pub vm: VmId,
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where other entry VMs send requests.
    pub forwards: SocketAddr,
}

/// A live entry VM of the own failure domain, this VM included.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its addresses.
    pub entry: Entry,
    /// Whether it prepares to stop, and takes nothing new.
    pub stopping: bool,
    /// When its headroom was received, by the own clock.
    pub time: Time,
    /// The headroom of the targets that it holds, sorted by service.
    pub rooms: Vec<Room>,
}

/// What is known of another failure domain.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The failure domain.
    pub domain: DomainId,
    /// Its live entry VMs that can be reached, or some of them.
    pub entries: Vec<Entry>,
    /// When its headroom was received, by the own clock.
    pub time: Time,
    /// The headroom of all its targets, sorted by service.
    pub rooms: Vec<Room>,
}

/// Everything that steering knows of other VMs at one time.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The live entry VMs of the own failure domain, this one included.
    pub peers: Vec<Peer>,
    /// The other failure domains.
    pub domains: Vec<Summary>,
}

/// Finds the headroom of a service in a sorted list.
pub(crate) fn room(rooms: &[Room], service: &str) -> Headroom {
    let found = rooms.binary_search_by(|room| room.service.as_str().cmp(service));
    found.map_or_else(|_| Headroom::default(), |i| rooms[i].headroom)
}
