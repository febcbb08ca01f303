//! The requests that a gateway has read and not answered yet.

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
};
use tokio::time::Instant;

/// A request without a response.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    pub id: String,
    pub service: Arc<str>,
    /// The target that has the request; `None` while it waits for a permit.
    pub target: Option<Arc<str>>,
    pub arrived_at: Instant,
    /// When the caller must have its final response.
    pub deadline: Instant,
}

/// The requests of a gateway that have no response yet, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    /// Sorted by serial number.
    requests: RefCell<Vec<(u64, OpenRequest)>>,
    last_serial: Cell<u64>,
}

impl OpenRequests {
    /// Adds a request until the returned guard is dropped.
    pub(crate) fn add(&self, request: OpenRequest) -> OpenGuard<'_> {
        let serial = self.last_serial.get() + 1;
        self.last_serial.set(serial);
        self.requests.borrow_mut().push((serial, request));
        OpenGuard {
            requests: self,
            serial,
        }
    }

    /// The number of open requests, and copies of the oldest `limit` of them.
    pub(crate) fn oldest(&self, limit: usize) -> (usize, Vec<OpenRequest>) {
        let requests = self.requests.borrow();
        let oldest = requests.iter().take(limit).map(|(_, r)| r.clone());
        (requests.len(), oldest.collect())
    }
}

/// Keeps a request among the open ones until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenGuard<'a> {
    requests: &'a OpenRequests,
    serial: u64,
}

impl OpenGuard<'_> {
    /// Records which target has the request.
    pub(crate) fn set_target(&self, target: Option<&Arc<str>>) {
        let mut requests = self.requests.requests.borrow_mut();
        if let Ok(i) = requests.binary_search_by_key(&self.serial, |(serial, _)| *serial) {
            requests[i].1.target = target.cloned();
        }
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        let mut requests = self.requests.requests.borrow_mut();
        if let Ok(i) = requests.binary_search_by_key(&self.serial, |(serial, _)| *serial) {
            requests.remove(i);
        }
    }
}
