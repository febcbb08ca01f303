//! The signals that a process handles.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Request {
    /// A graceful stop: SIGTERM or SIGINT.
    Stop,
    /// To read the settings again: SIGHUP.
    Reload,
}

/// The signals that a process handles.
///
/// A signal that arrives before its handler is installed ends the process, so a
/// process installs the handlers before anything else.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Installs the signal handlers on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if a handler can't be installed.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            hup: signal(SignalKind::hangup())?,
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal, which may have arrived since the handlers were
    /// installed.
    pub async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.term.recv() => Request::Stop,
            _ = self.int.recv() => Request::Stop,
            _ = self.hup.recv() => Request::Reload,
        }
    }
}
