//! What others say of servers, what that weighs, and whom it is believed of.
//!
//! A witness's word is its newest statement: merging is taking the one with the higher number, so order and
//! repetition do not matter. A word weighs by its strength, by its age, and by the witness's credit, and a
//! witness has only so much strength to spend on all servers together. The doubt about a server is the sum of
//! that over its witnesses, as a part of what is needed for the most doubt; one witness adds at most `1 /
//! needed`. What doubt does to a server is the decision module's matter.

use std::collections::BTreeMap;

use cherryusher::{PeerSuspicion, ServerObservation};

use crate::Micros;
use crate::keys::MemberId;
use crate::members::Members;
use crate::packet::{STRONGEST, SUSPICIONS_MOST, Suspicion};

/// A word counts in full up to this age.
const FRESH: Micros = 3_000_000;
/// A word that was not renewed is forgotten at this age.
pub(crate) const FORGOTTEN: Micros = 6_000_000;
/// How often a word that still holds is said again.
pub(crate) const RENEW: Micros = 2_000_000;
/// The least time between two statements of one member.
pub(crate) const RESTATE: Micros = 200_000;
/// The strength that a witness may spend on all servers together: that of two at full strength.
const SPEND: f64 = 2.0;
/// What a suspicion is worth telling from.
const TOLD_FROM: f64 = 0.25;
/// Own answers that prove a server healthy.
const PROOF: u32 = 4;
/// How fast a witness loses credit while own answers and the others find healthy what it accuses.
const LOSES: f64 = 2_000_000.0;
/// How fast it gets credit back.
const REGAINS: f64 = 60_000_000.0;
/// How fast, while this node itself finds what it says.
const CONFIRMED: f64 = 5_000_000.0;
/// No age of an honest member is longer: it would have been left out.
const AGE_MOST: u16 = 10_000;

/// One witness's word, as it is weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Witness {
    /// Who says it.
    pub witness: MemberId,
    /// How sure it says that it is, from 0 to 1.
    pub strength: f64,
    /// How many requests it says that rests on.
    pub sample_count: u16,
    /// How long ago it was seen.
    pub age: Micros,
    /// How much of it counts: its strength, its age, its witness's credit.
    pub weight: f64,
}

/// How many witnesses at full weight make for the most doubt, among so many nodes. It grows with the
/// logarithm, so that few liars of many count for little, and a stall is known by all after some seconds.
pub fn witnesses_needed(nodes: usize) -> f64 {
    ((nodes + 1) as f64).log2().ceil().clamp(2.0, 8.0)
}

/// The most doubt that so many liars can cast on a healthy server among so many nodes.
pub fn max_false_suspicion(liars: usize, nodes: usize) -> f64 {
    (liars as f64 / witnesses_needed(nodes)).min(1.0)
}

#[derive(Default)]
pub(crate) struct Evidence {
    /// Of those whose credit is not full.
    credit: BTreeMap<MemberId, f64>,
    weighed_at: Micros,
    said: Vec<Suspicion>,
    said_at: Micros,
}

impl Evidence {
    pub(crate) fn credit(&self, witness: MemberId) -> f64 {
        self.credit.get(&witness).copied().unwrap_or(1.0)
    }

    /// Whether a statement says what no honest member does.
    pub(crate) fn makes_no_sense(suspicions: &[Suspicion]) -> bool {
        suspicions.iter().any(|s| s.age_ms > AGE_MOST)
    }

    /// All words of others that still count, by server.
    pub(crate) fn words(&self, now: Micros, members: &Members) -> BTreeMap<u64, Vec<Witness>> {
        let mut by_server: BTreeMap<u64, Vec<Witness>> = BTreeMap::new();
        for (id, member) in &members.all {
            let suspicions = &member.signed.statement.suspicions;
            if Evidence::makes_no_sense(suspicions) {
                continue;
            }
            let strength = |s: &Suspicion| f64::from(s.strength) / f64::from(STRONGEST);
            let spent: f64 = suspicions.iter().map(strength).sum();
            let scale = (SPEND / spent.max(SPEND)) * self.credit(*id);
            for s in suspicions {
                let age = now.saturating_sub(member.made_at) + u64::from(s.age_ms) * 1000;
                if age >= FORGOTTEN {
                    continue;
                }
                let fades = (FORGOTTEN - age) as f64 / (FORGOTTEN - FRESH) as f64;
                let weight = scale * strength(s) * fades.min(1.0);
                let (strength, rests_on) = (strength(s), s.rests_on);
                let witness = Witness { witness: *id, strength, sample_count: rests_on, age, weight };
                by_server.entry(s.server).or_default().push(witness);
            }
        }
        by_server
    }

    /// Weighs what others say, and gives or takes credit by what this node sees itself.
    pub(crate) fn weigh(
        &mut self,
        now: Micros,
        members: &Members,
        own: &[ServerObservation],
    ) -> Vec<PeerSuspicion> {
        let needed = witnesses_needed(members.all.len() + 1);
        let words = self.words(now, members);
        let passed = now.saturating_sub(self.weighed_at).min(FORGOTTEN) as f64;
        self.weighed_at = now;
        let mut contradicted: BTreeMap<MemberId, bool> = BTreeMap::new();
        for (server, witnesses) in &words {
            let Some(seen) = own.iter().find(|seen| seen.server == *server) else { continue };
            let total: f64 = witnesses.iter().map(|w| w.weight).sum();
            let healthy = seen.recent_answers >= PROOF && seen.suspicion < TOLD_FROM && total < needed;
            for witness in witnesses {
                if healthy {
                    contradicted.insert(witness.witness, true);
                } else if seen.suspicion >= TOLD_FROM {
                    contradicted.entry(witness.witness).or_insert(false);
                }
            }
        }
        for (witness, contradicted) in &contradicted {
            let credit = self.credit.entry(*witness).or_insert(1.0);
            *credit = match contradicted {
                true => *credit * (-passed / LOSES).exp(),
                false => *credit + passed / CONFIRMED,
            };
        }
        for (witness, credit) in &mut self.credit {
            if !contradicted.contains_key(witness) {
                *credit += passed / REGAINS;
            }
        }
        self.credit.retain(|_, credit| *credit < 1.0);
        let doubt =
            |witnesses: &[Witness]| (witnesses.iter().map(|w| w.weight).sum::<f64>() / needed).min(1.0);
        words.iter().map(|(server, w)| PeerSuspicion { server: *server, level: doubt(w) }).collect()
    }

    /// What this node should say of servers now, if that differs from what it said. What enough others say
    /// already is not said too, so that a stall which all nodes see costs no more than one that few see.
    pub(crate) fn say(
        &mut self,
        now: Micros,
        members: &Members,
        own: &[ServerObservation],
    ) -> Option<Vec<Suspicion>> {
        if now.saturating_sub(self.said_at) < RESTATE {
            return None;
        }
        let words = self.words(now, members);
        let enough = 2.0 * witnesses_needed(members.all.len() + 1);
        let known = |server: u64| {
            let renewed = |w: &&Witness| w.age < FRESH;
            words
                .get(&server)
                .is_some_and(|w| w.iter().filter(renewed).map(|w| w.weight).sum::<f64>() >= enough)
        };
        let mut seen: Vec<&ServerObservation> = own.iter().filter(|s| s.suspicion >= TOLD_FROM).collect();
        seen.sort_by(|a, b| b.suspicion.total_cmp(&a.suspicion).then(a.server.cmp(&b.server)));
        seen.truncate(SUSPICIONS_MOST);
        let say: Vec<Suspicion> = seen
            .into_iter()
            .filter(|s| !known(s.server))
            .map(|s| Suspicion {
                server: s.server,
                strength: (s.suspicion.min(1.0) * f64::from(STRONGEST)) as u8,
                rests_on: s.sample_count.min(u32::from(u16::MAX)) as u16,
                age_ms: 0,
            })
            .collect();
        let servers = |list: &[Suspicion]| {
            let mut ids: Vec<u64> = list.iter().map(|s| s.server).collect();
            ids.sort_unstable();
            ids
        };
        let renew = !say.is_empty() && now.saturating_sub(self.said_at) >= RENEW;
        (servers(&say) != servers(&self.said) || renew).then(|| {
            (self.said, self.said_at) = (say.clone(), now);
            say
        })
    }

    /// Forgets those who may not take part any more.
    pub(crate) fn retain(&mut self, keep: impl Fn(MemberId) -> bool) {
        self.credit.retain(|id, _| keep(*id));
    }
}
