//! Validation of single items.

use crate::{Body, ChangesetError, Item, RetrySafety, Route, Service};

/// How far the objective of a route may exceed its timeout, in milliseconds.
const MAX_OBJECTIVE_EXCESS_MS: u32 = 60_000;

/// Validates an item without its references to other items.
pub(crate) fn item(item: &Item) -> Result<(), ChangesetError> {
    if item.name.is_empty() {
        return Err(ChangesetError::invalid(item, "name", "must not be empty"));
    }
    match &item.body {
        Some(Body::Route(route)) => self::route(item, route),
        Some(Body::Service(service)) => self::service(item, service),
        Some(Body::Limits(_) | Body::Evacuation(())) | None => Ok(()),
    }
}

fn route(item: &Item, route: &Route) -> Result<(), ChangesetError> {
    let invalid = |field, detail: &str| Err(ChangesetError::invalid(item, field, detail));
    if route.host.is_empty() {
        return invalid("host", "must not be empty");
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return invalid("prefix", "must start and end with a slash");
    }
    if RetrySafety::try_from(route.retry_safety).is_err() {
        return invalid("repeat", "is not a known value");
    }
    if route.timeout_ms == 0 {
        return invalid("timeout", "must not be 0");
    }
    if route.objective_ms >= route.timeout_ms.saturating_add(MAX_OBJECTIVE_EXCESS_MS) {
        return invalid("objective", "exceeds the timeout by a minute or more");
    }
    if route.services.is_empty() {
        return invalid("parts", "must name at least one service");
    }
    Ok(())
}

fn service(item: &Item, service: &Service) -> Result<(), ChangesetError> {
    if service.health.starts_with('/') {
        return Ok(());
    }
    Err(ChangesetError::invalid(
        item,
        "health",
        "must start with a slash",
    ))
}
