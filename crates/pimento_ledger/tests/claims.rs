//! Unit tests of claims, stored answers and capped resources.

use pimento_ledger::{
    Answer, Cancel, Cause, Claim, ClaimKey, ClaimState, Field, Finish, Free, Holder, Ledger,
    MAX_ANSWER_BYTES, OutcomeKind, RETENTION_MS, SetCap, fingerprint,
};

/// The current time, in milliseconds since the Unix epoch.
const NOW_MS: u64 = 1_800_000_000_000;
const TIMEOUT_MS: u64 = 5_000;

fn uuid_bytes(time: u64, n: u8) -> Vec<u8> {
    let mut key = time.to_be_bytes()[2..].to_vec();
    key.extend([0x70, 0, 0x80, 0, 0, 0, 0, 0, 0, n]);
    key
}

fn claim_key(n: u8) -> ClaimKey {
    ClaimKey {
        key: uuid_bytes(NOW_MS, n),
        tenant: "armor".into(),
        service: "sign-ups".into(),
    }
}

fn holder(attempt: u64) -> Holder {
    Holder {
        vm: "entry-1".into(),
        incarnation: 1,
        attempt,
    }
}

fn claim(n: u8, attempt: u64) -> Claim {
    Claim {
        claim_key: Some(claim_key(n)),
        fingerprint: fingerprint("POST", "/shifts/7", &[0; 32], b"worker").to_vec(),
        resource: Some("7".into()),
        limit: 2,
        holder: Some(holder(attempt)),
        timeout: TIMEOUT_MS,
    }
}

fn submit_claim(ledger: &mut Ledger, time: u64, op: &Claim) -> OutcomeKind {
    ledger.claim(time, op).kind.expect("an outcome has a kind")
}

fn submit_free(ledger: &mut Ledger, n: u8, attempt: u64) -> OutcomeKind {
    let op = Free {
        claim_key: Some(claim_key(n)),
        holder: Some(holder(attempt)),
    };
    ledger
        .free(NOW_MS, &op)
        .kind
        .expect("an outcome has a kind")
}

fn submit_finish(ledger: &mut Ledger, n: u8, attempt: u64, body_len: usize) -> OutcomeKind {
    let answer = Answer {
        status: 201,
        headers: vec![],
        body: vec![7; body_len],
    };
    let op = Finish {
        claim_key: Some(claim_key(n)),
        holder: Some(holder(attempt)),
        answer: Some(answer),
    };
    ledger
        .finish(NOW_MS, &op)
        .kind
        .expect("an outcome has a kind")
}

fn submit_cancel(ledger: &mut Ledger, time: u64, n: u8) -> OutcomeKind {
    let op = Cancel {
        claim_key: Some(claim_key(n)),
        resource: "7".into(),
    };
    ledger
        .cancel(time, &op)
        .kind
        .expect("an outcome has a kind")
}

#[test]
fn request_runs_once() {
    let mut ledger = Ledger::default();
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &claim(1, 1)),
        OutcomeKind::Granted(())
    );
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &claim(1, 1)),
        OutcomeKind::Granted(())
    );
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &claim(1, 2)),
        OutcomeKind::InFlight(TIMEOUT_MS)
    );
    assert_eq!(
        submit_finish(&mut ledger, 1, 2, 3),
        OutcomeKind::NotHolder(())
    );
    assert_eq!(
        submit_finish(&mut ledger, 1, 1, 3),
        OutcomeKind::Finished(true)
    );
    let OutcomeKind::Replay(answer) = submit_claim(&mut ledger, NOW_MS, &claim(1, 3)) else {
        panic!("the stored answer is replayed");
    };
    assert_eq!((answer.status, answer.body.len()), (201, 3));
    assert_eq!(submit_free(&mut ledger, 1, 1), OutcomeKind::NotHolder(()));
}

#[test]
fn freed_claim_is_granted_to_a_new_attempt() {
    let mut ledger = Ledger::default();
    submit_claim(&mut ledger, NOW_MS, &claim(1, 1));
    assert_eq!(submit_free(&mut ledger, 1, 2), OutcomeKind::NotHolder(()));
    assert_eq!(submit_free(&mut ledger, 1, 1), OutcomeKind::Freed(()));
    assert_eq!(submit_free(&mut ledger, 1, 1), OutcomeKind::Freed(()));
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &claim(1, 1)),
        OutcomeKind::NotHolder(())
    );
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &claim(1, 2)),
        OutcomeKind::Granted(())
    );
    assert_eq!(submit_free(&mut ledger, 1, 1), OutcomeKind::NotHolder(()));
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &claim(1, 3)),
        OutcomeKind::InFlight(TIMEOUT_MS)
    );
}

#[test]
fn late_claim_of_an_abandoned_attempt_is_rejected() {
    let mut ledger = Ledger::default();
    assert_eq!(submit_free(&mut ledger, 1, 1), OutcomeKind::Freed(()));
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &claim(1, 1)),
        OutcomeKind::NotHolder(())
    );
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &claim(1, 2)),
        OutcomeKind::Granted(())
    );
}

#[test]
fn lost_holder_may_have_run() {
    let mut ledger = Ledger::default();
    submit_claim(&mut ledger, NOW_MS, &claim(1, 1));
    let expired = submit_claim(&mut ledger, NOW_MS + TIMEOUT_MS, &claim(1, 2));
    assert_eq!(expired, OutcomeKind::MayHaveRun(Cause::Expired.into()));
    submit_claim(&mut ledger, NOW_MS, &claim(2, 1));
    let mut restarted = claim(2, 1);
    restarted.holder = Some(Holder {
        incarnation: 2,
        ..holder(1)
    });
    let died = submit_claim(&mut ledger, NOW_MS, &restarted);
    assert_eq!(died, OutcomeKind::MayHaveRun(Cause::HolderDied.into()));
}

#[test]
fn finish_after_the_deadline_is_recorded() {
    let mut ledger = Ledger::default();
    submit_claim(&mut ledger, NOW_MS, &claim(1, 1));
    submit_claim(&mut ledger, NOW_MS + TIMEOUT_MS, &claim(1, 2));
    assert_eq!(
        submit_finish(&mut ledger, 1, 1, 3),
        OutcomeKind::Finished(true)
    );
    let resend = submit_claim(&mut ledger, NOW_MS, &claim(1, 3));
    assert!(matches!(resend, OutcomeKind::Replay(_)));
}

#[test]
fn large_answer_is_not_stored() {
    let mut ledger = Ledger::default();
    submit_claim(&mut ledger, NOW_MS, &claim(1, 1));
    assert_eq!(
        submit_finish(&mut ledger, 1, 1, MAX_ANSWER_BYTES),
        OutcomeKind::Finished(false)
    );
    let resend = submit_claim(&mut ledger, NOW_MS, &claim(1, 2));
    assert_eq!(resend, OutcomeKind::MayHaveRun(Cause::NotStored.into()));
}

#[test]
fn key_reuse_for_another_request_is_a_mismatch() {
    let mut ledger = Ledger::default();
    submit_claim(&mut ledger, NOW_MS, &claim(1, 1));
    let mut other = claim(1, 2);
    other.fingerprint = fingerprint("POST", "/shifts/7", &[0; 32], b"thief").to_vec();
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &other),
        OutcomeKind::Mismatch(())
    );
}

#[test]
fn tenants_have_separate_claims() {
    let mut ledger = Ledger::default();
    let mut other = claim(1, 2);
    other.claim_key = Some(ClaimKey {
        tenant: "rival".into(),
        ..claim_key(1)
    });
    other.resource = None;
    other.fingerprint = vec![9; 32];
    submit_claim(&mut ledger, NOW_MS, &claim(1, 1));
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &other),
        OutcomeKind::Granted(())
    );
}

#[test]
fn old_keys_expire() {
    let mut ledger = Ledger::default();
    submit_claim(&mut ledger, NOW_MS, &claim(1, 1));
    let mut fresh = claim(2, 1);
    fresh.claim_key = Some(ClaimKey {
        key: uuid_bytes(NOW_MS + RETENTION_MS + 1, 2),
        ..claim_key(2)
    });
    submit_claim(&mut ledger, NOW_MS + RETENTION_MS + 1, &fresh);
    assert_eq!(ledger.len(), 1);
    let resend = submit_claim(&mut ledger, NOW_MS, &claim(1, 2));
    assert_eq!(resend, OutcomeKind::TooOld(NOW_MS + 1));
}

#[test]
fn clocks_ahead_cannot_block_new_keys() {
    let mut ledger = Ledger::default();
    submit_claim(&mut ledger, u64::MAX, &claim(1, 1));
    assert!(ledger.now() < NOW_MS + RETENTION_MS);
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &claim(2, 1)),
        OutcomeKind::Granted(())
    );
    let mut future = claim(3, 1);
    future.claim_key = Some(ClaimKey {
        key: uuid_bytes(NOW_MS + 3 * RETENTION_MS, 3),
        ..claim_key(3)
    });
    let refused = submit_claim(&mut ledger, NOW_MS, &future);
    assert_eq!(refused, OutcomeKind::Malformed(Field::Key.into()));
}

#[test]
fn cap_limits_reservations() {
    let mut ledger = Ledger::default();
    submit_claim(&mut ledger, NOW_MS, &claim(1, 1));
    submit_claim(&mut ledger, NOW_MS, &claim(2, 2));
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &claim(3, 3)),
        OutcomeKind::CapFull(2)
    );
    assert_eq!(
        submit_cancel(&mut ledger, NOW_MS, 1),
        OutcomeKind::Unfinished(())
    );
    submit_free(&mut ledger, 1, 1);
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &claim(3, 4)),
        OutcomeKind::Granted(())
    );
    submit_finish(&mut ledger, 2, 2, 0);
    assert_eq!(
        submit_cancel(&mut ledger, NOW_MS, 2),
        OutcomeKind::Cancelled(true)
    );
    assert_eq!(
        submit_cancel(&mut ledger, NOW_MS, 2),
        OutcomeKind::Cancelled(false)
    );
    assert_eq!(ledger.cap_usage("sign-ups", "7"), Some((None, 1)));
}

#[test]
fn lowered_cap_keeps_reservations() {
    let mut ledger = Ledger::default();
    submit_claim(&mut ledger, NOW_MS, &claim(1, 1));
    submit_claim(&mut ledger, NOW_MS, &claim(2, 2));
    let lower = SetCap {
        service: "sign-ups".into(),
        resource: "7".into(),
        limit: Some(1),
    };
    assert_eq!(ledger.set_cap(&lower).kind, Some(OutcomeKind::CapSet(2)));
    submit_finish(&mut ledger, 1, 1, 0);
    submit_cancel(&mut ledger, NOW_MS, 1);
    assert_eq!(
        submit_claim(&mut ledger, NOW_MS, &claim(3, 3)),
        OutcomeKind::CapFull(1)
    );
}

#[test]
fn cancellation_works_after_the_claim_expired() {
    let mut ledger = Ledger::default();
    submit_claim(&mut ledger, NOW_MS, &claim(1, 1));
    submit_finish(&mut ledger, 1, 1, 0);
    let later = NOW_MS + 3 * RETENTION_MS;
    let mut fresh = claim(2, 2);
    fresh.claim_key = Some(ClaimKey {
        key: uuid_bytes(later, 2),
        ..claim_key(2)
    });
    submit_claim(&mut ledger, later, &fresh);
    assert_eq!(ledger.cap_usage("sign-ups", "7"), Some((None, 2)));
    assert_eq!(
        submit_cancel(&mut ledger, later, 1),
        OutcomeKind::Cancelled(true)
    );
}

#[test]
fn view_of_a_held_claim() {
    let mut ledger = Ledger::default();
    submit_claim(&mut ledger, NOW_MS, &claim(1, 1));
    let view = ledger.view(&claim_key(1)).expect("the claim is kept");
    let deadline = NOW_MS + TIMEOUT_MS;
    assert_eq!(view.state, ClaimState::Held { deadline });
}
