//! Stand-in targets announce themselves and use the replies.

use actix_web::{App, HttpServer, web};
use pimento_core::{ServiceId, TargetId, VmId};
use pimento_lease::{AnnounceReply, Announcement, TargetState, Token};
use pimento_standin::{Standin, StandinConfig};
use std::{net::SocketAddr, net::TcpListener, time::Duration};
use tokio::sync::mpsc;

/// Starts an entry VM that replies to announcements and passes them to the
/// test.
fn start_entry(name: &str, announcements: mpsc::UnboundedSender<Announcement>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let holder = VmId::new(name).expect("a name");
    let handle = move |announcement: web::Json<Announcement>| {
        let serial = announcement.token.as_ref().map_or(1, |t| t.serial + 1);
        let token = Token {
            epoch: 1,
            holder: holder.clone(),
            instance: 1,
            serial,
        };
        announcements
            .send(announcement.into_inner())
            .expect("a running test");
        let interval_ms = 10;
        let reply = AnnounceReply {
            token,
            holder: address,
            interval_ms,
        };
        async move { web::Json(reply) }
    };
    let app = move || App::new().route("/v1/announce", web::post().to(handle.clone()));
    let server = HttpServer::new(app).workers(1).disable_signals();
    actix_rt::spawn(server.listen(listener).expect("a listener").run());
    address
}

fn start_target(entries: Vec<SocketAddr>) -> Standin {
    let target = TargetId::new("t1").expect("a name");
    let service = ServiceId::new("shifts").expect("a name");
    let config = StandinConfig {
        entries,
        ..StandinConfig::new(target, service)
    };
    Standin::start(config).expect("a free port")
}

async fn next_announcement(
    announcements: &mut mpsc::UnboundedReceiver<Announcement>,
) -> Announcement {
    let with_timeout = tokio::time::timeout(Duration::from_secs(5), announcements.recv());
    with_timeout
        .await
        .expect("an announcement in time")
        .expect("a running entry VM")
}

#[actix_rt::test]
async fn echoed_token() {
    let (sender, mut announcements) = mpsc::unbounded_channel();
    let standin = start_target(vec![start_entry("e1", sender)]);
    let first = next_announcement(&mut announcements).await;
    assert_eq!((first.token, first.address), (None, standin.address()));
    for serial in 1..4 {
        let token = next_announcement(&mut announcements)
            .await
            .token
            .expect("a token");
        assert_eq!((token.serial, &*token.holder), (serial, "e1"));
    }
}

#[actix_rt::test]
async fn unreachable_entry() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let unreachable = listener.local_addr().expect("an address");
    drop(listener);
    let (sender, mut announcements) = mpsc::unbounded_channel();
    let _standin = start_target(vec![unreachable, start_entry("e2", sender)]);
    assert_eq!(&*next_announcement(&mut announcements).await.target, "t1");
}

#[actix_rt::test]
async fn announced_drain() {
    let (sender, mut announcements) = mpsc::unbounded_channel();
    let standin = start_target(vec![start_entry("e1", sender)]);
    assert_eq!(
        next_announcement(&mut announcements).await.state,
        TargetState::Ready
    );
    standin.drain();
    let mut states = Vec::new();
    for _ in 0..3 {
        states.push(next_announcement(&mut announcements).await.state);
    }
    assert_eq!(states.last(), Some(&TargetState::Draining));
}
