//! One HTTP exchange with a target or another entry VM.

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

/// How long idle connections for repeatable requests are kept.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// Timeout for connecting to another entry VM.
const VM_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for connecting to a target, which is in the same failure domain.
///
/// A target may ask for a pause while a request to it still connects. That
/// request must arrive within half a second, or not at all.
const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The HTTP clients of one worker thread.
#[derive(Clone)]
pub(crate) struct Clients {
    targets: ClientPair,
    vms: ClientPair,
}

/// The clients for one kind of upstream.
#[derive(Clone)]
struct ClientPair {
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
            targets: ClientPair::new(TARGET_CONNECT_TIMEOUT),
            vms: ClientPair::new(VM_CONNECT_TIMEOUT),
        }
    }

    /// The client for requests of a service to its targets.
    pub(crate) fn for_target(&self, service: &Service) -> &Client {
        self.targets.for_service(service)
    }

    /// The client for requests of a service to other entry VMs.
    pub(crate) fn for_vm(&self, service: &Service) -> &Client {
        self.vms.for_service(service)
    }
}

impl ClientPair {
    fn new(connect_timeout: Duration) -> Self {
        Self {
            pooled: client(connect_timeout, KEEP_ALIVE),
            fresh: client(connect_timeout, Duration::ZERO),
        }
    }

    /// The client for a service. A request that must not run twice always gets
    /// a fresh connection, since a pooled one may have gone silent. See
    /// `docs/design/retries.md`.
    fn for_service(&self, service: &Service) -> &Client {
        if service.repeatable {
            &self.pooled
        } else {
            &self.fresh
        }
    }
}

fn client(connect_timeout: Duration, idle: Duration) -> Client {
    let config = ClientConfig {
        connect_timeout,
        response_timeout: None,
        keep_alive: idle,
        max_connections: 0,
    };
    config.build()
}

/// The error of an exchange that returned no response.
#[derive(Debug)]
pub(crate) struct ExchangeError {
    pub(crate) completion: Completion,
    pub(crate) problem: Problem,
}

/// Sends a request to `url` and waits at most `timeout` for the head of the
/// response.
pub(crate) async fn exchange(
    shared: &Shared,
    client: &Client,
    inbound: &Inbound,
    body: Body,
    url: String,
    extra_headers: &[(&'static str, &str)],
    timeout: Duration,
) -> Result<Answer, ExchangeError> {
    let mut request = client.request(inbound.method.clone(), url).timeout(timeout);
    for (name, value) in headers::end_to_end(&inbound.headers) {
        request = request.append_header((name.clone(), value));
    }
    for header in extra_headers {
        request = request.insert_header(*header);
    }
    let remaining = inbound.deadline.since(shared.clock.now());
    request = request.insert_header((headers::TIMEOUT, remaining.as_millis().to_string()));
    let limits = BodyLimits::for_service(shared, &inbound.service);
    let body_problem = Rc::new(RefCell::new(None));
    let response = match body {
        Body::Buffered(bytes) => request.send_body(bytes).await,
        Body::Stream(payload) => {
            let recorded = Rc::clone(&body_problem);
            let stream = body::limit_stream(*payload, limits).inspect_err(move |e| {
                recorded.replace(Some(body::body_problem(
                    e,
                    limits.max_bytes,
                    Verdict::MayHaveRun,
                )));
            });
            request.send_stream(Box::pin(stream)).await
        }
    };
    match response {
        Ok(response) => {
            Answer::from_response(response, &inbound.method).map_err(|Unframed| unframed_error())
        }
        Err(error) => match body_problem.take() {
            Some(problem) => Err(ExchangeError {
                completion: Completion::Cancelled,
                problem,
            }),
            None => Err(classify_error(&error)),
        },
    }
}

/// Classifies an error of the HTTP client.
fn classify_error(error: &SendRequestError) -> ExchangeError {
    let (status, title, verdict, completion) = match error {
        // The client also returns this error if the peer closes the connection
        // after the request was sent.
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
    ExchangeError {
        completion,
        problem,
    }
}

fn unframed_error() -> ExchangeError {
    let detail = "the response declares neither a length nor chunked encoding";
    let problem = Problem::new(StatusCode::BAD_GATEWAY, "unframed", detail);
    ExchangeError {
        completion: Completion::Failed,
        problem: problem.with_verdict(Verdict::Ran),
    }
}
