//! One server: what it works on, what waits, how fast it is. Work is counted on a clock of its own that runs as fast as
//! each request on it is worked on, so that a change of speed touches nothing but that clock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use cherryusher::ServerState;

use crate::Micros;

/// Over how long what a server is sent is added up against what it can do, and in how many steps.
const WINDOW: Micros = 2_000_000;
const STEP: Micros = WINDOW / 10;
/// So few requests push nothing over.
const FEW: u32 = 8;

/// What becomes of a request that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is worked on.
    Started,
    /// It waits.
    Queued,
    /// It is turned away.
    Full,
    /// Nobody is there.
    Down,
}

/// How a server is made.
#[derive(Clone, Debug)]
pub struct ServerParameters {
    /// How many requests it works on at full speed.
    pub cores: u32,
    /// Whether it works on all at once.
    pub shares: bool,
    /// How many may wait, or be there.
    pub queue: usize,
    /// Its speed when warm.
    pub speed: f64,
    /// The part of it that it starts with.
    pub cold_from: f64,
    /// Until it has all.
    pub warm_up: Micros,
    /// The multiple of what it can do that pushes it over; 0 for none.
    pub falls_at: f64,
}

/// A server.
#[derive(Debug)]
pub struct SimulatedServer {
    make: ServerParameters,
    /// What the list should say.
    pub state: ServerState,
    /// When it last started; 0 for long ago.
    pub started: Micros,
    /// Counted up with each change that the list tells of.
    pub version: u32,
    /// How many stalls are on.
    pub stalls: u32,
    /// What is left of its speed in brown-outs.
    pub slow: f64,
    /// The part of answers that are lost with their connection.
    pub resets: f64,
    running: BinaryHeap<Reverse<(u64, u64)>>,
    waiting: VecDeque<(u64, f64)>,
    /// The clock of work, when it was read, and how fast it ran since.
    clock: f64,
    read_at: Micros,
    rate: f64,
    /// Counted up whenever the next end may have moved.
    pub serial: u64,
    sent: [(f64, u32); 10],
    sent_step: Micros,
    /// The integral over time of how many are here.
    pub here: f64,
    /// The same of cores at work.
    pub busy: f64,
}

impl SimulatedServer {
    /// A warm server.
    pub fn new(make: ServerParameters) -> SimulatedServer {
        let rate = make.speed;
        SimulatedServer {
            make,
            state: ServerState::Ready,
            started: 0,
            version: 0,
            stalls: 0,
            slow: 1.0,
            resets: 0.0,
            running: BinaryHeap::new(),
            waiting: VecDeque::new(),
            clock: 0.0,
            read_at: 0,
            rate,
            serial: 0,
            sent: [(0.0, 0); 10],
            sent_step: 0,
            here: 0.0,
            busy: 0.0,
        }
    }

    /// How many requests are here.
    pub fn count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// The part of its speed that it has by its age.
    pub fn ramp(&self, now: Micros) -> f64 {
        if self.started == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.started) as f64 / self.make.warm_up.max(1) as f64;
        self.make.cold_from + (1.0 - self.make.cold_from) * age.min(1.0)
    }

    /// How many requests it works on at full speed.
    pub fn cores(&self) -> u32 {
        self.make.cores
    }

    /// How fast it works on a request that is alone, now.
    pub fn speed(&self, now: Micros) -> f64 {
        let stalls = if self.stalls > 0 { 0.0 } else { 1.0 };
        self.make.speed * self.slow * self.ramp(now) * stalls
    }

    /// For how long one more request of this work would be here, as far as that can be known.
    pub fn expected_sojourn(&self, now: Micros, work: f64) -> f64 {
        if self.state == ServerState::Gone {
            return f64::INFINITY;
        }
        let left: f64 =
            self.running.iter().map(|Reverse((end, _))| (f64::from_bits(*end) - self.clock).max(0.0)).sum();
        let left = left + self.waiting.iter().map(|(_, work)| work).sum::<f64>();
        let cores = f64::from(self.make.cores);
        let ahead = match self.count() < self.make.cores as usize {
            true => work,
            false => work + left / cores,
        };
        ahead / self.speed(now).max(1e-9)
    }

    /// Moves its clock of work on.
    fn read(&mut self, now: Micros) {
        let span = now.saturating_sub(self.read_at) as f64;
        self.here += span * self.count() as f64;
        self.busy += span * (self.running.len() as f64).min(f64::from(self.make.cores));
        self.clock += span * self.rate;
        self.read_at = now;
    }

    /// Sets the speed of that clock anew.
    fn set(&mut self, now: Micros) {
        let crowd = match self.make.shares {
            true => (f64::from(self.make.cores) / (self.running.len() as f64).max(1.0)).min(1.0),
            false => 1.0,
        };
        self.rate = self.speed(now) * crowd;
        self.serial += 1;
    }

    /// Something about its speed has changed.
    pub fn turned(&mut self, now: Micros) {
        self.read(now);
        self.set(now);
    }

    fn begin(&mut self, id: u64, work: f64) {
        // Bits of numbers from 0 on are in the order of the numbers.
        self.running.push(Reverse(((self.clock + work.max(0.0)).to_bits(), id)));
    }

    /// A request comes.
    pub fn arrive(&mut self, now: Micros, id: u64, work: f64) -> Admission {
        if self.state == ServerState::Gone {
            return Admission::Down;
        }
        self.read(now);
        let cores = self.make.cores as usize;
        let taken = match self.make.shares {
            true if self.running.len() < cores.max(self.make.queue) => Admission::Started,
            false if self.running.len() < cores => Admission::Started,
            false if self.waiting.len() < self.make.queue => Admission::Queued,
            _ => Admission::Full,
        };
        match taken {
            Admission::Started => self.begin(id, work),
            Admission::Queued => self.waiting.push_back((id, work)),
            _ => {}
        }
        self.set(now);
        taken
    }

    /// Whether what came over the last while pushes it over; told of each that comes.
    pub fn pushed(&mut self, now: Micros, work: f64) -> bool {
        let step = now / STEP;
        for stale in (self.sent_step + 1..=step).take(self.sent.len()) {
            self.sent[(stale % 10) as usize] = (0.0, 0);
        }
        self.sent_step = step;
        let of_step = &mut self.sent[(step % 10) as usize];
        *of_step = (of_step.0 + work, of_step.1 + 1);
        let (work, count) = self.sent.iter().fold((0.0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let able = f64::from(self.make.cores) * self.make.speed * self.ramp(now) * WINDOW as f64;
        self.make.falls_at > 0.0 && count > FEW && work > self.make.falls_at * able
    }

    /// When the next request is done, if nothing changes; nothing if none moves.
    pub fn next(&self) -> Option<Micros> {
        let Reverse((end, _)) = self.running.peek()?;
        if self.rate <= 0.0 {
            return None;
        }
        let left = (f64::from_bits(*end) - self.clock).max(0.0) / self.rate;
        (left < 1e15).then(|| self.read_at + left.ceil() as Micros)
    }

    /// The request that is done, if one is, and the one that is worked on in its place.
    pub fn done(&mut self, now: Micros) -> Option<(u64, Option<u64>)> {
        self.read(now);
        let Reverse((end, id)) = *self.running.peek()?;
        // A part of a microsecond may be missing by rounding.
        if f64::from_bits(end) > self.clock + 1e-3 {
            return None;
        }
        self.running.pop();
        let next = self.waiting.pop_front();
        if let Some((id, work)) = next {
            self.begin(id, work);
        }
        self.set(now);
        Some((id, next.map(|(id, _)| id)))
    }

    /// Takes out a request that only waits; whether it did.
    pub fn withdraw(&mut self, now: Micros, id: u64) -> bool {
        let Some(at) = self.waiting.iter().position(|(waiting, _)| *waiting == id) else { return false };
        self.read(now);
        self.waiting.remove(at);
        true
    }

    /// It is gone, with all that it had.
    pub fn fall(&mut self, now: Micros) -> Vec<u64> {
        self.read(now);
        self.state = ServerState::Gone;
        self.version += 1;
        let mut lost: Vec<u64> = self.running.drain().map(|Reverse((_, id))| id).collect();
        lost.sort_unstable();
        lost.extend(self.waiting.drain(..).map(|(id, _)| id));
        self.set(now);
        lost
    }

    /// It is back, and cold.
    pub fn start(&mut self, now: Micros) {
        self.read(now);
        (self.state, self.started) = (ServerState::Ready, now.max(1));
        self.version += 1;
        self.sent = [(0.0, 0); 10];
        self.set(now);
    }
}
