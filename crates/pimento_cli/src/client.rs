//! HTTP client for the operator listeners.

use crate::exit::{Exit, Failure};
use awc::{
    error::{ConnectError, SendRequestError},
    http::{
        Method, StatusCode,
        header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING},
    },
};
use pimento_client::ClientConfig;
use pimento_core::Verdict;
use serde::Deserialize;
use serde_json::Value;
use std::{path::Path, time::Duration};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A client of one or more operator listeners.
#[derive(Debug)]
pub struct Client {
    servers: Vec<String>,
    token: Option<String>,
    timeout: Duration,
}

/// The outcome of a request to one server.
pub enum Reply {
    /// A response with a 2xx status.
    Success(Value),
    /// A response with another status.
    Error(u16, Problem),
    /// The request was not sent.
    Unreachable(String),
    /// The request may have been sent, but no valid response arrived.
    Lost(String),
}

/// The fields of an RFC 9457 problem body that the command line uses.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// Short, stable name of the failure.
    pub title: String,
    /// Explanation of this occurrence.
    pub detail: String,
    /// The invalid field of the input.
    pub field: Option<String>,
    /// Whether the change may have been made.
    pub verdict: Option<Verdict>,
}

impl Client {
    /// Creates a client that tries the servers in order.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the token file can't be read, a server has
    /// another scheme than `http`, or none is given.
    pub fn new(
        servers: &[String],
        token: Option<&Path>,
        timeout: Duration,
    ) -> Result<Self, Failure> {
        let token = token.map(read_token).transpose()?;
        let servers = servers.iter().map(|s| s.trim().trim_end_matches('/'));
        let servers = servers.filter(|s| !s.is_empty()).map(server_url);
        let servers = servers.collect::<Result<Vec<_>, _>>()?;
        if servers.is_empty() {
            return Err(Failure::usage("--server: at least one server is needed"));
        }
        Ok(Self {
            servers,
            token,
            timeout,
        })
    }

    /// Sends a GET request to the servers in order until one handles it.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] with the exit code for the last response.
    pub async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.call(Method::GET, path, Vec::new()).await
    }

    /// Sends a request to the servers in order until one handles it.
    ///
    /// A lost response to a change isn't retried at the next server, since the
    /// change may have been made.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] with the exit code for the last response.
    pub async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Value, Failure> {
        let is_read = method == Method::GET;
        let mut last_failure = Failure::new(Exit::Unreachable, "no server was tried");
        for server in &self.servers {
            let reply = self.send(server, method.clone(), path, body.clone()).await;
            last_failure = match reply {
                Reply::Success(value) => return Ok(value),
                Reply::Unreachable(text) => Failure::new(Exit::Unreachable, text),
                Reply::Lost(text) if is_read => Failure::new(Exit::Unreachable, text),
                Reply::Lost(text) => return Err(Failure::new(Exit::Unknown, text)),
                Reply::Error(status, problem) if problem.should_try_next_server(status) => {
                    problem.to_failure(server, status)
                }
                Reply::Error(status, problem) => return Err(problem.to_failure(server, status)),
            };
        }
        Err(last_failure)
    }

    /// The base URLs of the servers, in the order in which they are tried.
    pub fn servers(&self) -> &[String] {
        &self.servers
    }

    /// Sends a request to one server and parses the JSON response. An empty body
    /// counts as `null`.
    pub async fn send(&self, server: &str, method: Method, path: &str, body: Vec<u8>) -> Reply {
        match self.fetch(server, method, path, body).await {
            Err(reply) => reply,
            Ok(bytes) if bytes.is_empty() => Reply::Success(Value::Null),
            Ok(bytes) => match serde_json::from_slice(&bytes) {
                Ok(value) => Reply::Success(value),
                Err(e) => Reply::Lost(format!("{server}: the response is not valid JSON: {e}")),
            },
        }
    }

    /// Sends a request to one server; returns the body of a 2xx response.
    async fn fetch(
        &self,
        server: &str,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, Reply> {
        let config = ClientConfig {
            response_timeout: Some(self.timeout),
            ..ClientConfig::default()
        };
        let mut request = config.build().request(method, format!("{server}{path}"));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let result = request.send_body(body).await;
        let mut response = result.map_err(|e| classify_send_error(server, &e))?;
        let lost = |error: String| Reply::Lost(format!("{server}: {error}"));
        if !declares_end(response.status(), response.headers()) {
            return Err(lost("the response declares no length".to_owned()));
        }
        let read_body = response.body().limit(MAX_RESPONSE_BYTES);
        let body = match actix_rt::time::timeout(self.timeout, read_body).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => return Err(lost(e.to_string())),
            Err(e) => return Err(lost(e.to_string())),
        };
        let status = response.status();
        if status.is_success() {
            return Ok(body.to_vec());
        }
        let problem = serde_json::from_slice(&body).unwrap_or_default();
        Err(Reply::Error(status.as_u16(), problem))
    }

    /// Like [`get`](Self::get), for a response that is not JSON.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] with the exit code for the last response.
    pub async fn get_bytes(&self, path: &str) -> Result<Vec<u8>, Failure> {
        let mut last_failure = Failure::new(Exit::Unreachable, "no server was tried");
        for server in &self.servers {
            last_failure = match self.fetch(server, Method::GET, path, Vec::new()).await {
                Ok(bytes) => return Ok(bytes),
                Err(Reply::Error(status, problem)) => problem.to_failure(server, status),
                Err(Reply::Unreachable(text) | Reply::Lost(text)) => {
                    Failure::new(Exit::Unreachable, text)
                }
                Err(Reply::Success(_)) => continue,
            };
        }
        Err(last_failure)
    }
}

/// Whether the end of the body is known from the head. The HTTP client takes
/// any other body for an empty one.
fn declares_end(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::NO_CONTENT
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

/// Distinguishes a request that was certainly not sent from one that may have
/// been sent.
fn classify_send_error(server: &str, error: &SendRequestError) -> Reply {
    let text = format!("{server}: {error}");
    match error {
        SendRequestError::Url(_)
        | SendRequestError::Http(_)
        | SendRequestError::Connect(
            ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Timeout
            | ConnectError::Unresolved
            | ConnectError::Io(_),
        ) => Reply::Unreachable(text),
        _ => Reply::Lost(text),
    }
}

/// The base URL of a server, which may be given without the scheme.
fn server_url(server: &str) -> Result<String, Failure> {
    match server.split_once("://") {
        None => Ok(format!("http://{server}")),
        Some(("http", _)) => Ok(server.to_owned()),
        Some((scheme, _)) => {
            let text = format!("{server}: scheme {scheme} is not supported, only http");
            Err(Failure::usage(text))
        }
    }
}

fn read_token(path: &Path) -> Result<String, Failure> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|e| Failure::usage(format!("{}: {e}", path.display())))?;
    Ok(text.trim().to_owned())
}

impl Problem {
    /// Whether to try another server: this one is not ready, is not the VM that
    /// can run the command, or can't reach a quorum, and made no change.
    pub fn should_try_next_server(&self, status: u16) -> bool {
        let may_have_run = self
            .verdict
            .is_some_and(|verdict| verdict != Verdict::NotRun);
        matches!(status, 421 | 502..=504) && !may_have_run
    }

    /// The failure to report, with the exit code for the status.
    pub fn to_failure(&self, server: &str, status: u16) -> Failure {
        let may_have_run = self
            .verdict
            .is_some_and(|verdict| verdict != Verdict::NotRun);
        let exit = match status {
            _ if may_have_run => Exit::Unknown,
            400 | 413 | 422 => Exit::Usage,
            401 | 403 | 404 | 409 | 421 => Exit::Refused,
            _ => Exit::Failed,
        };
        Failure::new(exit, self.describe(server, status))
    }

    fn describe(&self, server: &str, status: u16) -> String {
        let reason = match (self.detail.as_str(), self.title.as_str()) {
            ("", "") => "no reason given",
            ("", title) => title,
            (detail, _) => detail,
        };
        match &self.field {
            Some(field) if !reason.starts_with(field.as_str()) => {
                format!("{server} answered {status}: {field}: {reason}")
            }
            _ => format!("{server} answered {status}: {reason}"),
        }
    }
}
