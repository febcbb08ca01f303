//! Writes of the replica's log, failed ones, and the end of the replica.

use crate::{Control, log_writer::LogWriter};
use actix::prelude::*;
use pimento_log::{Event, event};
use pimento_storage::StoreError;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long after a failed write the whole log is written again. It is a fraction
/// of the time in which a replica that was away has to catch up.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a replica takes part in the group. One that doesn't is as if frozen: it
/// handles no messages, and acknowledges nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Health {
    Working,
    /// A write failed, and the whole log has to be written again.
    DiskFailed,
    /// The process stops, or the replica can't go on without another process.
    Stopped,
}

impl Control {
    /// Starts writing the pending writes, unless a write is in progress.
    pub(crate) fn flush_writes(&mut self, ctx: &mut Context<Self>) {
        if self.pending_writes.is_empty() || !self.is_working() {
            return;
        }
        let Some(log_writer) = self.log_writer.take() else {
            return;
        };
        let writes = std::mem::take(&mut self.pending_writes);
        self.spawn_write(ctx, log_writer, |log_writer| log_writer.write(writes));
    }

    /// Runs a write on a blocking thread.
    fn spawn_write(
        &mut self,
        ctx: &mut Context<Self>,
        mut log_writer: LogWriter,
        write: impl FnOnce(&mut LogWriter) -> Result<u64, StoreError> + Send + 'static,
    ) {
        self.is_writing = true;
        let task = actix_rt::task::spawn_blocking(move || {
            let result = write(&mut log_writer);
            (log_writer, result)
        });
        let task = task.into_actor(self).map(|finished, control, ctx| {
            control.is_writing = false;
            if let Ok((log_writer, result)) = finished {
                control.write_finished(log_writer, result, ctx);
            } else {
                control.stop_working("the log writer thread panicked");
            }
        });
        ctx.spawn(task);
    }

    fn write_finished(
        &mut self,
        log_writer: LogWriter,
        result: Result<u64, StoreError>,
        ctx: &mut Context<Self>,
    ) {
        if let Some(stop_sender) = self.stop_sender.take() {
            drop(log_writer);
            // The receiver may have been dropped; the folder is closed anyway.
            stop_sender.send(()).unwrap_or_default();
            return;
        }
        self.log_writer = Some(log_writer);
        match (self.health, result) {
            (Health::Stopped, _) => {}
            (health, Ok(seq)) => {
                if health == Health::DiskFailed {
                    event!(self.log, Event::StoreRecovered);
                }
                self.health = Health::Working;
                let effects = self.raft.record_synced(self.now(), seq);
                self.run_effects(effects, ctx);
            }
            (health, Err(e)) => {
                if health == Health::Working {
                    event!(self.log, Event::StoreFailed, "reason" => %e);
                }
                self.health = Health::DiskFailed;
                self.fail_waiters();
                ctx.run_later(DISK_RETRY_INTERVAL, Self::rebuild_log);
            }
        }
    }

    /// Writes the whole log again after a failed write. The write supersedes those
    /// that wait.
    fn rebuild_log(&mut self, ctx: &mut Context<Self>) {
        if self.health == Health::Stopped {
            return;
        }
        let Some(log_writer) = self.log_writer.take() else {
            return;
        };
        self.pending_writes.clear();
        let write = self.raft.rewrite();
        self.spawn_write(ctx, log_writer, |log_writer| log_writer.rebuild(write));
    }

    /// Stops the replica. The returned receiver completes once the data folder is
    /// closed.
    pub(crate) fn shut_down(&mut self) -> oneshot::Receiver<()> {
        let (stop_sender, stopped) = oneshot::channel();
        self.log_writer = None;
        self.health = Health::Stopped;
        self.fail_waiters();
        if self.is_writing {
            self.stop_sender = Some(stop_sender);
        }
        stopped
    }

    /// Ends the replica's part in the group until the process restarts.
    pub(crate) fn stop_working(&mut self, reason: &str) {
        event!(self.log, Event::StoreFailed, "reason" => reason);
        self.health = Health::Stopped;
        self.fail_waiters();
    }

    pub(crate) fn is_working(&self) -> bool {
        self.health == Health::Working
    }
}
