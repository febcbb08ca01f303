//! A request as it came in, checked against the rules of its service.

use crate::{headers, problem::Problem, shared::Shared};
use actix_web::{
    HttpRequest,
    http::{Method, StatusCode, header::HeaderMap},
};
use pimento_core::{Class, TargetId, TenantId, Time};
use pimento_rules::Service;
use pimento_steer::Origin;
use std::time::Duration;

/// The tenant of requests that name none.
const DEFAULT_TENANT: &str = "default";

/// A checked request without its body.
#[derive(Clone, Debug)]
pub(crate) struct Inbound {
    pub(crate) service: Service,
    pub(crate) method: Method,
    /// The path and query that the target sees, as they came.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) tenant: TenantId,
    pub(crate) class: Class,
    pub(crate) deadline: Time,
    /// Who handed it over.
    pub(crate) origin: Origin,
    /// Whether an entry VM of another region forwarded it.
    pub(crate) foreign: bool,
    /// Targets that earlier attempts used.
    pub(crate) avoid: Vec<TargetId>,
}

impl Inbound {
    /// Checks a request to `/{prefix}/{service}/{path}`.
    pub(crate) fn check(req: &HttpRequest, shared: &Shared) -> Result<Self, Problem> {
        let name = req.match_info().get("service").unwrap_or_default();
        let rules = shared.rules.load();
        if rules.version == 0 {
            let detail = "this VM has no version of the rules yet";
            return Err(Problem::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no-rules",
                detail,
            ));
        }
        let Some(service) = rules.service(name) else {
            let detail = format!("there is no service {name:?}");
            return Err(Problem::not_run(
                StatusCode::NOT_FOUND,
                "no-service",
                detail,
            ));
        };
        let timeout = timeout(req.headers(), service)?;
        Ok(Self {
            tenant: tenant(req.headers(), service)?,
            class: class(req.headers(), service)?,
            deadline: shared.clock.now() + timeout,
            path: target_path(req),
            method: req.method().clone(),
            headers: req.headers().clone(),
            service: service.clone(),
            origin: Origin::Caller,
            foreign: false,
            avoid: Vec::new(),
        })
    }

    /// Takes over what a forwarding entry VM says of itself and of earlier
    /// attempts.
    pub(crate) fn forwarded(mut self, shared: &Shared) -> Self {
        let from = headers::text(&self.headers, headers::ORIGIN).unwrap_or_default();
        let (region, domain) = from.split_once('/').unwrap_or_default();
        let near = domain == shared.settings.domain.as_str();
        self.origin = if near { Origin::Peer } else { Origin::Domain };
        self.foreign = region != shared.settings.region.as_str();
        let avoid = headers::text(&self.headers, headers::AVOID).unwrap_or_default();
        self.avoid = avoid
            .split(',')
            .filter_map(|name| TargetId::new(name).ok())
            .collect();
        self
    }
}

fn bad_header(name: &str, detail: impl Into<String>) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, "bad-header", detail).with_field(name)
}

fn timeout(headers: &HeaderMap, service: &Service) -> Result<Duration, Problem> {
    let longest = u64::from(service.timeout);
    let Some(value) = headers.get(headers::TIMEOUT) else {
        return Ok(Duration::from_millis(longest));
    };
    let millis = value.to_str().ok().and_then(|s| s.parse::<u64>().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Duration::from_millis(millis.min(longest))),
        _ => Err(bad_header(
            headers::TIMEOUT,
            "expected a positive whole number of milliseconds",
        )),
    }
}

fn tenant(headers: &HeaderMap, service: &Service) -> Result<TenantId, Problem> {
    let name = match headers.get(headers::TENANT) {
        Some(value) => value.to_str().unwrap_or_default(),
        None => DEFAULT_TENANT,
    };
    let tenant = TenantId::new(name).map_err(|e| bad_header(headers::TENANT, e.to_string()))?;
    let known = match service.tenants.as_slice() {
        [] => name == DEFAULT_TENANT,
        tenants => tenants.contains(&tenant),
    };
    if known {
        return Ok(tenant);
    }
    let detail = format!(
        "service {} takes no requests of tenant {tenant}",
        service.name
    );
    Err(
        Problem::not_run(StatusCode::FORBIDDEN, "unknown-tenant", detail)
            .with_field(headers::TENANT),
    )
}

fn class(headers: &HeaderMap, service: &Service) -> Result<Class, Problem> {
    let Some(value) = headers.get(headers::CLASS) else {
        return Ok(service.class);
    };
    let text = value.to_str().unwrap_or_default();
    let class = text
        .parse::<Class>()
        .map_err(|e| bad_header(headers::CLASS, e.to_string()))?;
    if class >= service.class {
        return Ok(class);
    }
    let detail = format!(
        "service {} serves class {} at best",
        service.name, service.class
    );
    Err(bad_header(headers::CLASS, detail))
}

/// Cuts the first two segments off the path and keeps the rest as it came.
fn target_path(req: &HttpRequest) -> String {
    let whole = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let rest = whole.splitn(4, '/').nth(3).unwrap_or_default();
    format!("/{rest}")
}
