//! Starts one dialing task per peer when there is a message to send.

use crate::{
    CallError, dial,
    links::{Outgoing, Shared},
};
use std::{net::SocketAddr, sync::Arc};
use tokio::sync::mpsc::{self, error::TrySendError};

/// The maximum number of queued messages per peer. Further messages are dropped,
/// which users handle like any lost message.
const QUEUE_CAPACITY: usize = 4_096;

type PeerQueue = (SocketAddr, mpsc::Sender<Outgoing>);

/// Queues each outgoing message for the task of its peer.
pub(crate) async fn run(
    mut outgoing: mpsc::UnboundedReceiver<(SocketAddr, Outgoing)>,
    shared: Arc<Shared>,
) {
    let mut peers: Vec<PeerQueue> = Vec::new();
    while let Some((to, message)) = outgoing.recv().await {
        let dropped = match peer_queue(&mut peers, to, &shared).try_send(message) {
            Ok(()) => continue,
            Err(TrySendError::Full(message)) => Some(message),
            Err(TrySendError::Closed(message)) => {
                peers.retain(|(address, _)| *address != to);
                peer_queue(&mut peers, to, &shared)
                    .try_send(message)
                    .err()
                    .map(TrySendError::into_inner)
            }
        };
        if let Some(reply) = dropped.and_then(|message| message.reply) {
            drop(reply.send(Err(CallError::Unreachable)));
        }
    }
}

/// Finds the queue of a peer, or creates it and starts its task.
fn peer_queue<'a>(
    peers: &'a mut Vec<PeerQueue>,
    to: SocketAddr,
    shared: &Arc<Shared>,
) -> &'a mpsc::Sender<Outgoing> {
    let i = match peers.binary_search_by_key(&to, |(address, _)| *address) {
        Ok(i) => i,
        Err(i) => {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            actix_rt::spawn(dial::run(to, receiver, Arc::clone(shared)));
            peers.insert(i, (to, sender));
            i
        }
    };
    &peers[i].1
}
