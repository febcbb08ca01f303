//! The listening side of links.

use crate::{
    Channel, Envelope, handshake,
    handshake::Stream,
    links::{Incoming, Reply, Shared},
};
use anyhow::{Context, bail};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pimento_core::VmId;
use pimento_log::{Event, event};
use prost::Message;
use std::{sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, sleep_until, timeout},
};

/// The maximum time until a received message is acknowledged. If there is no
/// reply to send, an empty frame shows the dialer that the connection works.
pub(crate) const MAX_ACK_DELAY: Duration = Duration::from_secs(1);

/// The time without messages after which a connection is closed. A live dialer
/// closes an idle connection earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// The delay after a failed accept, for example with too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts connections until the process ends.
pub(crate) async fn listen(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                actix_rt::spawn(handle_connection(tcp, Arc::clone(&shared)));
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn handle_connection(tcp: TcpStream, shared: Arc<Shared>) {
    let peer_address = tcp
        .peer_addr()
        .map_or_else(|e| e.to_string(), |a| a.to_string());
    match handshake::accept(tcp, &shared.own_vm, &shared.key).await {
        Ok((stream, vm)) => {
            if let Err(cause) = serve(stream, &vm, &shared).await {
                event!(shared.log, Event::LinkEnded, "from" => peer_address, "peer" => %vm, "cause" => %cause);
            }
        }
        Err(cause) => {
            event!(shared.log, Event::LinkRefused, "from" => peer_address, "cause" => %cause);
        }
    }
}

/// Delivers the messages of a connection, and sends replies and acknowledgements.
async fn serve(mut stream: Stream, vm: &VmId, shared: &Shared) -> anyhow::Result<()> {
    let (reply_sender, mut replies) = mpsc::unbounded_channel();
    let mut last_activity = Instant::now();
    let mut ack_pending = false;
    loop {
        let timeout_after = if ack_pending {
            MAX_ACK_DELAY
        } else {
            IDLE_TIMEOUT
        };
        tokio::select! {
            frame = stream.next() => {
                let frame = frame.context("the peer closed the connection")??;
                let envelope = Envelope::decode(frame)?;
                if !ack_pending {
                    last_activity = Instant::now();
                }
                ack_pending = true;
                deliver(envelope, vm, shared, &reply_sender);
            }
            Some((call_id, payload)) = replies.recv() => {
                send_reply(&mut stream, call_id, payload).await?;
                ack_pending = false;
                last_activity = Instant::now();
            }
            () = sleep_until(last_activity + timeout_after) => {
                if !ack_pending {
                    bail!("the connection was idle");
                }
                send_reply(&mut stream, 0, Bytes::new()).await?;
                ack_pending = false;
                last_activity = Instant::now();
            }
        }
    }
}

fn deliver(
    envelope: Envelope,
    vm: &VmId,
    shared: &Shared,
    reply_sender: &mpsc::UnboundedSender<(u64, Bytes)>,
) {
    let Ok(channel) = Channel::try_from(envelope.channel) else {
        return;
    };
    let reply = (envelope.call_id > 0).then(|| Reply {
        call_id: envelope.call_id,
        sender: reply_sender.clone(),
    });
    shared.deliver(Incoming {
        from: vm.clone(),
        channel,
        payload: envelope.payload,
        reply,
    });
}

async fn send_reply(stream: &mut Stream, call_id: u64, payload: Bytes) -> anyhow::Result<()> {
    let envelope = Envelope {
        channel: Channel::KeepAlive.into(),
        call_id,
        payload,
    };
    let frame = Bytes::from(envelope.encode_to_vec());
    timeout(IDLE_TIMEOUT, stream.send(frame))
        .await
        .context("the write did not finish in time")??;
    Ok(())
}
