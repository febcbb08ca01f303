//! The faults of the brief at scale.

use super::{
    layout::Layout,
    sim::{Cut, Sim},
};
use std::time::Duration;

/// The time within which rules must be in force everywhere.
const SPREAD: Duration = Duration::from_secs(13);

/// The longest time to wait for anything.
const LIMIT: Duration = Duration::from_mins(3);

/// Causes the faults one after another and returns what bounds are broken.
pub fn run(layout: Layout, seed: u64, short: bool) -> Vec<String> {
    let mut broken = Vec::new();
    let mut sim = Sim::new(layout, seed + 1);
    if sim.run_until(LIMIT, Sim::is_whole).is_none() {
        broken.push("the system never joined".to_owned());
        return broken;
    }
    sim.run(Duration::from_secs(30));
    println!("faults at {} nodes:", layout.nodes);
    broken.extend(lost_vms(&mut sim));
    broken.extend(lost_domain(&mut sim));
    broken.extend(cut(&mut sim, Cut::Regions(0, 1), 1));
    broken.extend(cut(&mut sim, Cut::Domain(1), 2));
    broken.extend(losses(&mut sim, short));
    broken.extend(restart_all(&mut sim));
    broken
}

/// Three VMs fail at once, each in its own domain, and come back.
fn lost_vms(sim: &mut Sim) -> Option<String> {
    sim.reset();
    let step = sim.layout.nodes / 3;
    let lost: Vec<_> = (0..3).map(|n| n * step + 2).collect();
    for n in &lost {
        sim.kill(*n);
    }
    let begin = sim.now;
    let declared = sim.run_until(LIMIT, Sim::is_whole);
    let times = sim.deaths.iter().map(|(at, ..)| at.since(begin));
    let (first, slowest) = (times.clone().min(), times.max());
    println!(
        "  3 lost VMs: declared dead by all after {declared:?}, the first {first:?}, the last {slowest:?}"
    );
    for n in &lost {
        sim.start(*n);
    }
    let back = sim.run_until(LIMIT, Sim::is_whole);
    println!("  3 restarted VMs: known to all after {back:?}");
    (declared.is_none() || back.is_none()).then(|| "lost VMs".to_owned())
}

/// All VMs of a domain fail and come back.
fn lost_domain(sim: &mut Sim) -> Option<String> {
    sim.reset();
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
    let back = sim.run_until(LIMIT, Sim::is_whole);
    println!(
        "  a lost domain: {deaths} deaths declared elsewhere, whole {back:?} after its restart"
    );
    (deaths > 0 || back.is_none()).then(|| "lost domain".to_owned())
}

/// Some links are cut for a minute, in which the rules change.
fn cut(sim: &mut Sim, cut: Cut, version: u64) -> Option<String> {
    sim.reset();
    sim.cut = cut;
    let source = sim.layout.nodes - 1;
    sim.release(source, version);
    sim.run(Duration::from_mins(1));
    let deaths = sim.deaths.len();
    let nodes = sim.nodes.iter().filter(|n| n.version >= version);
    let reached = nodes.count();
    sim.cut = Cut::None;
    let healed = sim.run_until(LIMIT, |s| s.has_all(version));
    println!(
        "  {cut:?} cut for 60 s: {deaths} deaths, rules at {reached} nodes during it, at all {healed:?} after it"
    );
    let slow = healed.is_none_or(|h| h > SPREAD);
    (deaths > 0 || slow).then(|| format!("{cut:?} cut"))
}

/// One message in twenty is lost.
fn losses(sim: &mut Sim, short: bool) -> Option<String> {
    sim.reset();
    sim.loss = 5.0;
    let minutes = if short { 2 } else { 5 };
    sim.run(Duration::from_mins(minutes));
    let deaths = sim.deaths.len();
    sim.release(3, 3);
    let spread = sim.run_until(LIMIT, |s| s.has_all(3));
    sim.loss = 0.0;
    println!(
        "  5% loss for {minutes} min: {deaths} false deaths, rules at all nodes after {spread:?}"
    );
    let slow = spread.is_none_or(|s| s > SPREAD);
    (deaths > 0 || slow).then(|| "5% loss".to_owned())
}

/// All VMs restart at once.
fn restart_all(sim: &mut Sim) -> Option<String> {
    sim.reset();
    for n in 0..sim.nodes.len() {
        sim.kill(n);
    }
    sim.run(Duration::from_secs(1));
    for n in 0..sim.nodes.len() {
        sim.start(n);
    }
    let whole = sim.run_until(LIMIT, Sim::is_whole);
    let sent: u64 = sim.nodes.iter().map(|n| n.spent.sent).sum();
    let each = sent / sim.nodes.len() as u64;
    println!("  all VMs restart: whole after {whole:?}, {each} bytes sent a node");
    whole.is_none().then(|| "restart of all".to_owned())
}
