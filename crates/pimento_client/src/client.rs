//! The configuration of an HTTP client.

use crate::StrictSocket;
use actix_service::fn_service;
use actix_tls::connect::{ConnectInfo, Connector as TcpConnector};
use awc::{Client, Connector, http::Uri};
use std::time::Duration;

/// The configuration of an HTTP client and its connection pool.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// The timeout for the head of a response; `None` disables it.
    pub response_timeout: Option<Duration>,
    /// How long an idle connection is kept; with zero, each request uses a new
    /// connection.
    pub keep_alive: Duration,
    /// The maximum number of connections at a time; zero means no limit.
    pub max_connections: usize,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            response_timeout: Some(Duration::from_secs(5)),
            keep_alive: Duration::from_secs(15),
            max_connections: 1_024,
        }
    }
}

impl ClientConfig {
    /// Builds the client. Clients are not shared between threads, so each thread
    /// builds its own.
    pub fn build(&self) -> Client {
        let tcp = TcpConnector::default().service();
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let connected = actix_service::Service::call(&tcp, info);
            async move {
                let (stream, connection) = connected.await?.replace_io(());
                let ((), connection) = connection.replace_io(StrictSocket::new(stream));
                Ok(connection)
            }
        });
        let connector = Connector::new()
            .timeout(self.connect_timeout)
            .conn_keep_alive(self.keep_alive)
            .limit(self.max_connections)
            .connector(connect);
        let builder = Client::builder().connector(connector).disable_redirects();
        match self.response_timeout {
            Some(timeout) => builder.timeout(timeout).finish(),
            None => builder.disable_timeout().finish(),
        }
    }
}
