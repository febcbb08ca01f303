//! Nothing waits for a writer that takes nothing.

use pimento_log::{Event, event, root_to};
use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Takes nothing until its gate is dropped, as a reader that never reads.
struct Blocked {
    gate: std::sync::mpsc::Receiver<()>,
    taken: Arc<AtomicUsize>,
}

impl Write for Blocked {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // The gate opens by being dropped.
        self.gate.recv().unwrap_or_default();
        self.taken.fetch_add(buf.len(), Ordering::Relaxed);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn nobody_reads() {
    let (open, gate) = std::sync::mpsc::channel();
    let taken = Arc::new(AtomicUsize::new(0));
    let writer = Blocked {
        gate,
        taken: Arc::clone(&taken),
    };
    let log = root_to("vm", writer);
    // Far more lines than wait for the writer; a logger that waited would never
    // come back.
    for line in 0..10_000 {
        event!(log, Event::VmStarted, "line" => line);
    }
    assert_eq!(taken.load(Ordering::Relaxed), 0);
    drop(open);
    drop(log);
    assert!(
        taken.load(Ordering::Relaxed) > 0,
        "what had waited is written"
    );
}
