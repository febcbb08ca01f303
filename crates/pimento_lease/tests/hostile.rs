//! Any announcement and any release is handled without a panic and with bounded
//! memory.

mod common;

use common::{at, candidate, leases};
use pimento_lease::{Announcement, LeaseRelease, TargetState, Token};
use prost::Message as _;
use std::time::Duration;

/// The target's name and incarnation, its slots, the epoch, holder, incarnation
/// and serial of a token, and whether the token is sent.
type Input = (u8, u64, u32, (u64, u8, u64, u64), bool);

fn announcement((name, target_incarnation, slots, token, has_token): Input) -> Announcement {
    let (epoch, holder, holder_incarnation, serial) = token;
    let token = Token {
        epoch,
        holder: candidate(u16::from(holder % 3)).vm,
        instance: holder_incarnation % 3,
        serial,
    };
    Announcement {
        target: format!("t{}", name % 4).parse().expect("a valid name"),
        instance: target_incarnation % 3,
        service: "sign-ups".parse().expect("a valid name"),
        address: common::listener(1),
        slots,
        connections: slots,
        state: TargetState::Ready,
        load: slots.wrapping_mul(3),
        token: has_token.then_some(token),
    }
}

#[test]
fn any_announcement() {
    let input = bolero::check!().with_type::<Vec<Input>>();
    input.cloned().for_each(|inputs| {
        let mut vm = leases(1);
        let live = [candidate(1), candidate(2)];
        for (i, input) in inputs.into_iter().enumerate() {
            let now = at(i as u64 * 100);
            let ann = announcement(input);
            let (reply, _) = vm.handle_announcement(now, &ann, &live);
            // A token that was never issued must not permit this VM to send.
            assert_eq!(vm.send_deadline(now, &ann.target), None);
            assert!(reply.interval_ms <= 500);
            vm.tick(now + Duration::from_millis(50));
        }
    });
}

#[test]
fn highest_epoch() {
    let mut vm = leases(1);
    let ann = announcement((0, 0, 6, (u64::MAX, 2, 0, 0), true));
    for n in 0..3 {
        vm.handle_announcement(at(n * 100), &ann, &[]);
    }
    assert_eq!(vm.send_deadline(at(300), &ann.target), None);
}

#[test]
fn any_release() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let mut vm = leases(1);
        if let Ok(release) = LeaseRelease::decode(bytes) {
            vm.accept_release(at(0), release);
        }
        vm.tick(at(100));
    });
}

#[test]
fn any_json() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        drop(serde_json::from_str::<Announcement>(&text));
    });
}

#[test]
fn target_flood() {
    let mut vm = leases(1);
    for n in 0..10_000 {
        let ann = Announcement {
            target: format!("t{n}").parse().expect("a valid name"),
            ..announcement((0, 1, 6, (0, 0, 0, 0), false))
        };
        let (reply, _) = vm.handle_announcement(at(n), &ann, &[]);
        // The echo turns each offer into a lease, so the oldest one must be
        // evicted.
        let echo = Announcement {
            token: Some(reply.token),
            ..ann
        };
        vm.handle_announcement(at(n), &echo, &[]);
    }
    assert!(vm.held_leases(at(10_000)).count() <= 4_096);
}
