//! The bytes that this VM may cause on the link to another region.

use pimento_core::prelude::*;

/// The share of its distance to a new answer by which the peak size falls.
const DECAY: f64 = 0.01;
/// Bits in a byte, and bits in a megabit.
const BYTES_PER_MEGABIT: f64 = 1_000_000.0 / 8.0;

/// The running estimate of one service's answers.
#[derive(Clone, Debug)]
struct Size {
    service: ServiceId,
    /// The largest of recent answers, in bytes.
    peak: f64,
    /// The answers that were seen.
    samples: u32,
    /// The reservations that are not settled.
    open: u32,
}

impl Size {
    fn add(&mut self, bytes: u64) {
        let bytes = bytes as f64;
        self.samples = self.samples.saturating_add(1);
        self.peak = bytes.max(self.peak + DECAY * (bytes - self.peak));
    }
}

/// A token bucket over the bytes of answers from one region.
///
/// An answer's size is unknown when its request is sent, so the size of the
/// largest recent answer is reserved, and corrected when the answer ends. The
/// bucket may go below zero by such a correction; nothing is reserved until it
/// is paid back. While few answers were seen, as few may be under way.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    /// Bytes a second.
    rate: f64,
    /// The most bytes that are saved up.
    burst: f64,
    /// Bytes that may be reserved now.
    tokens: f64,
    updated: Time,
    /// Estimates by service.
    sizes: Vec<Size>,
    /// How long a burst may last at the rate, in seconds.
    span: f64,
}

impl LinkBudget {
    /// Creates a budget that saves up no more than the rate gives in `span`.
    pub fn new(now: Time, span: Duration) -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            tokens: 0.0,
            updated: now,
            sizes: Vec::new(),
            span: span.as_secs_f64(),
        }
    }

    /// Sets this VM's share of a link of `mbit` megabits a second.
    pub fn set_share(&mut self, now: Time, mbit: u32, share: f64) {
        self.refill(now);
        self.rate = f64::from(mbit) * BYTES_PER_MEGABIT * share;
        self.burst = self.rate * self.span;
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
    }

    /// The estimate of a service, made if it is missing.
    fn size(&mut self, service: &ServiceId) -> &mut Size {
        let found = self
            .sizes
            .binary_search_by(|size| size.service.cmp(service));
        let i = found.unwrap_or_else(|i| {
            let size = Size {
                service: service.clone(),
                peak: 0.0,
                samples: 0,
                open: 0,
            };
            self.sizes.insert(i, size);
            i
        });
        &mut self.sizes[i]
    }

    /// Reserves the bytes of an answer, or returns none if the link's share is
    /// used up.
    pub fn reserve(&mut self, now: Time, service: &ServiceId) -> Option<u64> {
        self.refill(now);
        let (burst, tokens) = (self.burst, self.tokens);
        let size = self.size(service);
        if size.open > size.samples {
            return None;
        }
        let bytes = if size.samples == 0 { burst } else { size.peak };
        // An answer larger than the bucket needs a full one.
        if tokens < bytes.min(burst) || burst <= 0.0 {
            return None;
        }
        size.open += 1;
        self.tokens -= bytes;
        Some(bytes as u64)
    }

    /// Replaces a reservation by the bytes that came.
    pub fn settle(&mut self, now: Time, service: &ServiceId, reserved: u64, bytes: u64) {
        self.refill(now);
        self.tokens = (self.tokens + reserved as f64 - bytes as f64).min(self.burst);
        let size = self.size(service);
        size.open = size.open.saturating_sub(1);
        if bytes > 0 {
            size.add(bytes);
        }
    }
}
