//! What identifies a request that its caller sends again.

use sha2::{Digest, Sha256};
use std::fmt;

/// Identifies a request by what stays the same when its caller sends it again.
///
/// It is cut from a cryptographic hash, so that no caller can make up a request that
/// is taken for another caller's.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint([u8; Self::BYTES]);

impl Fingerprint {
    /// The size in bytes.
    pub const BYTES: usize = 16;

    /// Hashes the parts of a request. Their lengths count, so that the same bytes
    /// split differently are another request.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash: [u8; 32] = hasher.finalize().into();
        let mut bytes = [0; Self::BYTES];
        bytes.copy_from_slice(&hash[..Self::BYTES]);
        Self(bytes)
    }

    /// The bytes, as messages carry them.
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Reads what [`Self::as_bytes`] returned; `None` if the length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Reads the hexadecimal text that logs show; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let is_hex = text.len() == 2 * Self::BYTES && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| is_hex)?;
        Some(Self(number.to_be_bytes()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
