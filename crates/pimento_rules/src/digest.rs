//! Content digests of release notes.

use sha2::{Digest as _, Sha256};
use std::fmt;

/// The SHA-256 of a note's canonical encoding.
///
/// Notes with equal content have equal digests, regardless of formatting,
/// comments and the order of entries.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; Self::LEN]);

impl Digest {
    /// The length of a digest, in bytes.
    pub const LEN: usize = 32;

    /// Computes the digest of the given bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Reads a digest from its raw bytes. Returns `None` if the length is wrong.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the raw bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; Self::LEN] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
