//! HTTP listener for operators.

use crate::{
    node::{DrainTarget, GetStatus, NodeStatus},
    notes,
    problem::Problem,
    shared::{Shared, unix_millis},
};
use actix_web::{
    HttpResponse,
    body::MessageBody,
    dev::{ServiceRequest, ServiceResponse},
    http::StatusCode,
    middleware::{Next, from_fn},
    web,
};
use pimento_control::{MemberChange, QueryKind};
use pimento_core::{TargetId, VmId};
use pimento_rules::MAX_NOTE_BYTES;
use pimento_state::{
    Command, Effect, Op,
    ledger::{ClaimKey, OutcomeKind, SetCap},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::SocketAddr;
use subtle::ConstantTimeEq;
use uuid::Uuid;

/// Registers the listener's routes. All of them except the health checks and
/// the metrics require the operators' bearer token.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    let authenticated = web::scope("/v1")
        .wrap(from_fn(check_token))
        .app_data(web::PayloadConfig::new(MAX_NOTE_BYTES))
        .route("/notes", web::post().to(notes::apply))
        .route("/notes", web::get().to(notes::history))
        .route("/notes/{number}", web::get().to(notes::show))
        .route("/status", web::get().to(status))
        .route("/targets/{name}/drain", web::post().to(drain_target))
        .route("/vms/{name}/drain", web::post().to(drain_vm))
        .route("/caps/{service}/{resource}", web::put().to(set_cap))
        .route(
            "/claims/{tenant}/{service}/{key}",
            web::get().to(show_claim),
        )
        .route("/control", web::get().to(control))
        .route("/control/members", web::post().to(add_member))
        .route("/control/members/{vm}", web::delete().to(remove_member))
        .route("/backup", web::get().to(backup));
    config
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(metrics))
        .service(authenticated);
}

async fn check_token(
    req: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let shared = req.app_data::<web::Data<Shared>>();
    let token = req.headers().get("authorization");
    let token = token.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    let is_authorized = match (shared, token) {
        (Some(shared), Some(token)) => token
            .as_bytes()
            .ct_eq(shared.operator_token.as_bytes())
            .into(),
        _ => false,
    };
    if is_authorized {
        return next.call(req).await;
    }
    let detail = "operators must send a valid bearer token";
    Err(Problem::new(StatusCode::UNAUTHORIZED, "no-token", detail).into())
}

fn invalid_field(field: &'static str, detail: impl Into<String>) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, "bad-input", detail).with_field(field)
}

fn node_stopped(error: actix::MailboxError) -> Problem {
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "stopping",
        error.to_string(),
    )
}

/// The status of this VM, of the VMs that it knows and of the control group.
#[derive(Debug, Serialize)]
struct Status {
    #[serde(flatten)]
    node: NodeStatus,
    /// The status of the group, as each reachable control VM reports it.
    control: Vec<Value>,
}

async fn status(shared: web::Data<Shared>) -> Result<HttpResponse, Problem> {
    let node = shared.node.send(GetStatus).await.map_err(node_stopped)?;
    let control = control_statuses(&shared).await;
    Ok(HttpResponse::Ok().json(Status { node, control }))
}

async fn control(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(json!({ "members": control_statuses(&shared).await }))
}

/// The status of the group, as each reachable control VM reports it.
async fn control_statuses(shared: &Shared) -> Vec<Value> {
    let statuses = shared.control.statuses().await;
    let parsed = statuses.iter().map(|json| serde_json::from_slice(json));
    parsed.filter_map(Result::ok).collect()
}

async fn drain_target(
    name: web::Path<String>,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    let target = TargetId::new(name.as_str()).map_err(|e| invalid_field("name", e.to_string()))?;
    let drain = DrainTarget {
        target: target.clone(),
    };
    if shared.node.send(drain).await.map_err(node_stopped)? {
        return Ok(HttpResponse::Ok().json(json!({ "target": target, "state": "draining" })));
    }
    let detail =
        format!("this VM does not hold the lease of target {target}; send the drain to its holder");
    Err(Problem::new(
        StatusCode::MISDIRECTED_REQUEST,
        "no-target",
        detail,
    ))
}

async fn drain_vm(
    name: web::Path<String>,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    if *name != *shared.settings.vm {
        let detail = format!(
            "this is {}; send the drain to {name} itself",
            shared.settings.vm
        );
        return Err(Problem::new(
            StatusCode::MISDIRECTED_REQUEST,
            "other-vm",
            detail,
        ));
    }
    shared.drain_requested.notify_one();
    Ok(HttpResponse::Accepted().json(json!({ "vm": shared.settings.vm, "state": "draining" })))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CapBody {
    limit: Option<u32>,
}

async fn set_cap(
    path: web::Path<(String, String)>,
    body: web::Bytes,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    let (service, resource) = path.into_inner();
    let cap: CapBody =
        serde_json::from_slice(&body).map_err(|e| invalid_field("limit", e.to_string()))?;
    let set = SetCap {
        service,
        resource,
        limit: cap.limit,
    };
    let command = Command::new(unix_millis(), Op::SetCap(set));
    let outcome = shared
        .control
        .propose(&command)
        .await
        .map_err(notes::control_problem)?;
    let kind = match outcome.effect {
        Some(Effect::Ledger(outcome)) => outcome.kind,
        _ => None,
    };
    match kind {
        Some(OutcomeKind::CapSet(reserved)) => {
            Ok(HttpResponse::Ok().json(json!({ "limit": cap.limit, "taken": reserved })))
        }
        other => Err(invalid_field(
            "resource",
            format!("unexpected ledger outcome: {other:?}"),
        )),
    }
}

async fn show_claim(
    path: web::Path<(String, String, String)>,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    let (tenant, service, key) = path.into_inner();
    let key = Uuid::parse_str(&key).map_err(|e| invalid_field("key", e.to_string()))?;
    let key = key.as_bytes().to_vec();
    notes::show_state(
        &shared,
        QueryKind::Claim(ClaimKey {
            key,
            tenant,
            service,
        }),
    )
    .await
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct NewMember {
    vm: VmId,
    address: SocketAddr,
}

async fn add_member(body: web::Bytes, shared: web::Data<Shared>) -> Result<HttpResponse, Problem> {
    let member: NewMember =
        serde_json::from_slice(&body).map_err(|e| invalid_field("body", e.to_string()))?;
    let address = member.address.to_string();
    change_members(
        &shared,
        MemberChange::Add {
            vm: member.vm,
            address,
        },
    )
    .await
}

async fn remove_member(
    name: web::Path<String>,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    let vm = VmId::new(name.as_str()).map_err(|e| invalid_field("vm", e.to_string()))?;
    change_members(&shared, MemberChange::Remove { vm }).await
}

async fn change_members(shared: &Shared, change: MemberChange) -> Result<HttpResponse, Problem> {
    let index = shared
        .control
        .change_members(change)
        .await
        .map_err(notes::control_problem)?;
    Ok(HttpResponse::Ok().json(json!({ "index": index })))
}

async fn backup(shared: web::Data<Shared>) -> Result<HttpResponse, Problem> {
    let bytes = shared
        .control
        .backup()
        .await
        .map_err(notes::control_problem)?;
    Ok(HttpResponse::Ok()
        .content_type("application/octet-stream")
        .body(bytes))
}

async fn health() -> &'static str {
    "ok\n"
}

async fn ready(shared: web::Data<Shared>) -> Result<&'static str, Problem> {
    let detail = if shared.is_stopping() {
        "the process is stopping"
    } else if shared.rules.load().version == 0 {
        "no version of the rules is in force yet"
    } else {
        return Ok("ready\n");
    };
    Err(Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "not-ready",
        detail,
    ))
}

async fn metrics(shared: web::Data<Shared>) -> Result<HttpResponse, Problem> {
    let text = shared.metrics.render().map_err(|e| {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        Problem::new(status, "metrics", e.to_string())
    })?;
    let content_type = "text/plain; version=0.0.4";
    Ok(HttpResponse::Ok().content_type(content_type).body(text))
}
