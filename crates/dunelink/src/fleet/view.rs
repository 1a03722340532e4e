//! What the fleet decides, as this node takes part in it: the council's clock, its words on gossip's packets, and what
//! the engines and operators are told.

use dunelink_gossip::{CARRIED_MOST, Gossip, MemberId};
use dunelink_view::{
    Bounds, Council, Input, Micros, Names, Output, Process, Settings, Side, Standing, View, Wire,
};

use crate::config::Config;

/// What is to be done for the council.
pub(super) enum Deed {
    /// Have these bytes carried to a name.
    Carry(MemberId, Vec<u8>),
    /// All engines together take this part of what the fleet may.
    Part(f64),
    /// For the log: one line for each change.
    Log(String),
}

/// A node's council, with what it has said to itself and not heard yet.
pub(super) struct Deciding {
    council: Council,
    me: Process,
    silence: Micros,
    heard_at: Micros,
}

impl Deciding {
    /// Takes part, if the configuration names electors.
    pub(super) fn new(config: &Config, (name, instance): (MemberId, u64), now: Micros) -> Option<Deciding> {
        let wanted = config.gossip.as_ref().filter(|gossip| !gossip.electors.is_empty())?;
        let me = Process { name: name.0, instance };
        let lease = wanted.lease.as_micros() as Micros;
        let settings = Settings {
            me,
            names: Names::new(wanted.electors.iter().map(|name| MemberId::of(name).0)),
            bounds: Bounds { lease, drift: u64::from(wanted.drift) },
            nodes: config.fleet.nodes as usize,
            seed: instance,
        };
        Some(Deciding { council: Council::new(settings, now), me, silence: lease / 10, heard_at: 0 })
    }

    /// When it wants to be looked at next.
    pub(super) fn next(&self, now: Micros) -> Micros {
        self.council.next(now).max(now + 1_000)
    }

    /// How it stands.
    pub(super) fn standing(&self, now: Micros) -> Standing {
        self.council.standing(now)
    }

    /// Time has passed.
    pub(super) fn tick(&mut self, now: Micros, gossip: &Gossip) -> Vec<Deed> {
        let mut inputs = vec![Input::Tick];
        if now.saturating_sub(self.heard_at) >= self.silence {
            self.heard_at = now;
            let there = gossip.there().into_iter().map(|(id, instance)| Process { name: id.0, instance });
            inputs.push(Input::There(there.collect()));
        }
        self.work(now, inputs, gossip)
    }

    /// A process has said something; what can't be read says nothing.
    pub(super) fn hear(
        &mut self,
        now: Micros,
        (from, instance): (MemberId, u64),
        bytes: &[u8],
        gossip: &Gossip,
    ) -> Vec<Deed> {
        let Ok(wires) = postcard::from_bytes::<Vec<Wire>>(bytes) else { return Vec::new() };
        let from = Process { name: from.0, instance };
        self.work(now, wires.into_iter().map(|wire| Input::Heard(from, wire)).collect(), gossip)
    }

    fn work(&mut self, now: Micros, mut inputs: Vec<Input>, gossip: &Gossip) -> Vec<Deed> {
        let (mut deeds, mut out) = (Vec::new(), Vec::new());
        let mut words: Vec<(u64, Vec<Wire>)> = Vec::new();
        while !inputs.is_empty() {
            for input in inputs.drain(..) {
                self.council.handle(now, input, &mut out);
            }
            for output in out.drain(..) {
                match output {
                    // What it says to itself needs no network.
                    Output::Send(name, wire) if name == self.me.name => {
                        inputs.push(Input::Heard(self.me, wire))
                    }
                    Output::Send(name, wire) => match words.iter_mut().find(|(to, _)| *to == name) {
                        Some((_, words)) => words.push(wire),
                        None => words.push((name, vec![wire])),
                    },
                    Output::Part(part) => deeds.push(Deed::Part(part)),
                    Output::Decided(view) => deeds.push(Deed::Log(told(&view, gossip))),
                    Output::Side(side) => deeds.push(Deed::Log(format!("side={}", side_name(side)))),
                    Output::Name(held) => {
                        deeds.push(Deed::Log(format!("name held={held} {}", self.epoch(now))))
                    }
                    Output::Chair(held) => {
                        deeds.push(Deed::Log(format!("chair held={held} {}", self.epoch(now))))
                    }
                }
            }
        }
        for (to, wires) in words {
            deeds.extend(packets(wires).into_iter().map(|bytes| Deed::Carry(MemberId(to), bytes)));
        }
        deeds
    }

    fn epoch(&self, now: Micros) -> String {
        let view = self.council.standing(now).view;
        view.map_or("epoch=none".into(), |view| format!("epoch={}.{}", view.generation.round, view.epoch))
    }
}

/// As few packets as they fit.
fn packets(wires: Vec<Wire>) -> Vec<Vec<u8>> {
    let size = |wires: &[Wire]| postcard::to_stdvec(wires).unwrap_or_default();
    let (mut packets, mut batch) = (Vec::new(), Vec::new());
    for wire in wires {
        batch.push(wire);
        if size(&batch).len() > CARRIED_MOST && batch.len() > 1 {
            let last = batch.split_off(batch.len() - 1);
            packets.push(size(&batch));
            batch = last;
        }
    }
    packets.push(size(&batch));
    packets
}

/// A side, for people.
pub fn side_name(side: Side) -> &'static str {
    match side {
        Side::Majority => "majority",
        Side::Minority => "minority",
        Side::Alone => "alone",
    }
}

fn told(view: &View, gossip: &Gossip) -> String {
    let name = |name: &u64| gossip.name(MemberId(*name));
    let names = |of: &mut dyn Iterator<Item = &u64>| of.map(name).collect::<Vec<_>>().join(",");
    format!(
        "view decided epoch={}.{} members={} electors={}",
        view.generation.round,
        view.epoch,
        names(&mut view.members.keys()),
        names(&mut view.electors.keys())
    )
}
