//! What an item must satisfy by itself.

use crate::{Body, ChangesetError, Item, RetrySafety, Route, Service};

/// How far an objective may lie above the timeout of its route, in
/// milliseconds.
const MAX_OBJECTIVE_EXCESS_MS: u32 = 60_000;

/// Checks an item without regard to others.
pub(crate) fn item(item: &Item) -> Result<(), ChangesetError> {
    if item.name.is_empty() {
        return Err(ChangesetError::invalid(item, "name", "is empty"));
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
        return invalid("host", "is empty");
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return invalid("prefix", "must begin and end with a slash");
    }
    if RetrySafety::try_from(route.repeat).is_err() {
        return invalid("repeat", "is unknown");
    }
    if route.timeout_ms == 0 {
        return invalid("timeout", "is 0");
    }
    if route.objective_ms >= route.timeout_ms.saturating_add(MAX_OBJECTIVE_EXCESS_MS) {
        return invalid("objective", "is a minute or more above the timeout");
    }
    if route.parts.is_empty() {
        return invalid("parts", "names no service");
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
        "must begin with a slash",
    ))
}
