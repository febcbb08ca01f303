//! A caller's request as it came in.

use crate::{Answer, Dialect, headers};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri,
    body::{Body, Incoming},
    header::HOST,
};
use pimento_core::hash;
use pimento_items::Limits;
use std::time::Duration;
use tokio::time::Instant;

/// The largest body that is taken whole before the request is sent, so that
/// it can be sent again, in bytes.
const WHOLE: usize = 1 << 20;

/// A caller's request.
#[derive(Debug)]
pub(crate) struct Inbound {
    pub id: String,
    pub host: String,
    pub method: Method,
    pub uri: Uri,
    /// Without those of the caller's connection.
    pub headers: HeaderMap,
    /// What the request is about, if it says so.
    pub object: Option<u64>,
    /// How long the caller waits, if it says so.
    pub patience: Option<Duration>,
    pub arrived: Instant,
    pub body: InboundBody,
}

/// The body of a caller's request.
#[derive(Debug)]
pub(crate) enum InboundBody {
    /// All of it.
    Whole(Bytes),
    /// What came so far, and the rest.
    Stream(Bytes, Incoming),
}

impl InboundBody {
    /// The size as far as it is known, in bytes.
    pub(crate) fn size(&self) -> u64 {
        match self {
            Self::Whole(bytes) => bytes.len() as u64,
            Self::Stream(read, rest) => read.len() as u64 + rest.size_hint().lower(),
        }
    }
}

impl Inbound {
    /// Reads the head, and the body unless it is long.
    pub(crate) async fn read(
        request: Request<Incoming>,
        dialect: &Dialect,
        limits: Option<&Limits>,
    ) -> Result<Self, Answer> {
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        let refused = |reason| Answer::Refused {
            status: StatusCode::BAD_REQUEST,
            reason,
        };
        let id = headers::text(&headers, &dialect.request_id).map(str::to_owned);
        let id = id.ok_or_else(|| refused("the request has no id"))?;
        let authority = parts.uri.authority().map(ToString::to_string);
        let named = headers::text(&headers, &HOST).map(str::to_owned);
        let host = authority.or(named);
        let host = host.ok_or_else(|| refused("the request names no host"))?;
        let object = headers::text(&headers, &dialect.object);
        let object = object.map(|key| hash::fnv([key.as_bytes()]));
        let patience = headers::number(&headers, &dialect.time_left).map(Duration::from_millis);
        headers::strip(&mut headers);
        let most = limits.map_or(usize::MAX, |l| l.body_bytes as usize);
        let body = read_body(body, most).await?;
        Ok(Self {
            id,
            host: bare(&host).to_owned(),
            method: parts.method,
            uri: parts.uri,
            headers,
            object,
            patience,
            arrived,
            body,
        })
    }

    /// The path without the query.
    pub(crate) fn path(&self) -> &str {
        self.uri.path()
    }
}

/// A host without its port.
fn bare(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

async fn read_body(mut body: Incoming, most: usize) -> Result<InboundBody, Answer> {
    let too_large = || Answer::Refused {
        status: StatusCode::PAYLOAD_TOO_LARGE,
        reason: "the body is larger than allowed",
    };
    if body.is_end_stream() {
        return Ok(InboundBody::Whole(Bytes::new()));
    }
    if body.size_hint().lower() > most as u64 {
        return Err(too_large());
    }
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(Answer::Refused {
                status: StatusCode::BAD_REQUEST,
                reason: "the body ended early",
            });
        };
        if let Ok(data) = frame.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > most {
            return Err(too_large());
        }
        if read.len() > WHOLE {
            return Ok(InboundBody::Stream(read.freeze(), body));
        }
    }
    Ok(InboundBody::Whole(read.freeze()))
}
