//! Every decision of a node. Its types, events and actions are in `api.rs`.
//! A tenant's label names a small pool of servers; of two random members the one with less of this node's
//! own work gets the request. `docs/design.md` says what was added to that and why.

use std::collections::BTreeMap;

use crate::api::*;
use crate::state::*;

/// How many labels tenants are hashed to; few, so that pools keep room.
const LABELS: usize = 2;
/// The least that a label's pool takes while servers last.
const POOL_MIN: usize = 4;
/// The token of wake-ups that are about discovery; no request has such a number.
const ASK: u64 = u64::MAX;
/// The token of wake-ups that look at held requests again.
const LOOK: u64 = u64::MAX - 1;
/// The longest first wait before discovery is asked again; it doubles with each failure.
const ASK_AGAIN: Micros = 1_000_000;
/// How long a server is avoided for each of its recent failures.
const RETREAT: f64 = 100_000.0;
/// The limit a server starts with, for the attempts of all nodes together; it never falls below this.
const LIMIT_START: f64 = 2.0;
/// Nor does it fall below this multiple of what served in-share work needs on idle servers.
const LIMIT_LEAST: f64 = 3.5;
/// The usual time may rise to this multiple of the shortest it was, before limits shrink.
const SLOWED: f64 = 1.1;
/// The part of a pool's room that work beyond a tenant's share may fill.
const SPARE: f64 = 0.8;
/// What a tenant may send at once at a node that has seen none of its work: few nodes see it evenly.
const DEPTH_LEAST: f64 = 4.0;
/// How many nodes a server of mean size is the first choice of.
const SHARED_BY: f64 = 6.0;
/// The golden ratio's fraction: its multiples fill the ring evenly however many there are.
const SPREAD: f64 = 0.618_033_988_749_895;
/// How quick and how slow a server can be against the usual time.
const PACES: (f64, f64) = (0.5, 4.0);
/// A pool helps another one while less than this part of its room is filled.
const LEND: f64 = 0.5;
/// An answer is counted on within this multiple of the usual time; half of all take longer than usual.
const TIMELY: f64 = 1.5;
/// A held request gives up its place after this part of its time: by half of it clients expect to hear so.
const PLACE: f64 = 0.45;
/// How far one outcome moves what is learned.
const STEP: f64 = 0.05;

/// The decision module of one node.
pub struct Balancer {
    settings: Settings,
    now: Micros,
    actions: Vec<Action>,
    random: fastrand::Rng,
    salt: u64,
    servers: Vec<Server>,
    ready: Vec<usize>,
    kind_sizes: BTreeMap<u8, f64>,
    pools: Vec<Vec<usize>>,
    pub(crate) jobs: BTreeMap<RequestId, Job>,
    held: Vec<Vec<Ask>>,
    shares: Vec<Bucket>,
    times: Vec<Times>,
    waits: Waits,
    limit: f64,
    needed: Fading,
    failed_asks: u32,
    copies_win: f64,
    looking: bool,
}

impl Balancer {
    /// Builds a node's module; its first event should be the list the node last held.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.check()?;
        let times = settings.classes.iter().map(|c| Times::guess(c.aim as f64 / 4.0)).collect();
        let part = |t: &Tenant| t.quota_per_s / f64::from(settings.balancers);
        let shares =
            settings.tenants.iter().map(|t| Bucket::full(part(t), part(t).max(DEPTH_LEAST))).collect();
        let mut balancer = Balancer {
            now: 0,
            actions: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            salt: 0,
            servers: Vec::new(),
            ready: Vec::new(),
            kind_sizes: BTreeMap::new(),
            pools: Vec::new(),
            jobs: BTreeMap::new(),
            held: vec![Vec::new(); LABELS + 1],
            shares,
            times,
            waits: Waits::default(),
            limit: LIMIT_START,
            needed: Fading::default(),
            failed_asks: 0,
            copies_win: 0.0,
            looking: false,
            settings,
        };
        let heaviest = |s: &u64| (0..LABELS).map(|l| balancer.share(l, *s)).fold(0.0, f64::max);
        // Of a few salts, the one that spreads the tenants' shares most evenly over the labels.
        balancer.salt = (0..64).min_by(|a, b| heaviest(a).total_cmp(&heaviest(b))).unwrap_or(0);
        Ok(balancer)
    }

    /// Takes in what happened and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // A clock that runs backwards must not wrap differences around.
        self.now = self.now.max(now);
        match event {
            Event::ServerList(list) => self.list_changed(list, true),
            Event::ServerChanges(list) => self.list_changed(list, false),
            Event::CachedList(list) => {
                self.list_changed(list, true);
                self.ask();
            }
            Event::DiscoveryFailed => self.ask_later(),
            Event::Arrived(request) => self.arrived(request),
            Event::Left(id) => self.finish(id),
            Event::StreamBegan(id, attempt) => {
                self.change(id, |job| job.done = true);
                self.cancel_others(id, Some(attempt));
            }
            Event::AttemptEnded(ended) => self.attempt_ended(ended),
            Event::Woken(ASK) => self.ask(),
            Event::Woken(LOOK) => {
                self.looking = false;
                self.dispatch();
            }
            Event::Woken(id) => self.look_at(id),
        }
        actions.append(&mut self.actions);
    }

    fn ask(&mut self) {
        let asked = self.settings.discovery != Discovery::Pushed;
        self.actions.extend(asked.then_some(Action::Subscribe));
    }

    /// Asks again after a wait that doubles and is drawn at random, so that nodes which failed together
    /// do not return together; never less often than the rules want.
    fn ask_later(&mut self) {
        let Discovery::Asked { every } = self.settings.discovery else { return };
        let longest = (ASK_AGAIN << self.failed_asks.min(3)).min(every / 2).max(2);
        self.failed_asks += 1;
        self.actions.push(Action::Wake { after: longest / 2 + self.random.u64(..longest / 2), token: ASK });
    }

    fn list_changed(&mut self, list: Vec<ServerEntry>, whole: bool) {
        self.failed_asks = 0;
        let states = |of: &[Server]| of.iter().map(|s| (s.entry.id, s.entry.state)).collect::<Vec<_>>();
        let before = states(&self.servers);
        self.servers.iter_mut().filter(|_| whole).for_each(|s| s.entry.state = ServerState::Gone);
        for entry in list {
            let largest = self.kind_sizes.entry(entry.kind).or_insert(entry.weight);
            *largest = largest.max(entry.weight);
            let fresh = Server { entry, pace: 1.0, ..Server::default() };
            match self.find(entry.id) {
                Err(i) => self.servers.insert(i, fresh),
                Ok(i) if self.servers[i].entry.ready_at == entry.ready_at => self.servers[i].entry = entry,
                // A restarted server keeps its id, but nothing learned of it holds any more.
                Ok(i) => {
                    let Server { in_flight, share, size, .. } = self.servers[i];
                    self.servers[i] = Server { in_flight, share, size, ..fresh };
                }
            }
        }
        self.servers.retain(|s| s.entry.state != ServerState::Gone || s.in_flight > 0);
        // Live weights come twice a second: new pools for each would take a node's CPU.
        if states(&self.servers) != before {
            self.build_pools();
        }
        self.dispatch();
    }

    fn find(&self, id: ServerId) -> Result<usize, usize> {
        self.servers.binary_search_by_key(&id, |s| s.entry.id)
    }

    fn label(&self, tenant: u64, salt: u64) -> usize {
        (hash(tenant, salt) % LABELS as u64) as usize
    }

    /// The part of all shares that the tenants of this label hold.
    fn share(&self, label: usize, salt: u64) -> f64 {
        let tenants = self.settings.tenants.iter().enumerate();
        tenants.filter(|(i, _)| self.label(*i as u64, salt) == label).map(|(_, t)| t.share).sum()
    }

    /// Each label in turn takes its highest-ranking ready servers; the rest stay unlabelled. A label's
    /// size follows the shares of its tenants, and what no tenant has a share in stays unlabelled too.
    fn build_pools(&mut self) {
        let is_ready = |i: &usize| self.servers[*i].entry.state == ServerState::Ready;
        self.ready = (0..self.servers.len()).filter(is_ready).collect();
        let stated = |i: &usize| self.stated_size(&self.servers[*i].entry);
        let mean = self.ready.iter().map(stated).sum::<f64>() / self.ready.len().max(1) as f64;
        for &i in &self.ready {
            let size = self.stated_size(&self.servers[i].entry);
            self.servers[i].size = if size > 0.0 { size / mean } else { 1.0 };
        }
        let (mut free, ready, mut share) = (self.ready.clone(), self.ready.len(), 0.0);
        self.pools.clear();
        for label in 0..LABELS {
            share += self.share(label, self.salt);
            let taken = ready - free.len();
            let size = ((ready as f64 * share.min(1.0)).round() as usize).saturating_sub(taken).max(POOL_MIN);
            let later = POOL_MIN * (LABELS - 1 - label);
            let size = size.min(free.len().saturating_sub(later).max(POOL_MIN)).min(free.len());
            free.sort_by_key(|i| std::cmp::Reverse(hash(label as u64, self.servers[*i].entry.id)));
            let rest = free.split_off(size);
            self.pools.push(std::mem::replace(&mut free, rest));
        }
        free.sort();
        self.pools.push(free);
        self.cut_slices();
    }

    /// Of many nodes each draws from a slice of a pool first: it meets those often enough for its own counts
    /// to tell of them, and connections last. Pools lie on a ring by size, and nodes are spread evenly over
    /// it, whichever ranks are up: each server gets its part of the work from the slices that overlap it.
    fn cut_slices(&mut self) {
        for pool in std::mem::take(&mut self.pools) {
            let ring: f64 = pool.iter().map(|i| self.servers[*i].size).sum();
            let part = (SHARED_BY / f64::from(self.settings.balancers)).min(1.0);
            let start = (f64::from(self.settings.rank) * SPREAD).fract() * ring;
            let end = start + ring * part;
            let mut at = 0.0;
            for i in &pool {
                let size = self.servers[*i].size;
                let overlap = |from: f64| ((from + size).min(end) - from.max(start)).max(0.0);
                self.servers[*i].share = (overlap(at) + overlap(at + ring)).max(1e-9 * size);
                at += size;
            }
            self.pools.push(pool);
        }
    }

    /// The pool's members; an empty pool borrows from all ready servers.
    fn members(&self, pool: usize) -> &[usize] {
        self.pools.get(pool).filter(|members| !members.is_empty()).unwrap_or(&self.ready)
    }

    fn arrived(&mut self, request: Request) {
        let Some(class) = self.settings.classes.get(request.class) else {
            return self.actions.push(Action::Refuse { request: request.id, retry_after: 0 });
        };
        let stretch = request.expected_work.map_or(0.0, |work| work as f64 * class.aim_stretch);
        let aim_at = self.now + class.aim.saturating_add(stretch as Micros).min(class.deadline);
        let bucket = request.tenant.and_then(|t| self.shares.get_mut(t as usize));
        let in_share = bucket.is_none_or(|bucket| bucket.take(self.now));
        let ask = Ask { id: request.id, class: request.class, in_share, aim_at };
        let pool = request.tenant.map_or(LABELS, |t| self.label(t.into(), self.salt));
        let give_up_at = self.now + request.remaining.saturating_sub(2 * self.settings.step);
        let place_until = self.now + (request.remaining as f64 * PLACE) as Micros;
        self.held[pool].push(ask);
        let job = Job { ask, pool, key: request.key, give_up_at, place_until, held: true, ..Job::default() };
        self.jobs.insert(request.id, job);
        // One that comes with no time left must not be sent: its answer would be late in any case.
        if give_up_at <= self.now || self.random.f64() >= self.admitted(&ask) {
            return self.give_up(request.id);
        }
        self.dispatch();
        self.look_at(request.id);
    }

    /// The part of such requests that is let in. A node of many sees an overload only in how long its few
    /// attempts wait; once that eats up what the aims leave, more work would make all of it late.
    fn admitted(&self, ask: &Ask) -> f64 {
        let wait = self.waits.now(self.now);
        let slack = |c: usize| self.settings.classes[c].aim as f64 - self.times[c].base;
        let least = (0..self.times.len()).map(slack).fold(f64::MAX, f64::min);
        // Shedding begins at a fifth of the aim's slack, but three quarters of a request's time is no load.
        let (from, span) = match ask.in_share {
            true => ((0.2 * slack(ask.class)).max(self.waits.typical * 0.75), 0.4 * slack(ask.class)),
            false => (0.1 * least, 0.2 * least),
        };
        1.0 - self.blindness() * ((wait - from) / span.max(1.0)).clamp(0.0, 1.0)
    }

    /// Whether sending it now would probably miss the aim.
    fn too_late(&self, ask: &Ask) -> bool {
        self.now as f64 + TIMELY * self.times[ask.class].usual > ask.aim_at as f64
    }

    /// What answering a held request now would earn for the time it takes.
    fn merit(&self, ask: &Ask) -> f64 {
        let class = &self.settings.classes[ask.class];
        let share = if ask.in_share { 1.0 } else { self.settings.over_share_worth };
        let timely = if self.too_late(ask) { class.late_worth } else { 1.0 };
        class.worth * share * timely / self.times[ask.class].usual
    }

    /// Sends what is held, best first, while pools have room.
    fn dispatch(&mut self) {
        for pool in 0..self.held.len() {
            let mut blocked: Vec<Ask> = Vec::new();
            // A few that their classes tie to full servers must not stop the others.
            while blocked.len() < 3 && !self.held[pool].is_empty() && self.lender(pool, 1.0).is_some() {
                let at = self.best_held(pool);
                let ask = self.held[pool][at];
                let part = if ask.in_share { 1.0 } else { SPARE };
                let Some(from) = self.lender(pool, part) else { break };
                self.held[pool].swap_remove(at);
                match self.pick(ask.id, from) {
                    Some(server) => self.send(ask.id, server),
                    None => blocked.push(ask),
                }
            }
            self.held[pool].append(&mut blocked);
        }
        if !self.looking && self.held.iter().any(|h| !h.is_empty()) {
            self.looking = true;
            self.actions.push(Action::Wake { after: 2 * self.settings.step, token: LOOK });
        }
    }

    /// The pool itself while it has room; else another whose own tenants leave over half of it free.
    fn lender(&self, pool: usize, part: f64) -> Option<usize> {
        let lends = |p: &usize| self.held[*p].is_empty() && self.has_room(*p, LEND);
        let mut others = (0..self.pools.len()).filter(|p| *p != pool && !self.pools[*p].is_empty());
        if self.has_room(pool, part) { Some(pool) } else { others.find(lends) }
    }

    /// Where the request with most merit is held; of several, the one whose aim is nearest.
    fn best_held(&self, pool: usize) -> usize {
        let held = self.held[pool].iter().enumerate().map(|(at, ask)| (self.merit(ask), ask.aim_at, at));
        held.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))).map_or(0, |best| best.2)
    }

    /// The part of its capacity that a starting server surely has.
    fn ramp(&self, entry: &ServerEntry) -> f64 {
        let age = if entry.ready_at == 0 { Micros::MAX } else { self.now.saturating_sub(entry.ready_at) };
        let warmed = (age as f64 / self.settings.warm_up.max(1) as f64).min(1.0);
        self.settings.cold_from + (1.0 - self.settings.cold_from) * warmed
    }

    fn allowed(&self, job: &Job, to: &ServerEntry) -> bool {
        let again = |a: &Attempt| match self.settings.classes[job.ask.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { window, .. } if self.now + self.settings.step >= a.sent_at + window => false,
            Effect::Keyed { group: Group::All, .. } => true,
            Effect::Keyed { group: Group::Zone, .. } => a.to.zone == to.zone,
            Effect::Keyed { group: Group::Cell, .. } => a.to.cell == to.cell,
        };
        job.attempts.len() < usize::from(self.settings.max_attempts)
            && (job.out() == 0 || self.settings.second_copies)
            && job.attempts.iter().all(|a| a.fate == Fate::NeverRan || again(a))
    }

    /// Whether this part of the pool's room is not yet filled; one attempt always has room.
    fn has_room(&self, pool: usize, part: f64) -> bool {
        let members = self.members(pool);
        let busy: u32 = members.iter().map(|i| self.servers[*i].in_flight).sum();
        busy == 0 || f64::from(busy) < part * members.iter().map(|i| self.room(*i)).sum::<f64>()
    }

    /// How little own counts tell: a node whose part of a server is under half an attempt sees little load.
    fn blindness(&self) -> f64 {
        (1.0 - 2.0 * self.limit / f64::from(self.settings.balancers)).max(0.0)
    }

    /// The less loaded of two random members that have room.
    fn pick(&mut self, id: RequestId, pool: usize) -> Option<usize> {
        let chance = self.random.u64(..);
        let job = &self.jobs[&id];
        let members = self.members(pool);
        let bears = (self.settings.fall_multiple / 2.0).max(1.0);
        let avoided = |i: &&usize| self.servers[**i].avoid_until > self.now;
        let heed = members.iter().filter(avoided).count() * 2 <= members.len();
        let fit = |i: &usize| {
            let s = &self.servers[*i];
            let reach = self.ramp(&s.entry) * bears;
            (s.in_flight == 0 || f64::from(s.in_flight) < self.room(*i).ceil())
                // A cold server is in reach of few of all nodes' requests, half of what it bears: one attempt
                // from each node, or all that its neighbours cannot take, would push it over.
                && (reach >= 1.0 || unit(hash(id, s.entry.id)) <= reach)
                && !(heed && s.avoid_until > self.now)
                && !job.attempts.iter().any(|a| a.to.id == s.entry.id && a.fate == Fate::Out)
                && self.allowed(job, &s.entry)
        };
        let mut fits: Vec<usize> = members.iter().copied().filter(fit).collect();
        // Where crossing zones has a price, work stays in the own zone while the node sees room there.
        let home = |i: &usize| self.servers[*i].entry.zone == self.settings.zone;
        if self.settings.cross_zone_price > 0.0 && self.blindness() == 0.0 && fits.iter().any(home) {
            fits.retain(home);
        }
        // Each is as likely as it has capacity: most nodes hold nothing at either of the two, and comparing
        // sizes alone would send nearly all to the largest. Where servers are warm for keys they met, the
        // key draws in place of chance.
        let by = job.key.filter(|_| self.settings.warm_keys).unwrap_or(chance);
        let late = |i: usize| {
            let s = &self.servers[i];
            -unit(hash(by, s.entry.id)).ln() * s.pace_at(self.now) / s.share
        };
        let mut fits: Vec<(f64, usize)> = fits.into_iter().map(|i| (late(i), i)).collect();
        let second = 1.min(fits.len().checked_sub(1)?);
        fits.select_nth_unstable_by(second, |a, b| a.0.total_cmp(&b.0));
        fits.into_iter().take(2).map(|fit| fit.1).min_by(|a, b| self.load(*a).total_cmp(&self.load(*b)))
    }

    /// A live weight is late and the same at all nodes: all would crowd what was idle a while ago.
    /// The largest weight seen of a kind is that of an idle machine, its size.
    fn stated_size(&self, entry: &ServerEntry) -> f64 {
        match self.kind_sizes.get(&entry.kind) {
            Some(size) if self.settings.live_weights => *size,
            _ => entry.weight,
        }
    }

    fn room(&self, i: usize) -> f64 {
        let server = &self.servers[i];
        let part = self.limit / f64::from(self.settings.balancers);
        part * server.size * self.ramp(&server.entry) / server.pace_at(self.now)
    }

    /// Own requests in flight against what the server carries. Recent failures count as load: a server
    /// that errs quickly holds little and would win every comparison. The request to be sent counts where a
    /// node sees its servers; where all counts are 0, it would send nearly all to the largest.
    fn load(&self, i: usize) -> f64 {
        let (s, own) = (&self.servers[i], f64::from(u8::from(self.blindness() == 0.0)));
        (f64::from(s.in_flight) + own + s.excess(self.now)) / self.room(i)
    }

    fn send(&mut self, id: RequestId, i: usize) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let server = &mut self.servers[i];
        server.in_flight += 1;
        server.last_sent = self.now;
        job.held = false;
        job.attempts.push(Attempt { to: server.entry, sent_at: self.now, fate: Fate::Out });
        self.actions.push(Action::Send { request: id, server: server.entry.id });
        self.wake(id);
    }

    /// When an attempt is overdue: a copy would just come within the aim, even at twice the usual time.
    fn overdue_at(&self, job: &Job) -> Option<Micros> {
        let usual = self.times[job.ask.class].usual;
        let last = job.attempts.iter().rev().find(|a| a.fate == Fate::Out)?;
        let age = (job.ask.aim_at.saturating_sub(last.sent_at) as f64 - 2.0 * usual).max(TIMELY * usual);
        Some(last.sent_at + age as Micros)
    }

    /// Asks to be woken when the request next needs a look.
    fn wake(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let hopeless = (job.ask.aim_at as f64 - TIMELY * self.times[job.ask.class].usual) as Micros;
        let held = |at: Micros| job.held.then_some(at);
        let times = [Some(job.give_up_at), self.overdue_at(job), held(hopeless), held(job.place_until)];
        let next = times.into_iter().flatten().filter(|t| *t > self.now).min().unwrap_or(self.now);
        if next > self.now && (job.wake_at <= self.now || next < job.wake_at) {
            self.actions.push(Action::Wake { after: next - self.now, token: id });
            self.change(id, |job| job.wake_at = next);
        }
    }

    fn look_at(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.done || job.wake_at > self.now {
            return;
        }
        let worthless = !job.ask.in_share || self.settings.classes[job.ask.class].late_worth == 0.0;
        // To be told late that it was never sent costs a client more than a poor chance of a turn is worth.
        let waited = self.now >= job.place_until && job.never_ran();
        let late = self.too_late(&job.ask) && (worthless || waited);
        let hopeless = self.ready.is_empty() || late || waited && !job.ask.in_share;
        if self.now >= job.give_up_at || job.held && hopeless {
            return self.give_up(id);
        }
        // A pausing server shows as an overdue attempt: a copy goes elsewhere if nothing waits. But copies of
        // long requests lose the race and fill servers: unless a tenth win, half the pool has to be free.
        let (pool, part) = (job.pool, if self.copies_win > 0.1 { 1.0 } else { LEND });
        let overdue = !job.held && self.overdue_at(job).is_some_and(|t| t <= self.now);
        if overdue && job.ask.in_share && self.held[pool].is_empty() && self.has_room(pool, part) {
            self.pick(id, pool).into_iter().for_each(|server| self.send(id, server));
        }
        self.wake(id);
    }

    fn attempt_ended(&mut self, end: Ended) {
        let id = end.request;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let out = |a: &&mut Attempt| a.fate == Fate::Out;
        let Some(ended) = job.attempts.get_mut(usize::from(end.attempt)).filter(out) else { return };
        ended.fate = if end.outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        job.done |= end.finished;
        let (ask, to) = (job.ask, ended.to);
        if end.outcome == Outcome::Served && job.out() > 0 {
            self.copies_win += STEP * (f64::from(u8::from(end.attempt > 0)) - self.copies_win);
        }
        self.learn(ask, to.id, end);
        let job = &self.jobs[&id];
        if job.done {
            self.finish(id);
        } else if job.out() == 0 && !job.held {
            let some = self.members(job.pool).iter().any(|i| self.allowed(job, &self.servers[*i].entry));
            if !some || self.now >= job.give_up_at {
                return self.give_up(id);
            }
            self.held[job.pool].push(job.ask);
            self.change(id, |job| job.held = true);
            self.wake(id);
        }
        self.dispatch();
    }

    /// Learns from an outcome how much the server takes and how long the class usually needs.
    fn learn(&mut self, ask: Ask, to: ServerId, end: Ended) {
        let (class, Ok(i)) = (ask.class, self.find(to)) else { return };
        let waiting = self.held.iter().flatten().any(|ask| ask.in_share);
        let server = &mut self.servers[i];
        server.in_flight -= 1;
        // One given up has waited too; but a few very slow servers must not look like an overload of all.
        let base = self.times[class].base;
        let slack = (self.settings.classes[class].aim as f64 - base).max(0.0);
        let waited = (end.took as f64 - base).min(1.2 * slack);
        if end.outcome == Outcome::Served || waited > self.waits.mean && !end.outcome.never_ran() {
            // Long requests vary by more than they wait: the short ones tell of waits best.
            let shortest = self.times.iter().map(|t| t.base).fold(f64::MAX, f64::min);
            self.waits.add(self.now, waited, base, shortest / base);
        }
        if end.outcome == Outcome::Served {
            let (times, took) = (&mut self.times[class], end.took as f64);
            let slower = if took > times.usual * server.pace { 1.0 + STEP } else { 1.0 - STEP };
            server.pace = (server.pace * slower).clamp(PACES.0, PACES.1);
            times.answered(took);
            let late = end.took > self.settings.classes[class].aim;
            // Late answers may come from pauses; while the usual time is up, more work only jams servers.
            let slowed = times.usual > times.base * SLOWED;
            let grown = if waiting && !late && !slowed { 1.0 + STEP / 10.0 } else { 1.0 };
            let factor = if late && slowed { 1.0 - STEP / 2.0 } else { grown };
            // Counting what arrives, not what is served, or a time that is a guess yet, would jam servers.
            let counts = ask.in_share && times.seen > 5.0;
            self.needed.add(self.now, if counts { times.base } else { 0.0 });
            // A slowdown of all servers makes every answer late; shrinking further would only serve fewer.
            let needed = self.needed.rate(self.now) * f64::from(self.settings.balancers)
                / self.ready.len().max(1) as f64;
            self.limit = (self.limit * factor).max(LIMIT_LEAST * needed).max(LIMIT_START);
        } else if !matches!(end.outcome, Outcome::Cancelled | Outcome::NotSent) {
            // One that fails again and again is left alone for longer each time, then tried anew.
            server.failures.add(self.now, 1.0);
            let pool = self.pools.iter().find(|pool| pool.contains(&i)).unwrap_or(&self.ready);
            let usual = Fading::mean(pool.iter().map(|i| self.servers[*i].failures), self.now);
            pool.iter().for_each(|i| self.servers[*i].usual_failures = usual);
            let excess = self.servers[i].excess(self.now);
            self.servers[i].avoid_until = self.now + (excess * RETREAT) as Micros;
        }
    }

    fn cancel_others(&mut self, id: RequestId, but: Option<AttemptNo>) {
        let Some(job) = self.jobs.get(&id) else { return };
        for (n, attempt) in (0..).zip(&job.attempts) {
            if self.settings.cancelling && attempt.fate == Fate::Out && but != Some(n) {
                self.actions.push(Action::Cancel(id, n));
            }
        }
    }

    /// The final answer: turned away where that is true and harmless, else failed.
    fn give_up(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let harmless = match self.settings.classes[job.ask.class].effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            _ => job.never_ran(),
        };
        // What would come back into the same crowd, and too late, is asked to stay away.
        let stay = !job.ask.in_share || job.never_ran() && self.too_late(&job.ask);
        let retry_after = if stay { self.settings.max_retry_after } else { 0 };
        let refusal = Action::Refuse { request: id, retry_after };
        self.actions.push(if harmless { refusal } else { Action::Fail(id) });
        self.finish(id);
    }

    /// Nothing more is owed: lets go of the request once none of its attempts is out.
    fn finish(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.done = true;
        if std::mem::take(&mut job.held) {
            self.held[job.pool].retain(|ask| ask.id != id);
        }
        if job.out() == 0 {
            self.jobs.remove(&id);
        }
        self.cancel_others(id, None);
    }

    fn change(&mut self, id: RequestId, how: impl FnOnce(&mut Job)) {
        self.jobs.get_mut(&id).map(how);
    }
}
