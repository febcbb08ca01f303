//! Settings of a client and its connections.

use crate::Socket;
use actix_service::fn_service;
use actix_tls::connect::{ConnectInfo, Connector as TcpConnector};
use awc::{Client, Connector, http::Uri};
use std::time::Duration;

/// The settings of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// The longest wait for a connection.
    pub connect: Duration,
    /// The longest wait for the head of an answer; none waits for ever.
    pub timeout: Option<Duration>,
    /// How long an idle connection is kept; zero keeps none, so that each
    /// request has a new connection.
    pub idle: Duration,
    /// The most connections at a time.
    pub limit: usize,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            timeout: Some(Duration::from_secs(5)),
            idle: Duration::from_secs(15),
            limit: 1_024,
        }
    }
}

impl ClientConfig {
    /// Builds the client; each thread needs its own.
    pub fn build(&self) -> Client {
        let tcp = TcpConnector::default().service();
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let connected = actix_service::Service::call(&tcp, info);
            async move {
                let (stream, connection) = connected.await?.replace_io(());
                let ((), connection) = connection.replace_io(Socket::new(stream));
                Ok(connection)
            }
        });
        let connector = Connector::new()
            .timeout(self.connect)
            .conn_keep_alive(self.idle)
            .limit(self.limit)
            .connector(connect);
        let builder = Client::builder().connector(connector).disable_redirects();
        match self.timeout {
            Some(timeout) => builder.timeout(timeout).finish(),
            None => builder.disable_timeout().finish(),
        }
    }
}
