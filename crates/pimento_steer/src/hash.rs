//! A hash that is the same in every build, so that all VMs choose alike.

/// Offset basis of 64-bit FNV-1a.
const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes a name by FNV-1a.
pub(crate) fn name(s: &str) -> u64 {
    s.bytes().fold(BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Spreads a number over all bits by the finalizer of `SplitMix64`.
pub(crate) fn mix(n: u64) -> u64 {
    let mut z = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A number in `0.0..1.0` that two keys determine; the second one is mixed.
pub(crate) fn unit(a: u64, b: u64) -> f64 {
    /// The number of values that 53 bits have.
    const SCALE: f64 = 9_007_199_254_740_992.0;
    (mix(a ^ b) >> 11) as f64 / SCALE
}
