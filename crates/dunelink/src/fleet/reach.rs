//! What this node tells the others of itself, and what it makes of what they tell: the clock, the engines' counts and
//! the way to the members round the state machine of `dunelink-reach`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dunelink_gossip::{Gossip, MemberId};
use dunelink_reach::{Condition, HealthMonitor, Input, Output, ReachMatrix, Row, Settings, ZoneReachability};
use dunelink_view::{Micros, Name, Process};

use super::deed::Deed;
use super::words;
use crate::config::Config;
use crate::counts::{Counts, RequestCounters};

/// What a thread may be late by before it is said to have stood still.
const LATE: Duration = Duration::from_millis(20);
/// A part over the whole fleet: nobody steps aside.
const NEVER: f64 = 2.0;

/// A node's part in who reaches whom.
pub(super) struct Reaching {
    health: HealthMonitor,
    tallies: Vec<Arc<RequestCounters>>,
    /// Read by whoever is asked whether this node is ready.
    aside: Arc<AtomicBool>,
    stood_still: Duration,
    /// What it told of itself last.
    stance: Condition,
}

impl Reaching {
    /// Where the fleet decides something, it is also told who reaches whom.
    pub(super) fn new(
        config: &Config,
        me: Process,
        tallies: Vec<Arc<RequestCounters>>,
        aside: Arc<AtomicBool>,
        now: Micros,
    ) -> Reaching {
        let floor = config.gossip.as_ref().and_then(|gossip| gossip.step_aside).unwrap_or(NEVER);
        let settings = Settings { me, zone: config.fleet.zone.clone(), min_ready_fraction: floor };
        let (health, stood_still) = (HealthMonitor::new(settings, now), Duration::ZERO);
        Reaching { health, tallies, aside, stood_still, stance: Condition::Healthy }
    }

    /// When it wants to be looked at next.
    pub(super) fn next(&self) -> Micros {
        self.health.next_wakeup()
    }

    pub(super) fn matrix(&self) -> &ReachMatrix {
        self.health.matrix()
    }

    pub(super) fn stance(&self) -> &Condition {
        self.health.condition()
    }

    /// This process was looked at later than it wanted to be, or an engine answered late.
    pub(super) fn late(&mut self, by: Duration) {
        if by > LATE {
            self.stood_still += by;
        }
    }

    /// What the engines have seen of servers.
    pub(super) fn seen(&mut self, now: Micros, zones: Vec<ZoneReachability>, gossip: &Gossip) -> Vec<Deed> {
        let counts = self.tallies.iter().map(|tally| tally.counts()).fold(Counts::default(), Counts::plus);
        let silent = self.tallies.iter().map(|tally| tally.list_source_silence()).max().flatten();
        let list = silent.map(|silent| u32::try_from(silent.as_millis()).unwrap_or(u32::MAX));
        let sums = [counts.served, counts.failed, self.stood_still.as_millis() as u64];
        self.work(now, Input::OwnMeasurements(zones, list, sums), gossip)
    }

    pub(super) fn tick(&mut self, now: Micros, gossip: &Gossip) -> Vec<Deed> {
        self.work(now, Input::Tick, gossip)
    }

    pub(super) fn heard(&mut self, now: Micros, from: Process, row: Row, gossip: &Gossip) -> Vec<Deed> {
        self.work(now, Input::Received(from, row), gossip)
    }

    /// Who is a member from now on.
    pub(super) fn members(&mut self, now: Micros, members: Vec<Name>, gossip: &Gossip) -> Vec<Deed> {
        self.work(now, Input::Members(members), gossip)
    }

    /// Whether this node holds the right to say that it is not ready.
    pub(super) fn may_step_aside(&mut self, now: Micros, held: bool, gossip: &Gossip) -> Vec<Deed> {
        self.work(now, Input::UnreadyLease(held), gossip)
    }

    fn work(&mut self, now: Micros, input: Input, gossip: &Gossip) -> Vec<Deed> {
        let mut out = Vec::new();
        self.health.handle(now, input, &mut out);
        let mut deeds = Vec::new();
        for output in out {
            match output {
                Output::SendRow(row) => {
                    let bytes = words::row(&row);
                    let to = gossip.alive_processes().into_iter().map(|(id, _)| id);
                    deeds.extend(to.map(|id: MemberId| Deed::Carry(id, bytes.clone())));
                }
                Output::Condition(stance) => {
                    let before = std::mem::replace(&mut self.stance, stance.clone());
                    deeds.push(Deed::Stance(stance, before));
                }
                Output::WantUnready(wants) => deeds.push(Deed::WantsAside(wants)),
                Output::Ready(ready) => {
                    self.aside.store(!ready, Ordering::Release);
                    deeds.push(Deed::Ready(ready, self.stance.clone()));
                }
            }
        }
        deeds
    }
}
