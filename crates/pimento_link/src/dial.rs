//! The task that owns the connection to one peer.

use crate::{
    CallError, Envelope, handshake,
    handshake::Stream,
    links::{Outgoing, Shared},
    pending::Pending,
};
use anyhow::{Context, bail};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pimento_log::{Event, event};
use prost::Message;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{Instant, sleep_until, timeout},
};

/// The longest that connecting may take.
const CONNECT: Duration = Duration::from_secs(1);

/// The time without anything from the peer, after something was sent, at which
/// the connection counts as silent; the acceptor answers within
/// [`crate::accept::ACK`].
const SILENCE: Duration = Duration::from_secs(3);

/// The time without anything to send after which the connection is closed.
const IDLE: Duration = Duration::from_mins(1);

/// The wait after a failed connection.
const BACKOFF: Duration = Duration::from_millis(200);

/// Sends a peer's messages until it has been idle for long.
pub(crate) async fn run(to: SocketAddr, mut queue: mpsc::Receiver<Outgoing>, shared: Arc<Shared>) {
    while let Ok(Some(first)) = timeout(IDLE, queue.recv()).await {
        match connect(to, &shared).await {
            Ok(stream) => {
                let mut pending = Pending::default();
                let end = serve(stream, first, &mut queue, &mut pending).await;
                pending.fail();
                if let Err(cause) = end {
                    event!(shared.log, Event::LinkClosed, "to" => %to, "cause" => %cause);
                }
            }
            Err(cause) => {
                event!(shared.log, Event::LinkClosed, "to" => %to, "cause" => %cause);
                refuse(first);
                while let Ok(message) = queue.try_recv() {
                    refuse(message);
                }
                tokio::time::sleep(BACKOFF).await;
            }
        }
    }
    queue.close();
    while let Ok(message) = queue.try_recv() {
        refuse(message);
    }
}

fn refuse(message: Outgoing) {
    if let Some(reply) = message.reply {
        drop(reply.send(Err(CallError::Unreachable)));
    }
}

async fn connect(to: SocketAddr, shared: &Shared) -> anyhow::Result<Stream> {
    let tcp = timeout(CONNECT, TcpStream::connect(to))
        .await
        .context("connecting took too long")??;
    let (stream, vm) = handshake::dial(tcp, &shared.me, &shared.key).await?;
    event!(shared.log, Event::LinkOpened, "to" => %to, "peer" => %vm);
    Ok(stream)
}

/// Uses a connection until it fails, goes silent or is idle.
async fn serve(
    mut stream: Stream,
    first: Outgoing,
    queue: &mut mpsc::Receiver<Outgoing>,
    pending: &mut Pending,
) -> anyhow::Result<()> {
    send(&mut stream, first, queue, pending).await?;
    let mut proven = Instant::now();
    let mut waiting = true;
    loop {
        let limit = if waiting { SILENCE } else { IDLE };
        tokio::select! {
            frame = stream.next() => {
                let frame = frame.context("the peer closed the connection")??;
                let envelope = Envelope::decode(frame)?;
                pending.answer(envelope.call, envelope.payload);
                waiting = false;
            }
            message = queue.recv() => {
                let Some(message) = message else { return Ok(()) };
                send(&mut stream, message, queue, pending).await?;
                if !waiting {
                    waiting = true;
                    proven = Instant::now();
                }
            }
            () = sleep_until(proven + limit) => {
                if waiting {
                    bail!("the connection went silent");
                }
                return Ok(());
            }
        }
    }
}

/// Writes a message and all that wait behind it, then flushes once.
async fn send(
    stream: &mut Stream,
    first: Outgoing,
    queue: &mut mpsc::Receiver<Outgoing>,
    pending: &mut Pending,
) -> anyhow::Result<()> {
    let mut next = Some(first);
    while let Some(message) = next {
        let call = message.reply.map_or(0, |reply| pending.add(reply));
        let channel = i32::from(message.channel);
        let envelope = Envelope {
            channel,
            call,
            payload: message.payload,
        };
        let frame = Bytes::from(envelope.encode_to_vec());
        stream.feed(frame).await?;
        next = queue.try_recv().ok();
    }
    timeout(SILENCE, SinkExt::<Bytes>::flush(stream))
        .await
        .context("the connection does not take data")??;
    Ok(())
}
