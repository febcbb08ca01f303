//! The constants of steering, gathered so that tests can vary them.

use std::time::Duration;

/// The constants of steering; see `docs/ops/limits.md`.
#[derive(Clone, Debug)]
pub struct SteeringConfig {
    /// The most entry VMs that a look-up names.
    pub max_entries: usize,
    /// Headroom that was measured longer ago than this says nothing.
    pub headroom_ttl: Duration,
    /// Headroom halves with each such time since it was measured.
    pub half_life: Duration,
    /// The round trip to a VM of the same failure domain.
    pub peer_rtt: Duration,
    /// The round trip to another failure domain of the region.
    pub domain_rtt: Duration,
    /// The round trip to a region without a known link.
    pub fallback_rtt: Duration,
    /// While a slot is free here, another place must promise to answer within
    /// this share of the local time, so that noise moves nothing.
    pub latency_ratio: f64,
    /// The requests a second that one VM may start to move to another failure
    /// domain for one service, as a share of what its targets can answer.
    pub spill_floor: f64,
    /// The factor by which moved load may grow each second.
    pub spill_growth: f64,
    /// How long an answer is taken to need at a place that has measured none.
    pub initial_latency: Duration,
    /// The share of a link's bytes that answers may use.
    pub response_share: f64,
    /// The longest burst on a link, as the time that it takes at the granted
    /// rate.
    pub link_burst: Duration,
    /// The share of a failure domain's blocks that may move to or from it each
    /// second.
    pub block_rate: f64,
}

impl Default for SteeringConfig {
    fn default() -> Self {
        Self {
            max_entries: 6,
            headroom_ttl: Duration::from_millis(2_500),
            half_life: Duration::from_secs(1),
            peer_rtt: Duration::from_millis(1),
            domain_rtt: Duration::from_millis(2),
            fallback_rtt: Duration::from_millis(60),
            latency_ratio: 0.5,
            spill_floor: 0.05,
            spill_growth: 1.5,
            initial_latency: Duration::from_millis(50),
            response_share: 0.75,
            link_burst: Duration::from_millis(100),
            block_rate: 0.1,
        }
    }
}
