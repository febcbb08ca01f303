//! One dialling task for each peer, started when there is something to send.

use crate::{
    CallError, dial,
    links::{Outgoing, Shared},
};
use std::{net::SocketAddr, sync::Arc};
use tokio::sync::mpsc::{self, error::TrySendError};

/// The most messages that wait for one peer; more are dropped, as a lost
/// message is.
const QUEUE: usize = 4_096;

type Peer = (SocketAddr, mpsc::Sender<Outgoing>);

/// Hands each outgoing message to the task of its peer.
pub(crate) async fn run(
    mut outgoing: mpsc::UnboundedReceiver<(SocketAddr, Outgoing)>,
    shared: Arc<Shared>,
) {
    let mut peers: Vec<Peer> = Vec::new();
    while let Some((to, message)) = outgoing.recv().await {
        let refused = match queue(&mut peers, to, &shared).try_send(message) {
            Ok(()) => continue,
            Err(TrySendError::Full(message)) => Some(message),
            Err(TrySendError::Closed(message)) => {
                peers.retain(|(address, _)| *address != to);
                queue(&mut peers, to, &shared)
                    .try_send(message)
                    .err()
                    .map(TrySendError::into_inner)
            }
        };
        if let Some(reply) = refused.and_then(|message| message.reply) {
            drop(reply.send(Err(CallError::Unreachable)));
        }
    }
}

/// Finds the queue of a peer, or starts its task.
fn queue<'a>(
    peers: &'a mut Vec<Peer>,
    to: SocketAddr,
    shared: &Arc<Shared>,
) -> &'a mpsc::Sender<Outgoing> {
    let i = match peers.binary_search_by_key(&to, |(address, _)| *address) {
        Ok(i) => i,
        Err(i) => {
            let (sender, receiver) = mpsc::channel(QUEUE);
            actix_rt::spawn(dial::run(to, receiver, Arc::clone(shared)));
            peers.insert(i, (to, sender));
            i
        }
    };
    &peers[i].1
}
