//! The structure of the settings, with defaults.

use ipnet::IpNet;
use pimento_core::{DomainId, RegionId, VmId};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::PathBuf};

/// A role of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Serves look-ups and requests of callers, and announcements of targets.
    Entry,
    /// Stores a replica of the durable state.
    Control,
}

/// The settings of one process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this VM.
    pub vm: VmId,
    /// The region of the VM.
    pub region: RegionId,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// The roles of the VM.
    pub roles: Vec<Role>,
    /// The listening addresses of the process.
    pub listen: Listen,
    /// The control VMs, with their link addresses.
    #[serde(default)]
    pub control: Vec<ControlPeer>,
    /// Link addresses of entry VMs, from which a starting VM discovers the others.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The data folder; needed by the control role.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Restrictions on the targets that may announce themselves.
    #[serde(default)]
    pub targets: Targets,
    /// The files that contain the secrets.
    pub secrets: Secrets,
    /// Limits on connections and requests of callers.
    #[serde(default)]
    pub limits: Limits,
}

/// The listening addresses of a process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For look-ups and requests of callers; needed by the entry role.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// For announcements of targets; needed by the entry role.
    #[serde(default)]
    pub targets: Option<SocketAddr>,
    /// For operators' commands, health checks and metrics.
    pub operators: SocketAddr,
    /// For links from other processes.
    pub links: SocketAddr,
    /// For requests that other entry VMs forward; needed by the entry role.
    #[serde(default)]
    pub forwards: Option<SocketAddr>,
}

/// A member of the control group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlPeer {
    /// The name of the VM.
    pub vm: VmId,
    /// Its link address.
    pub address: SocketAddr,
}

/// Restrictions on the targets that may announce themselves.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Targets {
    /// The address ranges that targets of this failure domain may announce.
    pub ranges: Vec<IpNet>,
    /// The lowest port that a target may announce.
    pub port: u16,
}

/// The files that contain the secrets.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Secrets {
    /// The file with the bearer token of operators.
    pub operators: PathBuf,
    /// The file with the shared key that authenticates links between processes.
    pub links: PathBuf,
}

/// Limits on connections and requests of callers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of open connections of callers.
    pub connections: usize,
    /// The timeout for a request's head, in milliseconds.
    pub head: u64,
    /// The timeout between two parts of a request's body, in milliseconds.
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
