//! The membership list: SWIM (Das, Gupta, Motivala, 2002) with refinements of Lifeguard (Dadgar, Phillips,
//! Currey, 2018).
//!
//! A member is known by the newest statement that it has signed itself. No other node can claim that a member
//! is alive, nor that it is dead: an accusation only starts a timeout within which the accused can respond
//! with a newer statement. More independent accusers shorten the timeout, down to a minimum that a response
//! needs to spread.

use std::collections::BTreeMap;

use crate::Micros;
use crate::keys::MemberId;
use crate::packet::{Lifecycle, SignedStatement};

/// The number of accusers that shorten the timeout; more have no effect.
const MAX_ACCUSERS: usize = 3;
/// The longest suspicion timeout, as a multiple of the shortest.
const MAX_TIMEOUT_FACTOR: f64 = 3.0;
/// The shortest suspicion timeout in probe periods: for ten members, and the increase for each power of ten.
const MIN_TIMEOUT_PERIODS: (f64, f64) = (3.0, 0.45);
/// How long the share of a restarting member is reserved.
const RESTART_GRACE_TIME: Micros = 60_000_000;

/// The state of a member, as this node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It answers probes, or its statements are new.
    Alive,
    /// It did not answer a probe, or others report so.
    Suspect,
    /// It did not respond within the suspicion timeout.
    Dead,
    /// It announced that it leaves the fleet.
    Left,
    /// It announced that it restarts.
    Restarting,
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) signed: SignedStatement,
    /// When the statement was made, by the ages that its relays reported.
    pub(crate) made_at: Micros,
    pub(crate) liveness: Liveness,
    pub(crate) since: Micros,
    accusers: Vec<MemberId>,
    /// The highest protocol version that it supports, once a packet of it was received.
    pub(crate) max_version: u8,
    window: ReplayWindow,
}

impl Member {
    /// Whether any packet of its current process was received.
    pub(crate) fn has_been_heard(&self) -> bool {
        self.window.instance == self.signed.statement.instance
    }
}

/// Detects replayed packets of a process: the highest packet number received, and a bit for each of the 64
/// numbers up to it.
#[derive(Debug, Default)]
struct ReplayWindow {
    instance: u64,
    highest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Records a packet number; returns whether it is new.
    fn record(&mut self, instance: u64, number: u64) -> bool {
        if self.instance != instance {
            *self = ReplayWindow { instance, highest: number, seen: 1 };
            return true;
        }
        if number > self.highest {
            let distance = number - self.highest;
            self.seen = if distance < 64 { self.seen << distance | 1 } else { 1 };
            self.highest = number;
            return true;
        }
        let bit = self.highest - number;
        let new = bit < 64 && self.seen & 1 << bit == 0;
        self.seen |= if new { 1 << bit } else { 0 };
        new
    }
}

/// All known members. There are never more than names in the ring, since nobody else can sign statements.
#[derive(Debug, Default)]
pub(crate) struct Members {
    pub(crate) all: BTreeMap<MemberId, Member>,
}

impl Members {
    /// Whether a statement is newer than the known one of its author.
    pub(crate) fn is_newer(&self, signed: &SignedStatement) -> bool {
        let known = self.all.get(&signed.statement.author);
        known.is_none_or(|known| known.signed.precedence() < signed.precedence())
    }

    /// Merges a statement whose signature was verified; returns whether it was newer. `held` is the time
    /// since the statement was made.
    pub(crate) fn merge(&mut self, now: Micros, signed: SignedStatement, age: Micros) -> bool {
        if !self.is_newer(&signed) {
            return false;
        }
        let liveness = match signed.statement.lifecycle {
            Lifecycle::Running => Liveness::Alive,
            Lifecycle::Restarting => Liveness::Restarting,
            Lifecycle::Leaving => Liveness::Left,
        };
        let made_at = now.saturating_sub(age);
        match self.all.get_mut(&signed.statement.author) {
            Some(member) => {
                if member.liveness != liveness {
                    (member.liveness, member.since) = (liveness, now);
                }
                (member.signed, member.made_at) = (signed, made_at);
                member.accusers.clear();
            }
            None => {
                let (max_version, window) = (crate::packet::MIN_VERSION, ReplayWindow::default());
                let member = Member {
                    signed,
                    made_at,
                    liveness,
                    since: now,
                    accusers: Vec::new(),
                    max_version,
                    window,
                };
                self.all.insert(member.signed.statement.author, member);
            }
        }
        true
    }

    /// Records a packet received directly from a member; returns whether the packet is new and from the
    /// process that the member's newest statement names. Such a packet shows that the member is alive.
    pub(crate) fn record_packet(
        &mut self,
        now: Micros,
        from: MemberId,
        instance: u64,
        number: u64,
        max_version: u8,
    ) -> bool {
        let Some(member) = self.all.get_mut(&from) else { return false };
        let is_new = member.signed.statement.instance == instance && member.window.record(instance, number);
        if is_new {
            member.max_version = max_version;
            if member.liveness == Liveness::Suspect {
                member.accusers.clear();
            }
            // A member that was considered dead is told who accused it, so that its next statement revives it
            // at all nodes.
            if matches!(member.liveness, Liveness::Suspect | Liveness::Dead) {
                (member.liveness, member.since) = (Liveness::Alive, now);
            }
        }
        is_new
    }

    /// Records that `accuser` got no answer from a member whose statement had this number; returns whether
    /// that is new.
    pub(crate) fn accuse(&mut self, now: Micros, accused: MemberId, number: u64, accuser: MemberId) -> bool {
        let Some(member) = self.all.get_mut(&accused) else { return false };
        // The accuser may know a newer statement than this node; an accusation of an older one has been
        // refuted.
        if number < member.signed.statement.number || accused == accuser {
            return false;
        }
        if member.liveness == Liveness::Alive {
            (member.liveness, member.since) = (Liveness::Suspect, now);
        }
        let new = member.liveness == Liveness::Suspect
            && member.accusers.len() < MAX_ACCUSERS
            && !member.accusers.contains(&accuser);
        member.accusers.extend(new.then_some(accuser));
        new
    }

    /// The members that accuse this member.
    pub(crate) fn accusers(&self, accused: MemberId) -> impl Iterator<Item = MemberId> + '_ {
        self.all.get(&accused).into_iter().flat_map(|member| member.accusers.iter().copied())
    }

    /// The suspicion timeout: longest with one accuser when several members could accuse, shortest with
    /// enough accusers.
    fn suspicion_timeout(&self, accusers: usize, possible_accusers: usize, period: Micros) -> Micros {
        let size = (self.all.len().max(10) as f64 / 10.0).log10();
        let min_timeout = (MIN_TIMEOUT_PERIODS.0 + MIN_TIMEOUT_PERIODS.1 * size) * period as f64;
        let wanted_accusers = possible_accusers.clamp(1, MAX_ACCUSERS) as f64;
        let missing_fraction = (wanted_accusers - accusers as f64).max(0.0) / wanted_accusers.max(2.0);
        (min_timeout * (1.0 + (MAX_TIMEOUT_FACTOR - 1.0) * missing_fraction)) as Micros
    }

    /// Marks suspects whose timeout has passed as dead, and returns them.
    pub(crate) fn expire(&mut self, now: Micros, period: Micros) -> Vec<MemberId> {
        if !self.all.values().any(|member| member.liveness == Liveness::Suspect) {
            return Vec::new();
        }
        // This node and the members that answer.
        let possible_accusers =
            1 + self.all.values().filter(|member| member.liveness == Liveness::Alive).count();
        let is_expired = |member: &Member| {
            let suspicion_timeout = self.suspicion_timeout(member.accusers.len(), possible_accusers, period);
            member.liveness == Liveness::Suspect && now.saturating_sub(member.since) >= suspicion_timeout
        };
        let dead: Vec<MemberId> = self.all.iter().filter(|(_, m)| is_expired(m)).map(|(id, _)| *id).collect();
        for id in &dead {
            if let Some(member) = self.all.get_mut(id) {
                (member.liveness, member.since) = (Liveness::Dead, now);
            }
        }
        dead
    }

    /// The members that are alive or suspect.
    pub(crate) fn present(&self) -> impl Iterator<Item = MemberId> + '_ {
        let is_present = |m: &Member| matches!(m.liveness, Liveness::Alive | Liveness::Suspect);
        self.all.iter().filter(move |(_, m)| is_present(m)).map(|(id, _)| *id)
    }

    /// The number of members whose share no other node may take: those that are present, and those that
    /// restart.
    pub(crate) fn sharing_members(&self, now: Micros) -> usize {
        let counts = |m: &&Member| match m.liveness {
            Liveness::Alive | Liveness::Suspect => true,
            Liveness::Restarting => now.saturating_sub(m.since) < RESTART_GRACE_TIME,
            Liveness::Dead | Liveness::Left => false,
        };
        self.all.values().filter(counts).count()
    }

    /// This node was paused: no member could answer it in that time, so that suspicion timeouts are extended.
    pub(crate) fn extend_timeouts(&mut self, pause: Micros) {
        self.all.values_mut().filter(|m| m.liveness == Liveness::Suspect).for_each(|m| m.since += pause);
    }

    /// Forgets members that may no longer take part.
    pub(crate) fn retain(&mut self, keep: impl Fn(MemberId) -> bool) {
        self.all.retain(|id, _| keep(*id));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_packet_number_is_new_once() {
        let mut window = ReplayWindow::default();
        let seen: Vec<bool> = [5, 6, 5, 4, 4, 200, 137, 136, 6, 200].map(|n| window.record(1, n)).to_vec();
        assert_eq!(seen, [true, true, false, true, false, true, true, false, false, false]);
    }
}

#[cfg(test)]
mod merging {
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    use super::*;
    use crate::evidence::Evidence;
    use crate::keys::Secret;
    use crate::packet::{Statement, Suspicion};

    fn statement((author, number, strength, servers): (u64, u64, u8, u64)) -> SignedStatement {
        let suspicion = |server| Suspicion { server, strength, sample_count: 5, age_ms: 0 };
        let statement = Statement {
            author: MemberId(author),
            key: [0; 4],
            instance: 1,
            number,
            address: ([10, 0, 0, 1], 1).into(),
            lifecycle: Lifecycle::Running,
            suspicions: (0..servers).map(suspicion).collect(),
        };
        SignedStatement::new(statement, &Secret::from_seed([author as u8; 32]))
    }

    fn inputs() -> impl Strategy<Value = Vec<(u64, u64, u8, u64)>> {
        prop::collection::vec((0..5_u64, 0..4_u64, 0..=100_u8, 0..8_u64), 1..20)
    }

    fn merged<'a>(statements: impl Iterator<Item = &'a SignedStatement>) -> Vec<SignedStatement> {
        let mut members = Members::default();
        for signed in statements {
            members.merge(1_000, signed.clone(), 0);
        }
        members.all.into_values().map(|member| member.signed).collect()
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), cases: 64, ..ProptestConfig::default() })]

        #[test]
        fn merging_ignores_order_and_repetition(inputs in inputs(), seed in any::<u64>(), cut in 0..20_usize) {
            let mut all: Vec<SignedStatement> = inputs.into_iter().map(statement).collect();
            let once = merged(all.iter());
            prop_assert_eq!(&once, &merged(all.iter().chain(all.iter())));
            let (left, right) = all.split_at(cut.min(all.len()));
            let (left, right) = (merged(left.iter()), merged(right.iter()));
            prop_assert_eq!(&once, &merged(right.iter().chain(left.iter())));
            fastrand::Rng::with_seed(seed).shuffle(&mut all);
            prop_assert_eq!(&once, &merged(all.iter()));
            prop_assert!(once.len() <= 5);
        }

        #[test]
        fn false_suspicions_stay_within_bound(inputs in inputs(), honest in 0..40_u64, seconds in 0..4_u64) {
            let mut members = Members::default();
            for signed in inputs.into_iter().map(statement) {
                members.merge(1_000, signed, 0);
            }
            let false_witnesses = members.all.len();
            for author in 100..100 + honest {
                members.merge(1_000, statement((author, 1, 0, 0)), 0);
            }
            let nodes = members.all.len() + 1;
            for suspicion in Evidence::default().assess(seconds * 1_000_000, &members, &[]) {
                prop_assert!(suspicion.level <= crate::max_false_suspicion(false_witnesses, nodes) + 1e-9);
            }
        }
    }

    #[test]
    fn suspicions_with_invalid_ages_are_ignored() {
        let mut members = Members::default();
        let mut invalid = statement((1, 1, 100, 1)).statement;
        invalid.suspicions[0].age_ms = 60_000;
        members.merge(1_000, SignedStatement::new(invalid, &Secret::from_seed([1; 32])), 0);
        assert!(Evidence::default().assess(1_000, &members, &[]).is_empty());
    }
}
