//! Bounds of the ledger.
//!
//! They are constants and not settings, since every replica must decide alike.

/// How long a claim is kept after the time in its key, in milliseconds.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// How far the time in a key may lie ahead of the log's time, in milliseconds.
pub const MAX_KEY_LEAD_MS: u64 = RETENTION_MS;

/// How far past the time in its key an operation may move the log's time, in
/// milliseconds.
///
/// Half the retention, so that a proposer whose clock is far ahead can't make
/// the keys that callers create now look too old.
pub const MAX_CLOCK_ADVANCE_MS: u64 = RETENTION_MS / 2;

/// The most entry VMs whose newest process is remembered.
pub const MAX_TRACKED_VMS: usize = 16_384;

/// The longest that a holder may take to finish, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 10 * 60 * 1_000;

/// The largest stored answer, in bytes of headers and body.
pub const MAX_ANSWER_BYTES: usize = 16 << 10;

/// The most bytes of stored answers.
pub const MAX_TOTAL_ANSWER_BYTES: usize = 40 << 20;

/// The most bytes of stored answers of one tenant.
pub const MAX_TENANT_ANSWER_BYTES: usize = 20 << 20;

/// The most claims that are kept.
pub const MAX_CLAIMS: usize = 150_000;

/// The most claims of one tenant that are kept.
pub const MAX_TENANT_CLAIMS: usize = 75_000;

/// The most resources with places taken or a limit of their own.
pub const MAX_RESOURCES: usize = 100_000;

/// The most places taken over all resources.
pub const MAX_RESERVATIONS: usize = 500_000;

/// The longest name of a resource, in bytes.
pub const MAX_RESOURCE_NAME_BYTES: usize = 256;
