//! What targets say of themselves in their answers: that they leave, that they
//! want no requests for a while, or how many they take.
//!
//! Both request paths use this crate: [`RetryAfter`] decodes the length of a
//! pause, [`TargetNotices`] keeps what a VM has heard, and the functions of
//! `caller_delay` say when refused callers may return. Nothing here does I/O or
//! reads a clock. See `docs/design/notices.md`.

mod caller_delay;
mod retry_after;
mod stated_limit;
mod target_notices;

pub use caller_delay::{MIN_DELAY, UNUSABLE_DELAY, after_pause, with_jitter};
pub use retry_after::RetryAfter;
pub use stated_limit::{RequestRate, StatedLimit};
pub use target_notices::{EndedPause, Hold, MAX_PAUSE, TargetNotice, TargetNotices};
