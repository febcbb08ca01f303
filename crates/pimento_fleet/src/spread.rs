//! News that are repeated until every VM in reach has them.

use crate::message::{Announce, Body};
use pimento_core::Time;
use pimento_registry::Target;
use std::{net::SocketAddr, time::Duration};

/// The time after which unacknowledged news are sent again.
const AGAIN: Duration = Duration::from_millis(120);
/// How long news are repeated; what a VM misses for longer it gets when it
/// compares its targets with a control VM's.
const LIMIT: Duration = Duration::from_secs(6);

/// News under way.
#[derive(Clone, Debug)]
struct News {
    number: u64,
    target: Target,
    since: Time,
    due: Time,
    /// The entry VMs that have not acknowledged.
    entries: Vec<SocketAddr>,
    /// The control VMs that have not acknowledged.
    controls: Vec<SocketAddr>,
    /// The acknowledgements of control VMs that are still needed.
    needed: usize,
    /// Whether somebody waits for them to be known.
    wanted: bool,
}

/// News that are repeated until every VM in reach has them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Spread {
    news: Vec<News>,
    serial: u64,
}

/// Who must hear news.
#[derive(Clone, Debug)]
pub(crate) struct Audience {
    pub entries: Vec<SocketAddr>,
    pub controls: Vec<SocketAddr>,
    /// How many of the control VMs must have acknowledged.
    pub needed: usize,
}

impl Spread {
    /// Begins to spread news; the number that tells when they are known.
    pub(crate) fn begin(&mut self, now: Time, target: Target, audience: Audience) -> u64 {
        self.serial += 1;
        self.news.push(News {
            number: self.serial,
            target,
            since: now,
            due: now,
            entries: audience.entries,
            controls: audience.controls,
            needed: audience.needed,
            wanted: true,
        });
        self.serial
    }

    /// News of the same content that are still under way.
    pub(crate) fn pending(&self, target: &Target) -> Option<u64> {
        let same = |n: &&News| {
            let (a, b) = (&n.target, target);
            a.id == b.id && a.incarnation == b.incarnation && a.stage == b.stage && n.wanted
        };
        self.news.iter().find(same).map(|n| n.number)
    }

    /// Notes an acknowledgement.
    pub(crate) fn heard(&mut self, from: &SocketAddr, number: u64) {
        let Some(news) = self.news.iter_mut().find(|n| n.number == number) else {
            return;
        };
        let before = news.controls.len();
        news.controls.retain(|a| a != from);
        news.needed = news.needed.saturating_sub(before - news.controls.len());
        news.entries.retain(|a| a != from);
    }

    /// No longer waits for VMs that are lost.
    pub(crate) fn excuse(&mut self, lost: impl Fn(&SocketAddr) -> bool) {
        for news in &mut self.news {
            news.entries.retain(|a| !lost(a));
        }
    }

    /// The news that are known since the last call.
    pub(crate) fn known(&mut self) -> Vec<(u64, Target)> {
        let mut known = Vec::new();
        for news in &mut self.news {
            if news.wanted && news.entries.is_empty() && news.needed == 0 {
                news.wanted = false;
                known.push((news.number, news.target.clone()));
            }
        }
        self.news.retain(|n| n.wanted || !n.controls.is_empty());
        known
    }

    /// What is to be sent now.
    pub(crate) fn due(&mut self, now: Time) -> Vec<(SocketAddr, Body)> {
        self.news.retain(|n| now.since(n.since) < LIMIT);
        let mut sent = Vec::new();
        for news in self.news.iter_mut().filter(|n| n.due <= now) {
            news.due = now + AGAIN;
            let announce = Announce {
                number: news.number,
                targets: vec![news.target.clone()],
            };
            let all = news.entries.iter().chain(&news.controls);
            sent.extend(all.map(|to| (*to, Body::Announce(announce.clone()))));
        }
        sent
    }
}
