//! A simulation of entry VMs whose attempts use one ledger.

use pimento_ledger::{
    Answer, Cancel, Claim, ClaimKey, Finish, Free, Holder, Ledger, OutcomeKind, RETENTION_MS,
    SetCap,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

/// The time at which a schedule starts, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_800_000_000_000;
const KEY_COUNT: usize = 8;
const VM_COUNT: usize = 3;
const STEPS_PER_SCHEDULE: usize = 250;
const TIMEOUT_MS: u64 = 5_000;

/// An operation, which may be applied again at any later time.
#[derive(Clone)]
enum Op {
    Claim(Claim),
    Finish(Finish),
    Free(Free),
    Cancel(Cancel),
}

/// An attempt of an entry VM to run the request of a key.
struct Attempt {
    key: usize,
    holder: Holder,
    start: u64,
    granted: bool,
    dispatched: bool,
    abandoned: bool,
}

struct World {
    rng: StdRng,
    time: u64,
    ledger: Ledger,
    attempts: Vec<Attempt>,
    incarnations: [u64; VM_COUNT],
    sent_ops: Vec<(u64, Op)>,
    runs: [u32; KEY_COUNT],
    cancelled: [bool; KEY_COUNT],
    limit: u32,
    highest_limit: u32,
}

fn claim_key(key: usize) -> ClaimKey {
    // Keys with larger indexes are created later, so that they advance the log's
    // time.
    let time = START_MS + key as u64 * RETENTION_MS / 4;
    let mut bytes = time.to_be_bytes()[2..].to_vec();
    bytes.extend([0x70, 0, 0x80, 0, 0, 0, 0, 0, 0, key as u8]);
    ClaimKey {
        key: bytes,
        tenant: "t".into(),
        service: "s".into(),
    }
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            time: START_MS,
            ledger: Ledger::default(),
            attempts: Vec::new(),
            incarnations: [1; VM_COUNT],
            sent_ops: Vec::new(),
            runs: [0; KEY_COUNT],
            cancelled: [false; KEY_COUNT],
            limit: 3,
            highest_limit: 3,
        }
    }

    fn apply(&mut self, time: u64, op: &Op) -> OutcomeKind {
        let ledger = &mut self.ledger;
        let outcome = match op {
            Op::Claim(op) => ledger.claim(time, op),
            Op::Finish(op) => ledger.finish(time, op),
            Op::Free(op) => ledger.free(time, op),
            Op::Cancel(op) => ledger.cancel(time, op),
        };
        outcome.kind.expect("an outcome has a kind")
    }

    fn send(&mut self, op: Op) -> OutcomeKind {
        let kind = self.apply(self.time, &op);
        self.sent_ops.push((self.time, op));
        kind
    }

    fn claim(&mut self) {
        let vm = self.rng.random_range(0..VM_COUNT);
        let holder = Holder {
            vm: format!("entry-{vm}"),
            incarnation: self.incarnations[vm],
            attempt: self.attempts.len() as u64,
        };
        let key = self.rng.random_range(0..KEY_COUNT);
        let op = Claim {
            claim_key: Some(claim_key(key)),
            fingerprint: vec![1; 32],
            resource: Some("shift".into()),
            limit: 3,
            holder: Some(holder.clone()),
            timeout: TIMEOUT_MS,
        };
        let before = self.reservations();
        let granted = self.send(Op::Claim(op)) == OutcomeKind::Granted(());
        if granted {
            assert!(
                before < self.limit as usize,
                "a claim was granted although the cap is reached"
            );
        }
        // If the response is lost, the holder doesn't know of the grant.
        let granted = granted && self.rng.random_bool(0.8);
        self.attempts.push(Attempt {
            key,
            holder,
            start: self.time,
            granted,
            dispatched: false,
            abandoned: false,
        });
    }

    fn pick_recent_attempt(&mut self) -> Option<usize> {
        let len = self.attempts.len();
        let recent = len.saturating_sub(6);
        (len > 0).then(|| self.rng.random_range(recent..len))
    }

    fn dispatch(&mut self, i: usize) {
        let attempt = &mut self.attempts[i];
        let is_late = self.time >= attempt.start + TIMEOUT_MS;
        if !attempt.granted || attempt.dispatched || attempt.abandoned || is_late {
            return;
        }
        attempt.dispatched = true;
        self.runs[attempt.key] += 1;
        assert_eq!(self.runs[attempt.key], 1, "the request of a key ran twice");
    }

    fn free(&mut self, i: usize) {
        let attempt = &mut self.attempts[i];
        if attempt.dispatched {
            return;
        }
        attempt.abandoned = true;
        let op = Free {
            claim_key: Some(claim_key(attempt.key)),
            holder: Some(attempt.holder.clone()),
        };
        self.send(Op::Free(op));
    }

    fn finish(&mut self, i: usize) {
        let attempt = &self.attempts[i];
        if !attempt.dispatched {
            return;
        }
        let answer = Answer {
            status: 200,
            headers: Vec::new(),
            body: vec![attempt.key as u8],
        };
        let op = Finish {
            claim_key: Some(claim_key(attempt.key)),
            holder: Some(attempt.holder.clone()),
            answer: Some(answer),
        };
        self.send(Op::Finish(op));
    }

    /// Cancels the request of a random key, which may not have run yet.
    fn cancel(&mut self) {
        let key = self.rng.random_range(0..KEY_COUNT);
        let op = Cancel {
            claim_key: Some(claim_key(key)),
            resource: "shift".into(),
        };
        if self.send(Op::Cancel(op)) == OutcomeKind::Cancelled(true) {
            assert!(!self.cancelled[key], "a reservation was released twice");
            self.cancelled[key] = self.runs[key] > 0;
        }
    }

    /// Applies an earlier operation again, as if the message was duplicated. No one
    /// waits for the outcome.
    fn apply_duplicate(&mut self) {
        if self.sent_ops.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.sent_ops.len());
        let (time, op) = self.sent_ops[at].clone();
        let kind = self.apply(time, &op);
        if let (Op::Cancel(op), OutcomeKind::Cancelled(true)) = (&op, &kind) {
            let key = (0..KEY_COUNT).find(|key| op.claim_key.as_ref() == Some(&claim_key(*key)));
            let key = key.expect("the operation has a known key");
            self.cancelled[key] = self.runs[key] > 0;
        }
    }

    fn set_cap(&mut self) {
        self.limit = self.rng.random_range(1..KEY_COUNT as u32);
        self.highest_limit = self.highest_limit.max(self.limit);
        let op = SetCap {
            service: "s".into(),
            resource: "shift".into(),
            limit: Some(self.limit),
        };
        self.ledger.set_cap(&op);
    }

    fn reservations(&self) -> usize {
        let usage = self.ledger.cap_usage("s", "shift");
        usage.map_or(0, |(_, count)| count)
    }

    fn step(&mut self) {
        let picked = self.pick_recent_attempt();
        match (self.rng.random_range(0..20), picked) {
            (0..6, _) => self.claim(),
            (6..10, Some(i)) => self.dispatch(i),
            (10..11, Some(i)) => self.free(i),
            (11..13, Some(i)) => self.finish(i),
            (13..15, _) => self.apply_duplicate(),
            (15, _) => self.cancel(),
            (16, _) => self.set_cap(),
            (17, _) => self.incarnations[self.rng.random_range(0..VM_COUNT)] += 1,
            (18, _) => {
                let long = self.rng.random_bool(0.2);
                let bound = if long { RETENTION_MS } else { 2 * TIMEOUT_MS };
                self.time += self.rng.random_range(0..bound);
            }
            _ => self.restore(),
        }
        self.check_invariants();
    }

    fn restore(&mut self) {
        let restored = Ledger::restore(&self.ledger.snapshot()).expect("the snapshot is valid");
        assert_eq!(restored, self.ledger);
        assert_eq!(restored.answer_bytes(), self.ledger.answer_bytes());
        self.ledger = restored;
    }

    fn check_invariants(&self) {
        let holds_reservation = |key: &usize| self.runs[*key] > 0 && !self.cancelled[*key];
        let running = (0..KEY_COUNT).filter(holds_reservation).count();
        let reserved = self.reservations();
        assert!(
            running <= reserved,
            "{running} requests ran with {reserved} reservations"
        );
        assert!(
            reserved <= self.highest_limit as usize,
            "{reserved} reservations exceed the cap"
        );
    }
}

/// How often the events under test happened in a schedule.
pub struct Totals {
    pub runs: u32,
    pub cancelled: usize,
}

/// Runs one schedule and checks the invariants after each step.
pub fn run_schedule(seed: u64) -> Totals {
    let mut world = World::new(seed);
    for _ in 0..STEPS_PER_SCHEDULE {
        world.step();
    }
    Totals {
        runs: world.runs.iter().sum(),
        cancelled: world
            .cancelled
            .iter()
            .filter(|cancelled| **cancelled)
            .count(),
    }
}
