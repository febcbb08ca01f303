//! How large requests and their answers are.

use crate::{
    attempt::Outcome,
    inbound::{Inbound, InboundBody},
};
use hyper::body::Body;
use std::{cell::RefCell, sync::Arc};

/// The weight of a new size in a moving mean.
const GAIN: f64 = 0.1;

/// The mean size of requests with their answers, by route, sorted, in bytes.
#[derive(Debug, Default)]
pub(crate) struct Sizes(RefCell<Vec<(Arc<str>, f64)>>);

impl Sizes {
    /// The mean size of a route's requests with their answers; 0 before any.
    pub(crate) fn mean(&self, route: &Arc<str>) -> f64 {
        let sizes = self.0.borrow();
        let found = sizes.binary_search_by(|(name, _)| name.cmp(route));
        found.map_or(0.0, |i| sizes[i].1)
    }

    /// Notes the size of a request and its answer.
    pub(crate) fn note(&self, route: &Arc<str>, inbound: &Inbound, outcome: &Outcome) {
        let Outcome::Answered(answer) = outcome else {
            return;
        };
        let asked = match &inbound.body {
            InboundBody::Whole(bytes) => bytes.len() as u64,
            InboundBody::Stream(..) => 0,
        };
        let size = (asked + answer.body.size_hint().lower()) as f64;
        let mut sizes = self.0.borrow_mut();
        match sizes.binary_search_by(|(name, _)| name.cmp(route)) {
            Ok(i) => sizes[i].1 += GAIN * (size - sizes[i].1),
            Err(i) => sizes.insert(i, (Arc::clone(route), size)),
        }
    }
}
