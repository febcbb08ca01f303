//! The requests that targets have answered lately.

use crate::Fingerprint;
use pimento_core::Time;
use std::{collections::VecDeque, time::Duration};

/// How long an answer speaks for the same request. A request that becomes poison is
/// suspected after that.
const ANSWER_TTL: Duration = Duration::from_secs(10);
/// The maximum number of answers that are remembered.
const MAX_ANSWERS: usize = 1_024;

/// The requests of one VM that targets have answered lately.
///
/// A request that many callers send meets each crash of any target. That it was
/// answered elsewhere shows that it is not the cause.
#[derive(Clone, Debug, Default)]
pub struct RecentAnswers(VecDeque<(Fingerprint, Time)>);

impl RecentAnswers {
    /// Records that a target answered a request completely.
    pub fn record(&mut self, now: Time, request: Fingerprint) {
        if self.0.len() >= MAX_ANSWERS {
            self.0.pop_front();
        }
        self.0.push_back((request, now));
    }

    /// Whether a target answered this request lately.
    pub fn contains(&self, now: Time, request: Fingerprint) -> bool {
        let lately = self.0.iter().rev();
        let mut lately = lately.take_while(|(_, at)| now.since(*at) < ANSWER_TTL);
        lately.any(|(other, _)| *other == request)
    }
}
