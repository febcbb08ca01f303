//! Hashes that all builds of the system agree on, so that VMs choose alike.

use fnv::FnvHasher;
use std::hash::Hasher;

/// Sets the parts of a hashed list off from each other; no UTF-8 text has it.
const END: u8 = 0xff;

/// The FNV-1a hash of some parts, each set off from the next.
pub fn fnv<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = FnvHasher::default();
    for part in parts {
        hasher.write(part);
        hasher.write_u8(END);
    }
    hasher.finish()
}

/// The rendezvous weight of a candidate for a key: the candidate with the
/// highest one is chosen, and one that comes or goes moves only its own keys.
pub fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    mix(fnv([key.as_bytes(), candidate.as_bytes()]))
}

/// Spreads a number over all bits by the finalizer of `SplitMix64`.
pub const fn mix(n: u64) -> u64 {
    let mut z = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A number in `0.0..1.0` that two keys determine; the second one is mixed.
pub fn unit_interval(a: u64, b: u64) -> f64 {
    /// The number of values that 53 bits have.
    const SCALE: f64 = 9_007_199_254_740_992.0;
    (mix(a ^ b) >> 11) as f64 / SCALE
}
