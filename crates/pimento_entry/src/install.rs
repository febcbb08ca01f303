//! Starting the entry role.

use crate::{
    Node, announce, callers, forwards,
    metrics::Metrics,
    node::NodeParts,
    operators,
    shared::{Shared, unix_millis},
    stop,
    upstream::Clients,
};
use actix::prelude::*;
use actix_web::{App, HttpServer, dev::ServerHandle, web};
use anyhow::Context as _;
use arc_swap::ArcSwap;
use hmac::{Hmac, Mac};
use pimento_control::{Control, ControlClient, SubscribeRules};
use pimento_core::Clock;
use pimento_link::Links;
use pimento_log::Logger;
use pimento_settings::{Listen, Settings};
use sha2::Sha256;
use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize},
    },
    time::Duration,
};
use tokio::sync::Notify;

/// Worker threads of the listeners that carry requests.
const WORKERS: usize = 2;

/// The bound listeners of a process.
#[derive(Debug)]
pub struct Listeners {
    /// Look-ups and requests.
    pub callers: Option<TcpListener>,
    /// Announcements.
    pub targets: Option<TcpListener>,
    /// Operators.
    pub operators: TcpListener,
    /// Framed links.
    pub links: TcpListener,
    /// Forwarded requests.
    pub forwards: Option<TcpListener>,
}

impl Listeners {
    /// Binds all listeners of the settings.
    ///
    /// # Errors
    ///
    /// Names the setting whose address can't be bound.
    pub fn bind(listen: &Listen) -> anyhow::Result<Self> {
        let some = |address: Option<SocketAddr>, field: &'static str| {
            address.map(|address| bind(address, field)).transpose()
        };
        Ok(Self {
            callers: some(listen.callers, "listen.callers")?,
            targets: some(listen.targets, "listen.targets")?,
            operators: bind(listen.operators, "listen.operators")?,
            links: bind(listen.links, "listen.links")?,
            forwards: some(listen.forwards, "listen.forwards")?,
        })
    }
}

fn bind(address: SocketAddr, field: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("{field}: can't listen on {address}"))
}

/// The running entry role.
#[derive(Debug)]
pub struct EntryRole {
    shared: web::Data<Shared>,
    servers: Vec<ServerHandle>,
}

impl EntryRole {
    /// Starts the node and the listeners.
    ///
    /// # Errors
    ///
    /// Names the secret file that can't be read or the listener that fails.
    pub fn start(
        settings: &Settings,
        sockets: Listeners,
        links: Links,
        replica: Option<Addr<Control>>,
        log: &Logger,
    ) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let instance = unix_millis();
        let control = ControlClient::new(links.clone(), &settings.control);
        let rules = Arc::new(ArcSwap::default());
        let parts = NodeParts {
            settings: settings.clone(),
            clock,
            links,
            log: log.clone(),
            control: control.clone(),
            rules: Arc::clone(&rules),
            instance,
        };
        let node = Node::create(|ctx| Node::new(parts, ctx.address()));
        if let Some(replica) = &replica {
            replica.do_send(SubscribeRules(node.clone().recipient()));
        }
        let shared = web::Data::new(Shared {
            settings: settings.clone(),
            clock,
            log: log.clone(),
            node,
            control,
            rules,
            replica,
            metrics: Metrics::new()?,
            token: secret(&settings.secrets.operators, "secrets.operators")?,
            proof: proof(&secret(&settings.secrets.links, "secrets.links")?),
            instance,
            budget: Mutex::default(),
            stopping: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            drain: Notify::new(),
            ids: AtomicU64::new(1),
        });
        let mut entry = Self {
            shared,
            servers: Vec::new(),
        };
        entry.serve(sockets.operators, 1, operators::routes)?;
        if let Some(listener) = sockets.callers {
            entry.serve(listener, WORKERS, callers::routes)?;
        }
        if let Some(listener) = sockets.targets {
            entry.serve(listener, 1, announce::routes)?;
        }
        if let Some(listener) = sockets.forwards {
            entry.serve(listener, WORKERS, forwards::routes)?;
        }
        Ok(entry)
    }

    /// Runs one listener.
    fn serve(
        &mut self,
        listener: TcpListener,
        workers: usize,
        routes: fn(&mut web::ServiceConfig),
    ) -> anyhow::Result<()> {
        let shared = self.shared.clone();
        let limits = &self.shared.settings.limits;
        let server = HttpServer::new(move || {
            App::new()
                .app_data(shared.clone())
                .app_data(web::Data::new(Clients::new()))
                .configure(routes)
        })
        .workers(workers)
        .max_connections(limits.connections.div_ceil(workers))
        .h1_allow_half_closed(false)
        .client_request_timeout(Duration::from_millis(limits.head))
        .disable_signals()
        .listen(listener)?
        .run();
        self.servers.push(server.handle());
        actix_rt::spawn(server);
        Ok(())
    }

    /// Waits until an operator drains this VM.
    pub async fn wait_for_drain(&self) {
        self.shared.drain.notified().await;
    }

    /// Stops gracefully: no request in flight is cut off, unless it takes longer
    /// than its service allows; returns the number of those.
    pub async fn stop(self) -> usize {
        stop::run(&self.shared, &self.servers).await
    }
}

/// Reads a secret from its file.
fn secret(path: &Path, field: &str) -> anyhow::Result<String> {
    let text = fs::read_to_string(path)
        .with_context(|| format!("{field}: can't read {}", path.display()))?;
    let text = text.trim();
    anyhow::ensure!(!text.is_empty(), "{field}: {} is empty", path.display());
    Ok(text.to_owned())
}

/// What a forwarded request shows in place of the key itself.
fn proof(key: &str) -> String {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("any length is a key");
    mac.update(b"forwards");
    format!("{:x}", mac.finalize().into_bytes())
}
