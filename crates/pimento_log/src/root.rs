//! The root logger of a process.

use slog::{Drain, Logger, o};

/// Creates a logger that writes one JSON object per line to standard error.
pub fn root(vm: &str) -> Logger {
    root_to(vm, std::io::stderr())
}

/// Creates a logger that writes one JSON object per line to `writer`.
///
/// A separate thread writes the lines from a bounded queue. While the queue is
/// full, lines are dropped and counted, so that logging never blocks.
pub fn root_to(vm: &str, writer: impl std::io::Write + Send + 'static) -> Logger {
    let json = slog_json::Json::default(writer).fuse();
    let drain = slog_async::Async::new(json)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("vm" => vm.to_owned()))
}

/// Creates a logger that discards everything, for tests and benches.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
