//! Telling whether two requests with one key are the same.

use sha2::{Digest as _, Sha256};

/// Hashes what makes two requests the same.
///
/// The credentials take part, so that nobody who learns a key is shown the
/// answer to somebody else's request. Each part is preceded by its length, so
/// that no two different requests hash the same bytes.
pub fn fingerprint(method: &str, path: &str, body: &[u8; 32], credentials: &[u8]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body, credentials] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}
