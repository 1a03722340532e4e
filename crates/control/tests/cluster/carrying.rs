//! Carries out what nodes ask for: messages, writes, answers, another identity.

use std::net::SocketAddr;

use dunelink_control::change_queue::{CallId, Reply};
use dunelink_control::disk::{DiskCommand, DiskEvent};
use dunelink_control::message::Envelope;
use dunelink_control::node::Effect;
use dunelink_control::state::Command;
use dunelink_replication::{Payload, Record, ReplicaId};

use super::MILLISECOND;
use super::machine::internal;
use super::mistake::Mistake;
use super::operator::{Wish, key};
use super::world::{Event, World};

impl World {
    pub(crate) fn carry_out(&mut self, at: usize, effects: Vec<Effect>) {
        let generation = self.machines[at].process.as_ref().map_or(0, |process| process.generation);
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => self.send(at, to, envelope),
                Effect::Write { sequence, records } => self.write(at, generation, sequence, records),
                Effect::Reply { call, reply } => self.reply(at, call, reply),
                Effect::Rejoin => self.rejoin(at),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, envelope: Envelope) {
        let Some(to) = self.machines.iter().position(|machine| internal(machine.number) == to) else {
            return;
        };
        if self.cuts.contains(&(from, to)) || self.random.u32(0..100) < self.loss {
            return;
        }
        let Some(process) = self.machines[to].process.as_ref().map(|process| process.number) else { return };
        let mut due = self.now + 900 + self.random.u64(0..600);
        if self.random.u32(0..50) == 0 {
            due += self.random.u64(0..40 * MILLISECOND);
        }
        if self.ordered {
            let last = self.last_delivery.entry((from, to, envelope.message.is_bulk())).or_default();
            due = due.max(*last + 1);
            *last = due;
        }
        self.at(due, Event::Message { to, process, envelope: Box::new(envelope) });
    }

    fn write(&mut self, at: usize, generation: u64, sequence: u64, mut records: Vec<Record>) {
        if self.mistake == Some(Mistake::AnsweredAtAppend) {
            self.answer_at_append(at, &records);
        }
        if self.mistake == Some(Mistake::VoteNotKept) {
            records.retain(|record| !matches!(record, Record::HardState(_)));
        }
        let Some(process) = &self.machines[at].process else { return };
        process
            .orders
            .send(DiskCommand::Write { generation, sequence, records })
            .expect("the inbox is there");
        self.run_disk(at);
        if self.mistake == Some(Mistake::CountedBeforeSync) {
            self.act(at, |node, now, effects| node.write_completed(now, sequence, effects));
        }
    }

    fn answer_at_append(&mut self, at: usize, records: &[Record]) {
        let process = self.machines[at].process.as_ref().expect("it runs");
        if !process.node.replica().is_leader() {
            return;
        }
        for record in records {
            if let Record::Append(entry) = record
                && let Payload::Command(command) = &entry.payload
                && let Ok(Command::Replace { base, body, .. }) = dunelink_replication::decode(command)
            {
                let waits = |(_, (_, wish)): &(&CallId, &(usize, Wish))| {
                    key(wish).is_some_and(|key| key.0 == base && key.1 == body)
                };
                let calls: Vec<CallId> = self.calls.iter().filter(waits).map(|(call, _)| *call).collect();
                calls.into_iter().for_each(|call| self.reply(at, call, Reply::Accepted));
            }
        }
    }

    fn rejoin(&mut self, at: usize) {
        let id = ReplicaId(self.random.u64(..));
        let seed = self.random.u64(..);
        let Some(process) = &mut self.machines[at].process else { return };
        process.generation += 1;
        let generation = process.generation;
        process.orders.send(DiskCommand::Wipe { generation, id }).expect("the inbox is there");
        self.act(at, |node, now, effects| node.rejoin_as(id, seed, now, effects));
        self.run_disk(at);
    }

    /// Begins a turn of the disk if it is idle and has something to do.
    pub(crate) fn run_disk(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        let Some(process) = &mut machine.process else { return };
        if process.disk_busy || !process.has_orders() {
            return;
        }
        process.disk_busy = true;
        let process = process.number;
        let turn = self.random.u64(400..6_000) * machine.disk_slowness;
        self.after(turn, Event::Disk { at, process });
    }

    pub(crate) fn disk(&mut self, at: usize) {
        let Some(process) = &mut self.machines[at].process else { return };
        let told = process.turn();
        let current = process.generation;
        for event in told {
            match event {
                DiskEvent::Written { generation, sequence, .. } if generation == current => {
                    self.act(at, |node, now, effects| node.write_completed(now, sequence, effects));
                }
                DiskEvent::WriteFailed { generation, sequence } if generation == current => {
                    if self.mistake == Some(Mistake::FailureCountedAsWritten) {
                        self.act(at, |node, now, effects| node.write_completed(now, sequence, effects));
                    } else {
                        self.act(at, |node, now, effects| node.write_failed(now, sequence, effects));
                    }
                }
                _ => {}
            }
        }
        self.run_disk(at);
    }
}
