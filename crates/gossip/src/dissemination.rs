//! What is worth telling next: each new statement is told a number of times that grows with the logarithm of
//! the number of nodes, those that were told least first; what adds nothing to what others said is told once.

use std::collections::{BTreeMap, VecDeque};

use crate::keys::MemberId;
use crate::packet::Accusation;

/// Tellings of a statement, as a multiple of the logarithm to base 2 of the number of nodes.
const TELLINGS: f64 = 2.0;
/// Accusations that are kept to be told.
const ACCUSATIONS_KEPT: usize = 64;

/// Statements beyond which each is told no more than [`CROWDED`] times.
const CROWD: usize = 48;
/// How often, then.
pub(crate) const CROWDED: u32 = 2;
/// Tellings until an accusation is no longer urgent.
const URGENT: u32 = 4;

/// How often news are told among so many nodes.
pub(crate) fn tellings(nodes: usize) -> u32 {
    (TELLINGS * ((nodes + 1) as f64).log2()).ceil().max(2.0) as u32
}

#[derive(Default)]
pub(crate) struct News {
    /// How often the statement of each was told.
    hot: BTreeMap<MemberId, u32>,
    accusations: VecDeque<(Accusation, u32)>,
}

impl News {
    /// A statement is new.
    pub(crate) fn heat(&mut self, id: MemberId) {
        self.hot.insert(id, 0);
    }

    pub(crate) fn is_hot(&self) -> bool {
        !self.hot.is_empty() || !self.accusations.is_empty()
    }

    /// Whether there is more than pushing is good for: who lacks it asks.
    pub(crate) fn is_crowded(&self) -> bool {
        self.hot.len() > CROWD
    }

    /// Whether somebody is accused, and it was not told often yet.
    pub(crate) fn is_urgent(&self) -> bool {
        self.accusations.iter().any(|(_, told)| *told < URGENT)
    }

    /// A member has answered, or is known to be gone: what it was accused of is over.
    pub(crate) fn settled(&mut self, accused: MemberId) {
        self.accusations.retain(|(accusation, _)| accusation.accused != accused);
    }

    /// Whose statements are new.
    pub(crate) fn hot(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.hot.keys().copied()
    }

    /// Up to `space` bytes of statements that were told least; `size` tells what each takes, if it is still
    /// known, and `useful` how many tellings it is worth.
    pub(crate) fn pick(
        &mut self,
        mut space: usize,
        size: impl Fn(MemberId) -> Option<usize>,
        useful: impl Fn(MemberId) -> u32,
    ) -> Vec<MemberId> {
        let mut order: Vec<(u32, MemberId)> = self.hot.iter().map(|(id, told)| (*told, *id)).collect();
        order.sort_unstable();
        let mut picked = Vec::new();
        for (told, id) in order {
            match size(id) {
                Some(size) if size <= space => {
                    space -= size;
                    picked.push(id);
                    if told + 1 >= useful(id) {
                        self.hot.remove(&id);
                    } else {
                        self.hot.insert(id, told + 1);
                    }
                }
                Some(_) => {}
                None => drop(self.hot.remove(&id)),
            }
        }
        picked
    }

    /// Somebody does not answer.
    pub(crate) fn accuse(&mut self, accusation: Accusation) {
        let same = |(known, _): &(Accusation, u32)| *known == accusation;
        if !self.accusations.iter().any(same) {
            self.accusations.truncate(ACCUSATIONS_KEPT - 1);
            self.accusations.push_front((accusation, 0));
        }
    }

    /// Up to so many accusations that were told least.
    pub(crate) fn accusations(&mut self, most: usize, tellings: u32) -> Vec<Accusation> {
        self.accusations.make_contiguous().sort_by_key(|(_, told)| *told);
        let picked = self.accusations.iter_mut().take(most);
        let picked = picked.map(|(accusation, told)| (*told += 1, *accusation).1).collect();
        self.accusations.retain(|(_, told)| *told < tellings.div_ceil(2));
        picked
    }
}
