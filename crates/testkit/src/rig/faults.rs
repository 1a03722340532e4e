//! Faults, and time lines of them that are drawn from a seed.

use std::fmt;
use std::time::Duration;

use fastrand::Rng;

use super::paths::Weather;

/// How a stand-in server does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Conduct {
    /// It answers after this time.
    Answers(Duration),
    /// It reads, runs what it is sent, and says nothing.
    Silent,
    /// It answers 503 without having run anything.
    Fails,
}

/// Something that is done to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// SIGKILL to a node.
    Kill(usize),
    /// SIGTERM to it, once its clients have written what they will.
    End(usize),
    /// A node that does not run is started, under its name and at its address.
    Start(usize),
    /// SIGSTOP.
    Pause(usize),
    /// SIGCONT.
    Wake(usize),
    /// Nodes of different sides do not reach each other; one that is on no side reaches all.
    Cut(Vec<Vec<usize>>),
    /// Nothing passes from one node to another; what comes back does.
    OneWay(usize, usize),
    /// Nothing passes between a node and its servers, or does again.
    Servers(usize, bool),
    /// Nothing passes between a node and the list, or does again.
    List(usize, bool),
    /// What all paths between nodes do, cuts apart.
    Weather(Weather),
    /// All paths are fair again.
    Heal,
    /// A server does otherwise from now on.
    Conduct(usize, Conduct),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Faults, each with its time from the start.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeLine {
    /// What it was drawn from.
    pub seed: u64,
    /// In the order of time. All is mended at the end.
    pub faults: Vec<(Duration, Fault)>,
}

impl fmt::Display for TimeLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "time line of seed {}:", self.seed)?;
        self.faults.iter().try_for_each(|(at, fault)| writeln!(f, "  {:>6} ms  {fault}", at.as_millis()))
    }
}

impl TimeLine {
    /// A time line for so many nodes and servers: a few faults at a time, never all nodes down, everything mended
    /// at `span`.
    pub fn drawn(seed: u64, nodes: usize, servers: usize, span: Duration) -> TimeLine {
        let mut dice = Rng::with_seed(seed);
        let mut faults = Vec::new();
        let count = dice.usize(3..=6);
        for _ in 0..count {
            let at = span.mul_f64(0.05 + 0.7 * dice.f64());
            // It is over within the time line, and its end does not fall together with the mending of all.
            let until = at + (span.mul_f64(0.95) - at).mul_f64(0.2 + 0.7 * dice.f64());
            let node = dice.usize(..nodes);
            let (fault, end) = match dice.u8(..8) {
                0 | 1 => (Fault::Kill(node), Some(Fault::Start(node))),
                2 => (Fault::Pause(node), Some(Fault::Wake(node))),
                3 | 4 => (Fault::Cut(sides(nodes, &mut dice)), Some(Fault::Heal)),
                5 => (Fault::OneWay(node, (node + dice.usize(1..nodes)) % nodes), Some(Fault::Heal)),
                6 => {
                    let (loss, doubled) = (0.3 * dice.f64(), 0.1 * dice.f64());
                    let delay = (Duration::ZERO, Duration::from_millis(dice.u64(1..40)));
                    let weather = Weather { loss, doubled, delay, cut: false };
                    (Fault::Weather(weather), Some(Fault::Heal))
                }
                _ => {
                    let server = dice.usize(..servers);
                    let fails = if dice.bool() { Conduct::Silent } else { Conduct::Fails };
                    let well = Conduct::Answers(Duration::from_millis(20));
                    (Fault::Conduct(server, fails), Some(Fault::Conduct(server, well)))
                }
            };
            faults.push((at, fault));
            faults.extend(end.map(|end| (until, end)));
        }
        faults.sort_by_key(|(at, _)| *at);
        let mut line = TimeLine { seed, faults };
        line.make_sound(nodes);
        line.faults.push((span, Fault::Heal));
        line
    }

    /// Takes out what can't be done: a node that is down is neither killed nor paused, and one always runs.
    fn make_sound(&mut self, nodes: usize) {
        let mut up = vec![true; nodes];
        let mut awake = vec![true; nodes];
        self.faults.retain(|(_, fault)| match fault {
            Fault::Kill(node) => {
                let running = (0..nodes).filter(|n| up[*n] && awake[*n]).count();
                let may = up[*node] && awake[*node] && running > 1;
                up[*node] &= !may;
                may
            }
            Fault::Start(node) => !std::mem::replace(&mut up[*node], true),
            Fault::Pause(node) => {
                let running = (0..nodes).filter(|n| up[*n] && awake[*n]).count();
                let may = up[*node] && awake[*node] && running > 1;
                awake[*node] &= !may;
                may
            }
            Fault::Wake(node) => !std::mem::replace(&mut awake[*node], true),
            _ => true,
        });
    }
}

/// Two or three sides, none empty.
fn sides(nodes: usize, dice: &mut Rng) -> Vec<Vec<usize>> {
    let mut order: Vec<usize> = (0..nodes).collect();
    dice.shuffle(&mut order);
    let most = if nodes > 4 { 3 } else { 2 };
    let count = dice.usize(2..=most);
    let mut sides: Vec<Vec<usize>> = vec![Vec::new(); count];
    for (at, node) in order.into_iter().enumerate() {
        let side = if at < count { at } else { dice.usize(..count) };
        sides[side].push(node);
    }
    sides
}
