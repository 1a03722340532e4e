//! What the fleet decides, as this node takes part in it: the council's clock, its words on gossip's packets, and what
//! the engines and operators are told.

use dunelink_gossip::{Gossip, MAX_PAYLOAD_BYTES, MemberId};
use dunelink_view::{
    Change, Coordinator, ElectorNames, FleetMessage, Input, LeaseBounds, Micros, NodeStatus, Output,
    PartitionSide, Process, Refusal, Settings, View,
};

use super::deed::Deed;
use super::words;
use crate::config::Config;

/// A node's council.
pub(super) struct Deciding {
    council: Coordinator,
    me: Process,
    names: ElectorNames,
    silence: Micros,
    heard_at: Micros,
    /// The newest view that others were told of.
    known: Option<Box<View>>,
}

/// A view's number, as logs and operators name it: its founding, which is told by its round and its founder's process,
/// and its epoch in that.
pub(super) fn epoch_of(view: Option<&View>) -> String {
    let Some(View { generation, epoch, .. }) = view else { return "none".into() };
    format!("{}-{:04x}.{epoch}", generation.round, generation.proposer.instance as u16)
}

impl Deciding {
    /// Takes part, if the configuration names electors.
    pub(super) fn new(config: &Config, (name, instance): (MemberId, u64), now: Micros) -> Option<Deciding> {
        let wanted = config.gossip.as_ref().filter(|gossip| !gossip.electors.is_empty())?;
        let me = Process { name: name.0, instance };
        let lease = wanted.lease.as_micros() as Micros;
        let names = ElectorNames::new(wanted.electors.iter().map(|name| MemberId::of(name).0));
        let settings = Settings {
            me,
            elector_names: names.clone(),
            lease_bounds: LeaseBounds { lease, drift_ppm: u64::from(wanted.drift) },
            configured_nodes: config.fleet.nodes as usize,
            seed: instance,
        };
        let council = Coordinator::new(settings, now);
        Some(Deciding { council, me, names, silence: lease / 10, heard_at: 0, known: None })
    }

    /// Its process.
    pub(super) fn me(&self) -> Process {
        self.me
    }

    /// When it wants to be looked at next.
    pub(super) fn next(&self, now: Micros) -> Micros {
        self.council.next_wakeup(now).max(now + 1_000)
    }

    /// How it stands.
    pub(super) fn standing(&self, now: Micros) -> NodeStatus {
        self.council.status(now)
    }

    /// The number of the newest view that it knows.
    pub(super) fn epoch(&self) -> String {
        epoch_of(self.council.view())
    }

    /// Whether something can be decided.
    pub(super) fn may(&self, change: &Change) -> Result<(), Refusal> {
        self.council.validate(change)
    }

    /// Time has passed.
    pub(super) fn tick(&mut self, now: Micros, gossip: &Gossip) -> Vec<Deed> {
        let mut inputs = vec![Input::Tick];
        if now.saturating_sub(self.heard_at) >= self.silence {
            self.heard_at = now;
            let there =
                gossip.alive_processes().into_iter().map(|(id, instance)| Process { name: id.0, instance });
            inputs.push(Input::AliveProcesses(there.collect()));
        }
        self.work(now, inputs)
    }

    /// A process has said something.
    pub(super) fn hear(&mut self, now: Micros, from: Process, wires: Vec<FleetMessage>) -> Vec<Deed> {
        self.work(now, wires.into_iter().map(|wire| Input::Received(from, wire)).collect())
    }

    /// An operator wants something, or this node does.
    pub(super) fn want(&mut self, now: Micros, input: Input) -> Vec<Deed> {
        self.work(now, vec![input])
    }

    fn work(&mut self, now: Micros, mut inputs: Vec<Input>) -> Vec<Deed> {
        let (mut deeds, mut out) = (Vec::new(), Vec::new());
        let mut said: Vec<(u64, Vec<FleetMessage>)> = Vec::new();
        while !inputs.is_empty() {
            for input in inputs.drain(..) {
                self.council.handle(now, input, &mut out);
            }
            for output in out.drain(..) {
                match output {
                    // What it says to itself needs no network.
                    Output::Send(name, wire) if name == self.me.name => {
                        inputs.push(Input::Received(self.me, wire))
                    }
                    Output::Send(name, wire) => match said.iter_mut().find(|(to, _)| *to == name) {
                        Some((_, wires)) => wires.push(wire),
                        None => said.push((name, vec![wire])),
                    },
                    Output::LimitShare(part) => deeds.push(Deed::Part(part)),
                    Output::Decided(view) => {
                        let view = Box::new(view);
                        let before = self.known.replace(view.clone());
                        deeds.push(Deed::Decided(view, before));
                    }
                    Output::PartitionSide(side) => {
                        let heard = self.council.status(now).reachable_electors;
                        let unheard = self.names.iter().filter(|name| !heard.contains(name)).collect();
                        deeds.push(Deed::Side(side, unheard));
                    }
                    Output::Lease(what, held, ago) => deeds.push(Deed::Lease(what, held, ago)),
                    Output::Rejected(change) => deeds.push(Deed::Dropped(change)),
                }
            }
        }
        for (to, wires) in said {
            deeds.extend(packets(wires).into_iter().map(|bytes| Deed::Carry(MemberId(to), bytes)));
        }
        deeds
    }
}

/// As few packets as they fit.
fn packets(wires: Vec<FleetMessage>) -> Vec<Vec<u8>> {
    let (mut packets, mut batch) = (Vec::new(), Vec::new());
    for wire in wires {
        batch.push(wire);
        if words::council(&batch).len() > MAX_PAYLOAD_BYTES && batch.len() > 1 {
            let last = batch.split_off(batch.len() - 1);
            packets.push(words::council(&batch));
            batch = last;
        }
    }
    packets.push(words::council(&batch));
    packets
}

/// A side, for people.
pub(super) fn side_name(side: PartitionSide) -> &'static str {
    match side {
        PartitionSide::Majority => "majority",
        PartitionSide::Minority => "minority",
        PartitionSide::Alone => "alone",
    }
}
