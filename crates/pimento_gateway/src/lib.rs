//! HTTP gateway for routed requests: accepts callers' requests and forwards them to targets.
//!
//! For each request, [`Gateway`] acquires a permit through `pimento_fleet`,
//! sends the request straight to the target, and passes the response on. If the
//! response can't be delivered completely, its framing shows that it is
//! truncated. Header names come from [`HeaderNames`]. The crate uses hyper
//! directly instead of `actix-web` and `awc`, because the same code must see
//! when a caller disconnects, when a target sends more than its response, and
//! how much of a request was sent. See `docs/design/gateway.md`.

mod attempt;
mod break_cause;
mod crash_probes;
mod gateway;
mod handler;
mod header_names;
mod headers;
mod inbound;
mod link_usage;
mod log_limiter;
mod metrics;
mod notices;
mod open_requests;
mod permits;
mod poison;
mod poison_calls;
mod pool;
mod refusals;
mod response;
mod retry_budgets;
mod server;
mod shutdown;
mod target_stream;
mod transfer;

pub use gateway::{Gateway, GatewayConfig};
pub use header_names::HeaderNames;
pub use poison_calls::poison_call;
pub use response::{BoxError, GatewayResponse, ResponseBody, plain_text, text_response};
pub use retry_budgets::RetryBudgetConfig;
pub use server::{ConnectionLimits, serve};
pub use shutdown::GracefulShutdown;
