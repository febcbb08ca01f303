//! Hashes that are the same in all builds, so that all VMs make the same choices.

use fnv::FnvHasher;
use std::hash::Hasher;

/// Ends each part of a hashed list; this byte never occurs in UTF-8 text.
const SEPARATOR: u8 = 0xff;

/// The FNV-1a hash of a list of parts. Each part is terminated, so that the same
/// text split differently is different input.
pub fn fnv<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = FnvHasher::default();
    for part in parts {
        hasher.write(part);
        hasher.write_u8(SEPARATOR);
    }
    hasher.finish()
}

/// The score of a candidate for a key in rendezvous hashing.
///
/// The candidate with the highest score is chosen. Adding or removing a candidate
/// only moves the keys of that candidate.
pub fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    mix(fnv([key.as_bytes(), candidate.as_bytes()]))
}

/// Mixes the bits of a number with the finalizer of `SplitMix64`.
pub const fn mix(n: u64) -> u64 {
    let mut z = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Hashes two numbers to a float in `0.0..1.0`; `b` should already be well mixed.
pub fn unit_interval(a: u64, b: u64) -> f64 {
    /// 2^53, the number of values of 53 bits, which is the precision of `f64`.
    const VALUE_COUNT: f64 = 9_007_199_254_740_992.0;
    (mix(a ^ b) >> 11) as f64 / VALUE_COUNT
}
