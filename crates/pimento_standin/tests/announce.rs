//! Stand-in targets announce themselves and follow the replies.

use actix_web::{App, HttpServer, web};
use pimento_core::{ServiceId, TargetId, VmId};
use pimento_lease::{AnnounceReply, Announcement, TargetState, Token};
use pimento_standin::{Standin, StandinConfig};
use std::{net::SocketAddr, net::TcpListener, time::Duration};
use tokio::sync::mpsc;

/// An entry VM that replies to announcements and hands them to the test.
fn entry(name: &str, seen: mpsc::UnboundedSender<Announcement>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let holder = VmId::new(name).expect("a name");
    let announce = move |announcement: web::Json<Announcement>| {
        let serial = announcement.token.as_ref().map_or(1, |t| t.serial + 1);
        let token = Token {
            epoch: 1,
            holder: holder.clone(),
            instance: 1,
            serial,
        };
        seen.send(announcement.into_inner()).expect("a live test");
        let interval_ms = 10;
        let reply = AnnounceReply {
            token,
            holder: address,
            interval_ms,
        };
        async move { web::Json(reply) }
    };
    let app = move || App::new().route("/v1/announce", web::post().to(announce.clone()));
    let server = HttpServer::new(app).workers(1).disable_signals();
    actix_rt::spawn(server.listen(listener).expect("a listener").run());
    address
}

fn start(entries: Vec<SocketAddr>) -> Standin {
    let target = TargetId::new("t1").expect("a name");
    let service = ServiceId::new("shifts").expect("a name");
    let config = StandinConfig {
        entries,
        ..StandinConfig::new(target, service)
    };
    Standin::start(config).expect("a free port")
}

async fn next(seen: &mut mpsc::UnboundedReceiver<Announcement>) -> Announcement {
    let wait = tokio::time::timeout(Duration::from_secs(5), seen.recv());
    wait.await.expect("an announcement").expect("an entry VM")
}

#[actix_rt::test]
async fn echoed_token() {
    let (sender, mut seen) = mpsc::unbounded_channel();
    let standin = start(vec![entry("e1", sender)]);
    let first = next(&mut seen).await;
    assert_eq!((first.token, first.address), (None, standin.address()));
    for serial in 1..4 {
        let token = next(&mut seen).await.token.expect("a token");
        assert_eq!((token.serial, &*token.holder), (serial, "e1"));
    }
}

#[actix_rt::test]
async fn unreachable_entry() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let dead = closed.local_addr().expect("an address");
    drop(closed);
    let (sender, mut seen) = mpsc::unbounded_channel();
    let _standin = start(vec![dead, entry("e2", sender)]);
    assert_eq!(&*next(&mut seen).await.target, "t1");
}

#[actix_rt::test]
async fn announced_drain() {
    let (sender, mut seen) = mpsc::unbounded_channel();
    let standin = start(vec![entry("e1", sender)]);
    assert_eq!(next(&mut seen).await.state, TargetState::Ready);
    standin.drain();
    let mut states = Vec::new();
    for _ in 0..3 {
        states.push(next(&mut seen).await.state);
    }
    assert_eq!(states.last(), Some(&TargetState::Draining));
}
