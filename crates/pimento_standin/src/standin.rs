//! The handle of a running stand-in target.

use crate::{
    Counters, Fault, StandinConfig, announce,
    service::configure,
    shared::{Connection, Shared},
};
use actix_rt::task::JoinHandle;
use actix_web::{App, HttpServer, dev::ServerHandle, web::Data};
use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

/// The time that an idle connection stays open; longer than entry VMs keep one
/// in their pools, so that they close it first.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// A running stand-in target; it stops when it is dropped.
///
/// Its listener also takes `GET /counters`, `PUT /fault` and `PUT /drain`, for
/// scripts that run it as a process of its own.
#[derive(Debug)]
pub struct Standin {
    shared: Arc<Shared>,
    address: SocketAddr,
    server: ServerHandle,
    announcer: Option<JoinHandle<()>>,
}

impl Standin {
    /// Starts a stand-in target inside the running actix system.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be bound.
    pub fn start(config: StandinConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(config.address)?;
        let address = listener.local_addr()?;
        let workers = config.workers;
        let silent = config.entries.is_empty();
        let shared = Arc::new(Shared::new(config));
        let data = Data::from(Arc::clone(&shared));
        let connections = Arc::clone(&shared);
        let server =
            HttpServer::new(move || App::new().app_data(data.clone()).configure(configure))
                .on_connect(move |_, data| {
                    data.insert(Connection::open(Arc::clone(&connections)));
                })
                .workers(workers)
                .keep_alive(KEEP_ALIVE)
                .h1_allow_half_closed(false)
                .disable_signals()
                .listen(listener)?
                .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        let announcer =
            (!silent).then(|| actix_rt::spawn(announce::run(Arc::clone(&shared), address)));
        Ok(Self {
            shared,
            address,
            server: handle,
            announcer,
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its counts, with the keys that ran more than once.
    pub fn counters(&self) -> Counters {
        self.shared.counters(2)
    }

    /// Makes it misbehave, or behave again.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// Announces at once that it is draining, and refuses new requests as not
    /// run.
    pub fn drain(&self) {
        self.shared.drain();
    }

    /// Stops announcing and serving; requests that run are cancelled.
    pub async fn stop(self) {
        self.server.stop(false).await;
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        if let Some(announcer) = &self.announcer {
            announcer.abort();
        }
        // The command is sent at once; there is nobody to wait for its end.
        drop(self.server.stop(false));
    }
}
