//! Random sequences of batches, faults, process kills and power losses, compared with a model.

mod model;

use dunelink_storage::simulated::{CrashOutcome, Fault, SimulatedDisk};
use dunelink_storage::{Limits, LogStore, Operation, StorageError};
use model::Model;

const RUNS: u64 = 1500;
const STEPS: u64 = 60;
const LIMITS: Limits = Limits { segment_bytes: 400, disk_bytes: 1 << 20 };

/// A xorshift random number generator, so that a seed reproduces its run.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }

    fn fault(&mut self) -> Fault {
        [Fault::Error, Fault::LateError, Fault::Full, Fault::PowerLoss][self.below(4) as usize]
    }

    fn crash_outcome(&mut self, all_lost: bool) -> CrashOutcome {
        match self.below(3) {
            0 if !all_lost => CrashOutcome::Kept,
            1 if !all_lost => CrashOutcome::Torn(self.below(300) as usize),
            _ => CrashOutcome::Lost,
        }
    }

    fn bytes(&mut self) -> Vec<u8> {
        vec![self.below(256) as u8; self.below(150) as usize]
    }

    fn batch(&mut self, model: &Model) -> Vec<Operation> {
        let mut next = model.clone();
        let mut batch = Vec::new();
        for _ in 0..=self.below(3) {
            let operation = self.operation(&next);
            next = next.after(std::slice::from_ref(&operation));
            batch.push(operation);
        }
        batch
    }

    fn operation(&mut self, model: &Model) -> Operation {
        let snapshot_index = model.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let first = model.entries.first().map_or(model.last + 1, |entry| entry.index);
        match self.below(12) {
            0 | 1 => Operation::Metadata(self.bytes()),
            2 => Operation::Truncate { from: (first + self.below(4)).max(snapshot_index + 1) },
            3 => {
                let index = (snapshot_index + self.below(6))
                    .min(model.last + self.below(2) * self.below(9))
                    .max(snapshot_index);
                Operation::Snapshot { index, bytes: self.bytes() }
            }
            4 => Operation::Release { through: snapshot_index - self.below(3).min(snapshot_index) },
            _ => model.next_append(&self.bytes()),
        }
    }
}

/// A store on its disk, and all states that may be recovered: first the acknowledged one, then those with one
/// of the batches that failed since.
struct Run {
    random: Random,
    disk: SimulatedDisk,
    store: Option<LogStore<SimulatedDisk>>,
    states: Vec<Model>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        Self { random, disk: SimulatedDisk::new(), store: None, states: vec![Model::default()] }
    }

    fn step(&mut self, label: &str) {
        if self.random.below(4) == 0 {
            let at = self.disk.operation_count() + self.random.below(12);
            let fault = self.random.fault();
            self.disk.fail_at(at, fault);
        }
        match (self.random.below(14), self.store.is_some()) {
            (0, _) => self.kill(),
            (1, _) => self.lose_power(),
            (2, _) => self.disk.set_full(false),
            (_, false) => self.open(label),
            (3, true) if self.random.below(6) == 0 => self.wipe(),
            _ => self.apply(),
        }
    }

    fn kill(&mut self) {
        self.store = None;
        self.disk = self.disk.fork();
    }

    fn lose_power(&mut self) {
        self.store = None;
        let all_lost = self.random.below(4) == 0;
        let random = &mut self.random;
        self.disk.lose_power(|_| random.crash_outcome(all_lost));
        self.disk = self.disk.fork();
    }

    fn open(&mut self, label: &str) {
        let Ok((store, recovered)) = LogStore::open(self.disk.clone(), LIMITS) else { return };
        assert!(!recovered.damaged, "{label}: {:?}", recovered.notes);
        let state = self.states.iter().find(|state| state.matches(&recovered));
        let Some(state) = state else { panic!("{label}: {recovered:?} is none of {:?}", self.states) };
        self.states = vec![state.clone()];
        self.store = Some(store);
    }

    fn apply(&mut self) {
        let Some(store) = &mut self.store else { return };
        let batch = self.random.batch(&self.states[0]);
        let next = self.states[0].after(&batch);
        match store.apply(&batch) {
            Ok(()) => self.states = vec![next],
            Err(error) => {
                assert!(
                    matches!(error, StorageError::Disk { .. }),
                    "{error}: {batch:?} after {:?}",
                    self.states
                );
                self.states.push(next);
            }
        }
    }

    fn wipe(&mut self) {
        let Some(store) = &mut self.store else { return };
        match store.wipe() {
            Ok(()) => self.states = vec![Model::default()],
            Err(_) => self.states.push(Model::default()),
        }
    }
}

#[test]
fn random_schedules_keep_acknowledged_batches() {
    for seed in 1..=RUNS {
        let mut run = Run::new(seed);
        for step in 0..STEPS {
            run.step(&format!("seed {seed}, step {step}"));
        }
    }
}
