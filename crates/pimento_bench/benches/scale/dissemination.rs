//! Ways to spread one message, in rounds.
//!
//! Compared are full heartbeats inside a domain with summaries between domains
//! (ours), plain random gossip, and the neighbourhoods with proxies and
//! path-avoiding directional gossip of the related paper (S. Chen, G. Wang,
//! J. Liu, M. Lin: "Monitoring Neighborhood Self-organization and Message
//! Dissemination for Monitoring Large-scale Distributed Systems", algorithm 2),
//! in a reduced form: the neighbourhoods are the failure domains.

use super::layout::Layout;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

/// The payload: a name, an incarnation, a version and the numbers of a load.
const PAYLOAD: u64 = 60;

/// What each hop adds to the path of directional gossip: a name.
const HOP: u64 = 4;

/// The bytes of a message beside its payload, as in the simulation.
const FRAMING: u64 = super::sim::FRAMING;

/// The runs that the figures are the means of.
const RUNS: u64 = 200;

/// A message on its way.
#[derive(Clone)]
struct Hop {
    to: usize,
    ttl: u32,
    path: Vec<usize>,
}

/// The outcome of spreading one message.
#[derive(Clone, Copy, Default)]
struct Outcome {
    messages: f64,
    bytes: f64,
    coverage: f64,
    rounds: f64,
}

/// How a message spreads among a group of nodes.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// The source sends to all.
    Full,
    /// Who hears for the first time sends to some at random.
    Gossip { fanout: usize },
    /// Who hears sends to some that are not in the path, while the message's
    /// time to live lasts.
    Directional { fanout: usize, ttl: u32 },
}

struct Spread {
    rng: SmallRng,
    loss: f64,
    covered: Vec<bool>,
    messages: u64,
    bytes: u64,
}

impl Spread {
    fn new(nodes: usize, loss: f64, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            loss,
            covered: vec![false; nodes],
            messages: 0,
            bytes: 0,
        }
    }

    /// Counts a message and says whether it arrives.
    fn send(&mut self, path: usize) -> bool {
        self.messages += 1;
        self.bytes += PAYLOAD + FRAMING + HOP * path as u64;
        !self.rng.random_bool(self.loss)
    }

    /// Spreads inside a group from one of it; the rounds until it ended.
    fn group(&mut self, group: &[usize], source: usize, way: Way) -> u32 {
        self.covered[source] = true;
        let ttl = match way {
            Way::Full => 1,
            Way::Gossip { .. } => u32::MAX,
            Way::Directional { ttl, .. } => ttl,
        };
        let start = Hop {
            to: source,
            ttl,
            path: Vec::new(),
        };
        let mut wave = vec![start];
        let mut rounds = 0;
        while !wave.is_empty() {
            let mut next = Vec::new();
            for hop in &wave {
                self.forward(group, hop, way, &mut next);
            }
            rounds += u32::from(!next.is_empty());
            wave = next;
        }
        rounds
    }

    fn forward(&mut self, group: &[usize], hop: &Hop, way: Way, next: &mut Vec<Hop>) {
        if hop.ttl == 0 {
            return;
        }
        let others = group.iter().copied();
        let mut others: Vec<_> = others
            .filter(|n| *n != hop.to && !hop.path.contains(n))
            .collect();
        others.shuffle(&mut self.rng);
        let (fanout, keeps) = match way {
            Way::Full => (others.len(), false),
            Way::Gossip { fanout } => (fanout, false),
            Way::Directional { fanout, .. } => (fanout, true),
        };
        let mut path = hop.path.clone();
        if keeps {
            path.push(hop.to);
        }
        for to in others.into_iter().take(fanout) {
            if !self.send(path.len()) {
                continue;
            }
            let first = !std::mem::replace(&mut self.covered[to], true);
            // Directional gossip passes repeats on as well, with their paths.
            if first || keeps {
                let ttl = hop.ttl - 1;
                next.push(Hop {
                    to,
                    ttl,
                    path: path.clone(),
                });
            }
        }
    }

    /// Spreads over all domains: inside the source's, then from its proxy to
    /// the others', then inside each. The rounds of the longest chain.
    fn domains(&mut self, domains: &[Vec<usize>], way: Way) -> u32 {
        let source = domains[0][domains[0].len() - 1];
        let first = self.group(&domains[0], source, way);
        let proxies: Vec<_> = domains.iter().map(|d| d[0]).collect();
        if !self.covered[proxies[0]] {
            return first;
        }
        let between = self.group(&proxies, proxies[0], way);
        let mut inside = 0;
        for domain in &domains[1..] {
            if self.covered[domain[0]] {
                inside = inside.max(self.group(domain, domain[0], way));
            }
        }
        first + between + inside
    }

    /// Spreads over all domains by delegates: the nodes of the first domain
    /// share the other domains among them.
    fn delegates(&mut self, domains: &[Vec<usize>]) -> u32 {
        let source = domains[0][domains[0].len() - 1];
        self.group(&domains[0], source, Way::Full);
        for (place, domain) in domains.iter().enumerate().skip(1) {
            let delegate = domains[0][place % domains[0].len()];
            if self.covered[delegate] && self.send(0) {
                let receiver = domain[place % domain.len()];
                self.group(domain, receiver, Way::Full);
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

/// Compares the ways inside one domain and over the whole system.
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
    let full = Way::Full;
    let inside = [
        ("full heartbeats", full),
        ("random gossip, 4", Way::Gossip { fanout: 4 }),
        ("random gossip, 6", Way::Gossip { fanout: 6 }),
        ("directional, 2, 4", Way::Directional { fanout: 2, ttl: 4 }),
        ("directional, 3, 4", Way::Directional { fanout: 3, ttl: 4 }),
        ("directional, 4, 3", Way::Directional { fanout: 4, ttl: 3 }),
    ];
    for (name, way) in inside {
        compare(name, &domains[0], layout.nodes, runs, seed, |s| {
            s.group(&domains[0], domains[0][0], way)
        });
    }
    for intervals in [2, 3] {
        let name = format!("full heartbeats, {intervals} times");
        compare(&name, &domains[0], layout.nodes, runs, seed, |s| {
            let source = domains[0][0];
            (0..intervals)
                .map(|_| s.group(&domains[0], source, full))
                .sum()
        });
    }
    let all: Vec<_> = (0..layout.nodes).collect();
    println!(
        "one message to all {} nodes, mean of {runs} runs:",
        all.len()
    );
    let gossip = |fanout| Way::Gossip { fanout };
    compare(
        "heartbeats and delegates",
        &all,
        all.len(),
        runs,
        seed,
        |s| s.delegates(&domains),
    );
    compare("the same, 3 intervals", &all, all.len(), runs, seed, |s| {
        (0..3).map(|_| s.delegates(&domains)).sum()
    });
    for fanout in [4, 8, 10] {
        let name = format!("random gossip, {fanout}");
        compare(&name, &all, all.len(), runs, seed, |s| {
            s.group(&all, all[0], gossip(fanout))
        });
    }
    for (fanout, ttl) in [(2, 4), (3, 4), (4, 3)] {
        let name = format!("proxies, directional, {fanout}, {ttl}");
        compare(&name, &all, all.len(), runs, seed, |s| {
            s.domains(&domains, Way::Directional { fanout, ttl })
        });
    }
}

/// Prints the mean outcome of a way without loss and with 5%.
fn compare(
    name: &str,
    nodes: &[usize],
    total: usize,
    runs: u64,
    seed: u64,
    spread: impl Fn(&mut Spread) -> u32,
) {
    for loss in [0.0, 0.05] {
        let mut sum = Outcome::default();
        let mut whole = 0;
        for run in 0..runs {
            let mut state = Spread::new(total, loss, seed ^ (run << 8));
            let rounds = spread(&mut state);
            let outcome = state.outcome(nodes, rounds);
            sum.messages += outcome.messages;
            sum.bytes += outcome.bytes;
            sum.coverage += outcome.coverage;
            sum.rounds += outcome.rounds;
            whole += u64::from(outcome.coverage >= 1.0);
        }
        let mean = |x: f64| x / runs as f64;
        println!(
            "  {name:26} loss {:2.0}%: {:6.1} messages and {:7.0} bytes a node, coverage {:6.2}%, whole in {:3.0}% of runs, {:4.1} rounds",
            loss * 100.0,
            mean(sum.messages),
            mean(sum.bytes),
            mean(sum.coverage) * 100.0,
            mean(whole as f64) * 100.0,
            mean(sum.rounds),
        );
    }
}
