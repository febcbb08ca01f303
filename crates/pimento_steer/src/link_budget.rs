//! Limits the bytes that this VM's requests cause on the link to another
//! region.

use pimento_core::prelude::*;

/// The fraction of the difference to a new response by which the peak size
/// falls.
const PEAK_DECAY: f64 = 0.01;
const BYTES_PER_MEGABIT: f64 = 1_000_000.0 / 8.0;

/// The size estimate for one service's responses.
#[derive(Clone, Debug)]
struct ResponseSize {
    service: ServiceId,
    /// The size of the largest recent response, in bytes.
    peak: f64,
    /// The number of responses that were recorded.
    samples: u32,
    /// The number of reservations that are not settled yet.
    open_count: u32,
}

impl ResponseSize {
    fn record(&mut self, bytes: u64) {
        let bytes = bytes as f64;
        self.samples = self.samples.saturating_add(1);
        self.peak = bytes.max(self.peak + PEAK_DECAY * (bytes - self.peak));
    }
}

/// A token bucket for the bytes of responses from one region.
///
/// The size of a response is unknown when its request is sent. The size of the
/// largest recent response is therefore reserved, and corrected when the
/// response ends. Such a correction can make the balance negative; nothing is
/// reserved until it is positive again. While few responses have been recorded,
/// the number of open reservations is limited accordingly.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    /// Bytes per second.
    rate: f64,
    /// The capacity of the bucket, in bytes.
    burst: f64,
    /// The bytes that can be reserved now.
    tokens: f64,
    updated: Time,
    /// Sorted by service.
    response_sizes: Vec<ResponseSize>,
    /// The time in which the bucket fills at the granted rate, in seconds.
    burst_span: f64,
}

impl LinkBudget {
    /// Creates a budget whose bucket holds as many bytes as the rate provides
    /// in `span`. The rate is zero until [`Self::set_share`] is called.
    pub fn new(now: Time, span: Duration) -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            tokens: 0.0,
            updated: now,
            response_sizes: Vec::new(),
            burst_span: span.as_secs_f64(),
        }
    }

    /// Sets the rate to this VM's share of a link of `mbit` megabits per
    /// second.
    pub fn set_share(&mut self, now: Time, mbit: u32, share: f64) {
        self.refill(now);
        self.rate = f64::from(mbit) * BYTES_PER_MEGABIT * share;
        self.burst = self.rate * self.burst_span;
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
    }

    /// The size estimate of a service, created if it doesn't exist.
    fn size_mut(&mut self, service: &ServiceId) -> &mut ResponseSize {
        let found = self
            .response_sizes
            .binary_search_by(|size| size.service.cmp(service));
        let i = found.unwrap_or_else(|i| {
            let size = ResponseSize {
                service: service.clone(),
                peak: 0.0,
                samples: 0,
                open_count: 0,
            };
            self.response_sizes.insert(i, size);
            i
        });
        &mut self.response_sizes[i]
    }

    /// Reserves the bytes of a response. Returns `None` if this VM's share of
    /// the link is used up.
    pub fn reserve(&mut self, now: Time, service: &ServiceId) -> Option<u64> {
        self.refill(now);
        let (burst, tokens) = (self.burst, self.tokens);
        let size = self.size_mut(service);
        if size.open_count > size.samples {
            return None;
        }
        let bytes = if size.samples == 0 { burst } else { size.peak };
        // A response larger than the bucket needs a full bucket.
        if tokens < bytes.min(burst) || burst <= 0.0 {
            return None;
        }
        size.open_count += 1;
        self.tokens -= bytes;
        Some(bytes as u64)
    }

    /// Replaces a reservation by the number of bytes that were received.
    pub fn settle(&mut self, now: Time, service: &ServiceId, reserved: u64, bytes: u64) {
        self.refill(now);
        self.tokens = (self.tokens + reserved as f64 - bytes as f64).min(self.burst);
        let size = self.size_mut(service);
        size.open_count = size.open_count.saturating_sub(1);
        if bytes > 0 {
            size.record(bytes);
        }
    }
}
