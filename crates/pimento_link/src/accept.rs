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

/// The longest that a received message goes without any answer: with nothing to
/// say, an empty frame proves that the connection works.
pub(crate) const ACK: Duration = Duration::from_secs(1);

/// The time without any message after which a connection is closed; the dialler
/// closes it earlier unless it is gone.
const IDLE: Duration = Duration::from_secs(90);

/// The wait after a failed accept, such as with too many open files.
const BACKOFF: Duration = Duration::from_millis(100);

/// Accepts connections for as long as the process lives.
pub(crate) async fn listen(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                actix_rt::spawn(receive(tcp, Arc::clone(&shared)));
            }
            Err(_) => tokio::time::sleep(BACKOFF).await,
        }
    }
}

async fn receive(tcp: TcpStream, shared: Arc<Shared>) {
    let from = tcp
        .peer_addr()
        .map_or_else(|e| e.to_string(), |a| a.to_string());
    match handshake::accept(tcp, &shared.me, &shared.key).await {
        Ok((stream, vm)) => {
            if let Err(cause) = serve(stream, &vm, &shared).await {
                event!(shared.log, Event::LinkOpened, "from" => from, "peer" => %vm, "end" => %cause);
            }
        }
        Err(cause) => {
            event!(shared.log, Event::LinkRefused, "from" => from, "cause" => %cause);
        }
    }
}

/// Delivers a connection's messages and sends the replies.
async fn serve(mut stream: Stream, vm: &VmId, shared: &Shared) -> anyhow::Result<()> {
    let (back, mut replies) = mpsc::unbounded_channel();
    let mut heard = Instant::now();
    let mut owed = false;
    loop {
        let limit = if owed { ACK } else { IDLE };
        tokio::select! {
            frame = stream.next() => {
                let frame = frame.context("the peer closed the connection")??;
                let envelope = Envelope::decode(frame)?;
                if !owed {
                    heard = Instant::now();
                }
                owed = true;
                deliver(envelope, vm, shared, &back);
            }
            Some((call, payload)) = replies.recv() => {
                reply(&mut stream, call, payload).await?;
                owed = false;
                heard = Instant::now();
            }
            () = sleep_until(heard + limit) => {
                if !owed {
                    bail!("the connection was idle");
                }
                reply(&mut stream, 0, Bytes::new()).await?;
                owed = false;
                heard = Instant::now();
            }
        }
    }
}

fn deliver(
    envelope: Envelope,
    vm: &VmId,
    shared: &Shared,
    back: &mpsc::UnboundedSender<(u64, Bytes)>,
) {
    let Ok(channel) = Channel::try_from(envelope.channel) else {
        return;
    };
    let reply = (envelope.call > 0).then(|| Reply {
        call: envelope.call,
        back: back.clone(),
    });
    shared.deliver(Incoming {
        from: vm.clone(),
        channel,
        payload: envelope.payload,
        reply,
    });
}

async fn reply(stream: &mut Stream, call: u64, payload: Bytes) -> anyhow::Result<()> {
    let envelope = Envelope {
        channel: Channel::KeepAlive.into(),
        call,
        payload,
    };
    let frame = Bytes::from(envelope.encode_to_vec());
    timeout(IDLE, stream.send(frame))
        .await
        .context("the connection does not take data")??;
    Ok(())
}
