//! The ledger at its bounds.

use crate::memory::{mb, resident};
use anyhow::ensure;
use pimento_ledger::{
    Answer, Claim, ClaimKey, Finish, Header, Holder, Ledger, MAX_CLAIMS, OutcomeKind,
};
use std::time::Instant;

/// Claims of the short form.
const SHORT_CLAIMS: usize = 25_000;

/// The time in the first key, in milliseconds since the Unix epoch.
const NOW: u64 = 1_800_000_000_000;

/// The bytes of a stored answer's body.
const BODY: usize = 100;

/// The memory of a node for control, in bytes.
const MEMORY: usize = 256_000_000;

/// Fills a ledger with claims that ran, up to its bound.
pub fn run(short: bool) -> anyhow::Result<()> {
    let claims = if short { SHORT_CLAIMS } else { MAX_CLAIMS };
    let before = resident()?;
    let mut ledger = Ledger::default();
    let start = Instant::now();
    for n in 0..claims as u64 {
        let granted = ledger.claim(NOW + n, &claim(n));
        ensure!(
            granted.kind == Some(OutcomeKind::Granted(())),
            "{granted:?}"
        );
        let finished = ledger.finish(NOW + n, &finish(n));
        ensure!(
            finished.kind == Some(OutcomeKind::Finished(true)),
            "{finished:?}"
        );
    }
    let each = start.elapsed() / claims as u32;
    let held = resident()?.saturating_sub(before);
    println!("claims: {claims} claims with answers, {each:.1?} each to claim and finish");
    println!(
        "claims: {:.0} MB resident, {} bytes each",
        mb(held),
        held / claims
    );
    ensure!(held < MEMORY, "{held} bytes break the bound of {MEMORY}");
    let start = Instant::now();
    let snapshot = ledger.snapshot();
    let wrote = start.elapsed();
    let start = Instant::now();
    let restored = Ledger::restore(&snapshot)?;
    let read = start.elapsed();
    ensure!(restored == ledger, "the snapshot is not the ledger");
    println!(
        "claims: snapshot of {:.1} MB written in {wrote:.2?}, read in {read:.2?}",
        mb(snapshot.len())
    );
    Ok(())
}

fn slot(n: u64) -> ClaimKey {
    let mut key = (NOW + n).to_be_bytes()[2..].to_vec();
    key.extend([0x70, 0, 0x80, 0, 0, 0]);
    key.extend((n as u32).to_be_bytes());
    ClaimKey {
        key,
        tenant: format!("tenant-{}", n % 8),
        service: "sign-ups".into(),
    }
}

fn holder(n: u64) -> Holder {
    Holder {
        vm: format!("entry-{}", n % 20),
        incarnation: 1,
        attempt: n,
    }
}

fn claim(n: u64) -> Claim {
    Claim {
        claim_key: Some(slot(n)),
        fingerprint: vec![7; 32],
        resource: Some(format!("shift-{}", n / 20)),
        limit: 20,
        holder: Some(holder(n)),
        timeout: 5_000,
    }
}

fn finish(n: u64) -> Finish {
    let kind = Header {
        name: "content-type".into(),
        value: b"application/json".to_vec(),
    };
    Finish {
        claim_key: Some(slot(n)),
        holder: Some(holder(n)),
        answer: Some(Answer {
            status: 201,
            headers: vec![kind],
            body: vec![b'x'; BODY],
        }),
    }
}
