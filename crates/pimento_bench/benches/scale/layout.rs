//! Nodes, failure domains and regions of a size, with their distances.

use pimento_members::VmInfo;
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// The failure domains of the design size.
const DOMAINS: usize = 46;

/// The regions of the design size.
const REGIONS: usize = 15;

/// The nodes of the design size.
const NODES: usize = 1_100;

/// One way inside a failure domain.
const NEAR: Duration = Duration::from_micros(500);

/// One way between the failure domains of a region.
const DOMAIN: Duration = Duration::from_millis(1);

/// One way between regions, the longer of the brief's two.
const REGION: Duration = Duration::from_millis(20);

/// The nodes of a size, spread evenly over domains, and these over regions.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub nodes: usize,
    pub domains: usize,
    pub regions: usize,
}

impl Layout {
    /// As many domains and regions as the design size has for its nodes.
    pub fn new(nodes: usize) -> Self {
        let domains = (nodes * DOMAINS).div_ceil(NODES).max(2);
        Self {
            nodes,
            domains,
            regions: (domains * REGIONS).div_ceil(DOMAINS).max(2),
        }
    }

    pub fn domain(&self, node: usize) -> usize {
        node * self.domains / self.nodes
    }

    pub fn region(&self, node: usize) -> usize {
        self.domain(node) * self.regions / self.domains
    }

    pub fn delay(&self, a: usize, b: usize) -> Duration {
        if self.domain(a) == self.domain(b) {
            NEAR
        } else if self.region(a) == self.region(b) {
            DOMAIN
        } else {
            REGION
        }
    }

    /// The first two nodes of each domain.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let first = |n: &usize| *n == 0 || self.domain(*n) != self.domain(*n - 1);
        let firsts = (0..self.nodes).filter(first);
        firsts.flat_map(|n| [address(n), address(n + 1)]).collect()
    }

    pub fn info(&self, node: usize, incarnation: u64) -> VmInfo {
        let link = address(node);
        let listen = |port| Some(SocketAddr::new(link.ip(), port));
        let name = |what: &str, n: usize| format!("{what}{n:02}");
        let domain = name("domain", self.domain(node));
        VmInfo {
            vm: format!("{domain}-vm{node:04}").parse().expect("good name"),
            region: name("region", self.region(node))
                .parse()
                .expect("good name"),
            domain: domain.parse().expect("good name"),
            // The size of a start time in milliseconds.
            incarnation: 1_800_000_000_000 + incarnation,
            link,
            callers: listen(8_080),
            forwards: listen(8_081),
            targets: listen(8_082),
        }
    }
}

/// The link address of a node.
pub fn address(node: usize) -> SocketAddr {
    let [.., a, b] = (node as u32).to_be_bytes();
    SocketAddr::from(([10, 0, a, b], 7_100))
}

/// The node with a link address.
pub fn node(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [.., a, b] = ip.octets();
            usize::from(a) << 8 | usize::from(b)
        }
        IpAddr::V6(_) => unreachable!("the layout has no such address"),
    }
}
