//! Placement of nodes in failure domains and regions, and the delays between
//! them.

use pimento_members::VmInfo;
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// Number of failure domains at the design size.
const DESIGN_DOMAINS: usize = 46;

/// Number of regions at the design size.
const DESIGN_REGIONS: usize = 15;

/// Number of nodes at the design size.
const DESIGN_NODES: usize = 1_100;

/// One-way delay inside a failure domain.
const DOMAIN_DELAY: Duration = Duration::from_micros(500);

/// One-way delay between failure domains of the same region.
const REGION_DELAY: Duration = Duration::from_millis(1);

/// One-way delay between regions: the longer of the two required delays.
const INTER_REGION_DELAY: Duration = Duration::from_millis(20);

/// Nodes spread evenly over domains, and domains spread evenly over regions.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub nodes: usize,
    pub domains: usize,
    pub regions: usize,
}

impl Layout {
    /// Creates a layout with the design size's ratio of nodes to domains and
    /// regions.
    pub fn new(nodes: usize) -> Self {
        let domains = (nodes * DESIGN_DOMAINS).div_ceil(DESIGN_NODES).max(2);
        Self {
            nodes,
            domains,
            regions: (domains * DESIGN_REGIONS).div_ceil(DESIGN_DOMAINS).max(2),
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
            DOMAIN_DELAY
        } else if self.region(a) == self.region(b) {
            REGION_DELAY
        } else {
            INTER_REGION_DELAY
        }
    }

    /// The first two nodes of each domain.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let is_first = |n: &usize| *n == 0 || self.domain(*n) != self.domain(*n - 1);
        let first_nodes = (0..self.nodes).filter(is_first);
        first_nodes
            .flat_map(|n| [address(n), address(n + 1)])
            .collect()
    }

    pub fn info(&self, node: usize, incarnation: u64) -> VmInfo {
        let link = address(node);
        let listen = |port| Some(SocketAddr::new(link.ip(), port));
        let name = |what: &str, n: usize| format!("{what}{n:02}");
        let domain = name("domain", self.domain(node));
        VmInfo {
            vm: format!("{domain}-vm{node:04}")
                .parse()
                .expect("a valid name"),
            region: name("region", self.region(node))
                .parse()
                .expect("a valid name"),
            domain: domain.parse().expect("a valid name"),
            // As large as a start time in milliseconds since the Unix epoch, so
            // that its encoding has a realistic size.
            incarnation: 1_800_000_000_000 + incarnation,
            link,
            callers: listen(8_080),
            forwards: listen(8_081),
            targets: listen(8_082),
        }
    }
}

/// Returns the link address of a node.
pub fn address(node: usize) -> SocketAddr {
    let [.., a, b] = (node as u32).to_be_bytes();
    SocketAddr::from(([10, 0, a, b], 7_100))
}

/// Returns the node with a link address.
pub fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [.., a, b] = ip.octets();
            usize::from(a) << 8 | usize::from(b)
        }
        IpAddr::V6(_) => unreachable!("the layout has only IPv4 addresses"),
    }
}
