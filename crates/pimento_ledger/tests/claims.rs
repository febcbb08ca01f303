//! Claims, answers and places, one step at a time.

use pimento_ledger::{
    Answer, Cancel, Cause, Claim, ClaimKey, ClaimState, Field, Finish, Free, Holder, Ledger,
    MAX_ANSWER_BYTES, OutcomeKind, RETENTION_MS, SetCap, fingerprint,
};

const NOW: u64 = 1_800_000_000_000;
const TIMEOUT: u64 = 5_000;

fn key(time: u64, n: u8) -> Vec<u8> {
    let mut key = time.to_be_bytes()[2..].to_vec();
    key.extend([0x70, 0, 0x80, 0, 0, 0, 0, 0, 0, n]);
    key
}

fn slot(n: u8) -> ClaimKey {
    ClaimKey {
        key: key(NOW, n),
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
        claim_key: Some(slot(n)),
        fingerprint: fingerprint("POST", "/shifts/7", &[0; 32], b"worker").to_vec(),
        resource: Some("7".into()),
        limit: 2,
        holder: Some(holder(attempt)),
        timeout: TIMEOUT,
    }
}

fn run(ledger: &mut Ledger, time: u64, op: &Claim) -> OutcomeKind {
    ledger.claim(time, op).kind.expect("an outcome has a kind")
}

fn free(ledger: &mut Ledger, n: u8, attempt: u64) -> OutcomeKind {
    let op = Free {
        claim_key: Some(slot(n)),
        holder: Some(holder(attempt)),
    };
    ledger.free(NOW, &op).kind.expect("an outcome has a kind")
}

fn done(ledger: &mut Ledger, n: u8, attempt: u64, body: usize) -> OutcomeKind {
    let answer = Answer {
        status: 201,
        headers: vec![],
        body: vec![7; body],
    };
    let op = Finish {
        claim_key: Some(slot(n)),
        holder: Some(holder(attempt)),
        answer: Some(answer),
    };
    ledger.finish(NOW, &op).kind.expect("an outcome has a kind")
}

fn cancel(ledger: &mut Ledger, time: u64, n: u8) -> OutcomeKind {
    let op = Cancel {
        claim_key: Some(slot(n)),
        resource: "7".into(),
    };
    ledger
        .cancel(time, &op)
        .kind
        .expect("an outcome has a kind")
}

#[test]
fn one_run() {
    let mut ledger = Ledger::default();
    assert_eq!(
        run(&mut ledger, NOW, &claim(1, 1)),
        OutcomeKind::Granted(())
    );
    assert_eq!(
        run(&mut ledger, NOW, &claim(1, 1)),
        OutcomeKind::Granted(())
    );
    assert_eq!(
        run(&mut ledger, NOW, &claim(1, 2)),
        OutcomeKind::InFlight(TIMEOUT)
    );
    assert_eq!(done(&mut ledger, 1, 2, 3), OutcomeKind::NotHolder(()));
    assert_eq!(done(&mut ledger, 1, 1, 3), OutcomeKind::Finished(true));
    let OutcomeKind::Replay(answer) = run(&mut ledger, NOW, &claim(1, 3)) else {
        panic!("the answer is stored");
    };
    assert_eq!((answer.status, answer.body.len()), (201, 3));
    assert_eq!(free(&mut ledger, 1, 1), OutcomeKind::NotHolder(()));
}

#[test]
fn freed_claim() {
    let mut ledger = Ledger::default();
    run(&mut ledger, NOW, &claim(1, 1));
    assert_eq!(free(&mut ledger, 1, 2), OutcomeKind::NotHolder(()));
    assert_eq!(free(&mut ledger, 1, 1), OutcomeKind::Freed(()));
    assert_eq!(free(&mut ledger, 1, 1), OutcomeKind::Freed(()));
    assert_eq!(
        run(&mut ledger, NOW, &claim(1, 1)),
        OutcomeKind::NotHolder(())
    );
    assert_eq!(
        run(&mut ledger, NOW, &claim(1, 2)),
        OutcomeKind::Granted(())
    );
    assert_eq!(free(&mut ledger, 1, 1), OutcomeKind::NotHolder(()));
    assert_eq!(
        run(&mut ledger, NOW, &claim(1, 3)),
        OutcomeKind::InFlight(TIMEOUT)
    );
}

#[test]
fn free_before_claim() {
    let mut ledger = Ledger::default();
    assert_eq!(free(&mut ledger, 1, 1), OutcomeKind::Freed(()));
    assert_eq!(
        run(&mut ledger, NOW, &claim(1, 1)),
        OutcomeKind::NotHolder(())
    );
    assert_eq!(
        run(&mut ledger, NOW, &claim(1, 2)),
        OutcomeKind::Granted(())
    );
}

#[test]
fn lost_holder() {
    let mut ledger = Ledger::default();
    run(&mut ledger, NOW, &claim(1, 1));
    let late = run(&mut ledger, NOW + TIMEOUT, &claim(1, 2));
    assert_eq!(late, OutcomeKind::MayHaveRun(Cause::Expired.into()));
    run(&mut ledger, NOW, &claim(2, 1));
    let mut restarted = claim(2, 1);
    restarted.holder = Some(Holder {
        incarnation: 2,
        ..holder(1)
    });
    let died = run(&mut ledger, NOW, &restarted);
    assert_eq!(died, OutcomeKind::MayHaveRun(Cause::HolderDied.into()));
}

#[test]
fn late_finish() {
    let mut ledger = Ledger::default();
    run(&mut ledger, NOW, &claim(1, 1));
    run(&mut ledger, NOW + TIMEOUT, &claim(1, 2));
    assert_eq!(done(&mut ledger, 1, 1, 3), OutcomeKind::Finished(true));
    let again = run(&mut ledger, NOW, &claim(1, 3));
    assert!(matches!(again, OutcomeKind::Replay(_)));
}

#[test]
fn large_answer() {
    let mut ledger = Ledger::default();
    run(&mut ledger, NOW, &claim(1, 1));
    assert_eq!(
        done(&mut ledger, 1, 1, MAX_ANSWER_BYTES),
        OutcomeKind::Finished(false)
    );
    let again = run(&mut ledger, NOW, &claim(1, 2));
    assert_eq!(again, OutcomeKind::MayHaveRun(Cause::NotStored.into()));
}

#[test]
fn other_request() {
    let mut ledger = Ledger::default();
    run(&mut ledger, NOW, &claim(1, 1));
    let mut other = claim(1, 2);
    other.fingerprint = fingerprint("POST", "/shifts/7", &[0; 32], b"thief").to_vec();
    assert_eq!(run(&mut ledger, NOW, &other), OutcomeKind::Mismatch(()));
}

#[test]
fn tenants_apart() {
    let mut ledger = Ledger::default();
    let mut other = claim(1, 2);
    other.claim_key = Some(ClaimKey {
        tenant: "rival".into(),
        ..slot(1)
    });
    other.resource = None;
    other.fingerprint = vec![9; 32];
    run(&mut ledger, NOW, &claim(1, 1));
    assert_eq!(run(&mut ledger, NOW, &other), OutcomeKind::Granted(()));
}

#[test]
fn old_keys() {
    let mut ledger = Ledger::default();
    run(&mut ledger, NOW, &claim(1, 1));
    let mut fresh = claim(2, 1);
    fresh.claim_key = Some(ClaimKey {
        key: key(NOW + RETENTION_MS + 1, 2),
        ..slot(2)
    });
    run(&mut ledger, NOW + RETENTION_MS + 1, &fresh);
    assert_eq!(ledger.len(), 1);
    let again = run(&mut ledger, NOW, &claim(1, 2));
    assert_eq!(again, OutcomeKind::TooOld(NOW + 1));
}

#[test]
fn clock_ahead() {
    let mut ledger = Ledger::default();
    run(&mut ledger, u64::MAX, &claim(1, 1));
    assert!(ledger.now() < NOW + RETENTION_MS);
    assert_eq!(
        run(&mut ledger, NOW, &claim(2, 1)),
        OutcomeKind::Granted(())
    );
    let mut future = claim(3, 1);
    future.claim_key = Some(ClaimKey {
        key: key(NOW + 3 * RETENTION_MS, 3),
        ..slot(3)
    });
    let refused = run(&mut ledger, NOW, &future);
    assert_eq!(refused, OutcomeKind::Malformed(Field::Key.into()));
}

#[test]
fn cap() {
    let mut ledger = Ledger::default();
    run(&mut ledger, NOW, &claim(1, 1));
    run(&mut ledger, NOW, &claim(2, 2));
    assert_eq!(run(&mut ledger, NOW, &claim(3, 3)), OutcomeKind::CapFull(2));
    assert_eq!(cancel(&mut ledger, NOW, 1), OutcomeKind::Unfinished(()));
    free(&mut ledger, 1, 1);
    assert_eq!(
        run(&mut ledger, NOW, &claim(3, 4)),
        OutcomeKind::Granted(())
    );
    done(&mut ledger, 2, 2, 0);
    assert_eq!(cancel(&mut ledger, NOW, 2), OutcomeKind::Cancelled(true));
    assert_eq!(cancel(&mut ledger, NOW, 2), OutcomeKind::Cancelled(false));
    assert_eq!(ledger.cap_usage("sign-ups", "7"), Some((None, 1)));
}

#[test]
fn lowered_cap() {
    let mut ledger = Ledger::default();
    run(&mut ledger, NOW, &claim(1, 1));
    run(&mut ledger, NOW, &claim(2, 2));
    let lower = SetCap {
        service: "sign-ups".into(),
        resource: "7".into(),
        limit: Some(1),
    };
    assert_eq!(ledger.set_cap(&lower).kind, Some(OutcomeKind::CapSet(2)));
    done(&mut ledger, 1, 1, 0);
    cancel(&mut ledger, NOW, 1);
    assert_eq!(run(&mut ledger, NOW, &claim(3, 3)), OutcomeKind::CapFull(1));
}

#[test]
fn late_cancellation() {
    let mut ledger = Ledger::default();
    run(&mut ledger, NOW, &claim(1, 1));
    done(&mut ledger, 1, 1, 0);
    let later = NOW + 3 * RETENTION_MS;
    let mut fresh = claim(2, 2);
    fresh.claim_key = Some(ClaimKey {
        key: key(later, 2),
        ..slot(2)
    });
    run(&mut ledger, later, &fresh);
    assert_eq!(ledger.cap_usage("sign-ups", "7"), Some((None, 2)));
    assert_eq!(cancel(&mut ledger, later, 1), OutcomeKind::Cancelled(true));
}

#[test]
fn view() {
    let mut ledger = Ledger::default();
    run(&mut ledger, NOW, &claim(1, 1));
    let view = ledger.view(&slot(1)).expect("the claim is kept");
    let deadline = NOW + TIMEOUT;
    assert_eq!(view.state, ClaimState::Held { deadline });
}
