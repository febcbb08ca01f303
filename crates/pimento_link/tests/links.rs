//! Links prove the shared key, carry calls and replace silent connections.

use actix::prelude::*;
use bytes::Bytes;
use pimento_core::VmId;
use pimento_link::{CallError, Channel, Incoming, Key, Links};
use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

const LIMIT: Duration = Duration::from_secs(5);

/// Answers each call with its own payload.
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
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is there");
    let address = listener.local_addr().expect("the listener is bound");
    let vm = VmId::new(vm).expect("a good name");
    let links = Links::start(vm, Key::new(key), listener, pimento_log::discard());
    (links.expect("the listener works"), address)
}

#[actix_rt::test]
async fn echoed_call() {
    let (server, address) = start("a", "secret");
    server.subscribe(Channel::Control, Echo.start().recipient());
    let (client, _) = start("b", "secret");
    let payload = Bytes::from_static(b"hello");
    let answer = client
        .call(address, Channel::Control, payload.clone(), LIMIT)
        .await;
    assert_eq!(answer, Ok(payload));
}

#[actix_rt::test]
async fn wrong_key() {
    let (server, address) = start("a", "secret");
    server.subscribe(Channel::Control, Echo.start().recipient());
    let (client, _) = start("b", "guess");
    let answer = client
        .call(address, Channel::Control, Bytes::new(), LIMIT)
        .await;
    assert_eq!(answer, Err(CallError::Unreachable));
}

#[actix_rt::test]
async fn nobody_there() {
    // A port that the system never gives to a listener of another test.
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let (client, _) = start("b", "secret");
    let answer = client
        .call(address, Channel::Control, Bytes::new(), LIMIT)
        .await;
    assert_eq!(answer, Err(CallError::Unreachable));
}

#[actix_rt::test]
async fn unanswered_call() {
    let (_server, address) = start("a", "secret");
    let (client, _) = start("b", "secret");
    let limit = Duration::from_millis(200);
    let answer = client
        .call(address, Channel::Control, Bytes::new(), limit)
        .await;
    assert_eq!(answer, Err(CallError::Timeout));
}
