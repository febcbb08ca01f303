//! Structured logs with numbered events.
//!
//! Every log line has the number of its event; `docs/EVENTS.md` lists all events.
//! To log one, write `event!(log, Event::VmStarted, "vm" => %name)`.

mod event;
mod root;

pub use event::Event;
pub use root::{discard, root, root_to};
pub use slog::Logger;

/// Logs a numbered event with its level, number, name and fields.
#[macro_export]
macro_rules! event {
    ($log:expr, $event:expr $(, $($rest:tt)*)?) => {{
        const EVENT: $crate::Event = $event;
        $crate::__slog::log!(
            $log, EVENT.level(), "", "{}", EVENT.text();
            "event" => EVENT.number() $(, $($rest)*)?
        )
    }};
}

#[doc(hidden)]
pub use slog as __slog;
