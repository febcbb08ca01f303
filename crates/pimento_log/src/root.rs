//! The root logger of a process.

use slog::{Drain, Logger, o};

/// Creates a logger that writes one JSON object a line to standard error.
pub fn root(vm: &str) -> Logger {
    let json = slog_json::Json::default(std::io::stderr()).fuse();
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
