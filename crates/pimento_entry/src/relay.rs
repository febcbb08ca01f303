//! Passes a response's body on until the request's deadline.

use bytes::Bytes;
use futures_util::{
    StreamExt,
    stream::{self, LocalBoxStream},
};
use std::{io, time::Duration};
use tokio::sync::mpsc::{self, Receiver, Sender};

/// A response's body.
pub(crate) type BodyStream = LocalBoxStream<'static, io::Result<Bytes>>;

/// How many chunks may wait for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 1;

/// How a body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyEnd {
    Complete,
    /// The upstream's body ended with an error.
    Failed,
    TimedOut,
    /// The caller no longer reads the body.
    Dropped,
}

enum Item {
    Chunk(io::Result<Bytes>),
    End,
}

/// Passes `body` on for at most `timeout`, after which it ends with an error,
/// and calls `done` once `body` has been dropped.
///
/// A task of its own does so, since a caller that doesn't read its response
/// would otherwise hold the connection and the permit past the deadline.
pub(crate) fn until_deadline(
    body: BodyStream,
    timeout: Duration,
    done: impl FnOnce(BodyEnd) + 'static,
) -> BodyStream {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    actix_rt::spawn(async move {
        let end = tokio::select! {
            biased;
            () = tokio::time::sleep(timeout) => BodyEnd::TimedOut,
            () = sender.closed() => BodyEnd::Dropped,
            end = send_chunks(body, &sender) => end,
        };
        done(end);
    });
    stream::unfold(Some(receiver), receive).boxed_local()
}

async fn send_chunks(mut body: BodyStream, sender: &Sender<Item>) -> BodyEnd {
    while let Some(chunk) = body.next().await {
        let failed = chunk.is_err();
        if sender.send(Item::Chunk(chunk)).await.is_err() {
            return BodyEnd::Dropped;
        }
        if failed {
            return BodyEnd::Failed;
        }
    }
    match sender.send(Item::End).await {
        Ok(()) => BodyEnd::Complete,
        Err(_) => BodyEnd::Dropped,
    }
}

/// Receives the next chunk. A channel that closes before the end of the body is
/// an error, so that the response can't look complete.
async fn receive(
    receiver: Option<Receiver<Item>>,
) -> Option<(io::Result<Bytes>, Option<Receiver<Item>>)> {
    let mut receiver = receiver?;
    match receiver.recv().await {
        Some(Item::Chunk(Ok(chunk))) => Some((Ok(chunk), Some(receiver))),
        Some(Item::Chunk(Err(error))) => Some((Err(error), None)),
        Some(Item::End) => None,
        None => Some((Err(io::ErrorKind::TimedOut.into()), None)),
    }
}
