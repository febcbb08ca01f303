//! The listener for operators.

use crate::{
    node::{GetStatus, SetRules},
    problem::Problem,
    shared::Shared,
};
use actix_web::{
    HttpResponse,
    body::MessageBody,
    dev::{ServiceRequest, ServiceResponse},
    http::StatusCode,
    middleware::{Next, from_fn},
    web,
};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// The largest release note, in bytes.
const MAX_NOTE: usize = 16 << 20;

/// Adds the routes of the listener; all but the health checks and the metrics
/// need the operators' bearer token.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    let guarded = web::scope("/v1")
        .wrap(from_fn(check_token))
        .app_data(web::PayloadConfig::new(MAX_NOTE))
        .route("/notes", web::post().to(apply))
        .route("/status", web::get().to(status));
    config
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(metrics))
        .service(guarded);
}

async fn check_token(
    req: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let shared = req.app_data::<web::Data<Shared>>();
    let given = req
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let given = given.and_then(|value| value.strip_prefix("Bearer "));
    let allowed = match (shared, given) {
        (Some(shared), Some(given)) => given.as_bytes().ct_eq(shared.token.as_bytes()).into(),
        _ => false,
    };
    if allowed {
        return next.call(req).await;
    }
    let detail = "operators show their bearer token";
    Err(Problem::new(StatusCode::UNAUTHORIZED, "no-token", detail).into())
}

async fn apply(body: web::Bytes, shared: web::Data<Shared>) -> Result<HttpResponse, Problem> {
    let bad = |detail: String| Problem::new(StatusCode::UNPROCESSABLE_ENTITY, "bad-note", detail);
    let text = std::str::from_utf8(&body).map_err(|e| bad(e.to_string()))?;
    let rules = crate::thin::apply(text, &shared.rules.load()).map_err(bad)?;
    let rules = Arc::new(rules);
    let number = rules.version;
    shared.rules.store(Arc::clone(&rules));
    shared.node.do_send(SetRules { rules });
    Ok(HttpResponse::Ok().json(serde_json::json!({ "number": number, "version": number })))
}

async fn status(shared: web::Data<Shared>) -> Result<HttpResponse, Problem> {
    match shared.node.send(GetStatus).await {
        Ok(status) => Ok(HttpResponse::Ok().json(status)),
        Err(e) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Err(Problem::new(status, "stopping", e.to_string()))
        }
    }
}

async fn health() -> &'static str {
    "ok\n"
}

async fn ready(shared: web::Data<Shared>) -> Result<&'static str, Problem> {
    let unready = |detail: &str| {
        Err(Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "not-ready",
            detail,
        ))
    };
    if shared.is_stopping() {
        return unready("the process is stopping");
    }
    if shared.rules.load().version == 0 {
        return unready("no version of the rules is in force yet");
    }
    Ok("ready\n")
}

async fn metrics(shared: web::Data<Shared>) -> Result<HttpResponse, Problem> {
    match shared.metrics.render() {
        Ok(text) => Ok(HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text)),
        Err(e) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Err(Problem::new(status, "metrics", e.to_string()))
        }
    }
}
