//! Starts and stops the entry role.

use crate::{
    Node, announce, callers, forward_listener,
    metrics::Metrics,
    node::NodeParts,
    notices::Notices,
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

/// Worker threads for each listener that carries requests.
const REQUEST_WORKERS: usize = 2;

/// The bound listeners of a process, one per protocol.
#[derive(Debug)]
pub struct Listeners {
    /// For look-ups and requests of callers.
    pub callers: Option<TcpListener>,
    /// For announcements of targets.
    pub targets: Option<TcpListener>,
    /// For operators' commands, health checks and metrics.
    pub operators: TcpListener,
    /// For framed links between VMs.
    pub links: TcpListener,
    /// For requests that other entry VMs forward.
    pub forwards: Option<TcpListener>,
}

impl Listeners {
    /// Binds the listeners that the settings configure.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound; the error names its setting.
    pub fn bind(listen: &Listen) -> anyhow::Result<Self> {
        let bind_optional = |address: Option<SocketAddr>, field: &'static str| {
            address.map(|address| bind(address, field)).transpose()
        };
        Ok(Self {
            callers: bind_optional(listen.callers, "listen.callers")?,
            targets: bind_optional(listen.targets, "listen.targets")?,
            operators: bind(listen.operators, "listen.operators")?,
            links: bind(listen.links, "listen.links")?,
            forwards: bind_optional(listen.forwards, "listen.forwards")?,
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
    /// Starts the node and the HTTP listeners.
    ///
    /// # Errors
    ///
    /// Fails if a secret file can't be read or a listener can't be started.
    pub fn start(
        settings: &Settings,
        listeners: Listeners,
        links: Links,
        replica: Option<Addr<Control>>,
        log: &Logger,
    ) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let incarnation = unix_millis();
        let control = ControlClient::new(links.clone(), &settings.control);
        let rules = Arc::new(ArcSwap::default());
        let notices = Arc::new(Notices::new(clock, log.clone()));
        let parts = NodeParts {
            settings: settings.clone(),
            clock,
            links,
            log: log.clone(),
            control: control.clone(),
            rules: Arc::clone(&rules),
            notices: Arc::clone(&notices),
            incarnation,
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
            notices,
            operator_token: read_secret(&settings.secrets.operators, "secrets.operators")?,
            link_proof: link_proof(&read_secret(&settings.secrets.links, "secrets.links")?),
            incarnation,
            retry_budget: Mutex::default(),
            stopping: AtomicBool::new(false),
            last_deadline: AtomicU64::new(u64::MAX),
            open_requests: AtomicUsize::new(0),
            drain_requested: Notify::new(),
            request_ids: AtomicU64::new(1),
        });
        let mut role = Self {
            shared,
            servers: Vec::new(),
        };
        role.serve(listeners.operators, 1, operators::routes)?;
        if let Some(listener) = listeners.callers {
            role.serve(listener, REQUEST_WORKERS, callers::routes)?;
        }
        if let Some(listener) = listeners.targets {
            role.serve(listener, 1, announce::routes)?;
        }
        if let Some(listener) = listeners.forwards {
            role.serve(listener, REQUEST_WORKERS, forward_listener::routes)?;
        }
        Ok(role)
    }

    /// Starts the HTTP server of one listener.
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
        self.shared.drain_requested.notified().await;
    }

    /// Shuts down gracefully. Waits for requests in flight up to the longest
    /// timeout of any service, and returns how many were cut off.
    pub async fn stop(self) -> usize {
        stop::run(&self.shared, &self.servers).await
    }
}

/// Reads a secret from a file; `field` is its setting.
fn read_secret(path: &Path, field: &str) -> anyhow::Result<String> {
    let text = fs::read_to_string(path)
        .with_context(|| format!("{field}: can't read {}", path.display()))?;
    let text = text.trim();
    anyhow::ensure!(!text.is_empty(), "{field}: {} is empty", path.display());
    Ok(text.to_owned())
}

/// Derives the proof that a forwarded request carries, so that the key itself
/// is not sent.
fn link_proof(key: &str) -> String {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(b"forwards");
    format!("{:x}", mac.finalize().into_bytes())
}
