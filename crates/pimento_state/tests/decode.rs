//! Damaged commands and snapshots never cause a panic, and damaged commands
//! are applied alike by all replicas.

use bolero::check;
use pimento_rules::Note;
use pimento_state::{
    Command, Op, State,
    ledger::{Claim, ClaimKey, Holder},
};
use prost::Message as _;

fn claim() -> Claim {
    let mut key = 1_800_000_000_000_u64.to_be_bytes()[2..].to_vec();
    key.extend([0x70, 0, 0x80, 0, 0, 0, 0, 0, 0, 1]);
    Claim {
        claim_key: Some(ClaimKey {
            key,
            tenant: "t".into(),
            service: "s".into(),
        }),
        fingerprint: vec![3; 32],
        resource: Some("shift".into()),
        limit: 2,
        holder: Some(Holder {
            vm: "entry".into(),
            incarnation: 1,
            attempt: 1,
        }),
        timeout: 1_000,
    }
}

fn commands() -> [Command; 2] {
    let text = "number: 1\nadded: {regions: [{name: a}]}";
    let note = Note::parse(text).expect("the note is well formed");
    let time = 1_800_000_000_000;
    [
        Command::note(time, &note),
        Command::new(time, Op::Claim(claim())),
    ]
}

fn state() -> State {
    let mut state = State::default();
    for (command, index) in commands().iter().zip(1..) {
        state.apply(index, command);
    }
    state
}

#[test]
fn arbitrary_bytes_never_panic() {
    let check = check!().with_type::<Vec<u8>>().with_iterations(500);
    check.for_each(|bytes| {
        drop(State::restore(bytes));
        if let Ok(command) = Command::decode(bytes.as_slice()) {
            state().apply(3, &command);
        }
        state().apply(3, &Command::new(0, Op::Note(bytes.clone())));
    });
}

#[test]
fn damaged_commands_apply_alike() {
    for command in commands() {
        let encoded = command.encode_to_vec();
        for offset in 0..encoded.len() {
            for bit in 0..u8::BITS {
                let mut bytes = encoded.clone();
                bytes[offset] ^= 1 << bit;
                let Ok(command) = Command::decode(bytes.as_slice()) else {
                    continue;
                };
                let mut first = State::default();
                let mut second = State::default();
                assert_eq!(first.apply(1, &command), second.apply(1, &command));
                assert_eq!(first, second);
                let restored = State::restore(&first.snapshot()).expect("a valid snapshot");
                assert_eq!(restored, first);
            }
        }
    }
}

#[test]
fn damaged_snapshot_never_panics() {
    let encoded = state().snapshot();
    for offset in 0..encoded.len() {
        drop(State::restore(&encoded[..offset]));
        for bit in 0..u8::BITS {
            let mut bytes = encoded.clone();
            bytes[offset] ^= 1 << bit;
            if let Ok(state) = State::restore(&bytes) {
                let restored = State::restore(&state.snapshot()).expect("a valid snapshot");
                assert_eq!(restored, state);
            }
        }
    }
}

#[test]
fn snapshot_round_trip() {
    let state = state();
    let restored = State::restore(&state.snapshot()).expect("a valid snapshot");
    assert_eq!(restored, state);
    let claim_key = claim().claim_key.expect("the claim has a key");
    assert!(restored.claim("t", "s", &claim_key.key).is_some());
    assert!(restored.claim("other", "s", &claim_key.key).is_none());
}
