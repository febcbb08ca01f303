//! Fingerprints, which tell whether two requests with one key are the same.

use sha2::{Digest as _, Sha256};

/// Computes the fingerprint of a request; `body` is the digest of its body.
///
/// The credentials are included, so that a caller who learns another caller's
/// key can't obtain the stored answer. Each part is prefixed with its length, so
/// that different requests never hash the same bytes.
pub fn fingerprint(method: &str, path: &str, body: &[u8; 32], credentials: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body, credentials] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
