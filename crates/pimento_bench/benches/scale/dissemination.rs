//! Compares strategies for disseminating one message, in synchronous rounds.
//!
//! The strategies are heartbeats to all nodes of a domain with summaries between
//! domains (what this project does), random gossip, and neighbourhoods with
//! proxies and path-avoiding directional gossip as in the paper (S. Chen, G. Wang,
//! J. Liu, M. Lin: "Monitoring Neighborhood Self-organization and Message
//! Dissemination for Monitoring Large-scale Distributed Systems", algorithm 2),
//! simplified: the neighbourhoods are the failure domains.

use super::layout::Layout;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

/// Payload size in bytes: a name, an incarnation, a version and load figures.
const PAYLOAD_BYTES: u64 = 60;

/// Bytes that each hop adds to the path in directional gossip: a name.
const HOP_BYTES: u64 = 4;

/// Overhead per message in bytes, as in the simulation.
const OVERHEAD_BYTES: u64 = super::sim::OVERHEAD_BYTES;

/// Number of runs to average over; a tenth of it with `--short`.
const RUNS: u64 = 200;

/// A message delivered to a node, which may forward it.
#[derive(Clone)]
struct Delivery {
    to: usize,
    ttl: u32,
    path: Vec<usize>,
}

/// Cost and coverage of disseminating one message, per node.
#[derive(Clone, Copy, Default)]
struct Outcome {
    messages: f64,
    bytes: f64,
    coverage: f64,
    rounds: f64,
}

/// How a message is disseminated among a group of nodes.
#[derive(Clone, Copy, Debug)]
enum Strategy {
    /// The source sends to every node.
    Full,
    /// A node forwards the first copy it receives to `fanout` random nodes.
    Gossip { fanout: usize },
    /// A node forwards every copy to `fanout` nodes outside the copy's path, until
    /// the TTL is used up.
    Directional { fanout: usize, ttl: u32 },
}

struct Dissemination {
    rng: SmallRng,
    loss: f64,
    covered: Vec<bool>,
    messages: u64,
    bytes: u64,
}

impl Dissemination {
    fn new(nodes: usize, loss: f64, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            loss,
            covered: vec![false; nodes],
            messages: 0,
            bytes: 0,
        }
    }

    /// Counts a message and returns whether it is delivered.
    fn send(&mut self, path: usize) -> bool {
        self.messages += 1;
        self.bytes += PAYLOAD_BYTES + OVERHEAD_BYTES + HOP_BYTES * path as u64;
        !self.rng.random_bool(self.loss)
    }

    /// Disseminates a message from one node of a group to the others; returns the
    /// number of rounds.
    fn spread_in_group(&mut self, group: &[usize], source: usize, strategy: Strategy) -> u32 {
        self.covered[source] = true;
        let ttl = match strategy {
            Strategy::Full => 1,
            Strategy::Gossip { .. } => u32::MAX,
            Strategy::Directional { ttl, .. } => ttl,
        };
        let start = Delivery {
            to: source,
            ttl,
            path: Vec::new(),
        };
        let mut deliveries = vec![start];
        let mut rounds = 0;
        while !deliveries.is_empty() {
            let mut next = Vec::new();
            for delivery in &deliveries {
                self.forward(group, delivery, strategy, &mut next);
            }
            rounds += u32::from(!next.is_empty());
            deliveries = next;
        }
        rounds
    }

    fn forward(
        &mut self,
        group: &[usize],
        delivery: &Delivery,
        strategy: Strategy,
        next: &mut Vec<Delivery>,
    ) {
        if delivery.ttl == 0 {
            return;
        }
        let others = group.iter().copied();
        let mut others: Vec<_> = others
            .filter(|n| *n != delivery.to && !delivery.path.contains(n))
            .collect();
        others.shuffle(&mut self.rng);
        let (fanout, keeps_path) = match strategy {
            Strategy::Full => (others.len(), false),
            Strategy::Gossip { fanout } => (fanout, false),
            Strategy::Directional { fanout, .. } => (fanout, true),
        };
        let mut path = delivery.path.clone();
        if keeps_path {
            path.push(delivery.to);
        }
        for to in others.into_iter().take(fanout) {
            if !self.send(path.len()) {
                continue;
            }
            let first = !std::mem::replace(&mut self.covered[to], true);
            // Directional gossip also forwards duplicates, with their paths.
            if first || keeps_path {
                let ttl = delivery.ttl - 1;
                next.push(Delivery {
                    to,
                    ttl,
                    path: path.clone(),
                });
            }
        }
    }

    /// Disseminates over all domains: inside the source's domain, then from its
    /// proxy to the other proxies, then inside each domain. Returns the rounds of
    /// the longest chain.
    fn spread_by_proxies(&mut self, domains: &[Vec<usize>], strategy: Strategy) -> u32 {
        let source = domains[0][domains[0].len() - 1];
        let first = self.spread_in_group(&domains[0], source, strategy);
        let proxies: Vec<_> = domains.iter().map(|d| d[0]).collect();
        if !self.covered[proxies[0]] {
            return first;
        }
        let between = self.spread_in_group(&proxies, proxies[0], strategy);
        let mut inside = 0;
        for domain in &domains[1..] {
            if self.covered[domain[0]] {
                inside = inside.max(self.spread_in_group(domain, domain[0], strategy));
            }
        }
        first + between + inside
    }

    /// Disseminates over all domains by delegates: the nodes of the source's
    /// domain divide the other domains among themselves.
    fn spread_by_delegates(&mut self, domains: &[Vec<usize>]) -> u32 {
        let source = domains[0][domains[0].len() - 1];
        self.spread_in_group(&domains[0], source, Strategy::Full);
        for (index, domain) in domains.iter().enumerate().skip(1) {
            let delegate = domains[0][index % domains[0].len()];
            if self.covered[delegate] && self.send(0) {
                let receiver = domain[index % domain.len()];
                self.spread_in_group(domain, receiver, Strategy::Full);
            }
        }
        3
    }

    fn outcome(&self, nodes: &[usize], rounds: u32) -> Outcome {
        let covered = nodes.iter().filter(|n| self.covered[**n]).count();
        Outcome {
            messages: self.messages as f64 / nodes.len() as f64,
            bytes: self.bytes as f64 / nodes.len() as f64,
            coverage: covered as f64 / nodes.len() as f64,
            rounds: rounds.into(),
        }
    }
}

/// Compares the strategies inside one domain and over the whole system.
pub fn run(layout: Layout, seed: u64, short: bool) {
    let runs = if short { RUNS / 10 } else { RUNS };
    let domains: Vec<Vec<usize>> = (0..layout.domains)
        .map(|d| {
            (0..layout.nodes)
                .filter(|n| layout.domain(*n) == d)
                .collect()
        })
        .collect();
    let size = domains[0].len();
    println!("one message to a domain of {size}, mean of {runs} runs:");
    let full = Strategy::Full;
    let inside = [
        ("full heartbeats", full),
        ("random gossip, 4", Strategy::Gossip { fanout: 4 }),
        ("random gossip, 6", Strategy::Gossip { fanout: 6 }),
        (
            "directional, 2, 4",
            Strategy::Directional { fanout: 2, ttl: 4 },
        ),
        (
            "directional, 3, 4",
            Strategy::Directional { fanout: 3, ttl: 4 },
        ),
        (
            "directional, 4, 3",
            Strategy::Directional { fanout: 4, ttl: 3 },
        ),
    ];
    for (name, strategy) in inside {
        compare(name, &domains[0], layout.nodes, runs, seed, |s| {
            s.spread_in_group(&domains[0], domains[0][0], strategy)
        });
    }
    for intervals in [2, 3] {
        let name = format!("full heartbeats, {intervals} times");
        compare(&name, &domains[0], layout.nodes, runs, seed, |s| {
            let source = domains[0][0];
            (0..intervals)
                .map(|_| s.spread_in_group(&domains[0], source, full))
                .sum()
        });
    }
    let all: Vec<_> = (0..layout.nodes).collect();
    println!(
        "one message to all {} nodes, mean of {runs} runs:",
        all.len()
    );
    let gossip = |fanout| Strategy::Gossip { fanout };
    compare(
        "heartbeats and delegates",
        &all,
        all.len(),
        runs,
        seed,
        |s| s.spread_by_delegates(&domains),
    );
    compare("the same, 3 intervals", &all, all.len(), runs, seed, |s| {
        (0..3).map(|_| s.spread_by_delegates(&domains)).sum()
    });
    for fanout in [4, 8, 10] {
        let name = format!("random gossip, {fanout}");
        compare(&name, &all, all.len(), runs, seed, |s| {
            s.spread_in_group(&all, all[0], gossip(fanout))
        });
    }
    for (fanout, ttl) in [(2, 4), (3, 4), (4, 3)] {
        let name = format!("proxies, directional, {fanout}, {ttl}");
        compare(&name, &all, all.len(), runs, seed, |s| {
            s.spread_by_proxies(&domains, Strategy::Directional { fanout, ttl })
        });
    }
}

/// Prints the mean outcome of a strategy without loss and with 5% loss.
fn compare(
    name: &str,
    nodes: &[usize],
    total: usize,
    runs: u64,
    seed: u64,
    disseminate: impl Fn(&mut Dissemination) -> u32,
) {
    for loss in [0.0, 0.05] {
        let mut sum = Outcome::default();
        let mut complete_runs = 0;
        for run in 0..runs {
            let mut state = Dissemination::new(total, loss, seed ^ (run << 8));
            let rounds = disseminate(&mut state);
            let outcome = state.outcome(nodes, rounds);
            sum.messages += outcome.messages;
            sum.bytes += outcome.bytes;
            sum.coverage += outcome.coverage;
            sum.rounds += outcome.rounds;
            complete_runs += u64::from(outcome.coverage >= 1.0);
        }
        let mean = |x: f64| x / runs as f64;
        println!(
            "  {name:26} loss {:2.0}%: {:6.1} messages and {:7.0} bytes a node, coverage {:6.2}%, complete in {:3.0}% of runs, {:4.1} rounds",
            loss * 100.0,
            mean(sum.messages),
            mean(sum.bytes),
            mean(sum.coverage) * 100.0,
            mean(complete_runs as f64) * 100.0,
            mean(sum.rounds),
        );
    }
}
