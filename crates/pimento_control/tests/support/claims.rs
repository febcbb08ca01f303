//! Ledger commands as an entry VM proposes them.

use pimento_state::{
    Command, Effect, Op, Outcome,
    ledger::{Answer, Claim, ClaimKey, Finish, Free, Holder, OutcomeKind, fingerprint},
};
use std::time::{SystemTime, UNIX_EPOCH};

/// The wall-clock time, in milliseconds since the Unix epoch.
pub fn now_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

/// Creates a claim key with a `UUIDv7` of this time.
pub fn claim_key(time: u64, number: u8) -> ClaimKey {
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

pub fn claim(claim_key: &ClaimKey, attempt: u64) -> Command {
    let claim = Claim {
        claim_key: Some(claim_key.clone()),
        fingerprint: fingerprint("POST", "/allowances/7", &[0; 32], b"clerk").to_vec(),
        resource: None,
        limit: 0,
        holder: Some(holder(attempt)),
        timeout: 60_000,
    };
    Command::new(now_millis(), Op::Claim(claim))
}

pub fn free(claim_key: &ClaimKey, attempt: u64) -> Command {
    let claim_key = Some(claim_key.clone());
    let holder = Some(holder(attempt));
    Command::new(now_millis(), Op::Free(Free { claim_key, holder }))
}

pub fn answer() -> Answer {
    answer_of_size(4)
}

pub fn answer_of_size(size: usize) -> Answer {
    Answer {
        status: 201,
        headers: Vec::new(),
        body: vec![7; size],
    }
}

pub fn finish(claim_key: &ClaimKey, attempt: u64, answer: Answer) -> Command {
    let finish = Finish {
        claim_key: Some(claim_key.clone()),
        holder: Some(holder(attempt)),
        answer: Some(answer),
    };
    Command::new(now_millis(), Op::Finish(finish))
}

/// Unwraps the outcome of a ledger command.
pub fn ledger_result(outcome: Outcome) -> OutcomeKind {
    match outcome.effect {
        Some(Effect::Ledger(outcome)) => outcome.kind.unwrap(),
        other => panic!("not a ledger outcome: {other:?}"),
    }
}
