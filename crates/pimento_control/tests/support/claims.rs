//! Claims as an entry VM proposes them.

use pimento_state::{
    Command, Effect, Op, Outcome,
    ledger::{Answer, Claim, ClaimKey, Finish, Free, Holder, OutcomeKind, fingerprint},
};
use std::time::{SystemTime, UNIX_EPOCH};

/// The wall-clock time, in milliseconds since the Unix epoch.
pub fn now() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

/// A key that was made at a time.
pub fn slot(time: u64, number: u8) -> ClaimKey {
    let mut key = time.to_be_bytes()[2..].to_vec();
    key.extend([0x70, 0, 0x80, 0, 0, 0, 0, 0, 0, number]);
    ClaimKey {
        key,
        tenant: "armor".into(),
        service: "allowances".into(),
    }
}

fn holder(attempt: u64) -> Holder {
    let vm = "entry-1".into();
    let incarnation = 1;
    Holder {
        vm,
        incarnation,
        attempt,
    }
}

pub fn claim(slot: &ClaimKey, attempt: u64) -> Command {
    let claim = Claim {
        claim_key: Some(slot.clone()),
        fingerprint: fingerprint("POST", "/allowances/7", &[0; 32], b"clerk").to_vec(),
        resource: None,
        limit: 0,
        holder: Some(holder(attempt)),
        timeout: 60_000,
    };
    Command::new(now(), Op::Claim(claim))
}

pub fn free(slot: &ClaimKey, attempt: u64) -> Command {
    let claim_key = Some(slot.clone());
    let holder = Some(holder(attempt));
    Command::new(now(), Op::Free(Free { claim_key, holder }))
}

pub fn answer() -> Answer {
    large_answer(4)
}

/// An answer with a body of some bytes.
pub fn large_answer(size: usize) -> Answer {
    Answer {
        status: 201,
        headers: Vec::new(),
        body: vec![7; size],
    }
}

pub fn done(slot: &ClaimKey, attempt: u64, answer: Answer) -> Command {
    let finish = Finish {
        claim_key: Some(slot.clone()),
        holder: Some(holder(attempt)),
        answer: Some(answer),
    };
    Command::new(now(), Op::Finish(finish))
}

/// What an operation of the ledger did.
pub fn kind(outcome: Outcome) -> OutcomeKind {
    match outcome.effect {
        Some(Effect::Ledger(outcome)) => outcome.kind.unwrap(),
        other => panic!("{other:?}"),
    }
}
