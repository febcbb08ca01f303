//! Validation of single items, independent of the rest of the note and of the
//! rules in force.

use crate::{Block, Domain, FieldError, Items, Link, Note, NoteError, Region, Service};

/// Upper bound of a service's timeout, of its queue wait and of a link's latency.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Upper bound of the time that callers may cache a look-up.
const MAX_TTL_MS: u64 = 3_600_000;

/// Upper bound of the size limit of a service's request bodies.
const MAX_BODY_BYTES: u64 = 1 << 30;

/// Upper bound of the attempts per request.
const MAX_ATTEMPTS: u64 = 10;

/// Upper bound of the length of a service's admission queue.
const MAX_QUEUE_LEN: u64 = 1 << 20;

/// Maximum number of tenants of a service.
const MAX_TENANTS: u64 = 4_096;

const MAX_PERCENT: u64 = 100;

type CheckResult = Result<(), NoteError>;

impl Note {
    /// Checks everything that doesn't depend on the rules in force, such as
    /// number ranges.
    ///
    /// # Errors
    ///
    /// Returns a [`NoteError`] with the path of the first invalid field.
    pub fn check(&self) -> Result<(), NoteError> {
        check_items(&self.added, "added")?;
        check_items(&self.changed, "changed")
    }
}

/// Checks every item of a section of the note, `added` or `changed`.
fn check_items(items: &Items, section: &str) -> CheckResult {
    check_each(&items.regions, section, "regions", check_region)?;
    check_each(&items.domains, section, "domains", |_: &Domain, _| Ok(()))?;
    check_each(&items.links, section, "links", check_link)?;
    check_each(&items.services, section, "services", check_service)?;
    check_each(&items.blocks, section, "blocks", check_block)
}

fn check_each<T>(
    items: &[T],
    section: &str,
    kind: &str,
    check: impl Fn(&T, &dyn Fn(&str) -> String) -> CheckResult,
) -> CheckResult {
    let mut indexed = items.iter().enumerate();
    indexed.try_for_each(|(i, item)| check(item, &|field| format!("{section}.{kind}[{i}].{field}")))
}

fn check_range(
    path: impl FnOnce() -> String,
    found: impl Into<u64>,
    min: u64,
    max: u64,
) -> CheckResult {
    let found = found.into();
    if (min..=max).contains(&found) {
        return Ok(());
    }
    Err(NoteError::at_field(
        path(),
        FieldError::OutOfRange { found, min, max },
    ))
}

fn check_region(region: &Region, path: &dyn Fn(&str) -> String) -> CheckResult {
    check_range(|| path("reserve"), region.reserve, 0, MAX_PERCENT)
}

fn check_link(link: &Link, path: &dyn Fn(&str) -> String) -> CheckResult {
    if link.a >= link.b {
        return Err(NoteError::at_field(path("b"), FieldError::LinkEnds));
    }
    check_range(|| path("mbit"), link.mbit, 1, u32::MAX.into())?;
    check_range(|| path("latency"), link.latency, 0, MAX_TIMEOUT_MS)
}

fn check_service(service: &Service, path: &dyn Fn(&str) -> String) -> CheckResult {
    let timeout = u64::from(service.timeout);
    check_range(|| path("timeout"), timeout, 1, MAX_TIMEOUT_MS)?;
    check_range(|| path("ttl"), service.ttl, 1, MAX_TTL_MS)?;
    check_range(|| path("body"), service.body, 0, MAX_BODY_BYTES)?;
    check_range(|| path("queue.len"), service.queue.len, 0, MAX_QUEUE_LEN)?;
    check_range(|| path("queue.wait"), service.queue.wait, 0, MAX_TIMEOUT_MS)?;
    check_range(
        || path("retry.attempts"),
        service.retry.attempts,
        1,
        MAX_ATTEMPTS,
    )?;
    check_range(
        || path("retry.budget"),
        service.retry.budget,
        0,
        MAX_PERCENT,
    )?;
    check_repeatable(service, path)?;
    check_tenants(service, path)
}

fn check_repeatable(service: &Service, path: &dyn Fn(&str) -> String) -> CheckResult {
    if let Some(hedge) = service.retry.hedge {
        if !service.repeatable {
            return Err(NoteError::at_field(
                path("retry.hedge"),
                FieldError::Repeatable(true),
            ));
        }
        check_range(|| path("retry.hedge"), hedge, 1, service.timeout.into())?;
    }
    if let Some(cap) = &service.cap {
        if service.repeatable {
            return Err(NoteError::at_field(
                path("cap"),
                FieldError::Repeatable(false),
            ));
        }
        check_range(|| path("cap.limit"), cap.limit, 1, u32::MAX.into())?;
    }
    Ok(())
}

fn check_tenants(service: &Service, path: &dyn Fn(&str) -> String) -> CheckResult {
    let len = service.tenants.len() as u64;
    check_range(|| path("tenants"), len, 0, MAX_TENANTS)?;
    let mut sorted: Vec<_> = service.tenants.iter().enumerate().collect();
    sorted.sort_by_key(|(i, tenant)| (*tenant, *i));
    let duplicate = sorted.windows(2).find(|pair| pair[0].1 == pair[1].1);
    let Some([(first, _), (second, name)]) = duplicate else {
        return Ok(());
    };
    let error = FieldError::Duplicate(name.to_string(), path(&format!("tenants[{first}]")));
    Err(NoteError::at_field(
        path(&format!("tenants[{second}]")),
        error,
    ))
}

fn check_block(block: &Block, path: &dyn Fn(&str) -> String) -> CheckResult {
    let network = block.net.trunc();
    if network == block.net {
        return Ok(());
    }
    let error = FieldError::HostBits {
        found: block.net.to_string(),
        network: network.to_string(),
    };
    Err(NoteError::at_field(path("net"), error))
}
