//! The parameters of steering, in one place so that tests can vary them.

use std::time::Duration;

/// The parameters of steering; see `docs/ops/limits.md`.
#[derive(Clone, Debug)]
pub struct SteeringConfig {
    /// The maximum number of entry VMs in the response to a look-up.
    pub max_entries: usize,
    /// Headroom that is older than this is ignored.
    pub headroom_ttl: Duration,
    /// The half-life by which headroom is discounted as it ages.
    pub half_life: Duration,
    /// The round-trip time to a VM of the same failure domain.
    pub peer_rtt: Duration,
    /// The round-trip time to another failure domain of the same region.
    pub domain_rtt: Duration,
    /// The round-trip time to a region without a configured link.
    pub fallback_rtt: Duration,
    /// While this VM has a free slot, another VM must promise a response within
    /// this fraction of the local latency to be chosen, so that measurement
    /// noise moves no requests.
    pub latency_ratio: f64,
    /// The initial rate of requests that one VM may spill over to another
    /// failure domain for one service, as a share of the rate that the domain's
    /// targets can serve.
    pub spill_floor: f64,
    /// The factor by which the allowed spillover may grow each second.
    pub spill_growth: f64,
    /// The latency that is assumed while none has been measured.
    pub initial_latency: Duration,
    /// The share of a link's bandwidth that responses may use.
    pub response_share: f64,
    /// The largest burst on a link, as the time that it takes at the granted
    /// rate.
    pub link_burst: Duration,
    /// The share of a failure domain's blocks that may move to or from the
    /// domain each second.
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
