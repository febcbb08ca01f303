//! One exchange with a target or with another entry VM.

use crate::{
    answer::{Answer, Unframed},
    body::{self, Body, BodyLimits},
    headers,
    inbound::Inbound,
    problem::Problem,
    shared::Shared,
};
use actix_web::http::StatusCode;
use awc::{
    Client,
    error::{ConnectError, SendRequestError},
};
use futures_util::TryStreamExt;
use pimento_admit::Completion;
use pimento_client::ClientConfig;
use pimento_core::Verdict;
use pimento_rules::Service;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// The time that an idle connection is kept for repeatable requests.
const KEEP: Duration = Duration::from_secs(15);

/// The longest that connecting may take.
const CONNECT: Duration = Duration::from_secs(1);

/// The HTTP clients of one worker thread.
#[derive(Clone)]
pub(crate) struct Clients {
    pooled: Client,
    fresh: Client,
}

impl std::fmt::Debug for Clients {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Clients").finish_non_exhaustive()
    }
}

impl Clients {
    pub(crate) fn new() -> Self {
        Self {
            pooled: client(KEEP),
            fresh: client(Duration::ZERO),
        }
    }

    /// The client for a service: a request that must not run twice never uses a
    /// connection that may have gone silent. See `docs/design/retries.md`.
    fn of(&self, service: &Service) -> &Client {
        if service.repeatable {
            &self.pooled
        } else {
            &self.fresh
        }
    }
}

fn client(idle: Duration) -> Client {
    let config = ClientConfig {
        connect_timeout: CONNECT,
        response_timeout: None,
        keep_alive: idle,
        max_connections: 0,
    };
    config.build()
}

/// An exchange that brought no answer.
#[derive(Debug)]
pub(crate) struct Lost {
    pub(crate) ending: Completion,
    pub(crate) problem: Problem,
}

/// Sends a request to `url` and reads the head of the answer, within `limit`.
pub(crate) async fn exchange(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
    url: String,
    extra: &[(&'static str, &str)],
    limit: Duration,
) -> Result<Answer, Lost> {
    let client = clients.of(&inbound.service);
    let mut request = client.request(inbound.method.clone(), url).timeout(limit);
    for (name, value) in headers::forwarded(&inbound.headers) {
        request = request.append_header((name.clone(), value));
    }
    for header in extra {
        request = request.insert_header(*header);
    }
    let left = inbound.deadline.since(shared.clock.now());
    request = request.insert_header((headers::TIMEOUT, left.as_millis().to_string()));
    let limits = BodyLimits::of(shared, &inbound.service);
    let fault = Rc::new(RefCell::new(None));
    let response = match body {
        Body::Held(bytes) => request.send_body(bytes).await,
        Body::Stream(payload) => {
            let noted = Rc::clone(&fault);
            let stream = body::bounded(*payload, limits).inspect_err(move |e| {
                noted.replace(Some(body::fault(e, limits.size, Verdict::MayHaveRun)));
            });
            request.send_stream(Box::pin(stream)).await
        }
    };
    match response {
        Ok(response) => Answer::read(response, &inbound.method).map_err(|Unframed| unframed()),
        Err(error) => match fault.take() {
            Some(problem) => Err(Lost {
                ending: Completion::Cancelled,
                problem,
            }),
            None => Err(lost(&error)),
        },
    }
}

/// Says what an exchange without an answer means.
fn lost(error: &SendRequestError) -> Lost {
    let (status, title, verdict, ending) = match error {
        // The client also says so when the peer closes after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => (
            StatusCode::BAD_GATEWAY,
            "lost",
            Verdict::MayHaveRun,
            Completion::Failed,
        ),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => (
            StatusCode::BAD_GATEWAY,
            "unreachable",
            Verdict::NotRun,
            Completion::Unreachable,
        ),
        SendRequestError::Timeout => (
            StatusCode::GATEWAY_TIMEOUT,
            "timeout",
            Verdict::MayHaveRun,
            Completion::TimedOut,
        ),
        _ => (
            StatusCode::BAD_GATEWAY,
            "lost",
            Verdict::MayHaveRun,
            Completion::Failed,
        ),
    };
    let problem = Problem::new(status, title, error.to_string()).with_verdict(verdict);
    Lost { ending, problem }
}

fn unframed() -> Lost {
    let detail = "the answer does not say where its body ends";
    let problem = Problem::new(StatusCode::BAD_GATEWAY, "unframed", detail);
    Lost {
        ending: Completion::Failed,
        problem: problem.with_verdict(Verdict::Ran),
    }
}
