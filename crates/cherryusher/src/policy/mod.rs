//! Every decision of a node. Its types, events and actions are in `api.rs`.
//! A tenant's label names a small pool of servers; of two random members the one with less of this node's
//! own work gets the request. `docs/design.md` says what was added to that and why.
//!
//! `pools` says who is in which pool, `pick` draws two and takes one, `admission` keeps the queue and says
//! what is let in, `attempts` sends, retries, hedges and gives up, `feedback` learns limits from outcomes,
//! `peer_health` says what this node has seen and how far it goes by what others say.

mod admission;
mod attempts;
mod feedback;
mod peer_health;
mod pick;
mod pools;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use crate::api::*;
use crate::state::*;

/// The token of wake-ups that are about discovery; no request has such a number.
const ASK: u64 = u64::MAX;
/// The token of wake-ups that look at held requests again.
const LOOK: u64 = u64::MAX - 1;
/// The token of wake-ups that build pools anew.
const POOLS: u64 = u64::MAX - 2;
/// The longest first wait before the list is asked for again, at least; it doubles with each failure.
const ASK_AGAIN: Micros = 1_000_000;
/// The longest wait at all where the service has time for it: a change counts as told 6 s after discovery
/// had it and could be reached, whatever failed before, and a call may wait 2 s for its turn.
const ASK_WITHIN: Micros = 4_000_000;
/// What one call may take of a list service that answers one after the other: the first wait of all nodes is
/// long enough for a call of each.
const ASK_EACH: Micros = 50_000;
/// The limit a server starts with, for the attempts of all nodes together; it never falls below this.
const LIMIT_START: f64 = 2.0;
/// What a tenant may send at once at a node that has seen none of its work: few nodes see it evenly.
const DEPTH_LEAST: f64 = 4.0;
/// How quick and how slow a server can be against the usual time.
const PACES: (f64, f64) = (0.5, 4.0);
/// A pool helps another one while less than this part of its room is filled.
const LEND: f64 = 0.5;
/// An answer is counted on within this multiple of the usual time; half of all take longer than usual.
const TIMELY: f64 = 1.5;
/// How far one outcome moves what is learned.
const STEP: f64 = 0.05;

/// The decision module of one node.
pub struct Balancer {
    settings: Settings,
    now: Micros,
    actions: Vec<Action>,
    random: fastrand::Rng,
    /// Spreads tenants over labels; what each label's tenants have a share in.
    salt: u64,
    shares: Vec<f64>,
    /// Servers by slot, the slots by id, and those that are free again.
    pub(crate) servers: Vec<Server>,
    slots: HashMap<ServerId, usize>,
    free: Vec<usize>,
    kind_sizes: BTreeMap<u8, f64>,
    /// One a label, the unlabelled one, and one of all ready servers.
    pools: Vec<Pool>,
    /// When the pools were last built, and whether the list has changed since.
    built_at: Micros,
    stale: bool,
    /// Whether a wake-up for building them was asked for.
    build_asked: bool,
    /// When a server's place in its pool's sums changes by itself.
    dues: BinaryHeap<Reverse<(Micros, usize)>>,
    pub(crate) jobs: BTreeMap<RequestId, Job>,
    held: Vec<Vec<Ask>>,
    buckets: Vec<Bucket>,
    times: Vec<Times>,
    waits: Waits,
    limit: f64,
    needed: Fading,
    failed_asks: u32,
    copies_win: f64,
    /// Whether others said anything against a server when they were last heard, and when that was.
    doubting: bool,
    heard_at: Micros,
    looking: bool,
    /// How many servers were looked at for picks.
    pub(crate) steps: u64,
}

impl Balancer {
    /// Builds a node's module; its first event should be the list the node last held.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.check()?;
        let times = settings.classes.iter().map(|c| Times::guess(c.target_latency as f64 / 4.0)).collect();
        let part = |t: &Tenant| t.quota_per_s / f64::from(settings.balancers);
        let buckets =
            settings.tenants.iter().map(|t| Bucket::full(part(t), part(t).max(DEPTH_LEAST))).collect();
        let labels = usize::from(settings.labels);
        // Of a few salts, the one that spreads the tenants' shares most evenly over the labels.
        let heaviest = |s: &u64| pools::shares(&settings, *s).into_iter().fold(0.0, f64::max);
        let salt = (0..64).min_by(|a, b| heaviest(a).total_cmp(&heaviest(b))).unwrap_or(0);
        Ok(Balancer {
            now: 0,
            actions: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            salt,
            shares: pools::shares(&settings, salt),
            servers: Vec::new(),
            slots: HashMap::new(),
            free: Vec::new(),
            kind_sizes: BTreeMap::new(),
            pools: (0..labels + 2).map(|_| Pool::default()).collect(),
            built_at: 0,
            stale: false,
            build_asked: false,
            dues: BinaryHeap::new(),
            jobs: BTreeMap::new(),
            held: vec![Vec::new(); labels + 1],
            buckets,
            times,
            waits: Waits::default(),
            limit: LIMIT_START,
            needed: Fading::default(),
            failed_asks: 0,
            copies_win: 0.0,
            doubting: false,
            heard_at: 0,
            looking: false,
            steps: 0,
            settings,
        })
    }

    /// Takes in what happened and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // A clock that runs backwards must not wrap differences around.
        self.now = self.now.max(now);
        self.pass_time();
        match event {
            Event::ServerList(list) => self.list_changed(list, true),
            Event::ServerChanges(list) => self.list_changed(list, false),
            Event::CachedServerList(list) => {
                self.list_changed(list, true);
                self.ask();
            }
            Event::DiscoveryFailed => self.ask_later(),
            Event::RequestArrived(request) => self.arrived(request, None),
            Event::StreamedRequestArrived(request, upload) => self.arrived(request, Some(upload)),
            Event::BodyReceived(id, remaining) => self.came_whole(id, remaining),
            Event::BodyConsumed(id) => self.change(id, |job| job.spent = true),
            Event::ClientLeft(id) => self.finish(id),
            Event::ResponseStreamStarted(id, attempt) => {
                self.change(id, |job| job.done = true);
                self.cancel_others(id, Some(attempt));
            }
            Event::AttemptEnded(ended) => self.attempt_ended(ended),
            Event::PeerSuspicions(doubts) => self.heard(&doubts),
            Event::FleetChanged { balancers, rank } => self.fleet_changed(balancers, rank),
            Event::TimerFired(ASK) => self.ask(),
            Event::TimerFired(LOOK) => {
                self.looking = false;
                self.dispatch();
            }
            Event::TimerFired(POOLS) => {
                self.build_asked = false;
                self.build_if_due();
                self.dispatch();
            }
            Event::TimerFired(id) => self.look_at(id),
        }
        actions.append(&mut self.actions);
    }

    fn ask(&mut self) {
        let asked = self.settings.discovery != Discovery::Pushed;
        self.actions.extend(asked.then_some(Action::Subscribe));
    }

    /// Asks again after a wait that is drawn from a span which doubles: nodes that failed together come
    /// back spread over the whole of it, so that a service which takes few at a time is neither idle nor
    /// swamped. Never less often than the rules want.
    fn ask_later(&mut self) {
        let Discovery::Subscribed { max_retry_interval } = self.settings.discovery else { return };
        let longest = ASK_AGAIN.max(ASK_EACH * u64::from(self.settings.balancers));
        let most = ASK_WITHIN.max(longest / 2 * 3).min(max_retry_interval / 4 * 3);
        let longest = (longest << self.failed_asks.min(3)).min(most).max(8);
        self.failed_asks += 1;
        let least = longest / 8;
        self.actions.push(Action::SetTimer { after: least + self.random.u64(..longest - least), token: ASK });
    }

    fn change(&mut self, id: RequestId, how: impl FnOnce(&mut Job)) {
        self.jobs.get_mut(&id).map(how);
    }
}
