//! Digests of release notes.

use sha2::{Digest as _, Sha256};
use std::fmt;

/// The SHA-256 of a note's canonical encoding.
///
/// Two notes with the same content have the same digest, whatever their
/// formatting, comments and order of entries.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; Self::LEN]);

impl Digest {
    /// The length of a digest, in bytes.
    pub const LEN: usize = 32;

    /// Hashes bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Takes the bytes of a digest; none if the length is wrong.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; Self::LEN] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
