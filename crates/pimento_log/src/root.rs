//! The root logger of a process.

use slog::{Drain, Logger, o};

/// Creates a logger that writes one JSON object a line to standard error.
pub fn root(vm: &str) -> Logger {
    root_to(vm, std::io::stderr())
}

/// Creates a logger that writes one JSON object a line.
///
/// Lines wait in a bounded queue for a thread that writes them; while it is
/// full they are dropped and counted, so that nothing waits for the writer.
pub fn root_to(vm: &str, writer: impl std::io::Write + Send + 'static) -> Logger {
    let json = slog_json::Json::default(writer).fuse();
    let drain = slog_async::Async::new(json)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("vm" => vm.to_owned()))
}

/// Creates a logger that writes nothing, for tests and benches.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
