//! The model of one server: running and queued requests, and its speed. The progress of work is measured by a
//! virtual clock that advances at the speed at which each request is executed, so that a change of speed
//! affects only the clock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use cherryusher::ServerState;

use crate::Micros;

/// The sliding window in which the offered work is compared to the capacity, and its step.
const OVERLOAD_WINDOW: Micros = 2_000_000;
const OVERLOAD_STEP: Micros = OVERLOAD_WINDOW / 10;
/// This number of requests in the window never overloads a server.
const MIN_OVERLOAD_REQUESTS: u32 = 8;

/// What a server does with a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is executed at once.
    Started,
    /// It is queued.
    Queued,
    /// It is rejected, because the queue is full.
    Full,
    /// The server is down.
    Down,
}

/// The parameters of a server.
#[derive(Clone, Debug)]
pub struct ServerParameters {
    /// The number of requests that it executes at full speed.
    pub cores: u32,
    /// Whether it executes all requests at once, each slower (processor sharing).
    pub shares: bool,
    /// The maximum number of queued requests; with processor sharing, of running ones.
    pub queue: usize,
    /// Its speed when warm.
    pub speed: f64,
    /// The fraction of the speed right after a start.
    pub cold_from: f64,
    /// The time from a start to full speed.
    pub warm_up: Micros,
    /// The multiple of its capacity at which it crashes from overload; 0 for never.
    pub falls_at: f64,
}

/// A simulated server.
#[derive(Debug)]
pub struct SimulatedServer {
    parameters: ServerParameters,
    /// The state that the server list should have.
    pub state: ServerState,
    /// When it last started; 0 if it was warm at the start of the simulation.
    pub started: Micros,
    /// Incremented with each change that is published in the server list.
    pub version: u32,
    /// The number of active stall faults.
    pub stalls: u32,
    /// The factor of the speed by slow-down faults.
    pub slow: f64,
    /// The fraction of replies that are lost by connection resets.
    pub resets: f64,
    running: BinaryHeap<Reverse<(u64, u64)>>,
    waiting: VecDeque<(u64, f64)>,
    /// The virtual clock, when it was last updated, and its rate since.
    clock: f64,
    clock_at: Micros,
    rate: f64,
    /// Incremented whenever the time of the next completion may have changed.
    pub serial: u64,
    /// Work and number of the requests that arrived in each step of the window.
    offered: [(f64, u32); 10],
    offered_step: Micros,
    /// The integral over time of the number of requests at the server.
    pub count_integral: f64,
    /// The integral over time of the number of busy cores.
    pub busy_integral: f64,
}

impl SimulatedServer {
    /// Creates a warm server.
    pub fn new(parameters: ServerParameters) -> SimulatedServer {
        let rate = parameters.speed;
        SimulatedServer {
            parameters,
            state: ServerState::Ready,
            started: 0,
            version: 0,
            stalls: 0,
            slow: 1.0,
            resets: 0.0,
            running: BinaryHeap::new(),
            waiting: VecDeque::new(),
            clock: 0.0,
            clock_at: 0,
            rate,
            serial: 0,
            offered: [(0.0, 0); 10],
            offered_step: 0,
            count_integral: 0.0,
            busy_integral: 0.0,
        }
    }

    /// The number of requests that are running or queued.
    pub fn count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// The fraction of full speed, by the time since the start.
    pub fn ramp(&self, now: Micros) -> f64 {
        if self.started == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.started) as f64 / self.parameters.warm_up.max(1) as f64;
        self.parameters.cold_from + (1.0 - self.parameters.cold_from) * age.min(1.0)
    }

    /// The number of requests that it executes at full speed.
    pub fn cores(&self) -> u32 {
        self.parameters.cores
    }

    /// The current speed of a request that is alone.
    pub fn speed(&self, now: Micros) -> f64 {
        let stalls = if self.stalls > 0 { 0.0 } else { 1.0 };
        self.parameters.speed * self.slow * self.ramp(now) * stalls
    }

    /// The expected time that one more request of this work would spend at the server, in microseconds.
    pub fn expected_sojourn(&self, now: Micros, work: f64) -> f64 {
        if self.state == ServerState::Gone {
            return f64::INFINITY;
        }
        let remaining: f64 =
            self.running.iter().map(|Reverse((end, _))| (f64::from_bits(*end) - self.clock).max(0.0)).sum();
        let remaining = remaining + self.waiting.iter().map(|(_, work)| work).sum::<f64>();
        let cores = f64::from(self.parameters.cores);
        let total_work = match self.count() < self.parameters.cores as usize {
            true => work,
            false => work + remaining / cores,
        };
        total_work / self.speed(now).max(1e-9)
    }

    /// Advances the virtual clock and the integrals to `now`.
    fn advance(&mut self, now: Micros) {
        let span = now.saturating_sub(self.clock_at) as f64;
        self.count_integral += span * self.count() as f64;
        self.busy_integral += span * (self.running.len() as f64).min(f64::from(self.parameters.cores));
        self.clock += span * self.rate;
        self.clock_at = now;
    }

    /// Updates the rate of the virtual clock.
    fn update_rate(&mut self, now: Micros) {
        let sharing = match self.parameters.shares {
            true => (f64::from(self.parameters.cores) / (self.running.len() as f64).max(1.0)).min(1.0),
            false => 1.0,
        };
        self.rate = self.speed(now) * sharing;
        self.serial += 1;
    }

    /// Applies a change of the speed.
    pub fn update_speed(&mut self, now: Micros) {
        self.advance(now);
        self.update_rate(now);
    }

    fn start_request(&mut self, id: u64, work: f64) {
        // The bits of non-negative floats have the same order as the floats.
        self.running.push(Reverse(((self.clock + work.max(0.0)).to_bits(), id)));
    }

    /// A request arrives.
    pub fn arrive(&mut self, now: Micros, id: u64, work: f64) -> Admission {
        if self.state == ServerState::Gone {
            return Admission::Down;
        }
        self.advance(now);
        let cores = self.parameters.cores as usize;
        let admission = match self.parameters.shares {
            true if self.running.len() < cores.max(self.parameters.queue) => Admission::Started,
            false if self.running.len() < cores => Admission::Started,
            false if self.waiting.len() < self.parameters.queue => Admission::Queued,
            _ => Admission::Full,
        };
        match admission {
            Admission::Started => self.start_request(id, work),
            Admission::Queued => self.waiting.push_back((id, work)),
            _ => {}
        }
        self.update_rate(now);
        admission
    }

    /// Records the work of an arriving request, and returns whether the server is now overloaded and crashes.
    pub fn is_overloaded(&mut self, now: Micros, work: f64) -> bool {
        let step = now / OVERLOAD_STEP;
        for stale in (self.offered_step + 1..=step).take(self.offered.len()) {
            self.offered[(stale % 10) as usize] = (0.0, 0);
        }
        self.offered_step = step;
        let current = &mut self.offered[(step % 10) as usize];
        *current = (current.0 + work, current.1 + 1);
        let (work, count) = self.offered.iter().fold((0.0, 0), |sum, step| (sum.0 + step.0, sum.1 + step.1));
        let capacity = f64::from(self.parameters.cores)
            * self.parameters.speed
            * self.ramp(now)
            * OVERLOAD_WINDOW as f64;
        self.parameters.falls_at > 0.0
            && count > MIN_OVERLOAD_REQUESTS
            && work > self.parameters.falls_at * capacity
    }

    /// When the next request completes if nothing changes; `None` if none is running or the server is
    /// stalled.
    pub fn next(&self) -> Option<Micros> {
        let Reverse((end, _)) = self.running.peek()?;
        if self.rate <= 0.0 {
            return None;
        }
        let remaining = (f64::from_bits(*end) - self.clock).max(0.0) / self.rate;
        (remaining < 1e15).then(|| self.clock_at + remaining.ceil() as Micros)
    }

    /// Completes a request whose work is done, if there is one; returns it and the queued request that starts
    /// in its place.
    pub fn done(&mut self, now: Micros) -> Option<(u64, Option<u64>)> {
        self.advance(now);
        let Reverse((end, id)) = *self.running.peek()?;
        // Rounding may leave a fraction of a microsecond.
        if f64::from_bits(end) > self.clock + 1e-3 {
            return None;
        }
        self.running.pop();
        let next = self.waiting.pop_front();
        if let Some((id, work)) = next {
            self.start_request(id, work);
        }
        self.update_rate(now);
        Some((id, next.map(|(id, _)| id)))
    }

    /// Removes a queued request; returns whether it was in the queue.
    pub fn withdraw(&mut self, now: Micros, id: u64) -> bool {
        let Some(at) = self.waiting.iter().position(|(waiting, _)| *waiting == id) else { return false };
        self.advance(now);
        self.waiting.remove(at);
        true
    }

    /// Stops the server, and returns the requests that it had.
    pub fn stop(&mut self, now: Micros) -> Vec<u64> {
        self.advance(now);
        self.state = ServerState::Gone;
        self.version += 1;
        let mut lost: Vec<u64> = self.running.drain().map(|Reverse((_, id))| id).collect();
        lost.sort_unstable();
        lost.extend(self.waiting.drain(..).map(|(id, _)| id));
        self.update_rate(now);
        lost
    }

    /// Starts the server again, cold.
    pub fn start(&mut self, now: Micros) {
        self.advance(now);
        (self.state, self.started) = (ServerState::Ready, now.max(1));
        self.version += 1;
        self.offered = [(0.0, 0); 10];
        self.update_rate(now);
    }
}
