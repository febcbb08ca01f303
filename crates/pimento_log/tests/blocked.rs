//! Logging never blocks, even if the writer does.

use pimento_log::{Event, event, root_to};
use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// A writer that blocks until the sender of its gate is dropped, like a pipe that
/// nobody reads.
struct BlockedWriter {
    gate: std::sync::mpsc::Receiver<()>,
    written: Arc<AtomicUsize>,
}

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Returns an error once the sender is dropped, which opens the gate.
        self.gate.recv().unwrap_or_default();
        self.written.fetch_add(buf.len(), Ordering::Relaxed);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_writer() {
    let (gate_sender, gate) = std::sync::mpsc::channel();
    let written = Arc::new(AtomicUsize::new(0));
    let writer = BlockedWriter {
        gate,
        written: Arc::clone(&written),
    };
    let log = root_to("vm", writer);
    // Far more lines than the queue holds; a blocking logger would never return.
    for line in 0..10_000 {
        event!(log, Event::VmStarted, "line" => line);
    }
    assert_eq!(written.load(Ordering::Relaxed), 0);
    drop(gate_sender);
    drop(log);
    assert!(
        written.load(Ordering::Relaxed) > 0,
        "the queued lines are written"
    );
}
