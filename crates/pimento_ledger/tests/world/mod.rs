//! Entry VMs and their attempts around one ledger.

use pimento_ledger::{
    Answer, Cancel, Claim, ClaimKey, Finish, Free, Holder, Ledger, OutcomeKind, RETENTION_MS,
    SetCap,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

const NOW: u64 = 1_800_000_000_000;
const KEYS: usize = 8;
const VMS: usize = 3;
const STEPS: usize = 250;
const TIMEOUT: u64 = 5_000;

/// An operation that may be applied again at any later time.
#[derive(Clone)]
enum Op {
    Claim(Claim),
    Finish(Finish),
    Free(Free),
    Cancel(Cancel),
}

/// An entry VM's attempt to run a key.
struct Attempt {
    key: usize,
    holder: Holder,
    start: u64,
    granted: bool,
    dispatched: bool,
    gave_up: bool,
}

struct World {
    rng: StdRng,
    time: u64,
    ledger: Ledger,
    attempts: Vec<Attempt>,
    instances: [u64; VMS],
    sent: Vec<(u64, Op)>,
    runs: [u32; KEYS],
    cancelled: [bool; KEYS],
    limit: u32,
    highest: u32,
}

fn slot(key: usize) -> ClaimKey {
    // Later keys are made later, so that they carry the log's time on.
    let time = NOW + key as u64 * RETENTION_MS / 4;
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
            time: NOW,
            ledger: Ledger::default(),
            attempts: Vec::new(),
            instances: [1; VMS],
            sent: Vec::new(),
            runs: [0; KEYS],
            cancelled: [false; KEYS],
            limit: 3,
            highest: 3,
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
        self.sent.push((self.time, op));
        kind
    }

    fn claim(&mut self) {
        let vm = self.rng.random_range(0..VMS);
        let holder = Holder {
            vm: format!("entry-{vm}"),
            incarnation: self.instances[vm],
            attempt: self.attempts.len() as u64,
        };
        let key = self.rng.random_range(0..KEYS);
        let op = Claim {
            claim_key: Some(slot(key)),
            fingerprint: vec![1; 32],
            resource: Some("shift".into()),
            limit: 3,
            holder: Some(holder.clone()),
            timeout: TIMEOUT,
        };
        let before = self.taken();
        let granted = self.send(Op::Claim(op)) == OutcomeKind::Granted(());
        if granted {
            assert!(before < self.limit as usize, "granted beyond the cap");
        }
        // The answer may be lost; the holder then knows nothing.
        let granted = granted && self.rng.random_bool(0.8);
        self.attempts.push(Attempt {
            key,
            holder,
            start: self.time,
            granted,
            dispatched: false,
            gave_up: false,
        });
    }

    fn pick(&mut self) -> Option<usize> {
        let len = self.attempts.len();
        let recent = len.saturating_sub(6);
        (len > 0).then(|| self.rng.random_range(recent..len))
    }

    fn dispatch(&mut self, i: usize) {
        let attempt = &mut self.attempts[i];
        let late = self.time >= attempt.start + TIMEOUT;
        if !attempt.granted || attempt.dispatched || attempt.gave_up || late {
            return;
        }
        attempt.dispatched = true;
        self.runs[attempt.key] += 1;
        assert_eq!(self.runs[attempt.key], 1, "a key ran twice");
    }

    fn free(&mut self, i: usize) {
        let attempt = &mut self.attempts[i];
        if attempt.dispatched {
            return;
        }
        attempt.gave_up = true;
        let op = Free {
            claim_key: Some(slot(attempt.key)),
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
            claim_key: Some(slot(attempt.key)),
            holder: Some(attempt.holder.clone()),
            answer: Some(answer),
        };
        self.send(Op::Finish(op));
    }

    /// Runs a cancellation; there may be nothing yet that it cancels.
    fn cancel(&mut self) {
        let key = self.rng.random_range(0..KEYS);
        let op = Cancel {
            claim_key: Some(slot(key)),
            resource: "shift".into(),
        };
        if self.send(Op::Cancel(op)) == OutcomeKind::Cancelled(true) {
            assert!(!self.cancelled[key], "a place was given back twice");
            self.cancelled[key] = self.runs[key] > 0;
        }
    }

    /// Applies an old operation once more; nobody waits for its outcome.
    fn duplicate(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.sent.len());
        let (time, op) = self.sent[at].clone();
        let kind = self.apply(time, &op);
        if let (Op::Cancel(op), OutcomeKind::Cancelled(true)) = (&op, &kind) {
            let key = (0..KEYS).find(|key| op.claim_key.as_ref() == Some(&slot(*key)));
            let key = key.expect("the key is known");
            self.cancelled[key] = self.runs[key] > 0;
        }
    }

    fn set_cap(&mut self) {
        self.limit = self.rng.random_range(1..KEYS as u32);
        self.highest = self.highest.max(self.limit);
        let op = SetCap {
            service: "s".into(),
            resource: "shift".into(),
            limit: Some(self.limit),
        };
        self.ledger.set_cap(&op);
    }

    fn taken(&self) -> usize {
        let places = self.ledger.cap_usage("s", "shift");
        places.map_or(0, |(_, taken)| taken)
    }

    fn step(&mut self) {
        let picked = self.pick();
        match (self.rng.random_range(0..20), picked) {
            (0..6, _) => self.claim(),
            (6..10, Some(i)) => self.dispatch(i),
            (10..11, Some(i)) => self.free(i),
            (11..13, Some(i)) => self.finish(i),
            (13..15, _) => self.duplicate(),
            (15, _) => self.cancel(),
            (16, _) => self.set_cap(),
            (17, _) => self.instances[self.rng.random_range(0..VMS)] += 1,
            (18, _) => {
                let far = self.rng.random_bool(0.2);
                let most = if far { RETENTION_MS } else { 2 * TIMEOUT };
                self.time += self.rng.random_range(0..most);
            }
            _ => self.restore(),
        }
        self.check();
    }

    fn restore(&mut self) {
        let restored = Ledger::restore(&self.ledger.snapshot()).expect("a snapshot");
        assert_eq!(restored, self.ledger);
        assert_eq!(restored.answer_bytes(), self.ledger.answer_bytes());
        self.ledger = restored;
    }

    fn check(&self) {
        let ran = |key: &usize| self.runs[*key] > 0 && !self.cancelled[*key];
        let running = (0..KEYS).filter(ran).count();
        let taken = self.taken();
        assert!(running <= taken, "{running} run in {taken} places");
        assert!(taken <= self.highest as usize, "the cap was passed");
    }
}

/// What a schedule reached.
pub struct Reached {
    pub runs: u32,
    pub cancelled: usize,
}

/// Runs one schedule and checks the invariants after each step.
pub fn run_schedule(seed: u64) -> Reached {
    let mut world = World::new(seed);
    for _ in 0..STEPS {
        world.step();
    }
    Reached {
        runs: world.runs.iter().sum(),
        cancelled: world.cancelled.iter().filter(|gone| **gone).count(),
    }
}
