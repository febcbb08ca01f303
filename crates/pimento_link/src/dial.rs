//! The task that owns the connection to one peer.

use crate::{
    CallError, Envelope, handshake,
    handshake::Stream,
    links::{Outgoing, Shared},
    pending::PendingCalls,
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

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time without data from the peer, after a message was sent, after which the
/// connection counts as broken. The peer acknowledges within
/// [`crate::accept::MAX_ACK_DELAY`].
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// The time without a message to send after which the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// The delay after a failed attempt to connect.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// Sends the messages of one peer, and ends once there are none for the idle
/// timeout.
pub(crate) async fn run(to: SocketAddr, mut queue: mpsc::Receiver<Outgoing>, shared: Arc<Shared>) {
    while let Ok(Some(first)) = timeout(IDLE_TIMEOUT, queue.recv()).await {
        match connect(to, &shared).await {
            Ok(stream) => {
                let mut pending = PendingCalls::default();
                let result = serve(stream, first, &mut queue, &mut pending).await;
                pending.fail_all();
                if let Err(cause) = result {
                    event!(shared.log, Event::LinkClosed, "to" => %to, "cause" => %cause);
                }
            }
            Err(cause) => {
                event!(shared.log, Event::LinkClosed, "to" => %to, "cause" => %cause);
                fail_unsent(first);
                while let Ok(message) = queue.try_recv() {
                    fail_unsent(message);
                }
                tokio::time::sleep(RECONNECT_BACKOFF).await;
            }
        }
    }
    queue.close();
    while let Ok(message) = queue.try_recv() {
        fail_unsent(message);
    }
}

fn fail_unsent(message: Outgoing) {
    if let Some(reply) = message.reply {
        drop(reply.send(Err(CallError::Unreachable)));
    }
}

async fn connect(to: SocketAddr, shared: &Shared) -> anyhow::Result<Stream> {
    let tcp = timeout(CONNECT_TIMEOUT, TcpStream::connect(to))
        .await
        .context("connecting took too long")??;
    let (stream, vm) = handshake::dial(tcp, &shared.own_vm, &shared.key).await?;
    event!(shared.log, Event::LinkOpened, "to" => %to, "peer" => %vm);
    Ok(stream)
}

/// Uses a connection until it fails, stops answering or is idle.
async fn serve(
    mut stream: Stream,
    first: Outgoing,
    queue: &mut mpsc::Receiver<Outgoing>,
    pending: &mut PendingCalls,
) -> anyhow::Result<()> {
    send(&mut stream, first, queue, pending).await?;
    let mut timer_start = Instant::now();
    let mut awaiting_ack = true;
    loop {
        let timeout_after = if awaiting_ack {
            PEER_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        tokio::select! {
            frame = stream.next() => {
                let frame = frame.context("the peer closed the connection")??;
                let envelope = Envelope::decode(frame)?;
                pending.complete(envelope.call_id, envelope.payload);
                awaiting_ack = false;
            }
            message = queue.recv() => {
                let Some(message) = message else { return Ok(()) };
                send(&mut stream, message, queue, pending).await?;
                if !awaiting_ack {
                    awaiting_ack = true;
                    timer_start = Instant::now();
                }
            }
            () = sleep_until(timer_start + timeout_after) => {
                if awaiting_ack {
                    bail!("the peer did not respond in time");
                }
                return Ok(());
            }
        }
    }
}

/// Writes a message and all messages that are queued behind it, then flushes once.
async fn send(
    stream: &mut Stream,
    first: Outgoing,
    queue: &mut mpsc::Receiver<Outgoing>,
    pending: &mut PendingCalls,
) -> anyhow::Result<()> {
    let mut next = Some(first);
    while let Some(message) = next {
        let call_id = message.reply.map_or(0, |reply| pending.add(reply));
        let channel = i32::from(message.channel);
        let envelope = Envelope {
            channel,
            call_id,
            payload: message.payload,
        };
        let frame = Bytes::from(envelope.encode_to_vec());
        stream.feed(frame).await?;
        next = queue.try_recv().ok();
    }
    timeout(PEER_TIMEOUT, SinkExt::<Bytes>::flush(stream))
        .await
        .context("the write did not finish in time")??;
    Ok(())
}
