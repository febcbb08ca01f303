//! Calls to the operators' listeners.

use crate::exit::{Exit, Failure};
use awc::{
    error::{ConnectError, SendRequestError},
    http::Method,
};
use pimento_client::ClientConfig;
use pimento_core::Verdict;
use serde::Deserialize;
use serde_json::Value;
use std::{path::Path, time::Duration};

/// The longest answer that is not a backup, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// A client of the operators' listeners.
#[derive(Debug)]
pub struct Client {
    servers: Vec<String>,
    token: Option<String>,
    timeout: Duration,
}

/// What one server said, or why it said nothing.
pub enum Reply {
    /// An answer in the 200s.
    Done(Value),
    /// An error answer.
    Refused(u16, Problem),
    /// The request was not sent.
    Unreachable(String),
    /// The request was sent and the answer lost.
    Lost(String),
}

/// The fields of an RFC 9457 problem that the command line uses.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// A short, stable name of the failure.
    pub title: String,
    /// What went wrong this time.
    pub detail: String,
    /// The field of the input at fault.
    pub field: Option<String>,
    /// Whether the change may have been made.
    pub verdict: Option<Verdict>,
}

impl Client {
    /// A client that tries the servers in turn.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the token can't be read or a server is no URL.
    pub fn new(
        servers: &[String],
        token: Option<&Path>,
        timeout: Duration,
    ) -> Result<Self, Failure> {
        let token = token.map(read_token).transpose()?;
        let servers = servers.iter().map(|s| s.trim().trim_end_matches('/'));
        let servers = servers.filter(|s| !s.is_empty()).map(url);
        let servers = servers.collect::<Result<Vec<_>, _>>()?;
        if servers.is_empty() {
            return Err(Failure::usage("--server: at least one is needed"));
        }
        Ok(Self {
            servers,
            token,
            timeout,
        })
    }

    /// Reads from the first server that answers.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] with the exit code for the answer.
    pub async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.call(Method::GET, path, Vec::new()).await
    }

    /// Makes a change, with a body or none.
    ///
    /// A lost answer ends the attempts, since the change may have been made.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] with the exit code for the answer.
    pub async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Value, Failure> {
        let reading = method == Method::GET;
        let mut last = Failure::new(Exit::Unreachable, "no server was tried");
        for server in &self.servers {
            let reply = self.send(server, method.clone(), path, body.clone()).await;
            last = match reply {
                Reply::Done(value) => return Ok(value),
                Reply::Unreachable(text) => Failure::new(Exit::Unreachable, text),
                Reply::Lost(text) if reading => Failure::new(Exit::Unreachable, text),
                Reply::Lost(text) => return Err(Failure::new(Exit::Unknown, text)),
                Reply::Refused(status, problem) if problem.is_elsewhere(status) => {
                    problem.failure(server, status)
                }
                Reply::Refused(status, problem) => return Err(problem.failure(server, status)),
            };
        }
        Err(last)
    }

    /// The servers in the order of trial.
    pub fn servers(&self) -> &[String] {
        &self.servers
    }

    /// Sends one request to one server.
    pub async fn send(&self, server: &str, method: Method, path: &str, body: Vec<u8>) -> Reply {
        match self.fetch(server, method, path, body).await {
            Err(reply) => reply,
            Ok(bytes) if bytes.is_empty() => Reply::Done(Value::Null),
            Ok(bytes) => match serde_json::from_slice(&bytes) {
                Ok(value) => Reply::Done(value),
                Err(e) => Reply::Lost(format!("{server}: the answer is no JSON: {e}")),
            },
        }
    }

    /// The bytes of an answer in the 200s.
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
        let sent = request.send_body(body).await;
        let mut response = sent.map_err(|e| unsent(server, &e))?;
        let read = response.body().limit(MAX_ANSWER);
        let lost = |fault: String| Reply::Lost(format!("{server}: {fault}"));
        let body = match actix_rt::time::timeout(self.timeout, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => return Err(lost(e.to_string())),
            Err(e) => return Err(lost(e.to_string())),
        };
        let status = response.status();
        if status.is_success() {
            return Ok(body.to_vec());
        }
        let problem = serde_json::from_slice(&body).unwrap_or_default();
        Err(Reply::Refused(status.as_u16(), problem))
    }

    /// The bytes of an answer that is no JSON.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] with the exit code for the answer.
    pub async fn get_bytes(&self, path: &str) -> Result<Vec<u8>, Failure> {
        let mut last = Failure::new(Exit::Unreachable, "no server was tried");
        for server in &self.servers {
            last = match self.fetch(server, Method::GET, path, Vec::new()).await {
                Ok(bytes) => return Ok(bytes),
                Err(Reply::Refused(status, problem)) => problem.failure(server, status),
                Err(Reply::Unreachable(text) | Reply::Lost(text)) => {
                    Failure::new(Exit::Unreachable, text)
                }
                Err(Reply::Done(_)) => continue,
            };
        }
        Err(last)
    }
}

/// A request that failed before any answer: whether it can have been sent.
fn unsent(server: &str, error: &SendRequestError) -> Reply {
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

/// The URL of a server, which may be given as an address alone.
fn url(server: &str) -> Result<String, Failure> {
    match server.split_once("://") {
        None => Ok(format!("http://{server}")),
        Some(("http", _)) => Ok(server.to_owned()),
        Some((scheme, _)) => {
            let text = format!("{server}: {scheme} is not spoken, only http");
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
    /// Whether another server may do better: this one is not ready, is not the
    /// VM that the command is for, or can't reach a quorum, and made no change.
    pub fn is_elsewhere(&self, status: u16) -> bool {
        let unsure = self
            .verdict
            .is_some_and(|verdict| verdict != Verdict::NotRun);
        matches!(status, 421 | 502..=504) && !unsure
    }

    /// The failure with the exit code for a status.
    pub fn failure(&self, server: &str, status: u16) -> Failure {
        let unsure = self
            .verdict
            .is_some_and(|verdict| verdict != Verdict::NotRun);
        let exit = match status {
            _ if unsure => Exit::Unknown,
            400 | 413 | 422 => Exit::Usage,
            401 | 403 | 404 | 409 | 421 => Exit::Refused,
            _ => Exit::Failed,
        };
        Failure::new(exit, self.describe(server, status))
    }

    fn describe(&self, server: &str, status: u16) -> String {
        let what = match (self.detail.as_str(), self.title.as_str()) {
            ("", "") => "no reason given",
            ("", title) => title,
            (detail, _) => detail,
        };
        match &self.field {
            Some(field) if !what.starts_with(field.as_str()) => {
                format!("{server} answered {status}: {field}: {what}")
            }
            _ => format!("{server} answered {status}: {what}"),
        }
    }
}
