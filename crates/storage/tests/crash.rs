//! Power is lost at every operation of the disk, with every subset of the unsynced operations kept, torn or lost.

mod model;
#[path = "model/script.rs"]
mod script;

use dunelink_storage::simulated::{CrashOutcome, Fault, SimulatedDisk};
use dunelink_storage::{Limits, LogStore, Operation};
use model::Model;
use script::script;

/// Subsets are tried in full up to so many unsynced operations; of more, the last ones.
const VARIED: usize = 4;
const LIMITS: Limits = Limits { segment_bytes: 600, disk_bytes: 1 << 20 };

/// Applies the script until something fails. Returns what was acknowledged, and what was under way.
fn run(disk: &SimulatedDisk, script: &[Vec<Operation>]) -> (Model, Option<Model>) {
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

fn fates(place: usize, disk: &SimulatedDisk) -> Vec<CrashOutcome> {
    let mut fates = vec![CrashOutcome::Lost, CrashOutcome::Kept];
    if let Some(length) = disk.unsynced_write_length(place) {
        fates.push(CrashOutcome::Torn(length / 2));
    }
    fates
}

/// Calls `check` for each outcome of a loss of power.
fn each_outcome(disk: &SimulatedDisk, mut check: impl FnMut(&SimulatedDisk)) {
    let pending = disk.unsynced_count();
    let varied = pending.min(VARIED);
    for fixed in
        if pending > varied { vec![CrashOutcome::Lost, CrashOutcome::Kept] } else { vec![CrashOutcome::Kept] }
    {
        let mut outcomes = vec![Vec::new()];
        for place in pending - varied..pending {
            let choices = fates(place, disk);
            outcomes = outcomes
                .iter()
                .flat_map(|before: &Vec<CrashOutcome>| {
                    choices.iter().map(|fate| [before.as_slice(), &[*fate]].concat()).collect::<Vec<_>>()
                })
                .collect();
        }
        for outcome in outcomes {
            let fork = disk.fork();
            fork.lose_power(|place| {
                if place < pending - varied { fixed } else { outcome[place - (pending - varied)] }
            });
            check(&fork);
        }
    }
}

fn check(disk: &SimulatedDisk, acknowledged: &Model, under_way: Option<&Model>, at: u64) {
    let (mut store, found) = LogStore::open(disk.clone(), LIMITS).unwrap();
    assert!(!found.damaged, "operation {at}: {:?}", found.notes);
    let model = [Some(acknowledged), under_way].into_iter().flatten().find(|model| model.is(&found));
    let Some(model) = model else { panic!("operation {at}: {found:?}, acknowledged {acknowledged:?}") };
    // It goes on from there, and what is added lasts.
    let batch = vec![Operation::Metadata(b"after".to_vec()), model.next_append(b"after")];
    let next = model.after(&batch);
    store.apply(&batch).unwrap();
    drop(store);
    disk.lose_power(|_| CrashOutcome::Lost);
    let (_, found) = LogStore::open(disk.clone(), LIMITS).unwrap();
    assert!(next.is(&found) && !found.damaged, "operation {at}: {found:?}, acknowledged {next:?}");
}

#[test]
fn power_loss_at_every_operation_keeps_what_was_acknowledged() {
    let script = script();
    let whole = SimulatedDisk::new();
    run(&whole, &script);
    for operation in 0..whole.operation_count() {
        let disk = SimulatedDisk::new();
        disk.fail_at(operation, Fault::PowerLoss);
        let (acknowledged, under_way) = run(&disk, &script);
        each_outcome(&disk, |disk| check(disk, &acknowledged, under_way.as_ref(), operation));
    }
}

#[test]
fn a_process_that_is_killed_finds_its_files_as_they_were() {
    let script = script();
    let whole = SimulatedDisk::new();
    run(&whole, &script);
    for operation in 0..whole.operation_count() {
        let disk = SimulatedDisk::new();
        disk.fail_at(operation, Fault::PowerLoss);
        let (acknowledged, under_way) = run(&disk, &script);
        check(&disk.fork(), &acknowledged, under_way.as_ref(), operation);
    }
}

#[test]
fn a_kill_and_then_power_loss_during_the_next_opening() {
    let script = script();
    let whole = SimulatedDisk::new();
    run(&whole, &script);
    for operation in (0..whole.operation_count()).step_by(3) {
        let disk = SimulatedDisk::new();
        disk.fail_at(operation, Fault::PowerLoss);
        let (acknowledged, under_way) = run(&disk, &script);
        let start = disk.operation_count();
        for later in 0.. {
            let fork = disk.fork();
            fork.fail_at(start + later, Fault::PowerLoss);
            // What an opening returned is durable: only one of the two models may come back from then on.
            let Ok((_, found)) = LogStore::open(fork.clone(), LIMITS) else {
                each_outcome(&fork, |disk| check(disk, &acknowledged, under_way.as_ref(), operation));
                continue;
            };
            let returned = [Some(&acknowledged), under_way.as_ref()].into_iter().flatten();
            let returned = returned.into_iter().find(|model| model.is(&found)).unwrap().clone();
            each_outcome(&fork, |disk| check(disk, &returned, None, operation));
            if fork.operation_count() <= start + later {
                break;
            }
        }
    }
}

#[test]
fn an_error_at_every_operation_then_the_same_batch_again() {
    let script = script();
    let whole = SimulatedDisk::new();
    run(&whole, &script);
    for fault in [Fault::Error, Fault::LateError, Fault::Full] {
        for operation in 0..whole.operation_count() {
            let disk = SimulatedDisk::new();
            disk.fail_at(operation, fault);
            let model = run_with_retries(&disk, &script);
            each_outcome(&disk, |disk| check(disk, &model, None, operation));
        }
    }
}

/// Applies all of the script; a batch that failed is applied again when the disk has recovered.
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
            // A disk that stays full refuses it again; nothing of it may be left in the way.
            store.apply(batch).unwrap();
        }
        model = model.after(batch);
    }
    model
}

#[test]
fn an_error_at_every_operation_then_power_loss_at_any_later_one() {
    let script = script();
    let whole = SimulatedDisk::new();
    run(&whole, &script);
    for fault in [Fault::Error, Fault::LateError] {
        for operation in 0..whole.operation_count() {
            for later in 0..40 {
                let disk = SimulatedDisk::new();
                disk.fail_at(operation, fault);
                let Some(failed) = run_to_failure(&disk, &script) else { break };
                let Failed { mut store, model, batch } = failed;
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

struct Failed {
    store: LogStore<SimulatedDisk>,
    model: Model,
    batch: Vec<Operation>,
}

/// Applies the script until a batch fails; none if none does.
fn run_to_failure(disk: &SimulatedDisk, script: &[Vec<Operation>]) -> Option<Failed> {
    let (mut store, _) = LogStore::open(disk.clone(), LIMITS).ok()?;
    let mut model = Model::default();
    for batch in script {
        if store.apply(batch).is_err() {
            return Some(Failed { store, model, batch: batch.clone() });
        }
        model = model.after(batch);
    }
    None
}

#[test]
fn an_error_at_every_operation_then_a_kill_and_power_loss() {
    let script = script();
    let whole = SimulatedDisk::new();
    run(&whole, &script);
    for fault in [Fault::Error, Fault::LateError] {
        for operation in 0..whole.operation_count() {
            let disk = SimulatedDisk::new();
            disk.fail_at(operation, fault);
            let Some(failed) = run_to_failure(&disk, &script) else { continue };
            let Failed { store, model, batch } = failed;
            drop(store);
            let next = model.after(&batch);
            each_outcome(&disk, |disk| check(disk, &model, Some(&next), operation));
            let (_, found) = LogStore::open(disk.clone(), LIMITS).unwrap();
            let returned = if model.is(&found) { model } else { next };
            each_outcome(&disk, |disk| check(disk, &returned, None, operation));
        }
    }
}
