//! Sending a request to the entry VM that holds a target's lease.

use crate::{
    answer::Answer,
    body::Body,
    headers,
    hops::Failed,
    inbound::Inbound,
    problem::Problem,
    shared::Shared,
    upstream::{self, Clients},
};
use pimento_core::{TargetId, Verdict};
use std::{net::SocketAddr, time::Duration};

/// Sends a request to another entry VM and takes the answer.
pub(crate) async fn send(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
    to: SocketAddr,
    tried: &[TargetId],
    limit: Duration,
) -> Result<Answer, Failed> {
    let url = format!("http://{to}/f/{}{}", inbound.service.name, inbound.path);
    let settings = &shared.settings;
    let origin = format!("{}/{}", settings.region, settings.domain);
    let avoid: Vec<&str> = tried.iter().map(TargetId::as_str).collect();
    let avoid = avoid.join(",");
    let extra = [
        (headers::LINK, shared.proof.as_str()),
        (headers::ORIGIN, origin.as_str()),
        (headers::AVOID, avoid.as_str()),
    ];
    let answer = upstream::exchange(shared, clients, inbound, body, url, &extra, limit)
        .await
        .map_err(|lost| Failed::from(lost.problem))?;
    match answer.verdict() {
        Some(verdict) => Err(failure(answer, verdict).await),
        None => Ok(answer),
    }
}

/// The largest problem that is read from another entry VM, in bytes.
const PROBLEM: usize = 16 << 10;

/// Takes over the failure that another entry VM reported.
async fn failure(answer: Answer, verdict: Verdict) -> Failed {
    let status = answer.status;
    let target = answer.target.clone();
    let detail = match answer.hold(PROBLEM).await {
        Ok((Some(body), _)) => detail(&body),
        Ok((None, _)) | Err(_) => None,
    };
    let detail = detail.unwrap_or_else(|| "another entry VM could not answer".into());
    let problem = Problem::new(status, "forward", detail).with_verdict(verdict);
    Failed { problem, target }
}

fn detail(body: &[u8]) -> Option<String> {
    let problem: serde_json::Value = serde_json::from_slice(body).ok()?;
    Some(problem.get("detail")?.as_str()?.to_owned())
}
