//! What operators see of this VM.

use super::{GetStatus, Node, NodeStatus, TargetStatus};
use actix::prelude::*;

impl Handler<GetStatus> for Node {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _msg: GetStatus, _ctx: &mut Self::Context) -> Self::Result {
        let targets = self.leases.held(self.now()).map(|view| TargetStatus {
            target: view.target.clone(),
            service: view.service.clone(),
            address: view.address,
            state: view.state,
            slots: view.slots,
            used: self.admit.in_use(view.target),
            carried: view.carried,
            epoch: view.epoch,
        });
        MessageResult(NodeStatus {
            vm: self.settings.vm.clone(),
            region: self.settings.region.clone(),
            domain: self.settings.domain.clone(),
            version: self.rules.version,
            stopping: self.stopping,
            targets: targets.collect(),
        })
    }
}
