//! Fills a ledger up to its maximum number of claims.

use crate::memory::{megabytes, resident_bytes};
use anyhow::ensure;
use pimento_ledger::{
    Answer, Claim, ClaimKey, Finish, Header, Holder, Ledger, MAX_CLAIMS, OutcomeKind,
};
use std::time::Instant;

/// Number of claims with `--short`.
const SHORT_CLAIMS: usize = 25_000;

/// The timestamp in the first key, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_800_000_000_000;

/// Body size of a stored answer, in bytes.
const BODY_BYTES: usize = 100;

/// Memory budget of a node for control, in bytes.
const MAX_MEMORY_BYTES: usize = 256_000_000;

/// Fills a ledger with finished claims up to its bound, then takes and restores
/// a snapshot. Prints times and memory, and checks the memory budget.
pub fn run(short: bool) -> anyhow::Result<()> {
    let claims = if short { SHORT_CLAIMS } else { MAX_CLAIMS };
    let before = resident_bytes()?;
    let mut ledger = Ledger::default();
    let start = Instant::now();
    for n in 0..claims as u64 {
        let granted = ledger.claim(START_MS + n, &claim(n));
        ensure!(
            granted.kind == Some(OutcomeKind::Granted(())),
            "{granted:?}"
        );
        let finished = ledger.finish(START_MS + n, &finish(n));
        ensure!(
            finished.kind == Some(OutcomeKind::Finished(true)),
            "{finished:?}"
        );
    }
    let each = start.elapsed() / claims as u32;
    let used_bytes = resident_bytes()?.saturating_sub(before);
    println!("claims: {claims} claims with answers, {each:.1?} each to claim and finish");
    println!(
        "claims: {:.0} MB resident, {} bytes each",
        megabytes(used_bytes),
        used_bytes / claims
    );
    ensure!(
        used_bytes < MAX_MEMORY_BYTES,
        "{used_bytes} bytes exceed the bound of {MAX_MEMORY_BYTES}"
    );
    let start = Instant::now();
    let snapshot = ledger.snapshot();
    let write_time = start.elapsed();
    let start = Instant::now();
    let restored = Ledger::restore(&snapshot)?;
    let read_time = start.elapsed();
    ensure!(
        restored == ledger,
        "the restored snapshot differs from the ledger"
    );
    println!(
        "claims: snapshot of {:.1} MB written in {write_time:.2?}, read in {read_time:.2?}",
        megabytes(snapshot.len())
    );
    Ok(())
}

fn claim_key(n: u64) -> ClaimKey {
    let mut key = (START_MS + n).to_be_bytes()[2..].to_vec();
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
        claim_key: Some(claim_key(n)),
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
        claim_key: Some(claim_key(n)),
        holder: Some(holder(n)),
        answer: Some(Answer {
            status: 201,
            headers: vec![kind],
            body: vec![b'x'; BODY_BYTES],
        }),
    }
}
