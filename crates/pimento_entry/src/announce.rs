//! The listener for targets' announcements.

use crate::{node::Announce, problem::Problem, shared::Shared};
use actix_web::{HttpResponse, http::StatusCode, web};
use pimento_lease::Announcement;
use pimento_log::{Event, event};
use std::net::SocketAddr;

/// The largest announcement, in bytes.
const MAX: usize = 4 << 10;

/// The most slots or connections that a target may announce.
const MOST: u32 = 100_000;

/// Adds the routes of the listener.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    let json = web::JsonConfig::default()
        .limit(MAX)
        .content_type(|_| true)
        .content_type_required(false)
        .error_handler(|error, _| {
            Problem::new(
                StatusCode::BAD_REQUEST,
                "bad-announcement",
                error.to_string(),
            )
            .into()
        });
    config
        .app_data(json)
        .route("/v1/announce", web::post().to(announce));
}

async fn announce(
    report: web::Json<Announcement>,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    let report = report.into_inner();
    if let Some((field, detail)) = fault(&report, &shared) {
        event!(
            shared.log, Event::AnnounceRefused,
            "target" => %report.target, "field" => field, "reason" => &detail
        );
        let problem = Problem::new(StatusCode::FORBIDDEN, "bad-announcement", detail);
        return Err(problem.with_field(field));
    }
    match shared.node.send(Announce { report }).await {
        Ok(reply) => Ok(HttpResponse::Ok().json(reply)),
        Err(e) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Err(Problem::new(status, "stopping", e.to_string()))
        }
    }
}

/// Finds the first field that the settings or the limits don't allow.
fn fault(report: &Announcement, shared: &Shared) -> Option<(&'static str, String)> {
    if let Some(detail) = address_fault(report.address, shared) {
        return Some(("address", detail));
    }
    if report.slots == 0 || report.slots > MOST {
        return Some(("slots", format!("expected 1 to {MOST}")));
    }
    if report.connections < report.slots || report.connections > MOST {
        return Some(("connections", format!("expected the slots up to {MOST}")));
    }
    None
}

/// Keeps announcements from aiming the system at anything but targets.
fn address_fault(address: SocketAddr, shared: &Shared) -> Option<String> {
    let targets = &shared.settings.targets;
    if !targets
        .ranges
        .iter()
        .any(|range| range.contains(&address.ip()))
    {
        return Some(format!(
            "{address} is in none of this failure domain's target ranges"
        ));
    }
    if address.port() < targets.port {
        return Some(format!("targets listen on port {} at least", targets.port));
    }
    let listen = &shared.settings.listen;
    let own = [
        Some(listen.operators),
        Some(listen.links),
        listen.callers,
        listen.targets,
        listen.forwards,
    ];
    let peers = shared
        .settings
        .control
        .iter()
        .map(|peer| Some(peer.address));
    let seeds = shared.settings.seeds.iter().copied().map(Some);
    if own
        .into_iter()
        .chain(peers)
        .chain(seeds)
        .any(|known| known == Some(address))
    {
        return Some(format!("{address} belongs to the system itself"));
    }
    None
}
