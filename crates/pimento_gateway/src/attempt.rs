//! One request sent to one target.

use crate::{
    Dialect, ResponseBody,
    answer::{BoxError, full},
    headers,
    inbound::{Inbound, InboundBody},
    pool::{self, ConnectError, Connection, Pool},
};
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Frame, Incoming},
    header::{HOST, HeaderValue},
};
use pimento_fleet::TargetInfo;
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::{Instant, timeout_at};

/// The largest answer that is taken whole before it is passed on, so that one
/// that breaks off can be asked for again, in bytes.
const WHOLE: usize = 64 * 1024;

/// What became of a request that was sent to a target.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The target answered.
    Answered(TargetAnswer),
    /// The target refused it and did not run it.
    Shed,
    /// Another target has the address.
    Replaced,
    /// Nothing of it was sent.
    NotSent(&'static str),
    /// It was sent, and there is no answer that is known to be its own.
    Broken(&'static str),
    /// The time is up; whether it was sent.
    Timeout(bool),
}

impl Outcome {
    /// The outcome as metrics name it.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Shed => "shed",
            Self::Replaced => "replaced",
            Self::NotSent(_) => "not sent",
            Self::Broken(_) => "broken",
            Self::Timeout(_) => "timeout",
        }
    }
}

/// A target's answer.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: ResponseBody,
}

/// What a target says of itself beside an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Signs {
    pub load: Option<(u32, u32)>,
    pub cold: Option<Duration>,
}

/// One request that is to be sent to one target.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub dialect: &'a Dialect,
    pub pool: &'a Rc<Pool>,
    pub target: &'a Arc<TargetInfo>,
    /// Whether it must not run twice.
    pub once: bool,
    /// When the caller has its final answer.
    pub deadline: Instant,
}

impl Attempt<'_> {
    /// Sends a request and reads the answer.
    pub(crate) async fn send(&self, inbound: &mut Inbound) -> (Outcome, Signs) {
        let mut signs = Signs::default();
        let outcome = self.try_send(inbound, &mut signs).await;
        (outcome, signs)
    }

    async fn try_send(&self, inbound: &mut Inbound, signs: &mut Signs) -> Outcome {
        let body = take_body(&mut inbound.body);
        let mut request = self.request(inbound, body);
        let mut pooled = self.pool.take(self.target, self.once);
        loop {
            let mut connection = match pooled.take() {
                Some(connection) => connection,
                None => match self.connect().await {
                    Ok(connection) => connection,
                    Err(outcome) => return outcome,
                },
            };
            let sent = connection.sender.try_send_request(request);
            match timeout_at(self.deadline, sent).await {
                Err(_) => return Outcome::Timeout(true),
                Ok(Ok(response)) => return self.read(inbound, connection, response, signs).await,
                Ok(Err(mut error)) => match error.take_message() {
                    // The connection had closed before anything was written.
                    Some(unsent) if connection.used => request = unsent,
                    Some(_) => return Outcome::NotSent("the target closed the connection"),
                    None => return Outcome::Broken("the target broke off"),
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

    fn request(&self, inbound: &Inbound, body: ResponseBody) -> Request<ResponseBody> {
        let mut request = Request::new(body);
        *request.method_mut() = inbound.method.clone();
        let path = inbound.uri.path_and_query().cloned();
        *request.uri_mut() = path.map(Into::into).unwrap_or_default();
        let headers = request.headers_mut();
        *headers = inbound.headers.clone();
        if let Ok(host) = HeaderValue::try_from(inbound.host.as_str()) {
            headers.entry(HOST).or_insert(host);
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        headers.insert(&self.dialect.time_left, (left.as_millis() as u64).into());
        if let Ok(id) = HeaderValue::try_from(&*self.target.id) {
            headers.insert(&self.dialect.expected, id);
        }
        request
    }

    async fn read(
        &self,
        inbound: &Inbound,
        connection: Connection,
        response: Response<Incoming>,
        signs: &mut Signs,
    ) -> Outcome {
        let (mut parts, body) = response.into_parts();
        let echoed = headers::text(&parts.headers, &self.dialect.request_id);
        let own = echoed.map_or(!parts.status.is_success(), |id| id == inbound.id);
        if !own {
            return Outcome::Broken("the answer belongs to another request");
        }
        signs.load = load(&parts.headers, self.dialect);
        let cold = headers::number(&parts.headers, &self.dialect.cold);
        signs.cold = cold.map(Duration::from_millis);
        let kept = pool::kept(&parts.headers);
        let replaced = parts.status == StatusCode::MISDIRECTED_REQUEST;
        let shed = parts.headers.contains_key(&self.dialect.not_run);
        headers::strip(&mut parts.headers);
        let rest = Rest {
            target: Arc::clone(self.target),
            pool: Rc::clone(self.pool),
            connection: Some(connection),
            kept,
        };
        let body = match timeout_at(self.deadline, whole(body, rest)).await {
            Err(_) => return Outcome::Timeout(true),
            Ok(Err(_)) if replaced => return Outcome::Replaced,
            Ok(Err(_)) if shed => return Outcome::Shed,
            Ok(Err(_)) => return Outcome::Broken("the answer ended early"),
            Ok(Ok(body)) => body,
        };
        if replaced {
            return Outcome::Replaced;
        }
        if shed {
            return Outcome::Shed;
        }
        Outcome::Answered(TargetAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// The connection that an answer is being read from.
#[derive(Debug)]
struct Rest {
    target: Arc<TargetInfo>,
    pool: Rc<Pool>,
    connection: Option<Connection>,
    kept: Option<Duration>,
}

impl Rest {
    /// Gives the connection back once the answer was read to its end.
    fn finish(&mut self) {
        let connection = self.connection.take();
        if let (Some(connection), Some(kept)) = (connection, self.kept) {
            self.pool.put(&self.target, connection, kept);
        }
    }
}

/// Reads a short answer to its end; a longer one goes on as a stream.
async fn whole(mut body: Incoming, mut rest: Rest) -> Result<ResponseBody, hyper::Error> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > WHOLE && !body.is_end_stream() {
            return Ok(streamed(read.freeze(), body, rest));
        }
    }
    rest.finish();
    Ok(full(read))
}

/// What was read and the rest as it comes.
fn streamed(read: Bytes, body: Incoming, rest: Rest) -> ResponseBody {
    let first = stream::once(async move { Ok(Frame::data(read)) });
    let others = stream::unfold((body, rest), |(mut body, mut rest)| async move {
        match body.frame().await {
            Some(Ok(frame)) => Some((Ok(frame), (body, rest))),
            Some(Err(e)) => {
                let error: BoxError = e.into();
                Some((Err(error), (body, rest)))
            }
            None => {
                rest.finish();
                None
            }
        }
    });
    local(first.chain(others))
}

/// A body of what a stream yields on this thread.
fn local(
    stream: impl futures_util::Stream<Item = Result<Frame<Bytes>, BoxError>> + 'static,
) -> ResponseBody {
    let (sender, receiver) = tokio::sync::mpsc::channel(1);
    actix_rt::spawn(async move {
        let mut stream = std::pin::pin!(stream);
        while let Some(frame) = stream.next().await {
            if sender.send(frame).await.is_err() {
                return;
            }
        }
    });
    let frames = stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|frame| (frame, receiver))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// The body to send; a long one can be sent once only.
fn take_body(body: &mut InboundBody) -> ResponseBody {
    match std::mem::replace(body, InboundBody::Whole(Bytes::new())) {
        InboundBody::Whole(bytes) => {
            *body = InboundBody::Whole(bytes.clone());
            full(bytes)
        }
        InboundBody::Stream(read, rest) => {
            let first = stream::once(async move { Ok(Frame::data(read)) });
            let others = rest.into_data_stream().map(|data| match data {
                Ok(data) => Ok(Frame::data(data)),
                Err(e) => Err(BoxError::from(e)),
            });
            local(first.chain(others))
        }
    }
}

/// The requests that run and wait at a target, by its own account.
fn load(headers: &HeaderMap, dialect: &Dialect) -> Option<(u32, u32)> {
    let mut numbers = headers::text(headers, &dialect.load)?.split(',');
    let running = numbers.next()?.trim().parse().ok()?;
    let waiting = numbers.next()?.trim().parse().ok()?;
    Some((running, waiting))
}
