//! The pure core.

use crate::{
    Effect, FleetConfig, NodeInfo, Role, Stage, TargetInfo, View,
    asks::Asks,
    effect::Outgoing,
    members::{Members, digest},
    message::{Alive, Beat, Body, DonePlace, Items, Targets},
    parts::Assembly,
    spread::{Audience, Spread},
};
use pimento_broker::{Broker, Place, TargetView};
use pimento_core::{Time, hash};
use pimento_items::{Catalog, RouteTable};
use pimento_registry::{Registry, Taken, Target};
use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

/// How often a process shows that it lives.
const BEAT: Duration = Duration::from_millis(500);
/// How often a process asks that does not know enough to serve.
const FIRST_BEATS: Duration = Duration::from_millis(100);
/// How long a process that did not answer is left out.
const SUSPICION: Duration = Duration::from_secs(2);
/// How long a process that asked what it lacks is told of changes at once.
const FOLLOWING: Duration = Duration::from_millis(1_600);
/// How long items are on their way before they are sent again.
const RESEND: Duration = Duration::from_millis(450);
/// How long a process lacks items until control VMs send them that it doesn't
/// follow.
const LAG: Duration = Duration::from_millis(600);
/// The confirmed reports that are remembered.
const CONFIRMED: usize = 1_024;

/// The processes of the system as one of them knows them, and what spreads
/// between them.
///
/// Every operation takes the time first and returns what the shell must do.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) config: FleetConfig,
    pub(crate) members: Members,
    pub(crate) registry: Registry,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) broker: Broker,
    pub(crate) spread: Spread,
    pub(crate) asks: Asks,
    pub(crate) assembly: Assembly,
    /// Processes that did not answer, and until when they are left out.
    pub(crate) suspects: Vec<(SocketAddr, Time)>,
    /// Who granted the places that requests of this process have; none for
    /// this process itself.
    pub(crate) holders: Vec<(u64, Option<SocketAddr>)>,
    /// The last places given back, by who granted them.
    pub(crate) returned: Vec<(SocketAddr, VecDeque<DonePlace>)>,
    /// Where asking processes are reached, the newest last.
    pub(crate) askers: Vec<(u64, SocketAddr)>,
    /// Whether the targets were once those of a control VM.
    pub(crate) level: bool,
    /// The digest of the newest roster.
    pub(crate) roster: u64,
    /// Reports that are known wherever they must be.
    confirmed: VecDeque<(String, u64, i32)>,
    next_beat: Time,
    /// When this control VM last got newer items.
    changed: Time,
    /// Counts the control VMs that were asked in turn.
    turn: usize,
}

impl Fleet {
    /// A process that knows nothing but its settings.
    pub fn new(config: FleetConfig) -> Self {
        Self {
            config,
            members: Members::default(),
            registry: Registry::default(),
            catalog: Arc::default(),
            broker: Broker::default(),
            spread: Spread::default(),
            asks: Asks::default(),
            assembly: Assembly::default(),
            suspects: Vec::new(),
            holders: Vec::new(),
            returned: Vec::new(),
            askers: Vec::new(),
            level: false,
            roster: 0,
            confirmed: VecDeque::new(),
            next_beat: Time::ZERO,
            changed: Time::ZERO,
            turn: 0,
        }
    }

    /// Lets time pass; call it each few tens of milliseconds.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now >= self.next_beat {
            let starting = self.config.me.stage == Stage::Starting as i32;
            self.next_beat = now + if starting { FIRST_BEATS } else { BEAT };
            self.members.forget(now);
            self.registry.forget(now);
            effects.extend(self.beats(now));
            effects.extend(self.mature());
        }
        self.suspects.retain(|(_, until)| *until > now);
        self.excuse_lost(now);
        effects.extend(self.settle_news());
        let news = self.spread.due(now);
        effects.extend(news.into_iter().map(|(to, body)| send(to, body)));
        effects.extend(self.chase(now));
        if self.broker.is_waiting() {
            let decided = self.broker.tick(now);
            effects.extend(self.broker_effects(decided));
        }
        effects
    }

    /// Whether something is under way that time must pass for.
    pub fn is_busy(&self) -> bool {
        self.broker.is_waiting() || !self.asks.is_empty() || !self.spread.is_empty()
    }

    /// Changes the settings; the processes known stay known.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.config.seeds = seeds;
    }

    /// Notes how far this process has come and tells the others.
    pub fn set_stage(&mut self, now: Time, stage: Stage) -> Vec<Effect> {
        self.config.me.stage = stage as i32;
        if stage == Stage::Gone {
            let bye = Body::Bye(self.config.me.process);
            let controls = self.controls();
            return controls.map(|to| send(to, bye.clone())).collect();
        }
        let mut effects = self.beats(now);
        effects.push(Effect::Changed);
        effects
    }

    /// Takes the items that this control VM has applied.
    pub fn set_catalog(&mut self, now: Time, catalog: Arc<Catalog>) -> Vec<Effect> {
        self.catalog = catalog;
        self.changed = now;
        let effects: Vec<_> = self
            .followers(now)
            .map(|n| (n.address, n.revision))
            .collect();
        let mut effects: Vec<_> = effects
            .into_iter()
            .filter_map(|(to, revision)| self.items_for(now, to, revision))
            .collect();
        effects.push(Effect::Changed);
        effects
    }

    /// Takes a target's own report.
    ///
    /// Returns the number of the [`Effect::Known`] to wait for before a report
    /// of a drain is acknowledged; none if it is known where it must be.
    pub fn report(&mut self, now: Time, target: &Target) -> (Option<u64>, Vec<Effect>) {
        let taken = self.registry.take(now, target);
        let Some(held) = self.registry.sent(now, &target.id) else {
            return (None, Vec::new());
        };
        if held.born > target.born {
            return (None, Vec::new());
        }
        let mut effects = Vec::new();
        if taken == Taken::News {
            effects.push(Effect::Changed);
        }
        let binding = held.stage > pimento_registry::Stage::Ready as i32;
        if taken == Taken::Known && (!binding || self.is_confirmed(&held)) {
            return (None, effects);
        }
        let pending = self.spread.pending(&held);
        let ticket = pending.unwrap_or_else(|| {
            let audience = self.audience(now, binding);
            self.spread.begin(now, held.clone(), audience)
        });
        if !binding {
            effects.extend(self.tell_followers(now, vec![held]));
        }
        let news = self.spread.due(now);
        effects.extend(news.into_iter().map(|(to, body)| send(to, body)));
        effects.extend(self.settle_news());
        (binding.then_some(ticket), effects)
    }

    /// Notes that a target has ended, as [`Self::report`] does.
    pub fn leave(&mut self, now: Time, id: &str, born: Option<u64>) -> (Option<u64>, Vec<Effect>) {
        let Some(target) = self.registry.leave(now, id, born) else {
            return (None, Vec::new());
        };
        let (ticket, mut effects) = self.report(now, &target);
        effects.push(Effect::Changed);
        (ticket, effects)
    }

    /// Where callers of a failure domain are to go.
    pub fn entries(&self, now: Time, domain: &str) -> Vec<SocketAddr> {
        let region = self.config.region(domain);
        let ready = self.alive(now).filter(|n| n.is(Role::Entry) && n.ready());
        let ready: Vec<_> = ready.collect();
        let near = ready.iter().filter(|n| n.info.domain == domain);
        let same_region = |n: &&&crate::Node| self.config.region(&n.info.domain) == region;
        let regional = ready.iter().filter(same_region);
        let choices = [
            near.copied().collect::<Vec<_>>(),
            regional.copied().collect(),
            ready.clone(),
        ];
        let chosen = choices.into_iter().find(|nodes| !nodes.is_empty());
        let nodes = chosen.unwrap_or_default();
        let callers = nodes.iter().filter_map(|n| n.info.callers.parse().ok());
        callers.collect()
    }

    /// The processes that this one knows of.
    pub fn nodes(&self, now: Time) -> Vec<crate::Node> {
        self.alive(now).cloned().collect()
    }

    /// What requests are decided by.
    pub fn view(&self) -> View {
        let mut view = View {
            catalog: Arc::clone(&self.catalog),
            routes: Arc::new(RouteTable::new(&self.catalog)),
            vms: self.entry_count(),
            ready: self.config.me.stage == Stage::Ready as i32,
            ..View::default()
        };
        for target in self.usable() {
            let Ok(address) = target.address.parse() else {
                continue;
            };
            let service: Arc<str> = Arc::from(target.service.as_str());
            self.add_place(&mut view, &service, target);
            view.targets.push(TargetInfo {
                id: Arc::from(target.id.as_str()),
                address,
                service,
            });
        }
        view
    }

    /// The entry VMs that serve, this one included.
    fn entry_count(&self) -> usize {
        let others = self.members.of(Role::Entry).filter(|n| n.ready()).count();
        let me = &self.config.me;
        let own = me.role() == Role::Entry && me.stage() == Stage::Ready;
        others + usize::from(own)
    }

    /// Hands the broker what is known of all targets.
    pub(crate) fn refresh_broker(&mut self, now: Time) -> Vec<Effect> {
        let views = self
            .registry
            .living()
            .map(|t| self.target_view(t))
            .collect();
        let decided = self.broker.set_targets(now, views);
        self.broker_effects(decided)
    }

    fn target_view(&self, target: &Target) -> TargetView {
        let service = self.catalog.service(&target.service);
        let rate = service.map_or(0.0, |s| f64::from(s.cold_rate) / 1_000.0);
        let ready = target.stage == pimento_registry::Stage::Ready as i32;
        TargetView {
            id: Arc::from(target.id.as_str()),
            seed: hash::fnv([target.id.as_bytes(), &target.born.to_le_bytes()]),
            service: Arc::from(target.service.as_str()),
            domain: Arc::from(target.domain.as_str()),
            slots: target.slots,
            open: ready && !self.catalog.evacuated(&target.domain),
            cold_until: self.registry.cold_until(&target.id),
            cold_rate: rate,
        }
    }

    /// The targets that may get requests, sorted by name.
    fn usable(&self) -> impl Iterator<Item = &Target> {
        self.registry.living().filter(|target| {
            let ready = target.stage == pimento_registry::Stage::Ready as i32;
            ready && !self.catalog.evacuated(&target.domain)
        })
    }

    fn add_place(&self, view: &mut View, service: &Arc<str>, target: &Target) {
        let Some(region) = self.config.region(&target.domain) else {
            return;
        };
        let found = view.places.binary_search_by(|(name, _)| name.cmp(service));
        let at = found.unwrap_or_else(|at| {
            view.places.insert(at, (Arc::clone(service), Vec::new()));
            at
        });
        let places = &mut view.places[at].1;
        match places.iter_mut().find(|p| *p.domain == *target.domain) {
            Some(place) => place.slots += target.slots,
            None => places.push(Place {
                domain: Arc::from(target.domain.as_str()),
                region: Arc::clone(region),
                slots: target.slots,
            }),
        }
    }

    /// The processes that were heard lately.
    pub(crate) fn alive(&self, now: Time) -> impl Iterator<Item = &crate::Node> {
        self.members.heard(now, self.config.lost)
    }

    /// The other control VMs that are known, alive or not, and the seeds.
    fn controls(&self) -> impl Iterator<Item = SocketAddr> + use<> {
        let known = self.members.of(Role::Control).map(|n| n.address);
        let me = self.config.me.socket();
        let mut all: Vec<_> = known.chain(self.config.seeds.iter().copied()).collect();
        all.sort();
        all.dedup();
        all.into_iter().filter(move |a| Some(*a) != me)
    }

    /// The control VM that this process compares what it has with: the nearest
    /// one that lives.
    fn primary(&self, now: Time) -> Option<SocketAddr> {
        let domain = &self.config.me.domain;
        let region = self.config.region(domain);
        let me = self.config.me.address.as_str();
        let live = self.alive(now).filter(|n| n.is(Role::Control));
        let nearest = live.min_by_key(|n| {
            let near = n.info.domain == *domain;
            let regional = self.config.region(&n.info.domain) == region;
            (!near, !regional, hash::weight(me, &n.info.address))
        });
        nearest.map(|n| n.address)
    }

    /// Shows the control VMs that this process lives.
    fn beats(&mut self, now: Time) -> Vec<Effect> {
        let control = self.config.me.role == Role::Control as i32;
        let followed = self.primary(now).or_else(|| self.next_control());
        let beats = self.controls().map(|to| {
            // One of the own domain is followed again once it is back.
            if control || followed == Some(to) || self.is_near(&to) {
                return self.full_beat(to);
            }
            let alive = Alive {
                process: self.config.me.process,
                stage: self.config.me.stage,
                revision: self.catalog.revision(),
            };
            send(to, Body::Alive(alive))
        });
        beats.collect()
    }

    /// The control VMs in turn, while none is followed: if all were asked, all
    /// would answer with what only one answer is needed of.
    fn next_control(&mut self) -> Option<SocketAddr> {
        let all: Vec<_> = self.controls().collect();
        self.turn += 1;
        all.get(self.turn % all.len().max(1)).copied()
    }

    /// Whether a process is known to be in this one's failure domain.
    fn is_near(&self, address: &SocketAddr) -> bool {
        let node = self.members.get(address);
        node.is_some_and(|n| n.info.domain == self.config.me.domain)
    }

    /// Shows a control VM all that this process has.
    pub(crate) fn full_beat(&self, to: SocketAddr) -> Effect {
        let beat = Beat {
            info: self.config.me.clone(),
            revision: self.catalog.revision(),
            buckets: self.registry.buckets().to_vec(),
            roster: match self.config.me.role() {
                Role::Entry => self.roster,
                Role::Control => digest(&self.control_nodes()),
            },
        };
        send(to, Body::Beat(beat))
    }

    /// Serves once enough is known.
    pub(crate) fn mature(&mut self) -> Vec<Effect> {
        let starting = self.config.me.stage == Stage::Starting as i32;
        let known = self.catalog.revision() > 0;
        let entry = self.config.me.role == Role::Entry as i32;
        if starting && (!entry || (known && self.level && self.roster != 0)) {
            self.config.me.stage = Stage::Ready as i32;
            return vec![Effect::Changed];
        }
        Vec::new()
    }

    /// What a process lacks of the items, unless that is on its way to it.
    pub(crate) fn items_for(&mut self, now: Time, to: SocketAddr, revision: u64) -> Option<Effect> {
        let newest = self.catalog.revision();
        if revision >= newest {
            return None;
        }
        let node = self.members.get_mut(&to)?;
        let under_way = (revision, newest);
        if node
            .sent
            .is_some_and(|(sent, at)| sent == under_way && now.since(at) < RESEND)
        {
            return None;
        }
        node.sent = Some((under_way, now));
        let mut held: Vec<_> = self.catalog.since(revision).cloned().collect();
        for held in &mut held {
            // Only control VMs give back what operators sent.
            held.item.source.clear();
        }
        let items = Items {
            from: revision,
            to: newest,
            held,
        };
        Some(send(to, Body::Items(items)))
    }

    /// Whether a process lacks items for longer than it takes the control VM
    /// that it follows to send them.
    pub(crate) fn lags(&self, now: Time, address: SocketAddr) -> bool {
        let node = self.members.get(&address);
        node.is_some_and(|n| n.revision < self.catalog.revision() && now.since(n.reached) > LAG)
            && now.since(self.changed) > LAG
    }

    /// The entry VMs and control VMs as this control VM hears them.
    pub(crate) fn roster_nodes(&self, now: Time) -> Vec<NodeInfo> {
        let mut nodes: Vec<_> = self.alive(now).map(|n| n.info.clone()).collect();
        nodes.push(self.config.me.clone());
        nodes
    }

    /// The control VMs that this one knows, as others may lack some of them.
    pub(crate) fn control_nodes(&self) -> Vec<NodeInfo> {
        let others = self.members.of(Role::Control).map(|n| n.info.clone());
        let mut nodes: Vec<_> = others.collect();
        nodes.push(self.config.me.clone());
        nodes
    }

    /// Who must hear news before they count as known: a majority of the control
    /// VMs and, if an acknowledgement binds them, the entry VMs in reach.
    /// Others learn of it from the control VM that they follow.
    fn audience(&self, now: Time, binding: bool) -> Audience {
        let entries = self.alive(now).filter(|n| binding && n.is(Role::Entry));
        let controls: Vec<_> = self.controls().collect();
        Audience {
            entries: entries.map(|n| n.address).collect(),
            needed: controls.len().div_ceil(2),
            controls,
        }
    }

    /// Tells the entry VMs that follow this control VM; what is lost they get
    /// when they next compare what they have.
    pub(crate) fn tell_followers(&self, now: Time, targets: Vec<Target>) -> Vec<Effect> {
        let targets = Targets {
            buckets: Vec::new(),
            targets,
        };
        let told = self.followers(now).map(|n| n.address);
        told.map(|to| send(to, Body::Targets(targets.clone())))
            .collect()
    }

    /// The entry VMs that asked this control VM lately what they lack.
    fn followers(&self, now: Time) -> impl Iterator<Item = &crate::Node> {
        let follows = move |at: Option<Time>| at.is_some_and(|at| now.since(at) < FOLLOWING);
        let entries = self.members.of(Role::Entry);
        entries.filter(move |n| follows(n.follows))
    }

    fn excuse_lost(&mut self, now: Time) {
        let lost = self.config.lost;
        let members = &self.members;
        self.spread.excuse(|address| {
            let node = members.get(address);
            node.is_none_or(|n| now.since(n.heard) >= lost)
        });
    }

    /// Tells of news that are known wherever they must be.
    pub(crate) fn settle_news(&mut self) -> Vec<Effect> {
        let known = self.spread.known();
        known
            .into_iter()
            .map(|(ticket, target)| {
                self.confirm(&target);
                Effect::Known { ticket }
            })
            .collect()
    }

    fn confirm(&mut self, target: &Target) {
        if self.confirmed.len() >= CONFIRMED {
            self.confirmed.pop_front();
        }
        let entry = (target.id.clone(), target.born, target.stage);
        self.confirmed.push_back(entry);
    }

    fn is_confirmed(&self, target: &Target) -> bool {
        let same = |(id, born, stage): &(String, u64, i32)| {
            *id == target.id && *born == target.born && *stage >= target.stage
        };
        self.confirmed.iter().any(same)
    }

    /// Leaves a process out that did not answer.
    pub(crate) fn suspect(&mut self, now: Time, address: SocketAddr) {
        self.suspects.retain(|(other, _)| *other != address);
        self.suspects.push((address, now + SUSPICION));
    }
}

pub(crate) const fn send(to: SocketAddr, body: Body) -> Effect {
    let message = Outgoing(body);
    Effect::Send { to, message }
}
