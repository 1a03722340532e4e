//! How a node takes its own stance: it says that it is not ready while it is worse off than the fleet, alone in that,
//! and while enough others are ready.

use crate::matrix::{Matrix, Stance};
use crate::row::{Lately, Row, ZONES_MOST, ZoneReach, cut};
use crate::{BEAT, Micros, Name, Process, beat};

/// A stance counts once it has lasted for so long.
const LASTS: Micros = 2 * BEAT;
/// A node that stepped aside is ready again once it has been well for so long.
const WELL_FOR: Micros = 5 * BEAT;

/// What a node is told once.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its process.
    pub me: Process,
    /// Its zone; empty if it has none.
    pub zone: String,
    /// The part of the fleet, and of its zone, that is ready without it at least when it says that it is not; over 1 it
    /// never does.
    pub floor: f64,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A process told its row.
    Heard(Process, Row),
    /// What this node has seen of servers by zone, the list (milliseconds since it was heard), and, as sums since the
    /// start, requests that were served, that failed, and milliseconds in which it stood still.
    Own(Vec<ZoneReach>, Option<u32>, [u64; 3]),
    /// The members of the fleet's view, this node among them if it is one; nobody else's row counts.
    Members(Vec<Name>),
    /// Whether this node holds the right to say that it is not ready.
    Aside(bool),
}

/// What is to be done, or was found.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Tell this row to all members.
    Tell(Row),
    /// This node is something else than before.
    Stance(Stance),
    /// It wants the right to step aside, or does not any more.
    WantsAside(bool),
    /// It says from now on that it is ready, or that it is not.
    Ready(bool),
}

/// One node's part.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    settings: Settings,
    matrix: Matrix,
    seen: (Vec<ZoneReach>, Option<u32>, [u64; 3]),
    lately: Lately,
    beat_at: Micros,
    /// What it was last found to be, and since when.
    found: (Stance, Micros),
    stance: Stance,
    wants: bool,
    may: bool,
    ready: bool,
}

impl Health {
    /// A node that starts now, and is ready.
    pub fn new(settings: Settings, now: Micros) -> Health {
        let Settings { me, zone, floor } = settings;
        Health {
            matrix: Matrix::new(me.name),
            settings: Settings { me, zone: cut(&zone), floor },
            seen: Default::default(),
            lately: Lately::default(),
            beat_at: now,
            found: (Stance::Well, now),
            stance: Stance::Well,
            wants: false,
            may: false,
            ready: true,
        }
    }

    /// When it wants to be looked at next.
    pub fn next(&self) -> Micros {
        self.beat_at
    }

    /// All rows.
    pub fn matrix(&self) -> &Matrix {
        &self.matrix
    }

    /// What this node is.
    pub fn stance(&self) -> &Stance {
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
            Input::Heard(from, row) if self.matrix.members().contains(&from.name) => {
                self.matrix.hear(now, from, row)
            }
            Input::Heard(..) => {}
            Input::Own(mut zones, list, sums) => {
                zones.iter_mut().for_each(|reach| reach.zone = cut(&reach.zone));
                // Those of which most is known.
                zones.sort_by_key(|reach| std::cmp::Reverse(reach.answer.saturating_add(reach.silent)));
                zones.truncate(ZONES_MOST);
                self.seen = (zones, list, sums);
            }
            Input::Members(members) => {
                self.matrix.set_members(members);
            }
            Input::Aside(held) => self.may = held,
        }
        if now >= self.beat_at {
            self.beat_at = now + beat(self.matrix.members().len());
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
        self.matrix
            .set_own(now, Row { zone, hears: Vec::new(), zones, list_ms, served, failed, stalled, ready });
        out.push(Output::Tell(self.matrix.own().clone()));
        // Where nobody is a member yet, nobody is cut off.
        let found = match self.matrix.members().iter().any(|name| *name != self.settings.me.name) {
            true => self.matrix.stance(now, self.settings.me.name),
            false => Stance::Well,
        };
        if self.found.0 != found {
            self.found = (found, now);
        }
        let (found, since) = &self.found;
        if *found != self.stance && now.saturating_sub(*since) >= LASTS {
            self.stance = found.clone();
            out.push(Output::Stance(found.clone()));
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
            ready as f64 >= self.settings.floor * all.len() as f64 && ready > 0
        };
        let all: Vec<&Name> = self.matrix.members().iter().collect();
        let near: Vec<&Name> = self.matrix.members().iter().filter(in_zone).collect();
        all.contains(&&me) && enough(&all) && enough(&near)
    }

    /// What it wants and says, by what it is and what it may.
    fn settle(&mut self, now: Micros, out: &mut Vec<Output>) {
        let well = self.found.0 == Stance::Well && now.saturating_sub(self.found.1) >= WELL_FOR;
        // One that is aside stays so until it has been well for a while.
        let worse = self.stance.is_worse() || self.wants && !well;
        let wants = worse && self.is_spared(now);
        if std::mem::replace(&mut self.wants, wants) != wants {
            out.push(Output::WantsAside(wants));
        }
        let ready = !(wants && self.may);
        if std::mem::replace(&mut self.ready, ready) != ready {
            // The others count on it.
            self.beat_at = now;
            out.push(Output::Ready(ready));
        }
    }
}
