//! How a node determines its own condition and whether it reports that it is not ready: only while it is
//! worse off than the rest of the fleet, and while enough other nodes are ready.

use crate::matrix::{Condition, ReachMatrix};
use crate::row::{MAX_ZONES, Row, WindowedGrowth, ZoneReachability, truncate_zone};
use crate::{Micros, Name, Process, ROW_INTERVAL, row_interval};

/// A condition counts once it has lasted this long.
const MIN_CONDITION_TIME: Micros = 2 * ROW_INTERVAL;
/// A node that is not ready becomes ready once its condition has been healthy for this long.
const RECOVERY_TIME: Micros = 5 * ROW_INTERVAL;

/// Fixed settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This node's process.
    pub me: Process,
    /// Its zone; empty if it has none.
    pub zone: String,
    /// The least fraction of the fleet, and of the node's zone, that has to be ready without this node before
    /// it reports that it is not ready; above 1 it never does.
    pub min_ready_fraction: f64,
}

/// An event for the monitor.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A row was received from its process.
    Received(Process, Row),
    /// This node's own observations: servers by zone; milliseconds since it last heard from the server list,
    /// `None` if never; and sums since the start of requests served, requests failed and milliseconds in
    /// which the process was paused.
    OwnMeasurements(Vec<ZoneReachability>, Option<u32>, [u64; 3]),
    /// The members of the fleet's view, including this node if it is one; rows of other nodes are ignored.
    Members(Vec<Name>),
    /// Whether this node holds the lease to report that it is not ready.
    UnreadyLease(bool),
}

/// An action for the caller, or a notification.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this row to all members.
    SendRow(Row),
    /// The node's condition has changed.
    Condition(Condition),
    /// Whether the node wants the lease to report that it is not ready has changed.
    WantUnready(bool),
    /// Whether the node reports that it is ready has changed.
    Ready(bool),
}

/// Monitors the health of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthMonitor {
    settings: Settings,
    matrix: ReachMatrix,
    own_measurements: (Vec<ZoneReachability>, Option<u32>, [u64; 3]),
    growth: WindowedGrowth,
    send_row_at: Micros,
    /// The condition by the last check, and since when.
    measured: (Condition, Micros),
    condition: Condition,
    wants_unready: bool,
    holds_unready_lease: bool,
    ready: bool,
}

impl HealthMonitor {
    /// A node that starts at `now` and is ready.
    pub fn new(settings: Settings, now: Micros) -> HealthMonitor {
        let Settings { me, zone, min_ready_fraction } = settings;
        HealthMonitor {
            matrix: ReachMatrix::new(me.name),
            settings: Settings { me, zone: truncate_zone(&zone), min_ready_fraction },
            own_measurements: Default::default(),
            growth: WindowedGrowth::default(),
            send_row_at: now,
            measured: (Condition::Healthy, now),
            condition: Condition::Healthy,
            wants_unready: false,
            holds_unready_lease: false,
            ready: true,
        }
    }

    /// When [`Self::handle`] should be called next, even if no event has happened.
    pub fn next_wakeup(&self) -> Micros {
        self.send_row_at
    }

    /// All known rows.
    pub fn matrix(&self) -> &ReachMatrix {
        &self.matrix
    }

    /// The node's own condition.
    pub fn condition(&self) -> &Condition {
        &self.condition
    }

    /// Whether the node reports that it is ready.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Handles an event and appends the resulting outputs.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Received(from, row) if self.matrix.members().contains(&from.name) => {
                self.matrix.record_row(now, from, row)
            }
            Input::Received(..) => {}
            Input::OwnMeasurements(mut zones, list, sums) => {
                zones.iter_mut().for_each(|reach| reach.zone = truncate_zone(&reach.zone));
                // Keeps the zones with the most servers.
                zones.sort_by_key(|reach| std::cmp::Reverse(reach.answering.saturating_add(reach.silent)));
                zones.truncate(MAX_ZONES);
                self.own_measurements = (zones, list, sums);
            }
            Input::Members(members) => {
                self.matrix.set_members(members);
            }
            Input::UnreadyLease(held) => self.holds_unready_lease = held,
        }
        if now >= self.send_row_at {
            self.send_row_at = now + row_interval(self.matrix.members().len());
            self.update_row(now, out);
        }
        self.update_readiness(now, out);
    }

    /// Updates and sends the node's own row, and determines its condition.
    fn update_row(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (zones, list_age_ms, sums) = self.own_measurements.clone();
        let [served, failed, stalled] = self.growth.record(now, sums);
        let covered_ms = (self.growth.covered_time(now) / 1000).max(1);
        let count = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let stalled_permille = (stalled * 1000 / covered_ms).min(1000) as u16;
        let (zone, ready) = (self.settings.zone.clone(), self.ready);
        let (served, failed) = (count(served), count(failed));
        self.matrix.set_own(
            now,
            Row {
                zone,
                receives_from: Vec::new(),
                zones,
                list_age_ms,
                served,
                failed,
                stalled_permille,
                ready,
            },
        );
        out.push(Output::SendRow(self.matrix.own().clone()));
        // As long as no other node is a member, this node cannot be cut off.
        let measured = match self.matrix.members().iter().any(|name| *name != self.settings.me.name) {
            true => self.matrix.condition(now, self.settings.me.name),
            false => Condition::Healthy,
        };
        if self.measured.0 != measured {
            self.measured = (measured, now);
        }
        let (measured, since) = &self.measured;
        if *measured != self.condition && now.saturating_sub(*since) >= MIN_CONDITION_TIME {
            self.condition = measured.clone();
            out.push(Output::Condition(measured.clone()));
        }
    }

    /// Whether enough other nodes are ready, in the fleet and in this node's zone.
    fn enough_others_ready(&self, now: Micros) -> bool {
        let me = self.settings.me.name;
        let zone = &self.settings.zone;
        let ready = |name: &&Name| **name != me && self.matrix.row(now, **name).is_some_and(|row| row.ready);
        let in_zone =
            |name: &&Name| **name == me || self.matrix.row(now, **name).is_some_and(|r| r.zone == *zone);
        let enough = |all: &[&Name]| {
            let ready = all.iter().copied().filter(|name| ready(name)).count();
            ready as f64 >= self.settings.min_ready_fraction * all.len() as f64 && ready > 0
        };
        let all: Vec<&Name> = self.matrix.members().iter().collect();
        let same_zone: Vec<&Name> = self.matrix.members().iter().filter(in_zone).collect();
        all.contains(&&me) && enough(&all) && enough(&same_zone)
    }

    /// Updates whether the node wants the lease and whether it reports ready.
    fn update_readiness(&mut self, now: Micros, out: &mut Vec<Output>) {
        let is_recovered =
            self.measured.0 == Condition::Healthy && now.saturating_sub(self.measured.1) >= RECOVERY_TIME;
        // A node that is not ready stays so until it has been healthy for a while.
        let should_be_unready = self.condition.is_worse_than_fleet() || self.wants_unready && !is_recovered;
        let wants_unready = should_be_unready && self.enough_others_ready(now);
        if std::mem::replace(&mut self.wants_unready, wants_unready) != wants_unready {
            out.push(Output::WantUnready(wants_unready));
        }
        let ready = !(wants_unready && self.holds_unready_lease);
        if std::mem::replace(&mut self.ready, ready) != ready {
            // The other nodes use this at once.
            self.send_row_at = now;
            out.push(Output::Ready(ready));
        }
    }
}
