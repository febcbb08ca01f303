//! Requests that crash targets: which ones this VM refuses, and what it reports of
//! them.

use crate::{GatewayResponse, gateway::Inner, refusals};
use pimento_fleet::PoisonReport;
use pimento_log::{Event, event};
use pimento_poison::{Fingerprint, Verdict};

impl Inner {
    /// The verdict on a request, if one is open. The fingerprint is only asked for
    /// while any request has one.
    pub(crate) fn verdict(&self, request: impl FnOnce() -> Fingerprint) -> Option<Verdict> {
        let view = self.shared.load();
        if view.verdicts.is_empty() {
            return None;
        }
        view.verdict(request())
    }

    /// Refuses a request that crashes targets. `id` names its caller's attempt.
    pub(crate) fn refuse_poison(&self, id: &str, request: Fingerprint) -> GatewayResponse {
        self.fleet.do_send(PoisonReport::Refused(request));
        if let Some(dropped) = self.may_log(true) {
            event!(self.log, Event::RequestBarred, "id" => id, "request" => %request,
                "dropped" => dropped);
        }
        refusals::poison()
    }

    /// Reports that a target answered a request completely.
    pub(crate) fn record_answer(&self, request: Fingerprint) {
        self.fleet.do_send(PoisonReport::Answered(request));
    }
}
