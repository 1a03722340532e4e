//! A voter is lost, or told to end, and a learner takes its place; after every single event of that, another machine
//! loses its disk.

use crate::walk::{end_calmly, end_calmly_without};
use crate::world::{Action, World};

/// What happens to the others as a disk is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Others {
    /// Nothing.
    RunOn,
    /// All lose power, with what they have not synced.
    LosePower,
}

/// How a voter goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Leaving {
    /// It is lost, one that doesn't lead.
    Lost,
    /// It is told to end, one that doesn't lead.
    Retires,
    /// The leader is told to end.
    LeaderRetires,
}

/// Calm steps after which the last half of a change is committed and known.
const COMMITTED_AFTER: usize = 3;
/// Events of a replacement, at most.
const EVENTS_MOST: usize = 2_000;

/// Plays a replacement whose events come in an order drawn from a seed, with a loss after each: the number of losses.
pub(crate) fn lose_a_disk_at_each_step(leaving: Leaving, others: Others, seed: u64) -> usize {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut world = World::with_ready_learner();
    let leader = world.leader().expect("a leader");
    let follower = (0..3).find(|place| *place != leader).expect("a follower");
    let lost = if leaving == Leaving::LeaderRetires { leader } else { follower };
    world.apply(if leaving == Leaving::Lost { Action::Crash(lost) } else { Action::PrepareShutdown(lost) });
    let mut tried = 0;
    for event in 0..EVENTS_MOST {
        if world.is_replaced(lost) {
            // Until that is committed everywhere.
            (0..COMMITTED_AFTER).for_each(|_| world.calm_step());
            return tried + lose_each_other(&world, lost, others);
        }
        if leaving != Leaving::Lost {
            end_early(world.clone(), lost);
        }
        let due = world.calm_actions();
        let action = due.get(random.usize(..due.len().max(1))).copied().unwrap_or(Action::Advance);
        world.apply(action);
        for place in (0..world.nodes.len()).filter(|place| *place != lost) {
            let outcome = std::panic::catch_unwind(|| lose(world.clone(), place, others));
            assert!(
                outcome.is_ok(),
                "{leaving:?}, {others:?}, seed {seed}: machine {place} loses its disk after event {event}, {action:?}"
            );
            tried += 1;
        }
    }
    panic!("the lost voter is not replaced");
}

/// One that was told to end ends before a learner has its place.
fn end_early(mut world: World, place: usize) {
    end_calmly_without(&mut world, Some(place));
}

/// One is replaced and gone for good. Each other machine loses its disk in turn; what is left has to elect and commit.
fn lose_each_other(world: &World, gone: usize, others: Others) -> usize {
    let places = (0..world.nodes.len()).filter(|place| *place != gone);
    let lost = places.map(|place| {
        let mut world = world.clone();
        world.apply(Action::Crash(gone));
        lose_disk(&mut world, place, others);
        end_calmly_without(&mut world, Some(gone));
    });
    lost.count()
}

fn lose(mut world: World, place: usize, others: Others) {
    lose_disk(&mut world, place, others);
    end_calmly(&mut world);
}

fn lose_disk(world: &mut World, place: usize, others: Others) {
    if others == Others::LosePower {
        (0..world.nodes.len())
            .filter(|other| *other != place)
            .for_each(|other| world.apply(Action::Crash(other)));
    }
    world.apply(Action::Wipe(place));
}
