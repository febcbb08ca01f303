//! Spreads what is known of requests that crash targets.
//!
//! An entry VM reports a crash to all control VMs and to the entry VMs of its
//! failure domain, so that each of them can decide while others are down or cut
//! off. Verdicts reach the other entry VMs through the control VM that they follow,
//! and with the digest in each full heartbeat: a process that lacks some gets them
//! then. See `docs/design/poison.md`.

use crate::{
    Effect, Fleet, Role,
    fleet::send,
    message::{Body, CrashReport, Rulings, ruling_from_message, ruling_message},
};
use pimento_core::Time;
use pimento_poison::{Decision, Fingerprint, Ruling, Verdict};
use std::{net::SocketAddr, sync::Arc, time::Duration};

impl Fleet {
    /// Reports that a target, identified by the hash of its name and incarnation,
    /// crashed while it had these requests of this VM. Those that another target
    /// answered lately are not to blame.
    pub fn report_crash(
        &mut self,
        now: Time,
        incarnation: u64,
        requests: &[Fingerprint],
        age: Duration,
    ) {
        let suspects = requests.iter().copied();
        let suspects = suspects.filter(|r| !self.recent_answers.contains(now, *r));
        let suspects: Vec<_> = suspects.collect();
        self.record_crash(now, incarnation, &suspects, age);
        let receivers = self.deciding_vms();
        self.crash_reports
            .start(now, incarnation, &suspects, now - age, receivers);
    }

    /// Reports that a target answered a request of this VM completely, so that it is
    /// no poison request.
    pub fn report_answer(&mut self, now: Time, request: Fingerprint) -> Vec<Effect> {
        self.recent_answers.record(now, request);
        let is_open = self.judge.verdict(request).is_some_and(Verdict::is_open);
        if is_open {
            self.acquit_request(now, request)
        } else {
            Vec::new()
        }
    }

    /// Acquits a request, as its answer does or an operator who lifts its refusal.
    pub fn acquit_request(&mut self, now: Time, request: Fingerprint) -> Vec<Effect> {
        let decision = self.judge.acquit(now, request);
        self.publish_decisions(now, decision.as_slice())
    }

    /// The verdicts that this process knows, sorted by request.
    pub fn rulings(&self, now: Time) -> Vec<Ruling> {
        self.judge.rulings(now)
    }

    /// Reports that a refused request came again, so that it is not forgotten.
    pub fn renew_refusal(&mut self, now: Time, request: Fingerprint) -> Vec<Effect> {
        let ruling = self.judge.renew(now, request);
        ruling.map_or_else(Vec::new, |ruling| self.push_rulings(now, &[ruling]))
    }

    /// Sends reports that are due, decides, and forgets what is old.
    pub(crate) fn tick_poison(&mut self, now: Time) -> Vec<Effect> {
        let due = self.crash_reports.take_due(now);
        let mut effects: Vec<_> = due.into_iter().map(|(to, body)| send(to, body)).collect();
        let decisions = self.judge.decide(now);
        effects.extend(self.publish_decisions(now, &decisions));
        effects
    }

    pub(crate) fn expire_poison(&mut self, now: Time) -> Vec<Effect> {
        if self.judge.expire(now) {
            self.update_open_verdicts()
        } else {
            Vec::new()
        }
    }

    pub(crate) fn handle_crash_report(
        &mut self,
        now: Time,
        from: SocketAddr,
        report: &CrashReport,
    ) -> Vec<Effect> {
        let requests = report.requests.iter();
        let requests = requests.filter_map(|r| Fingerprint::from_bytes(&r.fingerprint));
        let requests: Vec<_> = requests.collect();
        let age = Duration::from_millis(report.age_ms);
        self.record_crash(now, report.incarnation, &requests, age);
        vec![send(from, Body::CrashReportAck(report.id))]
    }

    pub(crate) fn handle_rulings(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: &Rulings,
    ) -> Vec<Effect> {
        let rulings = message.rulings.iter().filter_map(ruling_from_message);
        let rulings: Vec<Ruling> = rulings.collect();
        let news = self.judge.merge(now, &rulings);
        let mut effects = self.publish_decisions(now, &news);
        if message.complete {
            let missing = self.judge.missing(now, &rulings);
            if !missing.is_empty() {
                effects.push(rulings_message(from, &missing, false));
            }
        }
        effects
    }

    /// Sends all verdicts to a process whose digest of them differs; it replies
    /// with those that are missing here.
    pub(crate) fn compare_verdicts(
        &self,
        now: Time,
        to: SocketAddr,
        digest: u64,
    ) -> Option<Effect> {
        let differs = digest != self.judge.digest();
        differs.then(|| rulings_message(to, &self.judge.rulings(now), true))
    }

    fn record_crash(
        &mut self,
        now: Time,
        incarnation: u64,
        requests: &[Fingerprint],
        age: Duration,
    ) {
        self.judge.record_end(now, incarnation, age);
        for request in requests {
            self.judge.record_crash(now, incarnation, *request, age);
        }
    }

    /// The processes that decide by the crash reports of this one.
    fn deciding_vms(&self) -> Vec<SocketAddr> {
        let local = self.config.local.socket_addr();
        let entries = self.members.with_role(Role::Entry);
        let near = entries.filter(|n| n.info.domain == self.config.local.domain);
        let near = near.map(|n| n.address).filter(|a| Some(*a) != local);
        self.control_addresses().chain(near).collect()
    }

    /// Applies decisions here and passes them on: an entry VM to those that decide,
    /// a control VM to its followers.
    fn publish_decisions(&mut self, now: Time, decisions: &[Decision]) -> Vec<Effect> {
        if decisions.is_empty() {
            return Vec::new();
        }
        let rulings: Vec<_> = decisions.iter().map(|d| d.ruling).collect();
        let mut effects = self.update_open_verdicts();
        effects.extend(self.push_rulings(now, &rulings));
        effects.extend(decisions.iter().copied().map(Effect::Ruled));
        let watched = rulings.iter().filter(|r| r.verdict == Verdict::Watched);
        for ruling in watched {
            if self.recent_answers.contains(now, ruling.request) {
                effects.extend(self.acquit_request(now, ruling.request));
            }
        }
        effects
    }

    fn push_rulings(&self, now: Time, rulings: &[Ruling]) -> Vec<Effect> {
        let receivers = match self.config.local.role() {
            Role::Entry => self.deciding_vms(),
            Role::Control => {
                let followers = self.followers(now).map(|n| n.address);
                followers.chain(self.silent_entries(now)).collect()
            }
        };
        let messages = receivers.into_iter();
        messages
            .map(|to| rulings_message(to, rulings, false))
            .collect()
    }

    fn update_open_verdicts(&mut self) -> Vec<Effect> {
        self.open_verdicts = Arc::from(self.judge.open_verdicts());
        vec![Effect::ViewChanged]
    }
}

fn rulings_message(to: SocketAddr, rulings: &[Ruling], complete: bool) -> Effect {
    let rulings = rulings.iter().map(ruling_message).collect();
    send(to, Body::Rulings(Rulings { rulings, complete }))
}
