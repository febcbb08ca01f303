//! What the shell has to do.

use crate::Message;
use pimento_core::VmId;
use std::{net::SocketAddr, sync::Arc};

/// An effect of membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to the link address of a VM; it may be lost.
    Send {
        /// The link address.
        to: SocketAddr,
        /// The message, shared by all its receivers.
        message: Arc<Message>,
    },
    /// A VM of the failure domain is alive, is alive again or has restarted.
    Alive(VmId),
    /// A VM of the failure domain was declared dead.
    Dead(VmId),
    /// A VM of the failure domain has stopped as planned.
    Left(VmId),
    /// Another VM has newer rules, and this one should fetch them from it.
    ///
    /// It comes again with each message that shows so.
    NewerRules {
        /// The version of the other VM's rules.
        version: u64,
        /// The VM that has them.
        vm: VmId,
        /// Its link address.
        link: SocketAddr,
    },
}
