//! Starting and controlling a stand-in target.

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

/// How long an idle connection stays open. Longer than the idle timeout of the
/// entry VMs' connection pools, so that the entry VM closes it first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// A running stand-in target; dropping it stops the server.
///
/// Its listener also serves `GET /counters`, `PUT /fault` and `PUT /drain`, for
/// scripts that run the target as a separate process.
#[derive(Debug)]
pub struct Standin {
    shared: Arc<Shared>,
    address: SocketAddr,
    server: ServerHandle,
    announcer: Option<JoinHandle<()>>,
}

impl Standin {
    /// Starts a stand-in target in the running actix system.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(config: StandinConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(config.address)?;
        let address = listener.local_addr()?;
        let workers = config.workers;
        let no_entries = config.entries.is_empty();
        let shared = Arc::new(Shared::new(config));
        let data = Data::from(Arc::clone(&shared));
        let connection_state = Arc::clone(&shared);
        let server =
            HttpServer::new(move || App::new().app_data(data.clone()).configure(configure))
                .on_connect(move |_, data| {
                    data.insert(Connection::open(Arc::clone(&connection_state)));
                })
                .workers(workers)
                .keep_alive(IDLE_TIMEOUT)
                .h1_allow_half_closed(false)
                .disable_signals()
                .listen(listener)?
                .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        let announcer =
            (!no_entries).then(|| actix_rt::spawn(announce::run(Arc::clone(&shared), address)));
        Ok(Self {
            shared,
            address,
            server: handle,
            announcer,
        })
    }

    /// The listening address, with the chosen port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The counters, with the idempotency keys that ran more than once.
    pub fn counters(&self) -> Counters {
        self.shared.counters(2)
    }

    /// Sets the fault to simulate; [`Fault::None`] ends it.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// Announces immediately that the target is draining, and refuses new
    /// requests with the verdict `not-run`.
    pub fn drain(&self) {
        self.shared.drain();
    }

    /// Stops announcing and serving; running requests are cancelled.
    pub async fn stop(self) {
        self.server.stop(false).await;
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        if let Some(announcer) = &self.announcer {
            announcer.abort();
        }
        // Calling `stop` sends the command; nothing can await its result here.
        drop(self.server.stop(false));
    }
}
