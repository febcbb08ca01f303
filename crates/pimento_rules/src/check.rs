//! Checks of single items, whatever else the note or the rules hold.

use crate::{Block, Domain, FieldError, Items, Link, Note, NoteError, Region, Service};

/// The longest timeout of a service, in milliseconds.
const MAX_TIMEOUT: u64 = 600_000;

/// The longest that callers may cache a look-up, in milliseconds.
const MAX_TTL: u64 = 3_600_000;

/// The largest request body, in bytes.
const MAX_BODY: u64 = 1 << 30;

/// The most attempts for one request.
const MAX_ATTEMPTS: u64 = 10;

/// The longest queue before a service's targets.
const MAX_QUEUE: u64 = 1 << 20;

/// The most tenants of a service.
const MAX_TENANTS: u64 = 4_096;

/// The whole, in percent.
const PERCENT: u64 = 100;

type Checked = Result<(), NoteError>;

impl Note {
    /// Checks what needs no rules in force, such as ranges.
    ///
    /// # Errors
    ///
    /// Returns a [`NoteError`] that names the path of the first field at fault.
    pub fn check(&self) -> Result<(), NoteError> {
        check_items(&self.added, "added")?;
        check_items(&self.changed, "changed")
    }
}

/// Checks every item of a list such as `added`.
fn check_items(items: &Items, list: &str) -> Checked {
    check_each(&items.regions, list, "regions", check_region)?;
    check_each(&items.domains, list, "domains", |_: &Domain, _| Ok(()))?;
    check_each(&items.links, list, "links", check_link)?;
    check_each(&items.services, list, "services", check_service)?;
    check_each(&items.blocks, list, "blocks", check_block)
}

fn check_each<T>(
    items: &[T],
    list: &str,
    kind: &str,
    check: impl Fn(&T, &dyn Fn(&str) -> String) -> Checked,
) -> Checked {
    let mut all = items.iter().enumerate();
    all.try_for_each(|(i, item)| check(item, &|field| format!("{list}.{kind}[{i}].{field}")))
}

fn within(path: impl FnOnce() -> String, found: impl Into<u64>, min: u64, max: u64) -> Checked {
    let found = found.into();
    if (min..=max).contains(&found) {
        return Ok(());
    }
    Err(NoteError::at(path(), FieldError::Range { found, min, max }))
}

fn check_region(region: &Region, path: &dyn Fn(&str) -> String) -> Checked {
    within(|| path("reserve"), region.reserve, 0, PERCENT)
}

fn check_link(link: &Link, path: &dyn Fn(&str) -> String) -> Checked {
    if link.a >= link.b {
        return Err(NoteError::at(path("b"), FieldError::Ends));
    }
    within(|| path("mbit"), link.mbit, 1, u32::MAX.into())?;
    within(|| path("latency"), link.latency, 0, MAX_TIMEOUT)
}

fn check_service(service: &Service, path: &dyn Fn(&str) -> String) -> Checked {
    let timeout = u64::from(service.timeout);
    within(|| path("timeout"), timeout, 1, MAX_TIMEOUT)?;
    within(|| path("ttl"), service.ttl, 1, MAX_TTL)?;
    within(|| path("body"), service.body, 0, MAX_BODY)?;
    within(|| path("queue.len"), service.queue.len, 0, MAX_QUEUE)?;
    within(|| path("queue.wait"), service.queue.wait, 0, MAX_TIMEOUT)?;
    within(
        || path("retry.attempts"),
        service.retry.attempts,
        1,
        MAX_ATTEMPTS,
    )?;
    within(|| path("retry.budget"), service.retry.budget, 0, PERCENT)?;
    check_repeatable(service, path)?;
    check_tenants(service, path)
}

fn check_repeatable(service: &Service, path: &dyn Fn(&str) -> String) -> Checked {
    if let Some(hedge) = service.retry.hedge {
        if !service.repeatable {
            return Err(NoteError::at(
                path("retry.hedge"),
                FieldError::Repeatable(true),
            ));
        }
        within(|| path("retry.hedge"), hedge, 1, service.timeout.into())?;
    }
    if let Some(cap) = &service.cap {
        if service.repeatable {
            return Err(NoteError::at(path("cap"), FieldError::Repeatable(false)));
        }
        within(|| path("cap.limit"), cap.limit, 1, u32::MAX.into())?;
    }
    Ok(())
}

fn check_tenants(service: &Service, path: &dyn Fn(&str) -> String) -> Checked {
    let len = service.tenants.len() as u64;
    within(|| path("tenants"), len, 0, MAX_TENANTS)?;
    let mut sorted: Vec<_> = service.tenants.iter().enumerate().collect();
    sorted.sort_by_key(|(i, tenant)| (*tenant, *i));
    let twice = sorted.windows(2).find(|pair| pair[0].1 == pair[1].1);
    let Some([(first, _), (again, name)]) = twice else {
        return Ok(());
    };
    let fault = FieldError::Duplicate(name.to_string(), path(&format!("tenants[{first}]")));
    Err(NoteError::at(path(&format!("tenants[{again}]")), fault))
}

fn check_block(block: &Block, path: &dyn Fn(&str) -> String) -> Checked {
    let network = block.net.trunc();
    if network == block.net {
        return Ok(());
    }
    let fault = FieldError::HostBits {
        found: block.net.to_string(),
        network: network.to_string(),
    };
    Err(NoteError::at(path("net"), fault))
}
