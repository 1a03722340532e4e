//! Applies the effects that nodes return: messages, disk writes, replies to operators, and rejoining under a
//! new identity.

use std::net::SocketAddr;

use dunelink_control::change_queue::{CallId, Reply};
use dunelink_control::disk::{DiskCommand, DiskEvent};
use dunelink_control::message::Envelope;
use dunelink_control::node::Effect;
use dunelink_control::state::Command;
use dunelink_replication::{Payload, Record, ReplicaId};

use super::MILLISECOND;
use super::machine::machine_internal_address;
use super::mutation::Mutation;
use super::operator::{OperatorRequest, change_key};
use super::world::{Event, World};

impl World {
    pub(crate) fn apply_effects(&mut self, index: usize, effects: Vec<Effect>) {
        let generation = self.machines[index].process.as_ref().map_or(0, |process| process.generation);
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => self.send(index, to, envelope),
                Effect::Write { sequence, records } => self.write(index, generation, sequence, records),
                Effect::Reply { call, reply } => self.reply(index, call, reply),
                Effect::Rejoin => self.rejoin(index),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, envelope: Envelope) {
        let Some(to) =
            self.machines.iter().position(|machine| machine_internal_address(machine.number) == to)
        else {
            return;
        };
        if self.blocked_links.contains(&(from, to)) || self.random.u32(0..100) < self.message_loss_percent {
            return;
        }
        let Some(process) = self.machines[to].process.as_ref().map(|process| process.number) else { return };
        let mut due = self.now + 900 + self.random.u64(0..600);
        if self.random.u32(0..50) == 0 {
            due += self.random.u64(0..40 * MILLISECOND);
        }
        if self.in_order_delivery {
            let last_due = self.last_delivery.entry((from, to, envelope.message.is_bulk())).or_default();
            due = due.max(*last_due + 1);
            *last_due = due;
        }
        self.schedule_at(due, Event::Message { to, process, envelope: Box::new(envelope) });
    }

    fn write(&mut self, index: usize, generation: u64, sequence: u64, mut records: Vec<Record>) {
        if self.mutation == Some(Mutation::AcknowledgedAtAppend) {
            self.acknowledge_at_append(index, &records);
        }
        if self.mutation == Some(Mutation::VoteNotPersisted) {
            records.retain(|record| !matches!(record, Record::HardState(_)));
        }
        let Some(process) = &self.machines[index].process else { return };
        process
            .disk_commands
            .send(DiskCommand::Write { generation, sequence, records })
            .expect("the process keeps the inbox open");
        self.run_disk(index);
        if self.mutation == Some(Mutation::DurableBeforeSync) {
            self.with_node(index, |node, now, effects| node.write_completed(now, sequence, effects));
        }
    }

    fn acknowledge_at_append(&mut self, index: usize, records: &[Record]) {
        let process = self.machines[index].process.as_ref().expect("the process runs");
        if !process.node.replica().is_leader() {
            return;
        }
        for record in records {
            if let Record::Append(entry) = record
                && let Payload::Command(command) = &entry.payload
                && let Ok(Command::Replace { base, body, .. }) = dunelink_replication::decode(command)
            {
                let is_waiting = |(_, (_, request)): &(&CallId, &(usize, OperatorRequest))| {
                    change_key(request).is_some_and(|change| change.0 == base && change.1 == body)
                };
                let calls: Vec<CallId> =
                    self.calls.iter().filter(is_waiting).map(|(call, _)| *call).collect();
                calls.into_iter().for_each(|call| self.reply(index, call, Reply::Accepted));
            }
        }
    }

    fn rejoin(&mut self, index: usize) {
        let id = ReplicaId(self.random.u64(..));
        let seed = self.random.u64(..);
        let Some(process) = &mut self.machines[index].process else { return };
        process.generation += 1;
        let generation = process.generation;
        process
            .disk_commands
            .send(DiskCommand::Wipe { generation, id })
            .expect("the process keeps the inbox open");
        self.with_node(index, |node, now, effects| node.rejoin_as(id, seed, now, effects));
        self.run_disk(index);
    }

    /// Starts the next disk command if the disk is idle and a command is pending.
    pub(crate) fn run_disk(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let Some(process) = &mut machine.process else { return };
        if process.disk_busy || !process.has_pending_command() {
            return;
        }
        process.disk_busy = true;
        let process = process.number;
        let duration = self.random.u64(400..6_000) * machine.disk_slowness;
        self.schedule_after(duration, Event::Disk { index, process });
    }

    pub(crate) fn complete_disk_command(&mut self, index: usize) {
        let Some(process) = &mut self.machines[index].process else { return };
        let disk_events = process.run_disk_command();
        let current = process.generation;
        for event in disk_events {
            match event {
                DiskEvent::Written { generation, sequence, .. } if generation == current => {
                    self.with_node(index, |node, now, effects| node.write_completed(now, sequence, effects));
                }
                DiskEvent::WriteFailed { generation, sequence } if generation == current => {
                    if self.mutation == Some(Mutation::FailedWriteReportedDurable) {
                        self.with_node(index, |node, now, effects| {
                            node.write_completed(now, sequence, effects)
                        });
                    } else {
                        self.with_node(index, |node, now, effects| node.write_failed(now, sequence, effects));
                    }
                }
                _ => {}
            }
        }
        self.run_disk(index);
    }
}
