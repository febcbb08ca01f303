//! Validates the head of an incoming request against its service's rules.

use crate::{headers, problem::Problem, shared::Shared};
use actix_web::{
    HttpRequest,
    http::{Method, StatusCode, header::HeaderMap},
};
use pimento_core::{Class, TargetId, TenantId, Time};
use pimento_rules::Service;
use pimento_steer::Origin;
use std::time::Duration;

/// Tenant of requests without a tenant header.
const DEFAULT_TENANT: &str = "default";

/// The validated head of a request.
#[derive(Clone, Debug)]
pub(crate) struct Inbound {
    pub(crate) service: Service,
    pub(crate) method: Method,
    /// Path and query for the target, unmodified.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) tenant: TenantId,
    pub(crate) class: Class,
    pub(crate) deadline: Time,
    /// Whether a caller or an entry VM sent it.
    pub(crate) origin: Origin,
    /// Whether an entry VM of another region forwarded it.
    pub(crate) cross_region: bool,
    /// Targets that earlier attempts have tried.
    pub(crate) tried_targets: Vec<TargetId>,
}

impl Inbound {
    /// Validates a request to `/{prefix}/{service}/{path}`, which must count as
    /// open.
    pub(crate) fn check(req: &HttpRequest, shared: &Shared) -> Result<Self, Problem> {
        let name = req.match_info().get("service").unwrap_or_default();
        let rules = shared.rules.load();
        if rules.version == 0 {
            let detail = "no version of the rules is in force on this VM yet";
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
        let deadline = shared.clock.now() + timeout(req.headers(), service)?;
        if shared.may_exit_before(deadline) {
            let detail = "this VM stops before the request's deadline";
            return Err(Problem::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "stopping",
                detail,
            ));
        }
        Ok(Self {
            tenant: tenant(req.headers(), service)?,
            class: class(req.headers(), service)?,
            deadline,
            path: target_path(req),
            method: req.method().clone(),
            headers: req.headers().clone(),
            service: service.clone(),
            origin: Origin::Caller,
            cross_region: false,
            tried_targets: Vec::new(),
        })
    }

    /// Applies the headers in which a forwarding entry VM gives its location
    /// and the targets that have been tried.
    pub(crate) fn with_forward_headers(mut self, shared: &Shared) -> Self {
        let from = headers::text(&self.headers, headers::ORIGIN).unwrap_or_default();
        let (region, domain) = from.split_once('/').unwrap_or_default();
        let same_domain = domain == shared.settings.domain.as_str();
        self.origin = if same_domain {
            Origin::Peer
        } else {
            Origin::Domain
        };
        self.cross_region = region != shared.settings.region.as_str();
        let tried_targets = headers::text(&self.headers, headers::AVOID).unwrap_or_default();
        self.tried_targets = tried_targets
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
    let max = u64::from(service.timeout);
    let Some(value) = headers.get(headers::TIMEOUT) else {
        return Ok(Duration::from_millis(max));
    };
    let millis = value.to_str().ok().and_then(|s| s.parse::<u64>().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Duration::from_millis(millis.min(max))),
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
    let allowed = match service.tenants.as_slice() {
        [] => name == DEFAULT_TENANT,
        tenants => tenants.contains(&tenant),
    };
    if allowed {
        return Ok(tenant);
    }
    let detail = format!(
        "service {} does not accept requests of tenant {tenant}",
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
        "the highest class of service {} is {}",
        service.name, service.class
    );
    Err(bad_header(headers::CLASS, detail))
}

/// Removes the first two path segments and keeps the rest unmodified.
fn target_path(req: &HttpRequest) -> String {
    let full_path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let rest = full_path.splitn(4, '/').nth(3).unwrap_or_default();
    format!("/{rest}")
}
