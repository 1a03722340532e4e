//! This node's part in the fleet's consensus: connects the coordinator with the clock, with the packets that
//! gossip carries, and with the engines and operators.

use dunelink_gossip::{Gossip, MAX_PAYLOAD_BYTES, MemberId};
use dunelink_view::{
    Change, Coordinator, ElectorNames, FleetMessage, Input, LeaseBounds, Micros, NodeStatus, Output,
    PartitionSide, Process, Refusal, Settings, View,
};

use super::action::Action;
use super::messages;
use crate::config::Config;

/// The coordinator of this node.
pub(super) struct Consensus {
    coordinator: Coordinator,
    me: Process,
    names: ElectorNames,
    /// How often the coordinator is told which processes are alive, and when it was told last.
    report_interval: Micros,
    reported_at: Micros,
    /// The newest view that has been reported.
    last_view: Option<Box<View>>,
}

/// The number of a view in logs and status: the founding, identified by its round and its founder's process,
/// and the epoch within it; `none` without a view.
pub(super) fn format_epoch(view: Option<&View>) -> String {
    let Some(View { generation, epoch, .. }) = view else { return "none".into() };
    format!("{}-{:04x}.{epoch}", generation.round, generation.proposer.instance as u16)
}

impl Consensus {
    /// Creates the coordinator; `None` if the configuration names no electors.
    pub(super) fn new(config: &Config, (name, instance): (MemberId, u64), now: Micros) -> Option<Consensus> {
        let gossip_config = config.gossip.as_ref().filter(|gossip| !gossip.electors.is_empty())?;
        let me = Process { name: name.0, instance };
        let lease = gossip_config.lease.as_micros() as Micros;
        let names = ElectorNames::new(gossip_config.electors.iter().map(|name| MemberId::of(name).0));
        let settings = Settings {
            me,
            elector_names: names.clone(),
            lease_bounds: LeaseBounds { lease, drift_ppm: u64::from(gossip_config.drift) },
            configured_nodes: config.fleet.nodes as usize,
            seed: instance,
        };
        let coordinator = Coordinator::new(settings, now);
        Some(Consensus {
            coordinator,
            me,
            names,
            report_interval: lease / 10,
            reported_at: 0,
            last_view: None,
        })
    }

    /// The process of this node.
    pub(super) fn me(&self) -> Process {
        self.me
    }

    /// When the coordinator needs its next tick.
    pub(super) fn next_wakeup(&self, now: Micros) -> Micros {
        self.coordinator.next_wakeup(now).max(now + 1_000)
    }

    /// The current state of this node in the fleet.
    pub(super) fn status(&self, now: Micros) -> NodeStatus {
        self.coordinator.status(now)
    }

    /// The number of the newest known view.
    pub(super) fn epoch(&self) -> String {
        format_epoch(self.coordinator.view())
    }

    /// Checks whether a change can be decided.
    pub(super) fn check_change(&self, change: &Change) -> Result<(), Refusal> {
        self.coordinator.validate(change)
    }

    /// Handles the passage of time.
    pub(super) fn tick(&mut self, now: Micros, gossip: &Gossip) -> Vec<Action> {
        let mut inputs = vec![Input::Tick];
        if now.saturating_sub(self.reported_at) >= self.report_interval {
            self.reported_at = now;
            let alive =
                gossip.alive_processes().into_iter().map(|(id, instance)| Process { name: id.0, instance });
            inputs.push(Input::AliveProcesses(alive.collect()));
        }
        self.handle(now, inputs)
    }

    /// Handles messages from a process.
    pub(super) fn receive(
        &mut self,
        now: Micros,
        from: Process,
        fleet_messages: Vec<FleetMessage>,
    ) -> Vec<Action> {
        self.handle(now, fleet_messages.into_iter().map(|message| Input::Received(from, message)).collect())
    }

    /// Handles a request of an operator or of this node.
    pub(super) fn submit(&mut self, now: Micros, input: Input) -> Vec<Action> {
        self.handle(now, vec![input])
    }

    fn handle(&mut self, now: Micros, mut inputs: Vec<Input>) -> Vec<Action> {
        let (mut actions, mut out) = (Vec::new(), Vec::new());
        let mut outgoing: Vec<(u64, Vec<FleetMessage>)> = Vec::new();
        while !inputs.is_empty() {
            for input in inputs.drain(..) {
                self.coordinator.handle(now, input, &mut out);
            }
            for output in out.drain(..) {
                match output {
                    // Messages to this node itself need no network.
                    Output::Send(name, message) if name == self.me.name => {
                        inputs.push(Input::Received(self.me, message))
                    }
                    Output::Send(name, message) => match outgoing.iter_mut().find(|(to, _)| *to == name) {
                        Some((_, fleet_messages)) => fleet_messages.push(message),
                        None => outgoing.push((name, vec![message])),
                    },
                    Output::LimitShare(share) => actions.push(Action::Share(share)),
                    Output::Decided(view) => {
                        let view = Box::new(view);
                        let before = self.last_view.replace(view.clone());
                        actions.push(Action::Decided(view, before));
                    }
                    Output::PartitionSide(side) => {
                        let reachable = self.coordinator.status(now).reachable_electors;
                        let unreachable =
                            self.names.iter().filter(|name| !reachable.contains(name)).collect();
                        actions.push(Action::Side(side, unreachable));
                    }
                    Output::Lease(what, held, ago) => actions.push(Action::Lease(what, held, ago)),
                    Output::Rejected(change) => actions.push(Action::Rejected(change)),
                }
            }
        }
        for (to, fleet_messages) in outgoing {
            actions.extend(
                pack_messages(fleet_messages).into_iter().map(|bytes| Action::Send(MemberId(to), bytes)),
            );
        }
        actions
    }
}

/// Packs the messages into as few packets as possible.
fn pack_messages(fleet_messages: Vec<FleetMessage>) -> Vec<Vec<u8>> {
    let (mut packets, mut batch) = (Vec::new(), Vec::new());
    for message in fleet_messages {
        batch.push(message);
        if messages::encode_coordinator(&batch).len() > MAX_PAYLOAD_BYTES && batch.len() > 1 {
            let last = batch.split_off(batch.len() - 1);
            packets.push(messages::encode_coordinator(&batch));
            batch = last;
        }
    }
    packets.push(messages::encode_coordinator(&batch));
    packets
}

/// The name of a side in logs and status.
pub(super) fn side_name(side: PartitionSide) -> &'static str {
    match side {
        PartitionSide::Majority => "majority",
        PartitionSide::Minority => "minority",
        PartitionSide::Alone => "alone",
    }
}
