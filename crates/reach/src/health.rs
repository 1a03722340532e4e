//! How a node takes its own stance: it says that it is not ready while it is worse off than the fleet, alone
//! in that, and while enough others are ready.

use crate::matrix::{Condition, ReachMatrix};
use crate::row::{Lately, MAX_ZONES, Row, ZoneReachability, cut};
use crate::{Micros, Name, Process, ROW_INTERVAL, row_interval};

/// A stance counts once it has lasted for so long.
const LASTS: Micros = 2 * ROW_INTERVAL;
/// A node that stepped aside is ready again once it has been well for so long.
const WELL_FOR: Micros = 5 * ROW_INTERVAL;

/// What a node is told once.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its process.
    pub me: Process,
    /// Its zone; empty if it has none.
    pub zone: String,
    /// The part of the fleet, and of its zone, that is ready without it at least when it says that it is not;
    /// over 1 it never does.
    pub min_ready_fraction: f64,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A process told its row.
    Received(Process, Row),
    /// What this node has seen of servers by zone, the list (milliseconds since it was heard), and, as sums
    /// since the start, requests that were served, that failed, and milliseconds in which it stood still.
    OwnMeasurements(Vec<ZoneReachability>, Option<u32>, [u64; 3]),
    /// The members of the fleet's view, this node among them if it is one; nobody else's row counts.
    Members(Vec<Name>),
    /// Whether this node holds the right to say that it is not ready.
    UnreadyLease(bool),
}

/// What is to be done, or was found.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Tell this row to all members.
    SendRow(Row),
    /// This node is something else than before.
    Condition(Condition),
    /// It wants the right to step aside, or does not any more.
    WantUnready(bool),
    /// It says from now on that it is ready, or that it is not.
    Ready(bool),
}

/// One node's part.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthMonitor {
    settings: Settings,
    matrix: ReachMatrix,
    seen: (Vec<ZoneReachability>, Option<u32>, [u64; 3]),
    lately: Lately,
    beat_at: Micros,
    /// What it was last found to be, and since when.
    found: (Condition, Micros),
    stance: Condition,
    wants: bool,
    may: bool,
    ready: bool,
}

impl HealthMonitor {
    /// A node that starts now, and is ready.
    pub fn new(settings: Settings, now: Micros) -> HealthMonitor {
        let Settings { me, zone, min_ready_fraction: floor } = settings;
        HealthMonitor {
            matrix: ReachMatrix::new(me.name),
            settings: Settings { me, zone: cut(&zone), min_ready_fraction: floor },
            seen: Default::default(),
            lately: Lately::default(),
            beat_at: now,
            found: (Condition::Healthy, now),
            stance: Condition::Healthy,
            wants: false,
            may: false,
            ready: true,
        }
    }

    /// When it wants to be looked at next.
    pub fn next_wakeup(&self) -> Micros {
        self.beat_at
    }

    /// All rows.
    pub fn matrix(&self) -> &ReachMatrix {
        &self.matrix
    }

    /// What this node is.
    pub fn condition(&self) -> &Condition {
        &self.stance
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Takes in what happened, and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Received(from, row) if self.matrix.members().contains(&from.name) => {
                self.matrix.hear(now, from, row)
            }
            Input::Received(..) => {}
            Input::OwnMeasurements(mut zones, list, sums) => {
                zones.iter_mut().for_each(|reach| reach.zone = cut(&reach.zone));
                // Those of which most is known.
                zones.sort_by_key(|reach| std::cmp::Reverse(reach.answering.saturating_add(reach.silent)));
                zones.truncate(MAX_ZONES);
                self.seen = (zones, list, sums);
            }
            Input::Members(members) => {
                self.matrix.set_members(members);
            }
            Input::UnreadyLease(held) => self.may = held,
        }
        if now >= self.beat_at {
            self.beat_at = now + row_interval(self.matrix.members().len());
            self.look(now, out);
        }
        self.settle(now, out);
    }

    /// Makes its own row anew, tells it, and finds out what it is.
    fn look(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (zones, list_ms, sums) = self.seen.clone();
        let [served, failed, stalled] = self.lately.grew(now, sums);
        let span = (self.lately.span(now) / 1000).max(1);
        let count = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let stalled = (stalled * 1000 / span).min(1000) as u16;
        let (zone, ready) = (self.settings.zone.clone(), self.ready);
        let (served, failed) = (count(served), count(failed));
        self.matrix.set_own(
            now,
            Row {
                zone,
                receives_from: Vec::new(),
                zones,
                list_age_ms: list_ms,
                served,
                failed,
                stalled_permille: stalled,
                ready,
            },
        );
        out.push(Output::SendRow(self.matrix.own().clone()));
        // Where nobody is a member yet, nobody is cut off.
        let found = match self.matrix.members().iter().any(|name| *name != self.settings.me.name) {
            true => self.matrix.condition(now, self.settings.me.name),
            false => Condition::Healthy,
        };
        if self.found.0 != found {
            self.found = (found, now);
        }
        let (found, since) = &self.found;
        if *found != self.stance && now.saturating_sub(*since) >= LASTS {
            self.stance = found.clone();
            out.push(Output::Condition(found.clone()));
        }
    }

    /// Whether enough are ready without this one, in the fleet and in its zone.
    fn is_spared(&self, now: Micros) -> bool {
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
        let near: Vec<&Name> = self.matrix.members().iter().filter(in_zone).collect();
        all.contains(&&me) && enough(&all) && enough(&near)
    }

    /// What it wants and says, by what it is and what it may.
    fn settle(&mut self, now: Micros, out: &mut Vec<Output>) {
        let well = self.found.0 == Condition::Healthy && now.saturating_sub(self.found.1) >= WELL_FOR;
        // One that is aside stays so until it has been well for a while.
        let worse = self.stance.is_worse_than_fleet() || self.wants && !well;
        let wants = worse && self.is_spared(now);
        if std::mem::replace(&mut self.wants, wants) != wants {
            out.push(Output::WantUnready(wants));
        }
        let ready = !(wants && self.may);
        if std::mem::replace(&mut self.ready, ready) != ready {
            // The others count on it.
            self.beat_at = now;
            out.push(Output::Ready(ready));
        }
    }
}
