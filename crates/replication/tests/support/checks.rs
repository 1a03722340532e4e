//! Invariants that are checked at every step.

use std::collections::BTreeMap;

use super::machine::Machine;

#[derive(Default)]
pub struct Checks {
    /// Every command applied on any machine, by index.
    pub applied: BTreeMap<u64, u64>,
    /// Acknowledged commands by index.
    pub acknowledged: BTreeMap<u64, u64>,
    /// Machine position and term of the last lease holder.
    pub lease_holder: Option<(usize, u64)>,
    /// Number of (machine, term) pairs that have held the lease.
    pub lease_holder_count: u32,
}

impl Checks {
    pub fn on_apply(&mut self, machine: &Machine, index: u64, command: u64) {
        assert!(
            index > machine.applied_index,
            "machine {} applies {index} after {}",
            machine.position,
            machine.applied_index
        );
        let known = *self.applied.entry(index).or_insert(command);
        assert_eq!(known, command, "machine {} applies a different command at {index}", machine.position);
        let skipped_entry = self.applied.range(machine.applied_index + 1..index).next();
        assert!(skipped_entry.is_none(), "machine {} skips {skipped_entry:?}", machine.position);
    }

    pub fn on_restore(&mut self, machine: &Machine, index: u64, state: &BTreeMap<u64, u64>) {
        assert!(
            index >= machine.applied_index,
            "machine {} restores an older state, at {index}",
            machine.position
        );
        assert!(
            self.applied.range(..=index).eq(state.iter()),
            "machine {} restores a state that differs from the applied commands",
            machine.position
        );
    }

    pub fn on_acknowledged(&mut self, machine: &Machine, index: u64, command: u64) {
        assert_eq!(
            machine.state.get(&index),
            Some(&command),
            "the command is acknowledged before the leader has applied it"
        );
        self.acknowledged.insert(index, command);
    }

    pub fn check_leases(&mut self, now: u64, machines: &[Machine]) {
        let mut holders = machines.iter().filter(|machine| machine.holds_lease(now));
        let Some(lease_holder) = holders.next() else { return };
        let second = holders.next().map(|machine| machine.position);
        assert!(second.is_none(), "two machines hold the lease: {} and {second:?}", lease_holder.position);
        let term = lease_holder.replica.as_ref().map_or(0, |replica| replica.term());
        if self.lease_holder != Some((lease_holder.position, term)) {
            self.lease_holder = Some((lease_holder.position, term));
            self.lease_holder_count += 1;
            self.assert_has_acknowledged(lease_holder);
        }
    }

    /// Asserts that the machine has applied every acknowledged command.
    pub fn assert_has_acknowledged(&self, machine: &Machine) {
        for (index, command) in &self.acknowledged {
            let found = machine.state.get(index);
            assert_eq!(found, Some(command), "machine {} lacks acknowledged entry {index}", machine.position);
        }
    }
}
