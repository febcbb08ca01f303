//! Limits of the ledger.
//!
//! They are constants, not settings, because every replica must come to the same
//! decisions.

/// How long a claim is kept after the creation time in its key.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// How far the creation time in a key may be ahead of the log's time.
pub const MAX_KEY_LEAD_MS: u64 = RETENTION_MS;

/// How far past the creation time in its key an operation may advance the log's
/// time.
///
/// This is half the retention, so that a proposer whose clock is far ahead can't
/// make the ledger reject newly created keys as too old.
pub const MAX_CLOCK_ADVANCE_MS: u64 = RETENTION_MS / 2;

/// Maximum number of entry VMs whose newest incarnation is tracked.
pub const MAX_TRACKED_VMS: usize = 16_384;

/// Maximum time for a holder to finish its request.
pub const MAX_TIMEOUT_MS: u64 = 10 * 60 * 1_000;

/// Maximum size of a stored answer, as computed by [`crate::Answer::size`].
pub const MAX_ANSWER_BYTES: usize = 16 << 10;

/// Maximum total size of all stored answers.
pub const MAX_TOTAL_ANSWER_BYTES: usize = 40 << 20;

/// Maximum total size of the stored answers of one tenant.
pub const MAX_TENANT_ANSWER_BYTES: usize = 20 << 20;

/// Maximum number of claims that are kept.
pub const MAX_CLAIMS: usize = 150_000;

/// Maximum number of claims of one tenant that are kept.
pub const MAX_TENANT_CLAIMS: usize = 75_000;

/// Maximum number of resources that have reservations or a limit of their own.
pub const MAX_RESOURCES: usize = 100_000;

/// Maximum number of reservations, over all resources.
pub const MAX_RESERVATIONS: usize = 500_000;

/// Maximum length of a resource's name.
pub const MAX_RESOURCE_NAME_BYTES: usize = 256;
