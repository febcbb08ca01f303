//! All VMs must refuse a request soon after it has crashed three targets, whoever
//! saw the crashes, and whatever is lost, restarted or cut off.

mod world;

use pimento_core::hash;
use pimento_fleet::Role;
use pimento_poison::{Fingerprint, Verdict};
use std::time::Duration;
use world::{World, world_with_domains};

const SECOND: Duration = Duration::from_secs(1);
/// The number of control VMs and of failure domains.
const DOMAINS: u8 = 6;
/// The number of entry VMs.
const ENTRIES: u8 = 24;
/// The time after the third crash from which nothing may be sent, the shortest
/// `contact` of the platform's deployments.
const CONTACT: Duration = Duration::from_secs(3);

fn request() -> Fingerprint {
    Fingerprint::of([&b"request"[..]])
}

fn settled_world(seed: u64) -> World {
    let mut world = world_with_domains(DOMAINS, ENTRIES, DOMAINS.into(), seed);
    world.set_items(1);
    world.run(3 * SECOND);
    world
}

/// An entry VM reports that a target crashed.
fn crash(world: &mut World, vm: usize, target: u64) {
    let fleet = &mut world.processes[vm].fleet;
    fleet.report_crash(world.now, hash::mix(target), &[request()], Duration::ZERO);
}

fn refuses(world: &World, vm: usize) -> bool {
    world.processes[vm].fleet.view().verdict(request()) == Some(Verdict::Refused)
}

/// The entry VMs that run and don't refuse the request.
fn ignorant(world: &World) -> Vec<usize> {
    let vms = world.with_role(Role::Entry).into_iter();
    vms.filter(|vm| world.processes[*vm].alive && !refuses(world, *vm))
        .collect()
}

/// Runs until all entry VMs refuse the request and returns how long that took.
fn time_to_refuse(world: &mut World, limit: Duration) -> Duration {
    let start = world.now;
    let done = world.run_until(limit, |w| ignorant(w).is_empty());
    assert!(done, "after {limit:?}, {:?} don't refuse", ignorant(world));
    world.now.since(start)
}

/// Three entry VMs see a crash each, half a second apart.
fn three_crashes(world: &mut World) {
    let vms = world.with_role(Role::Entry);
    for target in 0..3 {
        world.run(SECOND / 2);
        crash(world, vms[target * 7], target as u64);
    }
}

fn refused_world(seed: u64) -> World {
    let mut world = settled_world(seed);
    three_crashes(&mut world);
    time_to_refuse(&mut world, CONTACT);
    world
}

#[test]
fn all_vms_refuse_soon() {
    let mut world = settled_world(1);
    three_crashes(&mut world);
    let took = time_to_refuse(&mut world, CONTACT);
    assert!(took < SECOND / 2, "{took:?}");
}

#[test]
fn two_crashes_refuse_nothing() {
    let mut world = settled_world(1);
    let vms = world.with_role(Role::Entry);
    crash(&mut world, vms[0], 0);
    crash(&mut world, vms[9], 1);
    // The same crash, seen by another VM.
    crash(&mut world, vms[17], 1);
    world.run(CONTACT);
    assert_eq!(ignorant(&world).len(), usize::from(ENTRIES));
}

#[test]
fn lost_datagrams_delay_it_little() {
    let mut longest = Duration::ZERO;
    for seed in 0..40 {
        let mut world = settled_world(seed);
        world.loss = 0.3;
        world.delay = SECOND / 50;
        world.jitter = SECOND / 20;
        three_crashes(&mut world);
        longest = longest.max(time_to_refuse(&mut world, CONTACT));
    }
    println!("longest {longest:?}");
}

#[test]
fn reporters_death_keeps_the_count() {
    let mut world = settled_world(1);
    let vms = world.with_role(Role::Entry);
    crash(&mut world, vms[0], 0);
    crash(&mut world, vms[0], 1);
    world.run(SECOND / 4);
    world.processes[vms[0]].alive = false;
    // A control VM is lost with what it knows.
    let controls = world.with_role(Role::Control);
    world.processes[controls[0]].alive = false;
    world.run(SECOND);
    crash(&mut world, vms[1], 2);
    time_to_refuse(&mut world, CONTACT);
}

#[test]
fn muted_vm_learns_it() {
    let mut world = settled_world(1);
    let vms = world.with_role(Role::Entry);
    // Its link is full: nothing that it sends arrives.
    world.processes[vms[5]].mute = true;
    world.run(3 * SECOND);
    three_crashes(&mut world);
    time_to_refuse(&mut world, CONTACT);
}

#[test]
fn stuck_control_vm_delays_it_little() {
    let mut world = settled_world(1);
    let controls = world.with_role(Role::Control);
    world.processes[controls[2]].frozen = true;
    three_crashes(&mut world);
    time_to_refuse(&mut world, CONTACT);
}

#[test]
fn restarted_vm_knows_when_ready() {
    let mut world = refused_world(1);
    let vm = world.with_role(Role::Entry)[3];
    world.restart(vm);
    let ready = |w: &World| w.processes[vm].fleet.view().ready;
    assert!(world.run_until(5 * SECOND, ready));
    world.run(SECOND / 10);
    assert!(refuses(&world, vm));
}

#[test]
fn restarted_core_learns_it_back() {
    let mut world = refused_world(1);
    for vm in world.with_role(Role::Control) {
        world.restart(vm);
        world.set_items_at(vm, 1);
    }
    world.run(2 * SECOND);
    // One that starts now gets it from the control VMs.
    let vm = world.with_role(Role::Entry)[3];
    world.restart(vm);
    world.run(2 * SECOND);
    assert!(refuses(&world, vm));
    assert!(ignorant(&world).is_empty());
}

#[test]
fn restarted_core_keeps_the_count() {
    let mut world = settled_world(1);
    let vms = world.with_role(Role::Entry);
    crash(&mut world, vms[0], 0);
    crash(&mut world, vms[1], 1);
    world.run(SECOND);
    for vm in world.with_role(Role::Control) {
        world.restart(vm);
        world.set_items_at(vm, 1);
    }
    world.run(2 * SECOND);
    crash(&mut world, vms[2], 2);
    time_to_refuse(&mut world, CONTACT);
}

#[test]
fn cut_off_domain_decides_alone() {
    let mut world = settled_world(1);
    let vms = world.with_role(Role::Entry);
    let domain: Vec<_> = vms.iter().copied().step_by(DOMAINS.into()).collect();
    for vm in &domain {
        world.processes[*vm].partition = 1;
    }
    world.run(3 * SECOND);
    for (target, vm) in domain.iter().take(3).enumerate() {
        crash(&mut world, *vm, target as u64);
    }
    world.run(CONTACT);
    for vm in &domain {
        assert!(refuses(&world, *vm), "{vm}");
    }
    // The others learn it when the cut heals.
    for vm in &domain {
        world.processes[*vm].partition = 0;
    }
    time_to_refuse(&mut world, CONTACT);
}

#[test]
fn rejoined_domain_learns_it() {
    let mut world = settled_world(1);
    let vms = world.with_role(Role::Entry);
    let domain: Vec<_> = vms
        .iter()
        .copied()
        .skip(5)
        .step_by(DOMAINS.into())
        .collect();
    for vm in &domain {
        world.processes[*vm].partition = 1;
    }
    world.run(3 * SECOND);
    three_crashes(&mut world);
    world.run(9 * SECOND);
    assert!(domain.iter().all(|vm| !refuses(&world, *vm)));
    for vm in &domain {
        world.processes[*vm].partition = 0;
    }
    time_to_refuse(&mut world, CONTACT);
}

#[test]
fn answer_lifts_it_everywhere() {
    let mut world = refused_world(1);
    let vm = world.with_role(Role::Entry)[11];
    world.acquit(vm, request());
    let lifted = |w: &World| ignorant(w).len() == usize::from(ENTRIES);
    assert!(world.run_until(CONTACT, lifted));
    world.run(5 * SECOND);
    assert!(lifted(&world), "it must not come back");
}

#[test]
fn answered_request_is_not_blamed() {
    let mut world = settled_world(1);
    let vms = world.with_role(Role::Entry);
    // Another VM has had its answer; the crashes come all at once.
    let now = world.now;
    let effects = world.processes[vms[11]].fleet.report_answer(now, request());
    assert!(effects.is_empty());
    for target in 0..10 {
        crash(&mut world, vms[target % 3], target as u64);
    }
    // No target is left that could answer it again.
    world.run(2 * CONTACT);
    assert_eq!(ignorant(&world).len(), usize::from(ENTRIES));
}

#[test]
fn old_answer_speaks_for_nothing() {
    let mut world = settled_world(1);
    let vms = world.with_role(Role::Entry);
    for vm in &vms {
        let now = world.now;
        world.processes[*vm].fleet.report_answer(now, request());
    }
    world.run(10 * SECOND);
    three_crashes(&mut world);
    time_to_refuse(&mut world, CONTACT);
}

#[test]
fn calm_costs_no_traffic() {
    let mut world = settled_world(1);
    world.run(10 * SECOND);
    let kinds = ["crash", "rulings"];
    let sent = world.traffic.iter().filter(|d| kinds.contains(&d.kind));
    assert_eq!(sent.count(), 0);
}
