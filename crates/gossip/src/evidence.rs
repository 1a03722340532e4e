//! Suspicions that other nodes report about servers, and how much each counts.
//!
//! A witness's report is its newest statement: merging takes the statement with the higher number, so that
//! order and repetition do not matter. The weight of a report depends on its strength, its age and the
//! witness's credit; the total strength that a witness can spend on all servers is limited. The suspicion of
//! a server is the sum of the weights of all its witnesses, as a fraction of the weight needed for full
//! suspicion; one witness adds at most `1 / witnesses_needed`. What a suspicion does to a server is up to the
//! decision module.

use std::collections::BTreeMap;

use cherryusher::{PeerSuspicion, ServerObservation};

use crate::Micros;
use crate::keys::MemberId;
use crate::members::Members;
use crate::packet::{MAX_STRENGTH, MAX_SUSPICIONS, Suspicion};

/// Reports up to this age count in full.
const FULL_WEIGHT_AGE: Micros = 3_000_000;
/// Reports that were not renewed are dropped at this age.
pub(crate) const SUSPICION_TTL: Micros = 6_000_000;
/// How often a node repeats a suspicion that still holds.
pub(crate) const RENEW_INTERVAL: Micros = 2_000_000;
/// The least time between two statements of one member.
pub(crate) const MIN_STATEMENT_INTERVAL: Micros = 200_000;
/// The total strength that a witness may spend on all servers: two servers at full strength.
const MAX_TOTAL_STRENGTH: f64 = 2.0;
/// The least suspicion that is reported to other nodes.
const MIN_REPORTED_SUSPICION: f64 = 0.25;
/// The number of recent responses that prove to this node that a server is healthy.
const HEALTHY_RESPONSES: u32 = 4;
/// A witness's credit falls by a factor of e in this time (microseconds), while this node and the other
/// witnesses find the servers healthy that it reports.
const CREDIT_LOSS_US: f64 = 2_000_000.0;
/// The time in microseconds in which a witness regains full credit without further evidence.
const CREDIT_REGAIN_US: f64 = 60_000_000.0;
/// The time in microseconds in which a witness regains full credit while this node observes the same
/// suspicions.
const CONFIRMED_CREDIT_REGAIN_US: f64 = 5_000_000.0;
/// The largest age, in milliseconds, in an honest member's statement: older suspicions are left out of
/// statements.
const MAX_AGE_MS: u16 = 10_000;

/// One witness's report about a server, with its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Witness {
    /// The member that reports it.
    pub witness: MemberId,
    /// The strength of the suspicion that it reports, from 0 to 1.
    pub strength: f64,
    /// The number of requests that its report is based on.
    pub sample_count: u16,
    /// How long ago the witness observed it.
    pub age: Micros,
    /// How much the report counts: strength, scaled by its age and the witness's credit.
    pub weight: f64,
}

/// How many witnesses at full weight make full suspicion, among this many nodes. It grows with the logarithm,
/// so that a few false witnesses among many count for little, while a stall is known to all nodes after some
/// seconds.
pub fn witnesses_needed(nodes: usize) -> f64 {
    ((nodes + 1) as f64).log2().ceil().clamp(2.0, 8.0)
}

/// The largest suspicion of a healthy server that this many false witnesses can cause among this many nodes.
pub fn max_false_suspicion(false_witnesses: usize, nodes: usize) -> f64 {
    (false_witnesses as f64 / witnesses_needed(nodes)).min(1.0)
}

#[derive(Default)]
pub(crate) struct Evidence {
    /// The credit of each witness whose credit is below 1.
    credit: BTreeMap<MemberId, f64>,
    assessed_at: Micros,
    last_reported: Vec<Suspicion>,
    last_reported_at: Micros,
}

impl Evidence {
    pub(crate) fn credit(&self, witness: MemberId) -> f64 {
        self.credit.get(&witness).copied().unwrap_or(1.0)
    }

    /// Whether a statement contains an age that no honest member sends.
    pub(crate) fn has_invalid_age(suspicions: &[Suspicion]) -> bool {
        suspicions.iter().any(|s| s.age_ms > MAX_AGE_MS)
    }

    /// All current reports of other nodes, by server id.
    pub(crate) fn reports(&self, now: Micros, members: &Members) -> BTreeMap<u64, Vec<Witness>> {
        let mut by_server: BTreeMap<u64, Vec<Witness>> = BTreeMap::new();
        for (id, member) in &members.all {
            let suspicions = &member.signed.statement.suspicions;
            if Evidence::has_invalid_age(suspicions) {
                continue;
            }
            let strength = |s: &Suspicion| f64::from(s.strength) / f64::from(MAX_STRENGTH);
            let total_strength: f64 = suspicions.iter().map(strength).sum();
            let scale = (MAX_TOTAL_STRENGTH / total_strength.max(MAX_TOTAL_STRENGTH)) * self.credit(*id);
            for s in suspicions {
                let age = now.saturating_sub(member.made_at) + u64::from(s.age_ms) * 1000;
                if age >= SUSPICION_TTL {
                    continue;
                }
                let age_factor = (SUSPICION_TTL - age) as f64 / (SUSPICION_TTL - FULL_WEIGHT_AGE) as f64;
                let weight = scale * strength(s) * age_factor.min(1.0);
                let (strength, sample_count) = (strength(s), s.sample_count);
                let witness = Witness { witness: *id, strength, sample_count, age, weight };
                by_server.entry(s.server).or_default().push(witness);
            }
        }
        by_server
    }

    /// Weighs the reports of other nodes, and adjusts the witnesses' credit by this node's own observations.
    pub(crate) fn assess(
        &mut self,
        now: Micros,
        members: &Members,
        own: &[ServerObservation],
    ) -> Vec<PeerSuspicion> {
        let needed = witnesses_needed(members.all.len() + 1);
        let reports = self.reports(now, members);
        let elapsed = now.saturating_sub(self.assessed_at).min(SUSPICION_TTL) as f64;
        self.assessed_at = now;
        let mut contradicted: BTreeMap<MemberId, bool> = BTreeMap::new();
        for (server, witnesses) in &reports {
            let Some(observed) = own.iter().find(|o| o.server == *server) else { continue };
            let total: f64 = witnesses.iter().map(|w| w.weight).sum();
            let healthy = observed.recent_answers >= HEALTHY_RESPONSES
                && observed.suspicion < MIN_REPORTED_SUSPICION
                && total < needed;
            for witness in witnesses {
                if healthy {
                    contradicted.insert(witness.witness, true);
                } else if observed.suspicion >= MIN_REPORTED_SUSPICION {
                    contradicted.entry(witness.witness).or_insert(false);
                }
            }
        }
        for (witness, contradicted) in &contradicted {
            let credit = self.credit.entry(*witness).or_insert(1.0);
            *credit = match contradicted {
                true => *credit * (-elapsed / CREDIT_LOSS_US).exp(),
                false => *credit + elapsed / CONFIRMED_CREDIT_REGAIN_US,
            };
        }
        for (witness, credit) in &mut self.credit {
            if !contradicted.contains_key(witness) {
                *credit += elapsed / CREDIT_REGAIN_US;
            }
        }
        self.credit.retain(|_, credit| *credit < 1.0);
        let suspicion_level =
            |witnesses: &[Witness]| (witnesses.iter().map(|w| w.weight).sum::<f64>() / needed).min(1.0);
        reports
            .iter()
            .map(|(server, w)| PeerSuspicion { server: *server, level: suspicion_level(w) })
            .collect()
    }

    /// The suspicions that this node should report now, if they differ from its last statement or need
    /// renewal. Suspicions that enough others report already are left out, so that a stall which all nodes
    /// observe costs no more traffic than one that few observe.
    pub(crate) fn report(
        &mut self,
        now: Micros,
        members: &Members,
        own: &[ServerObservation],
    ) -> Option<Vec<Suspicion>> {
        if now.saturating_sub(self.last_reported_at) < MIN_STATEMENT_INTERVAL {
            return None;
        }
        let reports = self.reports(now, members);
        let enough_weight = 2.0 * witnesses_needed(members.all.len() + 1);
        let is_widely_reported = |server: u64| {
            let is_fresh = |w: &&Witness| w.age < FULL_WEIGHT_AGE;
            reports
                .get(&server)
                .is_some_and(|w| w.iter().filter(is_fresh).map(|w| w.weight).sum::<f64>() >= enough_weight)
        };
        let mut observed: Vec<&ServerObservation> =
            own.iter().filter(|s| s.suspicion >= MIN_REPORTED_SUSPICION).collect();
        observed.sort_by(|a, b| b.suspicion.total_cmp(&a.suspicion).then(a.server.cmp(&b.server)));
        observed.truncate(MAX_SUSPICIONS);
        let report: Vec<Suspicion> = observed
            .into_iter()
            .filter(|s| !is_widely_reported(s.server))
            .map(|s| Suspicion {
                server: s.server,
                strength: (s.suspicion.min(1.0) * f64::from(MAX_STRENGTH)) as u8,
                sample_count: s.sample_count.min(u32::from(u16::MAX)) as u16,
                age_ms: 0,
            })
            .collect();
        let servers = |list: &[Suspicion]| {
            let mut ids: Vec<u64> = list.iter().map(|s| s.server).collect();
            ids.sort_unstable();
            ids
        };
        let needs_renewal = !report.is_empty() && now.saturating_sub(self.last_reported_at) >= RENEW_INTERVAL;
        (servers(&report) != servers(&self.last_reported) || needs_renewal).then(|| {
            (self.last_reported, self.last_reported_at) = (report.clone(), now);
            report
        })
    }

    /// Forgets members that may no longer take part.
    pub(crate) fn retain(&mut self, keep: impl Fn(MemberId) -> bool) {
        self.credit.retain(|id, _| keep(*id));
    }
}
