//! The budgets of repeats, one a service.

use pimento_broker::RetryBudget;
use pimento_core::Time;
use std::{cell::RefCell, sync::Arc, time::Duration};

/// What all VMs together may repeat.
#[derive(Clone, Copy, Debug)]
pub struct Repeats {
    /// The repeats allowed for each request.
    pub ratio: f64,
    /// The repeats allowed beyond that within a window, by all VMs.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// The budgets of repeats, sorted by service.
#[derive(Debug, Default)]
pub(crate) struct Budgets(RefCell<Vec<(Arc<str>, RetryBudget)>>);

impl Budgets {
    /// Notes a request for a service.
    pub(crate) fn request(&self, now: Time, service: &Arc<str>, repeats: &Repeats, vms: usize) {
        self.with(now, service, repeats, vms, |b| {
            b.record_request(now, repeats.ratio);
        });
    }

    /// Whether a repeat may be sent.
    pub(crate) fn spend(
        &self,
        now: Time,
        service: &Arc<str>,
        repeats: &Repeats,
        vms: usize,
    ) -> bool {
        self.with(now, service, repeats, vms, |b| b.try_spend(now))
    }

    fn with<T>(
        &self,
        now: Time,
        service: &Arc<str>,
        repeats: &Repeats,
        vms: usize,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.0.borrow_mut();
        let found = budgets.binary_search_by(|(name, _)| name.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let budget = RetryBudget::new(now, repeats.slack, repeats.window, vms);
            budgets.insert(at, (Arc::clone(service), budget));
            at
        });
        act(&mut budgets[at].1)
    }
}
