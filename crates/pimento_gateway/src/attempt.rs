//! Sending a request to a target and reading the response.

use crate::{
    HeaderNames, ResponseBody,
    break_cause::BreakCause,
    gateway::Inner,
    headers,
    inbound::{Inbound, InboundBody},
    pool::{self, ConnectError, Connection, Pool},
    response::{BoxError, full_body},
    transfer::Transfer,
};
use bytes::{Bytes, BytesMut};
use futures_util::{
    Stream, StreamExt,
    future::{Either, select},
    stream,
};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Frame, Incoming},
    header::{CONTENT_LENGTH, HOST, HeaderName, HeaderValue, RETRY_AFTER},
    http::response,
};
use pimento_fleet::TargetInfo;
use pimento_notices::{Hold, RequestRate, RetryAfter, StatedLimit, TargetNotice};
use pimento_poison::Fingerprint;
use std::{iter, pin::pin, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};

/// The maximum size of a response that is buffered completely before it is passed
/// on, so that the request can be retried if the response is truncated.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;

/// How long the body of a refusal is read, so that its connection can be used
/// again.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// The outcome of an attempt to send a request to a target.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The target sent a response.
    Answered(TargetResponse),
    /// The target shed the request without running it.
    Shed,
    /// Another target now has this address.
    Replaced,
    /// Nothing was sent.
    NotSent(&'static str),
    /// Nothing was sent, because the target wants no requests.
    Held(Hold),
    /// The request was sent, but no response that certainly belongs to it came
    /// back.
    Broken(BreakCause),
    /// The deadline passed; true if the request had been sent.
    Timeout(bool),
}

impl Outcome {
    /// The metric label of the outcome.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Shed => "shed",
            Self::Replaced => "replaced",
            Self::NotSent(_) => "not sent",
            Self::Held(_) => "held",
            Self::Broken(_) => "broken",
            Self::Timeout(_) => "timeout",
        }
    }
}

/// A target's response without hop-by-hop headers.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: ResponseBody,
}

impl TargetResponse {
    pub(crate) const fn is_server_error(&self) -> bool {
        self.status.as_u16() >= 500
    }
}

/// Values about itself that a target sends in response headers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadReport {
    /// The numbers of running and waiting requests.
    pub load: Option<(u32, u32)>,
    /// How long the target stays cold.
    pub cold: Option<Duration>,
    /// Whether the target shuts down.
    pub leaving: bool,
    /// When the target that turned the request away wants the next one.
    pub retry_after: Option<RetryAfter>,
    /// What the target says of the requests that it takes.
    pub limit: Option<StatedLimit>,
}

impl LoadReport {
    /// What the target says of further requests.
    pub(crate) const fn notice(&self) -> TargetNotice {
        TargetNotice {
            leaving: self.leaving,
            pause: match self.retry_after {
                Some(retry_after) => retry_after.pause(),
                None => None,
            },
            limit: self.limit,
        }
    }
}

/// One attempt to send a request to a target.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub inner: &'a Rc<Inner>,
    pub header_names: &'a HeaderNames,
    pub pool: &'a Rc<Pool>,
    pub target: &'a Arc<TargetInfo>,
    /// Whether the request is not idempotent, so it must not run twice.
    pub non_idempotent: bool,
    /// The latency objective of the request's route.
    pub objective: Duration,
    /// When the caller must have its final response.
    pub deadline: Instant,
}

impl Attempt<'_> {
    /// Sends the request and reads the response.
    pub(crate) async fn send(&self, inbound: &mut Inbound) -> (Outcome, LoadReport) {
        let mut report = LoadReport::default();
        let outcome = self.try_send(inbound, &mut report).await;
        (outcome, report)
    }

    async fn try_send(&self, inbound: &mut Inbound, report: &mut LoadReport) -> Outcome {
        let body = outgoing_body(&mut inbound.body, self.deadline);
        let mut request = self.build_request(inbound, body);
        let mut pooled = self.pool.checkout(self.target, self.non_idempotent);
        loop {
            let mut connection = match pooled.take() {
                Some(connection) => connection,
                None => match self.connect().await {
                    Ok(connection) => connection,
                    Err(outcome) => return outcome,
                },
            };
            // Connecting takes long enough for another response to arrive that
            // says that the target leaves or pauses.
            if let Some(hold) = self.inner.hold(self.target) {
                return Outcome::Held(hold);
            }
            connection.informational.watch(&mut request);
            let sent = connection.sender.try_send_request(request);
            match timeout_at(self.deadline, sent).await {
                Err(_) => return Outcome::Timeout(true),
                Ok(Ok(response)) => return self.read(inbound, connection, response, report).await,
                Ok(Err(mut error)) => match error.take_message() {
                    // The idle connection had closed before anything was written.
                    Some(unsent) if connection.used => request = unsent,
                    Some(_) => return Outcome::NotSent("the target closed the connection"),
                    None => return Outcome::Broken(BreakCause::Closed),
                },
            }
        }
    }

    async fn connect(&self) -> Result<Connection, Outcome> {
        let Ok(connected) = timeout_at(self.deadline, pool::connect(self.target.address)).await
        else {
            return Err(Outcome::Timeout(false));
        };
        connected.map_err(|e| {
            Outcome::NotSent(match e {
                ConnectError::Timeout(_) => "connecting took too long",
                ConnectError::Refused(_) => "the connection was refused",
                ConnectError::Broken(_) => "the connection broke off",
            })
        })
    }

    fn build_request(&self, inbound: &Inbound, body: ResponseBody) -> Request<ResponseBody> {
        let mut request = Request::new(body);
        *request.method_mut() = inbound.method.clone();
        let path = inbound.uri.path_and_query().cloned();
        *request.uri_mut() = path.map(Into::into).unwrap_or_default();
        let headers = request.headers_mut();
        *headers = inbound.headers.clone();
        if let Ok(host) = HeaderValue::try_from(inbound.host.as_str()) {
            headers.entry(HOST).or_insert(host);
        }
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        headers.insert(
            &self.header_names.time_left,
            (time_left.as_millis() as u64).into(),
        );
        if let Ok(id) = HeaderValue::try_from(&*self.target.id) {
            headers.insert(&self.header_names.expected_target, id);
        }
        request
    }

    /// Whether a response certainly belongs to the request.
    ///
    /// A target may send an earlier response once more on a connection that it
    /// keeps. So a response on a reused connection must echo the request's id,
    /// and so must a successful one on any connection. No request came before
    /// the first failure on a new connection, so that one may lack the id.
    fn is_own_response(
        &self,
        inbound: &Inbound,
        connection: &Connection,
        response: &response::Parts,
    ) -> bool {
        let ids = response.headers.get_all(&self.header_names.request_id);
        let mut ids = ids.iter().map(|id| id.as_bytes().trim_ascii());
        match ids.next() {
            None => !connection.used && !response.status.is_success(),
            Some(first) => iter::once(first)
                .chain(ids)
                .all(|id| id == inbound.id.as_bytes()),
        }
    }

    /// Reads the response and the load report in its headers.
    async fn read(
        &self,
        inbound: &Inbound,
        connection: Connection,
        response: Response<Incoming>,
        report: &mut LoadReport,
    ) -> Outcome {
        let (mut parts, body) = response.into_parts();
        // Only an upgrade reaches here as an informational response, and none is
        // ever requested.
        if parts.status.is_informational() {
            return Outcome::Broken(BreakCause::Upgrade);
        }
        if !self.is_own_response(inbound, &connection, &parts) {
            return Outcome::Broken(BreakCause::ForeignAnswer);
        }
        report.load = parse_load(&parts.headers, self.header_names);
        let cold = headers::number_value(&parts.headers, &self.header_names.cold);
        report.cold = cold.map(Duration::from_millis);
        // What a target says of itself counts only in a response with an id.
        if parts.headers.contains_key(&self.header_names.request_id) {
            report.leaving = parts.headers.contains_key(&self.header_names.leaving);
            report.retry_after = retry_after(parts.status, &parts.headers);
            report.limit = Some(stated_limit(&parts.headers, &self.header_names.limit));
            self.inner.record_notice(self.target, &inbound.id, report);
        }
        let keep_alive = pool::keep_alive(&parts.headers);
        let replaced = parts.status == StatusCode::MISDIRECTED_REQUEST;
        let shed = parts.headers.contains_key(&self.header_names.not_run);
        if self.non_idempotent && !shed && promises_not_run(parts.status) {
            return Outcome::Broken(BreakCause::UnclearRefusal);
        }
        headers::strip_hop_by_hop(&mut parts.headers);
        let link_rate = self.inner.config.link_rate;
        let length = body.size_hint().exact();
        let transfer = Transfer::choose(length, link_rate, self.objective);
        let has_run = !shed && !replaced && !promises_not_run(parts.status);
        let response_connection = ResponseConnection {
            inner: Rc::clone(self.inner),
            target: Arc::clone(self.target),
            connection: Some(connection),
            keep_alive,
            request: has_run.then(|| inbound.fingerprint(self.header_names)),
        };
        // The body of a refusal isn't passed on, it only frees the connection.
        let read_until = if replaced || shed {
            self.deadline.min(Instant::now() + REFUSAL_BODY_TIMEOUT)
        } else {
            self.deadline
        };
        let is_success = parts.status.is_success() && !shed;
        let body = if transfer == Transfer::Streamed && is_success {
            if let Some(length) = length {
                parts.headers.insert(CONTENT_LENGTH, length.into());
            }
            stream_body(Bytes::new(), body, response_connection, self.deadline)
        } else {
            let buffered = buffer_body(body, response_connection, read_until);
            let buffered = timeout_at(read_until, buffered).await;
            if replaced {
                return Outcome::Replaced;
            }
            if shed {
                return Outcome::Shed;
            }
            match buffered {
                Err(_) => return Outcome::Timeout(true),
                Ok(Err(_)) => return Outcome::Broken(BreakCause::Truncated),
                Ok(Ok(body)) => body,
            }
        };
        Outcome::Answered(TargetResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// The connection that a response is being read from.
#[derive(Debug)]
struct ResponseConnection {
    inner: Rc<Inner>,
    target: Arc<TargetInfo>,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
    /// The request, if it has run: the end of the response tells whether it may be
    /// poison.
    request: Option<Fingerprint>,
}

impl ResponseConnection {
    /// Returns the connection to the pool after the response was read completely.
    fn finish(&mut self) {
        if let Some(request) = self.request {
            self.inner.record_answer(request);
        }
        let connection = self.connection.take();
        if let (Some(connection), Some(keep_alive)) = (connection, self.keep_alive) {
            self.inner
                .pool
                .checkin(&self.target, connection, keep_alive);
        }
    }

    /// Handles that a response which is passed on as a stream was truncated.
    fn fail(&self) {
        if let Some(request) = self.request {
            self.inner.suspect_crash(&self.target, request);
        }
    }
}

/// Buffers a response body up to [`MAX_BUFFERED_RESPONSE_BYTES`]; a longer one is
/// streamed.
async fn buffer_body(
    mut body: Incoming,
    mut connection: ResponseConnection,
    deadline: Instant,
) -> Result<ResponseBody, hyper::Error> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > MAX_BUFFERED_RESPONSE_BYTES && !body.is_end_stream() {
            return Ok(stream_body(read.freeze(), body, connection, deadline));
        }
    }
    connection.finish();
    Ok(full_body(read))
}

/// Returns a body of the bytes read so far and the remaining stream.
fn stream_body(
    read: Bytes,
    body: Incoming,
    connection: ResponseConnection,
    deadline: Instant,
) -> ResponseBody {
    connection.inner.link_usage.record_part(read.len() as u64);
    let first = (!read.is_empty()).then(|| Ok(Frame::data(read)));
    let others = stream::unfold(
        (body, connection),
        |(mut body, mut connection)| async move {
            match body.frame().await {
                Some(Ok(frame)) => {
                    let size = frame.data_ref().map_or(0, Bytes::len);
                    connection.inner.link_usage.record_part(size as u64);
                    Some((Ok(frame), (body, connection)))
                }
                Some(Err(e)) => {
                    connection.fail();
                    let error: BoxError = e.into();
                    Some((Err(error), (body, connection)))
                }
                None => {
                    connection.finish();
                    None
                }
            }
        },
    );
    channel_body(stream::iter(first).chain(others), deadline)
}

/// The next frame of a body, or why there is none.
type NextFrame = Result<Frame<Bytes>, BoxError>;

/// Turns a stream that isn't `Send` into a body: a task on this thread polls it
/// and passes the frames through a channel. The stream is dropped at the
/// deadline, and the body then fails: it never looks complete.
fn channel_body(
    stream: impl Stream<Item = NextFrame> + 'static,
    deadline: Instant,
) -> ResponseBody {
    let (sender, receiver) = mpsc::channel(1);
    actix_rt::spawn(async move {
        let forwarded = timeout_at(deadline, forward_frames(stream, &sender)).await;
        if forwarded.is_err() {
            let error: BoxError = "the time is up".into();
            // Without a receiver nobody needs the error.
            sender.send(Err(error)).await.unwrap_or_default();
        }
    });
    let frames = stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|frame| (frame, receiver))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Passes the frames of a body on until its end, its failure, or the end of the
/// receiver.
async fn forward_frames(stream: impl Stream<Item = NextFrame>, sender: &mpsc::Sender<NextFrame>) {
    let mut stream = pin!(stream);
    let mut closed = pin!(sender.closed());
    while let Either::Right((Some(frame), _)) = select(closed.as_mut(), stream.next()).await {
        let has_failed = frame.is_err();
        if sender.send(frame).await.is_err() || has_failed {
            return;
        }
    }
}

/// Returns the request body to send. A buffered body stays available for retries;
/// a streaming one is consumed.
fn outgoing_body(body: &mut InboundBody, deadline: Instant) -> ResponseBody {
    match std::mem::replace(body, InboundBody::Buffered(Bytes::new())) {
        InboundBody::Buffered(bytes) => {
            *body = InboundBody::Buffered(bytes.clone());
            full_body(bytes)
        }
        InboundBody::Streaming(read, remaining) => {
            let first = stream::once(async move { Ok(Frame::data(read)) });
            let others = remaining.into_data_stream().map(|data| match data {
                Ok(data) => Ok(Frame::data(data)),
                Err(e) => Err(BoxError::from(e)),
            });
            channel_body(first.chain(others), deadline)
        }
    }
}

/// Whether callers take a status for the promise that a request did not run, which
/// a target makes only with the `not_run` header. Status 421 is handled as a
/// refusal in any case.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Parses the numbers of running and waiting requests that a target reports.
fn parse_load(headers: &HeaderMap, header_names: &HeaderNames) -> Option<(u32, u32)> {
    let mut numbers = headers::text_value(headers, &header_names.load)?.split(',');
    let running = numbers.next()?.trim().parse().ok()?;
    let waiting = numbers.next()?.trim().parse().ok()?;
    Some((running, waiting))
}

/// Reads how many requests a target takes. A value that is no rate is ignored,
/// as if the target named none.
fn stated_limit(headers: &HeaderMap, name: &HeaderName) -> StatedLimit {
    StatedLimit {
        rate: headers::text_value(headers, name).and_then(RequestRate::parse),
        age: Duration::ZERO,
    }
}

/// Parses how long a target that turns a request away wants no others.
fn retry_after(status: StatusCode, headers: &HeaderMap) -> Option<RetryAfter> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    headers::text_value(headers, &RETRY_AFTER).map(RetryAfter::parse)
}
