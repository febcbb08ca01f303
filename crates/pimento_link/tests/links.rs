//! Links authenticate peers, and calls return a reply or the right error.

use actix::prelude::*;
use bytes::Bytes;
use pimento_core::VmId;
use pimento_link::{CallError, Channel, Incoming, Key, Links};
use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Replies to each call with its payload.
struct Echo;

impl Actor for Echo {
    type Context = Context<Self>;
}

impl Handler<Incoming> for Echo {
    type Result = ();

    fn handle(&mut self, msg: Incoming, _ctx: &mut Self::Context) {
        if let Some(reply) = msg.reply {
            reply.send(msg.payload);
        }
    }
}

fn start(vm: &str, key: &str) -> (Links, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is available");
    let address = listener.local_addr().expect("the listener is bound");
    let vm = VmId::new(vm).expect("valid name");
    let links = Links::start(vm, Key::new(key), listener, pimento_log::discard());
    (links.expect("the links start"), address)
}

#[actix_rt::test]
async fn echoed_call() {
    let (server, address) = start("a", "secret");
    server.subscribe(Channel::Control, Echo.start().recipient());
    let (client, _) = start("b", "secret");
    let payload = Bytes::from_static(b"hello");
    let result = client
        .call(address, Channel::Control, payload.clone(), CALL_TIMEOUT)
        .await;
    assert_eq!(result, Ok(payload));
}

#[actix_rt::test]
async fn wrong_key() {
    let (server, address) = start("a", "secret");
    server.subscribe(Channel::Control, Echo.start().recipient());
    let (client, _) = start("b", "guess");
    let result = client
        .call(address, Channel::Control, Bytes::new(), CALL_TIMEOUT)
        .await;
    assert_eq!(result, Err(CallError::Unreachable));
}

#[actix_rt::test]
async fn unreachable_peer() {
    // The operating system never assigns this port to a listener of another test.
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let (client, _) = start("b", "secret");
    let result = client
        .call(address, Channel::Control, Bytes::new(), CALL_TIMEOUT)
        .await;
    assert_eq!(result, Err(CallError::Unreachable));
}

#[actix_rt::test]
async fn unanswered_call() {
    let (_server, address) = start("a", "secret");
    let (client, _) = start("b", "secret");
    let timeout = Duration::from_millis(200);
    let result = client
        .call(address, Channel::Control, Bytes::new(), timeout)
        .await;
    assert_eq!(result, Err(CallError::Timeout));
}
