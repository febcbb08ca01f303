//! HTTP listener for announcements of targets.

use crate::{node::Announce, problem::Problem, shared::Shared};
use actix_web::{HttpResponse, http::StatusCode, web};
use pimento_lease::Announcement;
use pimento_log::{Event, event};
use std::net::SocketAddr;

/// Limit on the body of an announcement, in bytes.
const MAX_BODY_BYTES: usize = 4 << 10;

/// Upper bound on the slots and on the connections that a target may announce.
const MAX_SLOTS: u32 = 100_000;

/// Registers the listener's routes.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    let json = web::JsonConfig::default()
        .limit(MAX_BODY_BYTES)
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
    announcement: web::Json<Announcement>,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    let announcement = announcement.into_inner();
    if let Some((field, detail)) = find_invalid_field(&announcement, &shared) {
        event!(
            shared.log, Event::AnnounceRefused,
            "target" => %announcement.target, "field" => field, "reason" => &detail
        );
        let problem = Problem::new(StatusCode::FORBIDDEN, "bad-announcement", detail);
        return Err(problem.with_field(field));
    }
    match shared.node.send(Announce { announcement }).await {
        Ok(reply) => Ok(HttpResponse::Ok().json(reply)),
        Err(e) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Err(Problem::new(status, "stopping", e.to_string()))
        }
    }
}

/// Returns the first field that violates the settings or the limits, and the
/// reason.
fn find_invalid_field(
    announcement: &Announcement,
    shared: &Shared,
) -> Option<(&'static str, String)> {
    if let Some(detail) = address_error(announcement.address, shared) {
        return Some(("address", detail));
    }
    if announcement.slots == 0 || announcement.slots > MAX_SLOTS {
        return Some(("slots", format!("expected 1 to {MAX_SLOTS}")));
    }
    if announcement.connections < announcement.slots || announcement.connections > MAX_SLOTS {
        return Some((
            "connections",
            format!("expected a number from the slots to {MAX_SLOTS}"),
        ));
    }
    None
}

/// Checks that the address is one that a target may have, so that announcements
/// can't direct requests to other systems or to the system's own listeners.
fn address_error(address: SocketAddr, shared: &Shared) -> Option<String> {
    let targets = &shared.settings.targets;
    if !targets
        .ranges
        .iter()
        .any(|range| range.contains(&address.ip()))
    {
        return Some(format!(
            "{address} is outside this failure domain's target ranges"
        ));
    }
    if address.port() < targets.port {
        return Some(format!(
            "targets must listen on port {} or above",
            targets.port
        ));
    }
    let listen = &shared.settings.listen;
    let listeners = [
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
    if listeners
        .into_iter()
        .chain(peers)
        .chain(seeds)
        .any(|used| used == Some(address))
    {
        return Some(format!("{address} is a listener of the system itself"));
    }
    None
}
