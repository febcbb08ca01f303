//! Retry budgets, one per service.

use pimento_broker::RetryBudget;
use pimento_core::Time;
use std::{cell::RefCell, sync::Arc, time::Duration};

/// Limits on retries, shared by all VMs.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetConfig {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed within a window, across all VMs.
    pub slack: f64,
    /// The length of the window for `slack`.
    pub window: Duration,
}

/// Retry budgets, sorted by service.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets(RefCell<Vec<(Arc<str>, RetryBudget)>>);

impl RetryBudgets {
    /// Records a request for a service, which adds to its budget.
    pub(crate) fn record_request(
        &self,
        now: Time,
        service: &Arc<str>,
        config: &RetryBudgetConfig,
        entry_count: usize,
    ) {
        self.with_budget(now, service, config, entry_count, |b| {
            b.record_request(now, config.ratio);
        });
    }

    /// Spends a retry from the budget of a service; false if it is exhausted.
    pub(crate) fn try_spend(
        &self,
        now: Time,
        service: &Arc<str>,
        config: &RetryBudgetConfig,
        entry_count: usize,
    ) -> bool {
        self.with_budget(now, service, config, entry_count, |b| b.try_spend(now))
    }

    fn with_budget<T>(
        &self,
        now: Time,
        service: &Arc<str>,
        config: &RetryBudgetConfig,
        entry_count: usize,
        update: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.0.borrow_mut();
        let found = budgets.binary_search_by(|(name, _)| name.cmp(service));
        let index = found.unwrap_or_else(|index| {
            let budget = RetryBudget::new(now, config.slack, config.window, entry_count);
            budgets.insert(index, (Arc::clone(service), budget));
            index
        });
        let budget = &mut budgets[index].1;
        budget.follow_vms(entry_count);
        update(budget)
    }
}
