//! The constants of steering, gathered so that tests can vary them.

use std::time::Duration;

/// The constants of steering; see `docs/ops/limits.md`.
#[derive(Clone, Debug)]
pub struct SteerConfig {
    /// The most entry VMs that a look-up names.
    pub entries: usize,
    /// Headroom that was measured longer ago than this says nothing.
    pub max_age: Duration,
    /// Headroom halves with each such time since it was measured.
    pub half_life: Duration,
    /// The round trip to a VM of the same failure domain.
    pub peer_trip: Duration,
    /// The round trip to another failure domain of the region.
    pub domain_trip: Duration,
    /// The round trip to a region without a known link.
    pub far_trip: Duration,
    /// While a slot is free here, another place must promise to answer within
    /// this share of the local time, so that noise moves nothing.
    pub gain: f64,
    /// The requests a second that one VM may start to move to another failure
    /// domain for one service, as a share of what its targets can answer.
    pub move_floor: f64,
    /// The factor by which moved load may grow each second.
    pub move_growth: f64,
    /// How long an answer is taken to need at a place that has measured none.
    pub first_latency: Duration,
    /// The share of a link's bytes that answers may use.
    pub answer_share: f64,
    /// The longest burst on a link, as the time that it takes at the granted
    /// rate.
    pub link_burst: Duration,
    /// The share of a failure domain's blocks that may move to or from it each
    /// second.
    pub block_rate: f64,
}

impl Default for SteerConfig {
    fn default() -> Self {
        Self {
            entries: 6,
            max_age: Duration::from_millis(2_500),
            half_life: Duration::from_secs(1),
            peer_trip: Duration::from_millis(1),
            domain_trip: Duration::from_millis(2),
            far_trip: Duration::from_millis(60),
            gain: 0.5,
            move_floor: 0.05,
            move_growth: 1.5,
            first_latency: Duration::from_millis(50),
            answer_share: 0.75,
            link_burst: Duration::from_millis(100),
            block_rate: 0.1,
        }
    }
}
