//! What the caller of the state machine has to do.

use crate::Message;
use pimento_core::VmId;
use std::{net::SocketAddr, sync::Arc};

/// An action that the caller has to carry out, or a change that it may log.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to the link address of a VM; it may be lost.
    Send {
        /// The link address.
        to: SocketAddr,
        /// The message; all receivers share one allocation.
        message: Arc<Message>,
    },
    /// A VM of the failure domain has joined, come back or restarted.
    Alive(VmId),
    /// A VM of the failure domain was declared dead.
    Dead(VmId),
    /// A VM of the failure domain has left in a graceful shutdown.
    Left(VmId),
    /// Another VM has newer rules, which this VM should fetch.
    ///
    /// Repeated for each message with a newer version, so a failed fetch is
    /// retried.
    NewerRules {
        /// The newer version.
        version: u64,
        /// The VM that has them.
        vm: VmId,
        /// Its link address.
        link: SocketAddr,
    },
}
