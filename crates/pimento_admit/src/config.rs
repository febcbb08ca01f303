//! The constants of admission, gathered so that tests can vary them.

use std::time::Duration;

/// The constants of admission; see `docs/ops/limits.md` for what each does.
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// A target's report counts for this long after it was received.
    pub report_ttl: Duration,
    /// A slot stays in use for this long after its connection was closed early,
    /// since the target hears of the close later.
    pub release_delay: Duration,
    /// A cold target gets one more slot at each such step.
    pub ramp_interval: Duration,
    /// The factor on a target's limit when it sheds a request.
    pub shed_factor: f64,
    /// The shortest time between two cuts of one target's limit, so that one
    /// burst of shed answers counts once.
    pub cut_interval: Duration,
    /// The first pause of a target that sheds at its lowest limit.
    pub pause_min: Duration,
    /// The longest pause of a target that sheds at its lowest limit.
    pub pause_max: Duration,
    /// Failures in a row after which a target is ejected.
    pub eject_failures: u32,
    /// A target whose latency is this many times that of its fellows is
    /// ejected.
    pub eject_ratio: f64,
    /// The samples that a latency needs before it is compared.
    pub eject_samples: u32,
    /// The first time that a target stays ejected; doubles with each ejection
    /// that follows.
    pub eject_min: Duration,
    /// The longest time that a target stays ejected.
    pub eject_max: Duration,
    /// The share of the offered slots that background requests leave free, in
    /// percent.
    pub spare_percent: u32,
    /// A measured service time without new samples halves at each such step,
    /// so that an estimate that refuses everything can't last.
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
