//! Power loss at every disk operation, with the unsynced operations kept, torn or lost in all combinations.

mod model;
#[path = "model/script.rs"]
mod script;

use dunelink_storage::simulated::{CrashOutcome, Fault, SimulatedDisk};
use dunelink_storage::{Limits, LogStore, Operation};
use model::Model;
use script::script;

/// All combinations are tried for this many of the last unsynced operations; earlier ones are all lost or all
/// kept.
const MAX_VARIED: usize = 4;
const LIMITS: Limits = Limits { segment_bytes: 600, disk_bytes: 1 << 20 };

/// Applies the script until a batch fails. Returns the model of the acknowledged batches, and the model with
/// the failed batch.
fn run_until_failure(disk: &SimulatedDisk, script: &[Vec<Operation>]) -> (Model, Option<Model>) {
    let mut model = Model::default();
    let Ok((mut store, _)) = LogStore::open(disk.clone(), LIMITS) else { return (model, None) };
    for batch in script {
        let next = model.after(batch);
        if store.apply(batch).is_err() {
            return (model, Some(next));
        }
        model = next;
    }
    (model, None)
}

/// Possible outcomes of one unsynced operation.
fn outcomes(index: usize, disk: &SimulatedDisk) -> Vec<CrashOutcome> {
    let mut outcomes = vec![CrashOutcome::Lost, CrashOutcome::Kept];
    if let Some(length) = disk.unsynced_write_length(index) {
        outcomes.push(CrashOutcome::Torn(length / 2));
    }
    outcomes
}

/// Calls `check` with a fork of the disk for each outcome of a power loss.
fn each_outcome(disk: &SimulatedDisk, mut check: impl FnMut(&SimulatedDisk)) {
    let unsynced = disk.unsynced_count();
    let varied = unsynced.min(MAX_VARIED);
    for fixed in if unsynced > varied {
        vec![CrashOutcome::Lost, CrashOutcome::Kept]
    } else {
        vec![CrashOutcome::Kept]
    } {
        let mut combinations = vec![Vec::new()];
        for index in unsynced - varied..unsynced {
            let choices = outcomes(index, disk);
            combinations = combinations
                .iter()
                .flat_map(|before: &Vec<CrashOutcome>| {
                    choices
                        .iter()
                        .map(|outcome| [before.as_slice(), &[*outcome]].concat())
                        .collect::<Vec<_>>()
                })
                .collect();
        }
        for combination in combinations {
            let fork = disk.fork();
            fork.lose_power(|index| {
                if index < unsynced - varied { fixed } else { combination[index - (unsynced - varied)] }
            });
            check(&fork);
        }
    }
}

/// Checks that the store recovers the acknowledged model or the one with the failed batch, and that it
/// accepts a durable batch.
fn check(disk: &SimulatedDisk, acknowledged: &Model, with_failed: Option<&Model>, at: u64) {
    let (mut store, recovered) = LogStore::open(disk.clone(), LIMITS).unwrap();
    assert!(!recovered.damaged, "operation {at}: {:?}", recovered.notes);
    let model =
        [Some(acknowledged), with_failed].into_iter().flatten().find(|model| model.matches(&recovered));
    let Some(model) = model else { panic!("operation {at}: {recovered:?}, acknowledged {acknowledged:?}") };
    // The store continues from there, and the next batch is durable.
    let batch = vec![Operation::Metadata(b"after".to_vec()), model.next_append(b"after")];
    let next = model.after(&batch);
    store.apply(&batch).unwrap();
    drop(store);
    disk.lose_power(|_| CrashOutcome::Lost);
    let (_, recovered) = LogStore::open(disk.clone(), LIMITS).unwrap();
    assert!(
        next.matches(&recovered) && !recovered.damaged,
        "operation {at}: {recovered:?}, acknowledged {next:?}"
    );
}

#[test]
fn power_loss_keeps_acknowledged_batches() {
    let script = script();
    let faultless = SimulatedDisk::new();
    run_until_failure(&faultless, &script);
    for operation in 0..faultless.operation_count() {
        let disk = SimulatedDisk::new();
        disk.fail_at(operation, Fault::PowerLoss);
        let (acknowledged, with_failed) = run_until_failure(&disk, &script);
        each_outcome(&disk, |disk| check(disk, &acknowledged, with_failed.as_ref(), operation));
    }
}

#[test]
fn process_kill_keeps_acknowledged_batches() {
    let script = script();
    let faultless = SimulatedDisk::new();
    run_until_failure(&faultless, &script);
    for operation in 0..faultless.operation_count() {
        let disk = SimulatedDisk::new();
        disk.fail_at(operation, Fault::PowerLoss);
        let (acknowledged, with_failed) = run_until_failure(&disk, &script);
        check(&disk.fork(), &acknowledged, with_failed.as_ref(), operation);
    }
}

#[test]
fn power_loss_while_opening_after_a_kill() {
    let script = script();
    let faultless = SimulatedDisk::new();
    run_until_failure(&faultless, &script);
    for operation in (0..faultless.operation_count()).step_by(3) {
        let disk = SimulatedDisk::new();
        disk.fail_at(operation, Fault::PowerLoss);
        let (acknowledged, with_failed) = run_until_failure(&disk, &script);
        let start = disk.operation_count();
        for later in 0.. {
            let fork = disk.fork();
            fork.fail_at(start + later, Fault::PowerLoss);
            // A returned state is durable: only that one of the two models may be recovered from then on.
            let Ok((_, recovered)) = LogStore::open(fork.clone(), LIMITS) else {
                each_outcome(&fork, |disk| check(disk, &acknowledged, with_failed.as_ref(), operation));
                continue;
            };
            let returned = [Some(&acknowledged), with_failed.as_ref()].into_iter().flatten();
            let returned = returned.into_iter().find(|model| model.matches(&recovered)).unwrap().clone();
            each_outcome(&fork, |disk| check(disk, &returned, None, operation));
            if fork.operation_count() <= start + later {
                break;
            }
        }
    }
}

#[test]
fn failed_batch_can_be_retried() {
    let script = script();
    let faultless = SimulatedDisk::new();
    run_until_failure(&faultless, &script);
    for fault in [Fault::Error, Fault::LateError, Fault::Full] {
        for operation in 0..faultless.operation_count() {
            let disk = SimulatedDisk::new();
            disk.fail_at(operation, fault);
            let model = run_with_retries(&disk, &script);
            each_outcome(&disk, |disk| check(disk, &model, None, operation));
        }
    }
}

/// Applies all of the script; a failed batch is applied again once the disk has recovered.
fn run_with_retries(disk: &SimulatedDisk, script: &[Vec<Operation>]) -> Model {
    let mut model = Model::default();
    let opened = LogStore::open(disk.clone(), LIMITS);
    disk.set_full(false);
    let mut store = opened.or_else(|_| LogStore::open(disk.clone(), LIMITS)).unwrap().0;
    for batch in script {
        if store.apply(batch).is_err() {
            if store.apply(batch).is_ok() {
                model = model.after(batch);
                continue;
            }
            disk.set_full(false);
            // A disk that stays full rejects the batch again; no remains of it may prevent a later success.
            store.apply(batch).unwrap();
        }
        model = model.after(batch);
    }
    model
}

#[test]
fn power_loss_while_retrying_a_failed_batch() {
    let script = script();
    let faultless = SimulatedDisk::new();
    run_until_failure(&faultless, &script);
    for fault in [Fault::Error, Fault::LateError] {
        for operation in 0..faultless.operation_count() {
            for later in 0..40 {
                let disk = SimulatedDisk::new();
                disk.fail_at(operation, fault);
                let Some(failed) = run_to_failed_batch(&disk, &script) else { break };
                let FailedBatch { mut store, model, batch } = failed;
                let next = model.after(&batch);
                disk.fail_at(disk.operation_count() + later, Fault::PowerLoss);
                if store.apply(&batch).is_ok() {
                    each_outcome(&disk, |disk| check(disk, &next, None, operation));
                    break;
                }
                each_outcome(&disk, |disk| check(disk, &model, Some(&next), operation));
            }
        }
    }
}

/// A failed batch, with its store and the model of the batches before it.
struct FailedBatch {
    store: LogStore<SimulatedDisk>,
    model: Model,
    batch: Vec<Operation>,
}

/// Applies the script until a batch fails; `None` if none does.
fn run_to_failed_batch(disk: &SimulatedDisk, script: &[Vec<Operation>]) -> Option<FailedBatch> {
    let (mut store, _) = LogStore::open(disk.clone(), LIMITS).ok()?;
    let mut model = Model::default();
    for batch in script {
        if store.apply(batch).is_err() {
            return Some(FailedBatch { store, model, batch: batch.clone() });
        }
        model = model.after(batch);
    }
    None
}

#[test]
fn power_loss_after_an_error_and_a_kill() {
    let script = script();
    let faultless = SimulatedDisk::new();
    run_until_failure(&faultless, &script);
    for fault in [Fault::Error, Fault::LateError] {
        for operation in 0..faultless.operation_count() {
            let disk = SimulatedDisk::new();
            disk.fail_at(operation, fault);
            let Some(failed) = run_to_failed_batch(&disk, &script) else { continue };
            let FailedBatch { store, model, batch } = failed;
            drop(store);
            let next = model.after(&batch);
            each_outcome(&disk, |disk| check(disk, &model, Some(&next), operation));
            let (_, recovered) = LogStore::open(disk.clone(), LIMITS).unwrap();
            let returned = if model.matches(&recovered) { model } else { next };
            each_outcome(&disk, |disk| check(disk, &returned, None, operation));
        }
    }
}
