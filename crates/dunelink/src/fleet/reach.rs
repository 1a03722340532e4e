//! Reports about this node to the others, and the evaluation of theirs: connects the clock, the engines'
//! counts and the transport to the members with the state machine of `dunelink-reach`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dunelink_gossip::{Gossip, MemberId};
use dunelink_reach::{Condition, HealthMonitor, Input, Output, ReachMatrix, Row, Settings, ZoneReachability};
use dunelink_view::{Micros, Name, Process};

use super::action::Action;
use super::messages;
use crate::config::Config;
use crate::counts::{Counts, RequestCounters};

/// Delay of a thread that is still normal; a longer one counts as a pause of the process.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(20);
/// A floor above 1, which the ready fraction of the fleet can't reach: no node ever reports that it is not
/// ready.
const UNATTAINABLE_FLOOR: f64 = 2.0;

/// This node's view of which nodes and servers reach each other.
pub(super) struct Reachability {
    health: HealthMonitor,
    counters: Vec<Arc<RequestCounters>>,
    /// Whether this node reports that it is not ready; read by readiness checks.
    unready: Arc<AtomicBool>,
    /// Total time for which this process was paused.
    paused: Duration,
    /// The condition that was reported last.
    condition: Condition,
}

impl Reachability {
    /// Creates the state machine. Without `step_aside` in the configuration, this node always reports that it
    /// is ready.
    pub(super) fn new(
        config: &Config,
        me: Process,
        counters: Vec<Arc<RequestCounters>>,
        unready: Arc<AtomicBool>,
        now: Micros,
    ) -> Reachability {
        let floor = config.gossip.as_ref().and_then(|gossip| gossip.step_aside).unwrap_or(UNATTAINABLE_FLOOR);
        let settings = Settings { me, zone: config.fleet.zone.clone(), min_ready_fraction: floor };
        let (health, paused) = (HealthMonitor::new(settings, now), Duration::ZERO);
        Reachability { health, counters, unready, paused, condition: Condition::Healthy }
    }

    /// When the state machine needs its next tick.
    pub(super) fn next_wakeup(&self) -> Micros {
        self.health.next_wakeup()
    }

    pub(super) fn matrix(&self) -> &ReachMatrix {
        self.health.matrix()
    }

    pub(super) fn condition(&self) -> &Condition {
        self.health.condition()
    }

    /// Records that this thread woke, or an engine answered, later than expected.
    pub(super) fn record_delay(&mut self, delay: Duration) {
        if delay > PAUSE_THRESHOLD {
            self.paused += delay;
        }
    }

    /// Takes the reachability of servers by zone, and the engines' counts.
    pub(super) fn record_own_counts(
        &mut self,
        now: Micros,
        zones: Vec<ZoneReachability>,
        gossip: &Gossip,
    ) -> Vec<Action> {
        let counts =
            self.counters.iter().map(|counters| counters.counts()).fold(Counts::default(), Counts::plus);
        let silence = self.counters.iter().map(|counters| counters.list_source_silence()).max().flatten();
        let list_silence_ms = silence.map(|silence| u32::try_from(silence.as_millis()).unwrap_or(u32::MAX));
        let totals = [counts.served, counts.failed, self.paused.as_millis() as u64];
        self.handle(now, Input::OwnMeasurements(zones, list_silence_ms, totals), gossip)
    }

    pub(super) fn tick(&mut self, now: Micros, gossip: &Gossip) -> Vec<Action> {
        self.handle(now, Input::Tick, gossip)
    }

    pub(super) fn receive_row(
        &mut self,
        now: Micros,
        from: Process,
        row: Row,
        gossip: &Gossip,
    ) -> Vec<Action> {
        self.handle(now, Input::Received(from, row), gossip)
    }

    /// Sets the members of the current view.
    pub(super) fn set_members(&mut self, now: Micros, members: Vec<Name>, gossip: &Gossip) -> Vec<Action> {
        self.handle(now, Input::Members(members), gossip)
    }

    /// Sets whether this node holds the exclusive right to report that it is not ready.
    pub(super) fn set_unready_lease(&mut self, now: Micros, held: bool, gossip: &Gossip) -> Vec<Action> {
        self.handle(now, Input::UnreadyLease(held), gossip)
    }

    fn handle(&mut self, now: Micros, input: Input, gossip: &Gossip) -> Vec<Action> {
        let mut out = Vec::new();
        self.health.handle(now, input, &mut out);
        let mut actions = Vec::new();
        for output in out {
            match output {
                Output::SendRow(row) => {
                    let bytes = messages::encode_row(&row);
                    let to = gossip.alive_processes().into_iter().map(|(id, _)| id);
                    actions.extend(to.map(|id: MemberId| Action::Send(id, bytes.clone())));
                }
                Output::Condition(condition) => {
                    let before = std::mem::replace(&mut self.condition, condition.clone());
                    actions.push(Action::Condition(condition, before));
                }
                Output::WantUnready(wanted) => actions.push(Action::RequestUnready(wanted)),
                Output::Ready(ready) => {
                    self.unready.store(!ready, Ordering::Release);
                    actions.push(Action::Ready(ready, self.condition.clone()));
                }
            }
        }
        actions
    }
}
