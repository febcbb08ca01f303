//! The settings and their defaults.

use ipnet::IpNet;
use pimento_core::{DomainId, RegionId, VmId};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::PathBuf};

/// What a VM does for the system.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes requests, announcements and look-ups.
    Entry,
    /// Holds a replica of the durable state.
    Control,
}

/// The settings of one process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the VM.
    pub vm: VmId,
    /// The region of the VM.
    pub region: RegionId,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// The roles of the VM.
    pub roles: Vec<Role>,
    /// The addresses that the process listens on.
    pub listen: Listen,
    /// The control VMs by their link addresses.
    #[serde(default)]
    pub control: Vec<ControlPeer>,
    /// Link addresses of entry VMs that a starting VM asks for the others.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The data folder of a control VM.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Which targets may announce themselves.
    #[serde(default)]
    pub targets: Targets,
    /// Files that hold secrets.
    pub secrets: Secrets,
    /// Limits on input.
    #[serde(default)]
    pub limits: Limits,
}

/// The addresses that a process listens on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Look-ups and requests; needed by the entry role.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Announcements; needed by the entry role.
    #[serde(default)]
    pub targets: Option<SocketAddr>,
    /// Operators' commands, health and metrics.
    pub operators: SocketAddr,
    /// Framed links between processes.
    pub links: SocketAddr,
    /// Requests that other entry VMs forward; needed by the entry role.
    #[serde(default)]
    pub forwards: Option<SocketAddr>,
}

/// A control VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlPeer {
    /// The name of the VM.
    pub vm: VmId,
    /// Its link address.
    pub address: SocketAddr,
}

/// Which targets may announce themselves.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Targets {
    /// The address ranges of this failure domain's targets.
    pub ranges: Vec<IpNet>,
    /// The lowest port that a target may announce.
    pub port: u16,
}

/// Files that hold secrets.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Secrets {
    /// The bearer token of operators.
    pub operators: PathBuf,
    /// The shared key of the links between processes.
    pub links: PathBuf,
}

/// Limits on input.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The most open connections of callers.
    pub connections: usize,
    /// The longest wait for a request's head, in milliseconds.
    pub head: u64,
    /// The longest silence inside a request's body, in milliseconds.
    pub body: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head: 5_000,
            body: 10_000,
        }
    }
}
