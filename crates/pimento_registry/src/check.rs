//! Whether a report may be of a target at all.

use crate::Target;
use std::net::SocketAddr;

/// The most requests that a target can run concurrently. Sums over all targets
/// must stay exact, and requests are spread by slots.
pub const MAX_SLOTS: u32 = 65_535;
/// The longest name of a target, service or failure domain, in bytes. Names are
/// part of messages that must fit into few datagrams.
pub const MAX_NAME_BYTES: usize = 255;
/// The latest incarnation, at the end of the year 9999. A later one would outrank
/// all that follow under the same name.
pub const MAX_INCARNATION: u64 = 253_402_300_799_999;

/// A field of a report has a value that no target has.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum InvalidTarget {
    /// The target's name is empty or too long.
    #[error("must have 1 to {MAX_NAME_BYTES} bytes")]
    Id,
    /// The service's name is empty or too long.
    #[error("must have 1 to {MAX_NAME_BYTES} bytes")]
    Service,
    /// The failure domain's name is empty or too long.
    #[error("must have 1 to {MAX_NAME_BYTES} bytes")]
    Domain,
    /// No target can listen at the address.
    #[error("is no address that one target can listen at")]
    Address,
    /// The incarnation is no start time.
    #[error("must be at most {MAX_INCARNATION}")]
    Incarnation,
    /// The target has more slots than any target.
    #[error("must be at most {MAX_SLOTS}")]
    Slots,
}

impl Target {
    /// Checks the values of a report. Other writers may report anything, and
    /// what is accepted spreads to all VMs.
    ///
    /// # Errors
    ///
    /// Returns the first field whose value no target has.
    pub fn check(&self) -> Result<(), InvalidTarget> {
        let is_name = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
        let checks = [
            (is_name(&self.id), InvalidTarget::Id),
            (is_name(&self.service), InvalidTarget::Service),
            (is_name(&self.domain), InvalidTarget::Domain),
            (is_reachable(&self.address), InvalidTarget::Address),
            (
                self.incarnation <= MAX_INCARNATION,
                InvalidTarget::Incarnation,
            ),
            (self.slots <= MAX_SLOTS, InvalidTarget::Slots),
        ];
        let failed = checks.into_iter().find(|(is_valid, _)| !is_valid);
        failed.map_or(Ok(()), |(_, invalid)| Err(invalid))
    }
}

/// Whether connections can be opened to an address, `ip:port`.
fn is_reachable(address: &str) -> bool {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return false;
    };
    let ip = address.ip();
    let is_broadcast = matches!(ip, std::net::IpAddr::V4(v4) if v4.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}
