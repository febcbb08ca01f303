//! Follows the responses on one connection.

use crate::framing::{Chunk, Framing, invalid};
use httparse::{EMPTY_HEADER, Header, ParserConfig, Status};
use std::io;

/// Limit on the heads of one response, informational ones included, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Limit on the headers of one head.
const MAX_HEADERS: usize = 96;

/// The status of a refused request.
///
/// A peer that writes a refusal once more would refuse a later request that it
/// runs, so no request follows one on the same connection.
const UNAVAILABLE: u16 = 503;

/// The start of a request whose response has no body, whatever it declares.
const HEAD_REQUEST: &[u8] = b"HEAD ";

/// The position in the input of a connection.
///
/// The HTTP library takes an informational response for the final one, and
/// doesn't notice bytes after the end of a response; both would put a later
/// request out of step with its response. See `docs/design/answers.md`.
#[derive(Debug)]
pub(crate) struct ResponseTracker {
    state: State,
    /// Whether the connection must not be used for another request.
    unusable: bool,
}

#[derive(Debug)]
enum State {
    /// No request was sent since the last response.
    Idle,
    /// Before the end of the final head.
    Head(PartialHead),
    /// In the body.
    Body(Framing),
}

#[derive(Debug)]
struct PartialHead {
    bytes: Vec<u8>,
    /// The length of the informational responses that were removed.
    removed: usize,
    is_head_request: bool,
}

/// A final head: its length and what follows.
struct FinalHead {
    len: usize,
    framing: Framing,
    /// Whether another request may follow on the connection.
    is_reusable: bool,
}

impl ResponseTracker {
    pub(crate) fn new() -> Self {
        Self {
            state: State::Idle,
            unusable: false,
        }
    }

    /// Whether the next input belongs to the head of a response.
    pub(crate) fn is_in_head(&self) -> bool {
        matches!(self.state, State::Head(_))
    }

    /// Whether the connection must not be used for another request.
    pub(crate) fn is_unusable(&self) -> bool {
        self.unusable && matches!(self.state, State::Idle)
    }

    /// Handles bytes that were written: the first ones after a response start a
    /// request.
    pub(crate) fn handle_output(&mut self, bytes: &[u8]) {
        if matches!(self.state, State::Idle) && !bytes.is_empty() {
            self.state = State::Head(PartialHead {
                bytes: Vec::new(),
                removed: 0,
                is_head_request: bytes.starts_with(HEAD_REQUEST),
            });
        }
    }

    /// Handles input inside a head. Returns the final head and the part of the
    /// body that came with it, once the head is complete.
    pub(crate) fn handle_head(&mut self, input: &[u8]) -> io::Result<Option<Vec<u8>>> {
        let State::Head(head) = &mut self.state else {
            return Ok(None);
        };
        head.bytes.extend_from_slice(input);
        let Some(FinalHead {
            len,
            mut framing,
            is_reusable,
        }) = head.parse()?
        else {
            return Ok(None);
        };
        let mut bytes = std::mem::take(&mut head.bytes);
        let used = len + framing.advance(&bytes[len..])?;
        self.unusable |= used < bytes.len() || !is_reusable;
        bytes.truncate(used);
        self.set_framing(framing);
        Ok(Some(bytes))
    }

    /// Handles input after a head. Returns the number of bytes that belong to
    /// the response; without a response, all of them are unexpected.
    pub(crate) fn handle_body(&mut self, input: &[u8]) -> io::Result<usize> {
        let State::Body(mut framing) = self.state else {
            return Err(invalid("the peer sent bytes that belong to no response"));
        };
        let used = framing.advance(input)?;
        self.unusable |= used < input.len();
        self.set_framing(framing);
        Ok(used)
    }

    fn set_framing(&mut self, framing: Framing) {
        self.state = if framing.is_end() {
            State::Idle
        } else {
            State::Body(framing)
        };
    }
}

impl PartialHead {
    /// Removes informational responses, and parses the final head if it is
    /// complete.
    fn parse(&mut self) -> io::Result<Option<FinalHead>> {
        loop {
            let mut headers = [EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            let mut config = ParserConfig::default();
            config.allow_spaces_after_header_name_in_responses(true);
            let parsed = config.parse_response(&mut response, &self.bytes);
            let parsed = parsed.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
            let limit = MAX_HEAD_BYTES.saturating_sub(self.removed);
            let len = match parsed {
                Status::Complete(len) if len <= limit => len,
                Status::Partial if self.bytes.len() < limit => return Ok(None),
                Status::Complete(_) | Status::Partial => {
                    return Err(invalid("the head of the response is too long"));
                }
            };
            match response.code.unwrap_or_default() {
                101 => return Err(invalid("the response switches to an unknown protocol")),
                100..200 => {
                    self.bytes.drain(..len);
                    self.removed += len;
                }
                _ => return self.final_head(len, &response).map(Some),
            }
        }
    }

    fn final_head(
        &self,
        len: usize,
        response: &httparse::Response<'_, '_>,
    ) -> io::Result<FinalHead> {
        let declared = declared_framing(response)?;
        let no_body = self.is_head_request || matches!(response.code, Some(204 | 304));
        let framing = match declared {
            Some(framing) if !no_body => framing,
            _ => Framing::END,
        };
        Ok(FinalHead {
            len,
            framing,
            is_reusable: response.code != Some(UNAVAILABLE) && (no_body || declared.is_some()),
        })
    }
}

/// The framing that the headers declare, if any. Two declarations are an error,
/// since a receiver may follow either.
fn declared_framing(response: &httparse::Response<'_, '_>) -> io::Result<Option<Framing>> {
    let mut lengths = values(response.headers, "content-length");
    let mut encodings = values(response.headers, "transfer-encoding");
    let (length, encoding) = (lengths.next(), encodings.next());
    if lengths.next().is_some() || encodings.next().is_some() {
        return Err(invalid("the response repeats the header of its length"));
    }
    match (length, encoding) {
        (None, None) if response.version == Some(0) => Ok(Some(Framing::UntilClose)),
        (None, None) => Ok(None),
        (Some(value), None) => parse_length(value).map(|length| Some(Framing::Length(length))),
        (None, Some(value)) if value.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked(Chunk::START)))
        }
        (None, Some(_)) => Err(invalid("the transfer encoding isn't chunked")),
        (Some(_), Some(_)) => Err(invalid("the response has a length and is chunked")),
    }
}

fn values<'a>(headers: &'a [Header<'a>], name: &str) -> impl Iterator<Item = &'a [u8]> {
    let named = headers
        .iter()
        .filter(move |h| h.name.eq_ignore_ascii_case(name));
    named.map(|header| header.value.trim_ascii())
}

fn parse_length(value: &[u8]) -> io::Result<u64> {
    let digits = std::str::from_utf8(value).ok();
    let digits = digits.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let length = digits.and_then(|text| text.parse().ok());
    length.ok_or_else(|| invalid("the length of the response is no number"))
}
