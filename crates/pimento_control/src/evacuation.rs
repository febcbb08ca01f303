//! Orders to evacuate a failure domain.

use crate::{Control, ControlError, Fault, Propose, View};
use actix::{Addr, MailboxError};
use pimento_state::{Command, Effect, Evacuate, Op};
use tokio::task::yield_now;

/// How often an order that another one has overtaken is proposed. Operators seldom
/// send two for one domain at the same time.
const MAX_ATTEMPTS: usize = 4;

/// Begins or ends the evacuation of a failure domain.
///
/// Operators send one order after the other, but an order has no version, and it may
/// lie in a process that stands still until its sender has given up and sent others.
/// So it is tied to the last order before it, as a quorum knows it after the call has
/// arrived, and has no effect if another one comes in between.
///
/// The caller must drop the future once the sender has gone: an order whose sender has
/// left by the time of that read is not proposed.
///
/// # Errors
///
/// Returns a [`ControlError`] whose verdict says whether the order may have been
/// carried out.
pub async fn order_evacuation(
    replica: &Addr<Control>,
    domain: &str,
    on: bool,
) -> Result<(), ControlError> {
    for _ in 0..MAX_ATTEMPTS {
        let name = domain.to_owned();
        let last_order = View::new(move |state| state.catalog().evacuation_index(&name));
        let last_order = replica.send(last_order).await.map_err(stopped)??;
        // The server reads from its sockets before it polls this future again, and
        // drops it if the sender has left.
        yield_now().await;
        let op = Op::Evacuate(Evacuate {
            domain: domain.to_owned(),
            on,
            last_order: Some(last_order),
        });
        // Only ledger operations use the command's time.
        let command = Command::new(0, op);
        let outcome = replica.send(Propose { command }).await.map_err(stopped)??;
        let overtaken = matches!(outcome.effect, Some(Effect::Evacuation(e)) if e.overtaken);
        if !overtaken {
            return Ok(());
        }
    }
    Err(ControlError::not_run(Fault::Superseded))
}

/// The replica has stopped, and may have proposed before.
fn stopped(_: MailboxError) -> ControlError {
    ControlError::may_have_run(Fault::NoLeader)
}
