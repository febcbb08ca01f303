//! The bounded queue in front of a service's targets.

use crate::Request;
use pimento_core::prelude::*;
use std::collections::VecDeque;

#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) request: Request,
    pub(crate) queued_at: Time,
}

impl QueuedRequest {
    /// When the request stops waiting: at the end of its maximum wait or at its
    /// deadline, whichever is first.
    pub(crate) fn expiry(&self) -> Time {
        let wait = Duration::from_millis(u64::from(self.request.queue.wait));
        (self.queued_at + wait).min(self.request.deadline)
    }
}

/// The queued requests of one tenant in one class.
#[derive(Clone, Debug)]
struct Flow {
    class: Class,
    tenant: TenantId,
    /// The number of requests of this tenant that were served. A tenant that
    /// returns after being idle starts at the class's current value, so it
    /// can't claim the turns that it missed.
    virtual_time: u64,
    requests: VecDeque<QueuedRequest>,
}

/// The queued requests of a service by class and tenant.
///
/// Classes are served in order of priority. Within a class, the tenant with the
/// lowest virtual time is next (start-time fair queueing with equal costs).
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    /// Sorted by class and tenant.
    flows: Vec<Flow>,
    /// For each class, the virtual time of the tenant that was served last.
    virtual_times: [u64; Class::ALL.len()],
    /// The number of queued requests in all flows.
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// The number of requests that are served before a new one of this class.
    pub(crate) fn count_ahead(&self, class: Class) -> usize {
        let flows = self.flows.iter().filter(|flow| flow.class <= class);
        flows.map(|flow| flow.requests.len()).sum()
    }

    /// The flow of a tenant in a class, created if it doesn't exist.
    fn flow_mut(&mut self, class: Class, tenant: &TenantId) -> &mut Flow {
        let key = (class, tenant);
        let found = self
            .flows
            .binary_search_by(|flow| (flow.class, &flow.tenant).cmp(&key));
        let i = match found {
            Ok(i) => i,
            Err(i) => {
                let flow = Flow {
                    class,
                    tenant: tenant.clone(),
                    virtual_time: 0,
                    requests: VecDeque::new(),
                };
                self.flows.insert(i, flow);
                i
            }
        };
        &mut self.flows[i]
    }

    /// Adds a request at the end of its flow.
    pub(crate) fn push(&mut self, item: QueuedRequest) {
        let class_time = self.virtual_times[item.request.class as usize];
        let flow = self.flow_mut(item.request.class, &item.request.tenant);
        if flow.requests.is_empty() {
            flow.virtual_time = flow.virtual_time.max(class_time);
        }
        flow.requests.push_back(item);
        self.len += 1;
    }

    /// Counts a request that started without waiting towards its tenant's
    /// share.
    pub(crate) fn record_direct_start(&mut self, request: &Request) {
        let class = request.class as usize;
        let class_time = self.virtual_times[class];
        let flow = self.flow_mut(request.class, &request.tenant);
        let start = flow.virtual_time.max(class_time);
        flow.virtual_time = start + 1;
        self.virtual_times[class] = start;
    }

    /// Evicts a request in favor of a new one: the newest request of a lower
    /// class, or else of a tenant that has more queued requests than the new
    /// request's tenant would have.
    pub(crate) fn evict(&mut self, class: Class, tenant: &TenantId) -> Option<QueuedRequest> {
        let own_len = self.flow_mut(class, tenant).requests.len();
        let largest = self
            .flows
            .iter_mut()
            .filter(|flow| !flow.requests.is_empty())
            .max_by_key(|flow| (flow.class, flow.requests.len()))?;
        let is_lower = largest.class > class;
        let has_more = largest.class == class && largest.requests.len() > own_len + 1;
        if !is_lower && !has_more {
            return None;
        }
        self.len -= 1;
        largest.requests.pop_back()
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<QueuedRequest> {
        for flow in &mut self.flows {
            let found = flow.requests.iter().position(|item| item.request.id == id);
            if let Some(i) = found {
                self.len -= 1;
                return flow.requests.remove(i);
            }
        }
        None
    }

    /// Removes all requests that match the predicate.
    pub(crate) fn remove_if(
        &mut self,
        mut predicate: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        if self.len == 0 {
            return removed;
        }
        for flow in &mut self.flows {
            if !flow.requests.iter().any(&mut predicate) {
                continue;
            }
            let (matching, kept): (Vec<_>, Vec<_>) =
                flow.requests.drain(..).partition(&mut predicate);
            flow.requests.extend(kept);
            removed.extend(matching);
        }
        self.len -= removed.len();
        removed
    }

    /// Removes the first request, in the order of service, for which `select`
    /// returns a value.
    pub(crate) fn pop_first<T>(
        &mut self,
        mut select: impl FnMut(&Request) -> Option<T>,
    ) -> Option<(QueuedRequest, T)> {
        if self.len == 0 {
            return None;
        }
        let mut order: Vec<usize> = (0..self.flows.len())
            .filter(|i| !self.flows[*i].requests.is_empty())
            .collect();
        order.sort_by_key(|i| (self.flows[*i].class, self.flows[*i].virtual_time));
        for i in order {
            let flow = &mut self.flows[i];
            let found = flow
                .requests
                .iter()
                .enumerate()
                .find_map(|(at, item)| select(&item.request).map(|value| (at, value)));
            let Some((at, value)) = found else { continue };
            let item = flow.requests.remove(at)?;
            self.virtual_times[flow.class as usize] = flow.virtual_time;
            flow.virtual_time += 1;
            self.len -= 1;
            return Some((item, value));
        }
        None
    }

    /// When the first queued request stops waiting.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        let flows = self.flows.iter().flat_map(|flow| &flow.requests);
        flows.map(QueuedRequest::expiry).min()
    }

    /// Removes flows that are empty and whose tenant has not used more than its
    /// share.
    pub(crate) fn remove_idle_flows(&mut self) {
        let virtual_times = self.virtual_times;
        self.flows.retain(|flow| {
            !flow.requests.is_empty() || flow.virtual_time > virtual_times[flow.class as usize]
        });
    }
}
