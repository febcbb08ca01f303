//! Parsing of a caller's request.

use crate::{GatewayResponse, HeaderNames, headers};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri,
    body::{Body, Incoming},
    header::HOST,
    http::request::Parts,
};
use pimento_core::hash;
use pimento_items::Limits;
use pimento_poison::Fingerprint;
use std::{cell::OnceCell, time::Duration};
use tokio::time::{Instant, timeout_at};

/// The maximum size of a request body that is buffered completely before the
/// request is sent, so that the request can be retried.
const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;

/// How long a body may take to arrive if neither its caller nor its route gives a
/// timeout.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// A caller's request without the properties of its connection.
#[derive(Debug)]
pub(crate) struct Inbound {
    pub id: String,
    pub host: String,
    pub method: Method,
    pub uri: Uri,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The hash of the affinity key, if there is one.
    pub affinity: Option<u64>,
    /// How long the caller waits for its response, if it says so.
    pub caller_timeout: Option<Duration>,
    pub arrived_at: Instant,
    pub body: InboundBody,
    /// Hashed when it is needed first.
    fingerprint: OnceCell<Fingerprint>,
}

/// The body of a caller's request.
#[derive(Debug)]
pub(crate) enum InboundBody {
    /// The complete body.
    Buffered(Bytes),
    /// The bytes received so far, and the remaining stream.
    Streaming(Bytes, Incoming),
}

impl InboundBody {
    /// The known lower bound of the size, in bytes.
    pub(crate) fn size_bytes(&self) -> u64 {
        match self {
            Self::Buffered(bytes) => bytes.len() as u64,
            Self::Streaming(read, rest) => read.len() as u64 + rest.size_hint().lower(),
        }
    }
}

impl Inbound {
    /// Parses the head, which the limits in force must allow, and buffers the body up
    /// to [`MAX_BUFFERED_BODY_BYTES`]. A body that doesn't arrive within the
    /// caller's timeout and the one that `route_timeout` returns for the host and
    /// the path is refused: nothing was sent then.
    pub(crate) async fn read(
        request: Request<Incoming>,
        header_names: &HeaderNames,
        limits: Option<&Limits>,
        route_timeout: impl Fn(&str, &str) -> Option<Duration>,
    ) -> Result<Self, GatewayResponse> {
        let arrived_at = Instant::now();
        let (parts, body) = request.into_parts();
        if limits.is_some_and(|l| head_bytes(&parts) as u64 > l.head_bytes) {
            return Err(GatewayResponse::Refused {
                status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                reason: "the head is larger than allowed",
            });
        }
        let mut headers = parts.headers;
        let bad_request = |reason| GatewayResponse::Refused {
            status: StatusCode::BAD_REQUEST,
            reason,
        };
        let id = headers::text_value(&headers, &header_names.request_id).map(str::to_owned);
        let id = id.ok_or_else(|| bad_request("the request has no id"))?;
        let authority = parts.uri.authority().map(ToString::to_string);
        let host_header = headers::text_value(&headers, &HOST).map(str::to_owned);
        let host = authority.or(host_header);
        let host = host.ok_or_else(|| bad_request("the request names no host"))?;
        let affinity = headers::text_value(&headers, &header_names.affinity);
        let affinity = affinity.map(|key| hash::fnv([key.as_bytes()]));
        let caller_timeout =
            headers::number_value(&headers, &header_names.time_left).map(Duration::from_millis);
        headers::strip_hop_by_hop(&mut headers);
        let max_bytes = limits.map_or(usize::MAX, |l| l.body_bytes as usize);
        let host = strip_port(&host).to_owned();
        let timeouts = [route_timeout(&host, parts.uri.path()), caller_timeout];
        let timeout = timeouts.into_iter().flatten().min();
        let body = timeout_at(
            arrived_at + timeout.unwrap_or(DEFAULT_BODY_TIMEOUT),
            read_body(body, max_bytes),
        );
        let body = body.await.unwrap_or(Err(GatewayResponse::Refused {
            status: StatusCode::REQUEST_TIMEOUT,
            reason: "the body arrived too slowly",
        }))?;
        Ok(Self {
            id,
            host,
            method: parts.method,
            uri: parts.uri,
            headers,
            affinity,
            caller_timeout,
            arrived_at,
            body,
            fingerprint: OnceCell::new(),
        })
    }

    /// What identifies the request when its caller sends it again. Of a streaming
    /// body only the beginning and the length count, if that is known; it must be
    /// hashed before the body is sent.
    pub(crate) fn fingerprint(&self, header_names: &HeaderNames) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.hash(header_names))
    }

    /// The fingerprint if it was needed before.
    pub(crate) fn known_fingerprint(&self) -> Option<Fingerprint> {
        self.fingerprint.get().copied()
    }

    fn hash(&self, header_names: &HeaderNames) -> Fingerprint {
        let (body, length) = match &self.body {
            InboundBody::Buffered(bytes) => (&**bytes, Some(bytes.len() as u64)),
            InboundBody::Streaming(read, rest) => {
                let total = rest.size_hint().exact().map(|n| n + read.len() as u64);
                (&read[..read.len().min(MAX_BUFFERED_BODY_BYTES)], total)
            }
        };
        let path = self.uri.path_and_query().map_or("", |p| p.as_str());
        let length = length.map_or([0xff; 8], u64::to_le_bytes);
        let content = [
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            path.as_bytes(),
            body,
            &length,
        ];
        let names = header_names.caller.iter();
        let caller = names.map(|name| self.headers.get(name).map_or(&b""[..], |v| v.as_bytes()));
        Fingerprint::of(content.into_iter().chain(caller))
    }

    /// The request path without the query.
    pub(crate) fn path(&self) -> &str {
        self.uri.path()
    }
}

/// The size of a request head, in bytes, without optional spaces.
fn head_bytes(parts: &Parts) -> usize {
    const REQUEST_LINE_OVERHEAD: usize = "  HTTP/1.1\r\n\r\n".len();
    const HEADER_OVERHEAD: usize = ":\r\n".len();
    let target = parts.uri.path_and_query().map_or(0, |t| t.as_str().len());
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD);
    parts.method.as_str().len() + target + REQUEST_LINE_OVERHEAD + headers.sum::<usize>()
}

/// Returns a host without its port.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<InboundBody, GatewayResponse> {
    let too_large = || GatewayResponse::Refused {
        status: StatusCode::PAYLOAD_TOO_LARGE,
        reason: "the body is larger than allowed",
    };
    if body.is_end_stream() {
        return Ok(InboundBody::Buffered(Bytes::new()));
    }
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(GatewayResponse::Refused {
                status: StatusCode::BAD_REQUEST,
                reason: "the body ended early",
            });
        };
        if let Ok(data) = frame.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > max_bytes {
            return Err(too_large());
        }
        if read.len() > MAX_BUFFERED_BODY_BYTES {
            return Ok(InboundBody::Streaming(read.freeze(), body));
        }
    }
    Ok(InboundBody::Buffered(read.freeze()))
}
