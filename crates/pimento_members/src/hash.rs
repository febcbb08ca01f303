//! A hash that all builds of the system agree on.

const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;
const MIX: u64 = 0xff51_afd7_ed55_8ccd;

/// The FNV-1a hash of some parts, each set off from the next.
pub(crate) fn fnv<'a>(parts: impl Iterator<Item = &'a [u8]>) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    parts.fold(BASIS, |hash, part| {
        let hash = part.iter().fold(hash, |hash, byte| step(hash, *byte));
        step(hash, 0xff)
    })
}

/// The rendezvous weight of a candidate for a key.
pub(crate) fn weight(key: &str, candidate: &str) -> u64 {
    let hash = fnv([key.as_bytes(), candidate.as_bytes()].into_iter());
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(MIX);
    mixed ^ (mixed >> 33)
}
