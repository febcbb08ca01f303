//! The parameters of admission control, in one place so that tests can vary
//! them.

use std::time::Duration;

/// The parameters of admission control. `docs/ops/limits.md` describes the
/// effect of each.
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// How long a target's load report stays valid after it was received.
    pub report_ttl: Duration,
    /// How long a slot stays in use after its connection was closed early,
    /// because the target notices the close later.
    pub release_delay: Duration,
    /// The interval at which a cold target's slot limit rises by one during
    /// slow start.
    pub ramp_interval: Duration,
    /// The factor by which a target's concurrency limit shrinks when it sheds a
    /// request.
    pub shed_factor: f64,
    /// The minimum time between two cuts of one target's limit, so that a burst
    /// of shed requests counts once.
    pub cut_interval: Duration,
    /// The first pause of a target that sheds at its lowest limit.
    pub pause_min: Duration,
    /// The longest pause of a target that sheds at its lowest limit.
    pub pause_max: Duration,
    /// The number of consecutive failures after which a target is ejected.
    pub eject_failures: u32,
    /// A target is ejected when its latency exceeds the median of the service's
    /// other targets by this factor.
    pub eject_ratio: f64,
    /// The minimum number of latency samples before a target's latency is
    /// compared.
    pub eject_samples: u32,
    /// The duration of a target's first ejection; it doubles with each
    /// following one.
    pub eject_min: Duration,
    /// The longest duration of an ejection.
    pub eject_max: Duration,
    /// The percentage of the offered slots that background requests leave free.
    pub spare_percent: u32,
    /// The half-life of a latency estimate that gets no new samples. Without
    /// this decay, an estimate high enough to refuse every request would never
    /// be corrected.
    pub half_life: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            report_ttl: Duration::from_secs(3),
            release_delay: Duration::from_millis(20),
            ramp_interval: Duration::from_secs(2),
            shed_factor: 0.7,
            cut_interval: Duration::from_millis(100),
            pause_min: Duration::from_millis(50),
            pause_max: Duration::from_secs(1),
            eject_failures: 5,
            eject_ratio: 5.0,
            eject_samples: 8,
            eject_min: Duration::from_secs(2),
            eject_max: Duration::from_secs(30),
            spare_percent: 25,
            half_life: Duration::from_secs(1),
        }
    }
}
