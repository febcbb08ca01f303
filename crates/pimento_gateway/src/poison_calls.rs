//! Operators' calls about requests that crash targets: listing the verdicts and
//! lifting a refusal.

use crate::{ResponseBody, plain_text, text_response};
use actix::Addr;
use hyper::{Method, Response, StatusCode};
use pimento_fleet::{FleetActor, GetRulings, LiftRefusal};
use pimento_poison::{Fingerprint, Ruling};

/// Answers a call: `GET` lists the verdicts, `DELETE` with a fingerprint lifts a
/// refusal at all VMs.
pub async fn poison_call(
    fleet: &Addr<FleetActor>,
    method: &Method,
    fingerprint: &str,
) -> Response<ResponseBody> {
    match (method, fingerprint) {
        (&Method::GET, "") => list(fleet).await,
        (&Method::DELETE, text) => match Fingerprint::parse(text) {
            Some(request) => lift(fleet, request).await,
            None => plain_text(
                StatusCode::BAD_REQUEST,
                "fingerprint: must be 32 hexadecimal digits\n",
            ),
        },
        _ => plain_text(StatusCode::NOT_FOUND, "there is no such call\n"),
    }
}

async fn list(fleet: &Addr<FleetActor>) -> Response<ResponseBody> {
    let Ok(rulings) = fleet.send(GetRulings).await else {
        return plain_text(StatusCode::SERVICE_UNAVAILABLE, "this VM stops\n");
    };
    let text: String = rulings.iter().map(line).collect();
    text_response(StatusCode::OK, text.into_bytes())
}

fn line(ruling: &Ruling) -> String {
    let (decided, unseen) = (ruling.age.as_secs(), ruling.unseen.as_secs());
    format!(
        "{} {} decided_s={decided} unseen_s={unseen}\n",
        ruling.request,
        ruling.verdict.name()
    )
}

async fn lift(fleet: &Addr<FleetActor>, request: Fingerprint) -> Response<ResponseBody> {
    match fleet.send(LiftRefusal(request)).await {
        Ok(true) => plain_text(StatusCode::OK, "lifted\n"),
        Ok(false) => plain_text(StatusCode::NOT_FOUND, "no open verdict on this request\n"),
        Err(_) => plain_text(StatusCode::SERVICE_UNAVAILABLE, "this VM stops\n"),
    }
}
