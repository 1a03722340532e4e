//! A voter is lost or shuts down, and a learner replaces it. After every single event of the replacement,
//! another machine loses its disk.

use crate::walk::{assert_group_recovers, assert_group_recovers_without};
use crate::world::{Action, World};

/// What happens to the other machines when a disk is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Others {
    /// They keep running.
    KeepRunning,
    /// All of them lose power, and with it their unsynced writes.
    LosePower,
}

/// How a voter leaves the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Departure {
    /// A follower fails permanently.
    Fails,
    /// A follower shuts down.
    ShutsDown,
    /// The leader shuts down.
    LeaderShutsDown,
}

/// Number of fault-free steps after which the second phase of a change is committed and known to all.
const STEPS_UNTIL_COMMITTED: usize = 3;
/// Most events of a replacement.
const MAX_EVENTS: usize = 2_000;

/// Simulates a replacement whose order of events derives from a seed, with a disk loss after each event.
/// Returns the number of losses.
pub(crate) fn lose_disk_after_each_event(departure: Departure, others: Others, seed: u64) -> usize {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut world = World::with_ready_learner();
    let leader = world.leader().expect("a leader");
    let follower = (0..3).find(|position| *position != leader).expect("a follower");
    let lost = if departure == Departure::LeaderShutsDown { leader } else { follower };
    world.apply(if departure == Departure::Fails {
        Action::Crash(lost)
    } else {
        Action::PrepareShutdown(lost)
    });
    let mut losses = 0;
    for event in 0..MAX_EVENTS {
        if world.is_replaced(lost) {
            // The change is committed on all machines afterwards.
            (0..STEPS_UNTIL_COMMITTED).for_each(|_| world.fault_free_step());
            return losses + check_loss_of_each_other(&world, lost, others);
        }
        if departure != Departure::Fails {
            check_early_shutdown(world.clone(), lost);
        }
        let due_actions = world.fault_free_actions();
        let action =
            due_actions.get(random.usize(..due_actions.len().max(1))).copied().unwrap_or(Action::Advance);
        world.apply(action);
        for position in (0..world.nodes.len()).filter(|position| *position != lost) {
            let outcome = std::panic::catch_unwind(|| check_loss(world.clone(), position, others));
            assert!(
                outcome.is_ok(),
                "{departure:?}, {others:?}, seed {seed}: machine {position} loses its disk after event {event}, {action:?}"
            );
            losses += 1;
        }
    }
    panic!("the departing voter is not replaced");
}

/// Checks that the group recovers if the machine that shuts down stops before a learner has replaced it.
fn check_early_shutdown(mut world: World, position: usize) {
    assert_group_recovers_without(&mut world, Some(position));
}

/// One machine was replaced and is gone permanently. Each other machine loses its disk in turn; the remaining
/// ones must elect a leader and commit.
fn check_loss_of_each_other(world: &World, removed: usize, others: Others) -> usize {
    let others_left = (0..world.nodes.len()).filter(|position| *position != removed);
    let checked_losses = others_left.map(|position| {
        let mut world = world.clone();
        world.apply(Action::Crash(removed));
        lose_disk(&mut world, position, others);
        assert_group_recovers_without(&mut world, Some(removed));
    });
    checked_losses.count()
}

fn check_loss(mut world: World, position: usize, others: Others) {
    lose_disk(&mut world, position, others);
    assert_group_recovers(&mut world);
}

fn lose_disk(world: &mut World, position: usize, others: Others) {
    if others == Others::LosePower {
        (0..world.nodes.len())
            .filter(|other| *other != position)
            .for_each(|other| world.apply(Action::Crash(other)));
    }
    world.apply(Action::Wipe(position));
}
