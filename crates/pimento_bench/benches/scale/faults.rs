//! The required fault scenarios at scale.

use super::{
    layout::Layout,
    sim::{Partition, Sim},
};
use std::time::Duration;

/// Maximum time until new rules are in force on every node.
const MAX_RULES_DELAY: Duration = Duration::from_secs(13);

/// Maximum time to wait for the system to converge.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_mins(3);

/// Injects the faults one after another and returns the exceeded bounds.
pub fn run(layout: Layout, seed: u64, short: bool) -> Vec<String> {
    let mut broken = Vec::new();
    let mut sim = Sim::new(layout, seed + 1);
    if sim
        .run_until(CONVERGENCE_TIMEOUT, Sim::is_converged)
        .is_none()
    {
        broken.push("the system did not converge after its start".to_owned());
        return broken;
    }
    sim.run(Duration::from_secs(30));
    println!("faults at {} nodes:", layout.nodes);
    broken.extend(restart_three_vms(&mut sim));
    broken.extend(restart_domain(&mut sim));
    broken.extend(run_partition(&mut sim, Partition::Regions(0, 1), 1));
    broken.extend(run_partition(&mut sim, Partition::Domain(1), 2));
    broken.extend(run_with_loss(&mut sim, short));
    broken.extend(restart_all(&mut sim));
    broken
}

/// Kills three VMs of different domains at once and restarts them.
fn restart_three_vms(sim: &mut Sim) -> Option<String> {
    sim.reset_counters();
    let step = sim.layout.nodes / 3;
    let lost: Vec<_> = (0..3).map(|n| n * step + 2).collect();
    for n in &lost {
        sim.kill(*n);
    }
    let start = sim.now;
    let declared = sim.run_until(CONVERGENCE_TIMEOUT, Sim::is_converged);
    let times = sim.deaths.iter().map(|(at, ..)| at.since(start));
    let (first, slowest) = (times.clone().min(), times.max());
    println!(
        "  3 lost VMs: declared dead by all after {declared:?}, the first {first:?}, the last {slowest:?}"
    );
    for n in &lost {
        sim.start(*n);
    }
    let recovered = sim.run_until(CONVERGENCE_TIMEOUT, Sim::is_converged);
    println!("  3 restarted VMs: known to all after {recovered:?}");
    (declared.is_none() || recovered.is_none()).then(|| "lost VMs".to_owned())
}

/// Kills all VMs of a domain and restarts them.
fn restart_domain(sim: &mut Sim) -> Option<String> {
    sim.reset_counters();
    let layout = sim.layout;
    let lost: Vec<_> = (0..layout.nodes)
        .filter(|n| layout.domain(*n) == 0)
        .collect();
    for n in &lost {
        sim.kill(*n);
    }
    sim.run(Duration::from_mins(1));
    let deaths = sim.deaths.len();
    for n in &lost {
        sim.start(*n);
    }
    let recovered = sim.run_until(CONVERGENCE_TIMEOUT, Sim::is_converged);
    println!(
        "  a lost domain: {deaths} deaths declared elsewhere, converged {recovered:?} after its restart"
    );
    (deaths > 0 || recovered.is_none()).then(|| "lost domain".to_owned())
}

/// Partitions the network for a minute, during which the rules change.
fn run_partition(sim: &mut Sim, partition: Partition, version: u64) -> Option<String> {
    sim.reset_counters();
    sim.partition = partition;
    let source = sim.layout.nodes - 1;
    sim.set_rules_version(source, version);
    sim.run(Duration::from_mins(1));
    let deaths = sim.deaths.len();
    let nodes = sim.nodes.iter().filter(|n| n.version >= version);
    let reached = nodes.count();
    sim.partition = Partition::None;
    let healed = sim.run_until(CONVERGENCE_TIMEOUT, |s| s.all_have_version(version));
    println!(
        "  {partition:?} cut for 60 s: {deaths} deaths, rules at {reached} nodes during the partition, at all {healed:?} after it"
    );
    let slow = healed.is_none_or(|h| h > MAX_RULES_DELAY);
    (deaths > 0 || slow).then(|| format!("{partition:?} cut"))
}

/// Drops 5% of the messages.
fn run_with_loss(sim: &mut Sim, short: bool) -> Option<String> {
    sim.reset_counters();
    sim.loss = 5.0;
    let minutes = if short { 2 } else { 5 };
    sim.run(Duration::from_mins(minutes));
    let deaths = sim.deaths.len();
    sim.set_rules_version(3, 3);
    let delay = sim.run_until(CONVERGENCE_TIMEOUT, |s| s.all_have_version(3));
    sim.loss = 0.0;
    println!(
        "  5% loss for {minutes} min: {deaths} false deaths, rules at all nodes after {delay:?}"
    );
    let slow = delay.is_none_or(|d| d > MAX_RULES_DELAY);
    (deaths > 0 || slow).then(|| "5% loss".to_owned())
}

/// Restarts all VMs at once.
fn restart_all(sim: &mut Sim) -> Option<String> {
    sim.reset_counters();
    for n in 0..sim.nodes.len() {
        sim.kill(n);
    }
    sim.run(Duration::from_secs(1));
    for n in 0..sim.nodes.len() {
        sim.start(n);
    }
    let converged = sim.run_until(CONVERGENCE_TIMEOUT, Sim::is_converged);
    let sent: u64 = sim.nodes.iter().map(|n| n.traffic.sent).sum();
    let each = sent / sim.nodes.len() as u64;
    println!("  all VMs restart: converged after {converged:?}, {each} bytes sent a node");
    converged.is_none().then(|| "restart of all".to_owned())
}
