//! Where callers and requests go.

use super::{Hop, Lookup, Node, Route};
use crate::callers::LookupReply;
use actix::prelude::*;

impl Handler<Lookup> for Node {
    type Result = Option<LookupReply>;

    fn handle(&mut self, msg: Lookup, _ctx: &mut Self::Context) -> Self::Result {
        let service = self.rules.service(&msg.service)?;
        Some(LookupReply {
            version: self.rules.version,
            ttl_ms: u64::from(service.ttl),
            entries: self.settings.listen.callers.into_iter().collect(),
            stale: false,
        })
    }
}

impl Handler<Route> for Node {
    type Result = Option<Hop>;

    fn handle(&mut self, msg: Route, _ctx: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let has = self
            .leases
            .held(now)
            .any(|view| *view.service == msg.service);
        (msg.local && has).then_some(Hop::Local)
    }
}
