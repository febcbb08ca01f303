//! The HTTP path of routed requests: callers on one side, targets on the other.
//!
//! [`Gateway`] takes a caller's request, has a place granted by
//! `pimento_fleet`, sends the request straight to the target, and gives the
//! answer back whole or breaks it off visibly. Names of headers come from a
//! [`Dialect`]. HTTP itself is hyper's, in the place of `actix-web` and `awc`:
//! here the same code must see when a caller leaves, when a target sends more
//! than its answer, and what of a request was sent. See
//! `docs/design/gateway.md`.

mod accept;
mod answer;
mod attempt;
mod budgets;
mod course;
mod dialect;
mod gateway;
mod headers;
mod inbound;
mod lines;
mod metrics;
mod placing;
mod pool;
mod stop;
mod traffic;

pub use accept::{Idle, serve};
pub use answer::{Answer, BoxError, ResponseBody, plain, text};
pub use budgets::Repeats;
pub use dialect::Dialect;
pub use gateway::{Gateway, GatewayConfig};
pub use stop::Stop;
