//! Who is there: SWIM (Das, Gupta, Motivala, 2002) with refinements of Lifeguard (Dadgar, Phillips, Currey,
//! 2018).
//!
//! A member is known by the newest statement that it has signed itself. Nobody can say for another that it is
//! there, and nobody can say of another that it is gone: an accusation only starts a time within which the
//! accused may answer with a newer statement. The more accuse it independently, the shorter that time is; it
//! is never under a least that an answer needs to come round.

use std::collections::BTreeMap;

use crate::Micros;
use crate::keys::MemberId;
use crate::packet::{Signed, Stance};

/// Accusers that shorten the time for an answer; more do not count.
const ACCUSERS_MOST: usize = 3;
/// The longest time for an answer, as a multiple of the least.
const LONGEST: f64 = 3.0;
/// The least time for an answer, in probing periods, for ten members, and what comes on top with each power
/// of ten.
const LEAST: (f64, f64) = (3.0, 0.45);
/// For how long the part of one that restarts is kept.
const KEPT: Micros = 60_000_000;

/// How a member stands with this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It answers, or its statements are new.
    Alive,
    /// It did not answer, or others say so.
    Suspect,
    /// It did not answer in time.
    Dead,
    /// It said that it would go.
    Left,
    /// It said that it would be back in a moment.
    Restarting,
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) signed: Signed,
    /// When the statement was made, as far as those tell who passed it on.
    pub(crate) made_at: Micros,
    pub(crate) standing: Liveness,
    pub(crate) since: Micros,
    accusers: Vec<MemberId>,
    /// The highest version that it speaks, if it was heard.
    pub(crate) speaks: u8,
    window: Window,
}

impl Member {
    /// Whether any packet of its process came here.
    pub(crate) fn was_heard(&self) -> bool {
        self.window.instance == self.signed.statement.instance
    }
}

/// Which of a process's packets were met: the highest number, and the 64 below it.
#[derive(Debug, Default)]
struct Window {
    instance: u64,
    highest: u64,
    met: u64,
}

impl Window {
    /// Whether it was not met yet.
    fn take(&mut self, instance: u64, number: u64) -> bool {
        if self.instance != instance {
            *self = Window { instance, highest: number, met: 1 };
            return true;
        }
        if number > self.highest {
            let by = number - self.highest;
            self.met = if by < 64 { self.met << by | 1 } else { 1 };
            self.highest = number;
            return true;
        }
        let bit = self.highest - number;
        let new = bit < 64 && self.met & 1 << bit == 0;
        self.met |= if new { 1 << bit } else { 0 };
        new
    }
}

/// All that are known. It holds no more than the ring has names, since nobody else can sign.
#[derive(Debug, Default)]
pub(crate) struct Members {
    pub(crate) all: BTreeMap<MemberId, Member>,
}

impl Members {
    /// Whether a statement counts more than what is known.
    pub(crate) fn is_newer(&self, signed: &Signed) -> bool {
        let known = self.all.get(&signed.statement.author);
        known.is_none_or(|known| known.signed.order() < signed.order())
    }

    /// Takes in a statement that its author signed; whether that changed anything.
    pub(crate) fn take(&mut self, now: Micros, signed: Signed, held: Micros) -> bool {
        if !self.is_newer(&signed) {
            return false;
        }
        let standing = match signed.statement.stance {
            Stance::Here => Liveness::Alive,
            Stance::Restarting => Liveness::Restarting,
            Stance::Leaving => Liveness::Left,
        };
        let made_at = now.saturating_sub(held);
        match self.all.get_mut(&signed.statement.author) {
            Some(member) => {
                if member.standing != standing {
                    (member.standing, member.since) = (standing, now);
                }
                (member.signed, member.made_at) = (signed, made_at);
                member.accusers.clear();
            }
            None => {
                let (speaks, window) = (crate::packet::VERSION_LEAST, Window::default());
                let member =
                    Member { signed, made_at, standing, since: now, accusers: Vec::new(), speaks, window };
                self.all.insert(member.signed.statement.author, member);
            }
        }
        true
    }

    /// Whether a packet of a member is new and of the process that its newest statement names. It is heard
    /// then, so it is there.
    pub(crate) fn hear(
        &mut self,
        now: Micros,
        from: MemberId,
        instance: u64,
        number: u64,
        speaks: u8,
    ) -> bool {
        let Some(member) = self.all.get_mut(&from) else { return false };
        let fresh = member.signed.statement.instance == instance && member.window.take(instance, number);
        if fresh {
            member.speaks = speaks;
            if member.standing == Liveness::Suspect {
                member.accusers.clear();
            }
            // One that was dead is told by whom it was accused, so that its next statement brings it back for
            // all.
            if matches!(member.standing, Liveness::Suspect | Liveness::Dead) {
                (member.standing, member.since) = (Liveness::Alive, now);
            }
        }
        fresh
    }

    /// Somebody says that a member, as of this statement, does not answer. Whether that is new.
    pub(crate) fn accuse(&mut self, now: Micros, accused: MemberId, number: u64, accuser: MemberId) -> bool {
        let Some(member) = self.all.get_mut(&accused) else { return false };
        // Who accuses may know a newer statement than this node; an older one has been answered.
        if number < member.signed.statement.number || accused == accuser {
            return false;
        }
        if member.standing == Liveness::Alive {
            (member.standing, member.since) = (Liveness::Suspect, now);
        }
        let new = member.standing == Liveness::Suspect
            && member.accusers.len() < ACCUSERS_MOST
            && !member.accusers.contains(&accuser);
        member.accusers.extend(new.then_some(accuser));
        new
    }

    /// Who accuses a member.
    pub(crate) fn accusers(&self, accused: MemberId) -> impl Iterator<Item = MemberId> + '_ {
        self.all.get(&accused).into_iter().flat_map(|member| member.accusers.iter().copied())
    }

    /// For how long a suspect may answer: from the longest, with one accuser of several that could accuse, to
    /// the least.
    fn patience(&self, accusers: usize, able: usize, period: Micros) -> Micros {
        let size = (self.all.len().max(10) as f64 / 10.0).log10();
        let least = (LEAST.0 + LEAST.1 * size) * period as f64;
        let wanted = able.clamp(1, ACCUSERS_MOST) as f64;
        let lacking = (wanted - accusers as f64).max(0.0) / wanted.max(2.0);
        (least * (1.0 + (LONGEST - 1.0) * lacking)) as Micros
    }

    /// Those whose time for an answer is over; they are dead from now on.
    pub(crate) fn expire(&mut self, now: Micros, period: Micros) -> Vec<MemberId> {
        if !self.all.values().any(|member| member.standing == Liveness::Suspect) {
            return Vec::new();
        }
        // This node, and those that answer.
        let able = 1 + self.all.values().filter(|member| member.standing == Liveness::Alive).count();
        let over = |member: &Member| {
            let patience = self.patience(member.accusers.len(), able, period);
            member.standing == Liveness::Suspect && now.saturating_sub(member.since) >= patience
        };
        let dead: Vec<MemberId> = self.all.iter().filter(|(_, m)| over(m)).map(|(id, _)| *id).collect();
        for id in &dead {
            if let Some(member) = self.all.get_mut(id) {
                (member.standing, member.since) = (Liveness::Dead, now);
            }
        }
        dead
    }

    /// Those that answer, or may yet.
    pub(crate) fn present(&self) -> impl Iterator<Item = MemberId> + '_ {
        let here = |m: &Member| matches!(m.standing, Liveness::Alive | Liveness::Suspect);
        self.all.iter().filter(move |(_, m)| here(m)).map(|(id, _)| *id)
    }

    /// Those whose part nobody else may have: who is there, and who will be back in a moment.
    pub(crate) fn counted(&self, now: Micros) -> usize {
        let counts = |m: &&Member| match m.standing {
            Liveness::Alive | Liveness::Suspect => true,
            Liveness::Restarting => now.saturating_sub(m.since) < KEPT,
            Liveness::Dead | Liveness::Left => false,
        };
        self.all.values().filter(counts).count()
    }

    /// This node stood still: nobody had a chance to answer it in that time.
    pub(crate) fn shift(&mut self, by: Micros) {
        self.all.values_mut().filter(|m| m.standing == Liveness::Suspect).for_each(|m| m.since += by);
    }

    /// Forgets those who may not take part any more.
    pub(crate) fn retain(&mut self, keep: impl Fn(MemberId) -> bool) {
        self.all.retain(|id, _| keep(*id));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_packet_is_met_once() {
        let mut window = Window::default();
        let met: Vec<bool> = [5, 6, 5, 4, 4, 200, 137, 136, 6, 200].map(|n| window.take(1, n)).to_vec();
        assert_eq!(met, [true, true, false, true, false, true, true, false, false, false]);
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

    fn statement((author, number, strength, servers): (u64, u64, u8, u64)) -> Signed {
        let suspicion = |server| Suspicion { server, strength, rests_on: 5, age_ms: 0 };
        let statement = Statement {
            author: MemberId(author),
            key: [0; 4],
            instance: 1,
            number,
            address: ([10, 0, 0, 1], 1).into(),
            stance: Stance::Here,
            suspicions: (0..servers).map(suspicion).collect(),
        };
        Signed::new(statement, &Secret::from_seed([author as u8; 32]))
    }

    fn drawn() -> impl Strategy<Value = Vec<(u64, u64, u8, u64)>> {
        prop::collection::vec((0..5_u64, 0..4_u64, 0..=100_u8, 0..8_u64), 1..20)
    }

    fn merged<'a>(statements: impl Iterator<Item = &'a Signed>) -> Vec<Signed> {
        let mut members = Members::default();
        for signed in statements {
            members.take(1_000, signed.clone(), 0);
        }
        members.all.into_values().map(|member| member.signed).collect()
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), cases: 64, ..ProptestConfig::default() })]

        #[test]
        fn order_grouping_and_repetition_do_not_matter(drawn in drawn(), seed in any::<u64>(), cut in 0..20_usize) {
            let mut all: Vec<Signed> = drawn.into_iter().map(statement).collect();
            let once = merged(all.iter());
            prop_assert_eq!(&once, &merged(all.iter().chain(all.iter())));
            let (one, two) = all.split_at(cut.min(all.len()));
            let (one, two) = (merged(one.iter()), merged(two.iter()));
            prop_assert_eq!(&once, &merged(two.iter().chain(one.iter())));
            fastrand::Rng::with_seed(seed).shuffle(&mut all);
            prop_assert_eq!(&once, &merged(all.iter()));
            prop_assert!(once.len() <= 5);
        }

        #[test]
        fn liars_never_go_beyond_their_bound(drawn in drawn(), honest in 0..40_u64, seconds in 0..4_u64) {
            let mut members = Members::default();
            for signed in drawn.into_iter().map(statement) {
                members.take(1_000, signed, 0);
            }
            let liars = members.all.len();
            for author in 100..100 + honest {
                members.take(1_000, statement((author, 1, 0, 0)), 0);
            }
            let nodes = members.all.len() + 1;
            for doubt in Evidence::default().weigh(seconds * 1_000_000, &members, &[]) {
                prop_assert!(doubt.level <= crate::max_false_suspicion(liars, nodes) + 1e-9);
            }
        }
    }

    #[test]
    fn ages_that_can_not_be_are_not_heard() {
        let mut members = Members::default();
        let mut odd = statement((1, 1, 100, 1)).statement;
        odd.suspicions[0].age_ms = 60_000;
        members.take(1_000, Signed::new(odd, &Secret::from_seed([1; 32])), 0);
        assert!(Evidence::default().weigh(1_000, &members, &[]).is_empty());
    }
}
