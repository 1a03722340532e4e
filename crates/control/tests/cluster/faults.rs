//! Faults by chance, then calm, in which the group has to work again.

use super::machine::{Machine, control};
use super::mistake::Mistake;
use super::world::{Event, World};
use super::{MILLISECOND, SECOND};

/// A machine that lost its disk may be lost again after so long in calm.
const CATCH_UP: u64 = 4 * SECOND;

/// What a run did.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Outcome {
    pub(crate) steps: u64,
    pub(crate) acknowledgements: usize,
}

/// Runs faults by chance on so many machines, mends everything, and checks that the group works.
pub(crate) fn run_schedule(size: usize, seed: u64, faults: u32, mistake: Option<Mistake>) -> Outcome {
    let mut world = World::new(size, seed, mistake);
    let led = world.run_until(10 * SECOND, |world| !world.holders().is_empty());
    assert!(led, "no leader at the start");
    for _ in 0..faults {
        world.fault();
        let wait = world.random.u64(20 * MILLISECOND..900 * MILLISECOND);
        world.run_for(wait);
        if !world.lost.is_empty() && world.random.u32(0..5) == 0 {
            world.calm();
        }
    }
    world.mend();
    world.assert_works();
    Outcome { steps: world.steps, acknowledgements: world.checks.acknowledgements }
}

impl World {
    fn fault(&mut self) {
        let running: Vec<usize> =
            (0..self.machines.len()).filter(|place| !self.machines[*place].gone).collect();
        let any = running[self.random.usize(0..running.len())];
        let holder = self.holders().first().copied().unwrap_or(any);
        let at = if self.random.bool() { holder } else { any };
        let other = running[self.random.usize(0..running.len())];
        let wait = self.random.u64(50 * MILLISECOND..2 * SECOND);
        match self.random.u32(0..28) {
            0 | 1 => {
                self.machines[at].kill(&mut self.random);
                self.after(wait, Event::Start(at));
            }
            2 | 3 => self.lose_power(at, wait),
            4 => running.iter().for_each(|at| self.lose_power(*at, wait)),
            5 | 6 => self.machines[at].frozen_until = self.now + wait,
            7 => self.machines[at].frozen_until = self.now + 5 * wait,
            8 | 9 => running.iter().for_each(|to| {
                self.cuts.extend([(at, *to), (*to, at)]);
            }),
            10 => drop(self.cuts.insert((at, other))),
            11 => self.cuts.extend(running.iter().map(|to| (at, *to))),
            12 => self.cuts.extend(running.iter().map(|from| (*from, at))),
            13 => self.loss = self.random.u32(0..40),
            14 => self.machines[at].disk_slowness = self.random.u64(2..3_000),
            15 => self.machines[at].disk.inner.set_full(true),
            16 | 17 => self.mend_disks(),
            18 => self.terminate(at),
            19 if self.may_lose(at) => self.lose_disk(at, false),
            20 if self.may_lose(at) => self.lose_disk(at, true),
            21 if self.may_lose(at) => self.replace(at, wait),
            22 | 23 if self.lost.len() < self.tolerated => self.wipe_after_ack = Some(self.random.bool()),
            _ => {
                self.cuts.clear();
                self.loss = 0;
            }
        }
    }

    fn may_lose(&self, at: usize) -> bool {
        self.lost.len() < self.tolerated || (self.lost.contains(&at) && self.lost.len() <= self.tolerated)
    }

    fn mend_disks(&mut self) {
        for machine in &mut self.machines {
            machine.disk.inner.set_full(false);
            machine.disk_slowness = 1;
        }
    }

    fn lose_power(&mut self, at: usize, wait: u64) {
        self.machines[at].lose_power(&mut self.random);
        self.after(wait, Event::Start(at));
    }

    /// A disk is lost with all that it held; with `power`, the others lose power at that moment.
    pub(crate) fn lose_disk(&mut self, at: usize, power: bool) {
        if self.machines[at].gone || !self.may_lose(at) {
            return;
        }
        self.note_lost(at);
        self.machines[at].wipe(&mut self.random);
        self.machines[at].bootstrap = self.mistake == Some(Mistake::SameIdentityAfterWipe);
        let wait = self.random.u64(50 * MILLISECOND..2 * SECOND);
        self.after(wait, Event::Start(at));
        for other in (0..self.machines.len()).filter(|other| power && *other != at) {
            self.lose_power(other, wait);
        }
    }

    fn note_lost(&mut self, at: usize) {
        if !self.lost.contains(&at) {
            self.lost.push(at);
        }
    }

    /// A machine goes for good, and an empty one comes at another address.
    fn replace(&mut self, at: usize, wait: u64) {
        self.lost.retain(|lost| *lost != at);
        self.machines[at].kill(&mut self.random);
        self.machines[at].gone = true;
        let place = self.machines.len();
        let machine = Machine::new(place + 1, false, &mut self.random, self.mistake);
        self.machines.push(machine);
        self.note_lost(place);
        self.after(wait, Event::Start(place));
        let seeds = self.seeds();
        for machine in &mut self.machines {
            if let Some(process) = &mut machine.process {
                process.node.set_seeds(&seeds);
            }
        }
    }

    fn terminate(&mut self, at: usize) {
        let Some(process) = &mut self.machines[at].process else { return };
        process.ending = true;
        let number = process.number;
        self.act(at, |node, now, effects| node.hand_over(now, effects));
        self.after(100 * MILLISECOND, Event::End { at, process: number });
    }

    /// Ends all faults.
    fn mend(&mut self) {
        self.cuts.clear();
        self.loss = 0;
        self.wipe_after_ack = None;
        self.mend_disks();
        for place in 0..self.machines.len() {
            self.machines[place].frozen_until = self.now;
            self.after(0, Event::Start(place));
        }
    }

    /// All is well for as long as a machine that was lost may take to catch up.
    fn calm(&mut self) {
        self.mend();
        self.run_for(3 * SECOND);
        self.mend();
        self.run_for(CATCH_UP);
        self.lost.clear();
    }

    /// The group has a holder of the lease, operators get through, and all machines come to the same version.
    fn assert_works(&mut self) {
        let whole = self.run_until(15 * SECOND, |world| {
            let Some(holder) = world.holders().first().copied() else { return false };
            let node = &world.machines[holder].process.as_ref().expect("a holder runs").node;
            let members = node.replica().membership();
            members.voters.len() == 2 * world.tolerated + 1 && members.incoming.is_none()
        });
        assert!(whole, "the group is not whole again");
        let before = self.checks.acknowledgements;
        let works = self.run_until(15 * SECOND, |world| world.checks.acknowledgements > before);
        assert!(works, "no order gets through");
        let floor = self.checks.floor;
        let fed = self.run_until(10 * SECOND, |world| {
            let mut there = world.machines.iter().filter(|machine| !machine.gone);
            there.all(|machine| machine.process.as_ref().is_some_and(|process| process.fed >= floor))
        });
        assert!(fed, "not all machines feed version {floor}");
        let seeds = self.seeds();
        assert!(seeds.contains(&control(self.machines[self.machines.len() - 1].number)));
    }
}
