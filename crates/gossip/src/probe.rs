//! Whether a member answers: asked directly, then through others (SWIM), with patience that grows while this
//! node itself seems to be slow (Lifeguard's local health).

use std::collections::VecDeque;

use crate::Micros;
use crate::keys::MemberId;
use crate::members::Members;

/// Members that are asked to ask.
const HELPERS: usize = 4;
/// How slow this node may think that it is.
const SLOWEST: u32 = 5;
/// Members that others accuse and that are asked out of turn.
const CHECKS_MOST: usize = 16;
/// Requests of others that are under way.
const ERRANDS_MOST: usize = 32;
/// For how long an errand is remembered.
const ERRAND: Micros = 3_000_000;

/// What the prober wants done.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Ask a member.
    Ping(MemberId, u64),
    /// Have it asked by these.
    Ask(MemberId, u64, Vec<MemberId>),
    /// It did not answer at all.
    Failed(MemberId),
}

struct Probe {
    target: MemberId,
    number: u64,
    sent_at: Micros,
    /// Whether it was asked a second time: one lost packet says nothing.
    again: bool,
    /// Whether others were asked to ask it.
    asked: bool,
}

impl Probe {
    /// When something is to be done about one that is asked out of turn.
    fn due(&self, patience: Micros) -> Micros {
        self.sent_at + if self.again { 2 * patience } else { patience / 2 }
    }
}

/// A request of another node to ask a third one.
struct Errand {
    number: u64,
    target: MemberId,
    asker: MemberId,
    at: Micros,
}

pub(crate) struct Prober {
    period: Micros,
    round: Vec<MemberId>,
    current: Option<Probe>,
    checks: Vec<Probe>,
    heard_at: Micros,
    next_at: Micros,
    slow: u32,
    errands: VecDeque<Errand>,
}

impl Prober {
    pub(crate) fn new(period: Micros, first_at: Micros) -> Prober {
        Prober {
            period,
            round: Vec::new(),
            current: None,
            checks: Vec::new(),
            heard_at: 0,
            next_at: first_at,
            slow: 0,
            errands: VecDeque::new(),
        }
    }

    /// This node learned that it is slow, or that it is not.
    pub(crate) fn own_health(&mut self, well: bool) {
        self.slow = if well { self.slow.saturating_sub(1) } else { (self.slow + 1).min(SLOWEST) };
    }

    fn patience(&self) -> Micros {
        u64::from(1 + self.slow) * self.period / 3
    }

    /// Some packet was heard.
    pub(crate) fn heard(&mut self, now: Micros) {
        self.heard_at = now;
    }

    /// When it next wants a look.
    pub(crate) fn next(&self) -> Micros {
        let patience = self.patience();
        let current = match &self.current {
            Some(probe) if !probe.again => probe.sent_at + patience / 2,
            Some(probe) if !probe.asked => probe.sent_at + patience,
            Some(probe) => probe.sent_at + 3 * patience,
            None => self.next_at,
        };
        self.checks.iter().map(|check| check.due(patience)).fold(current, Micros::min)
    }

    /// Others accuse a member: it is asked out of turn, so that there are more who know. Nothing if it is
    /// being asked.
    pub(crate) fn check(&mut self, now: Micros, target: MemberId, number: u64) -> Option<Step> {
        let known = self.checks.iter().chain(&self.current).any(|probe| probe.target == target);
        if known || self.checks.len() >= CHECKS_MOST {
            return None;
        }
        self.checks.push(Probe { target, number, sent_at: now, again: false, asked: true });
        Some(Step::Ping(target, number))
    }

    fn check_step(&mut self, now: Micros) -> Option<Step> {
        let patience = self.patience();
        let at = self.checks.iter().position(|check| check.due(patience) <= now)?;
        let check = &mut self.checks[at];
        if !check.again {
            check.again = true;
            return Some(Step::Ping(check.target, check.number));
        }
        Some(Step::Failed(self.checks.swap_remove(at).target))
    }

    pub(crate) fn step(
        &mut self,
        now: Micros,
        members: &Members,
        random: &mut fastrand::Rng,
    ) -> Option<Step> {
        if now < self.next() {
            return None;
        }
        if let Some(step) = self.check_step(now) {
            return Some(step);
        }
        if let Some(probe) = &mut self.current {
            if !probe.again {
                probe.again = true;
                return Some(Step::Ping(probe.target, probe.number));
            }
            if probe.asked {
                let (target, sent_at) = (probe.target, probe.sent_at);
                self.current = None;
                // Who hears others is not deaf itself.
                if self.heard_at <= sent_at {
                    self.own_health(false);
                }
                return Some(Step::Failed(target));
            }
            probe.asked = true;
            let mut helpers: Vec<MemberId> = members.present().filter(|id| *id != probe.target).collect();
            random.shuffle(&mut helpers);
            helpers.truncate(HELPERS);
            return Some(Step::Ask(probe.target, probe.number, helpers));
        }
        // Each round asks all that are there once, in an order of its own.
        if self.round.is_empty() {
            self.round = members.present().collect();
            random.shuffle(&mut self.round);
        }
        self.next_at = now + self.period;
        let target = loop {
            let target = self.round.pop()?;
            if members.present().any(|id| id == target) {
                break target;
            }
        };
        let number = random.u64(..);
        self.current = Some(Probe { target, number, sent_at: now, again: false, asked: false });
        Some(Step::Ping(target, number))
    }

    /// Who is being asked, and by which number.
    #[cfg(test)]
    pub(crate) fn asked(&self) -> Option<(MemberId, u64)> {
        self.current.as_ref().map(|probe| (probe.target, probe.number))
    }

    /// A member has answered, directly or by a proof; whether that was waited for.
    pub(crate) fn answered(&mut self, from: MemberId, number: u64) -> bool {
        let is = |probe: &Probe| probe.target == from && probe.number == number;
        let checks = self.checks.len();
        self.checks.retain(|probe| !is(probe));
        let hit = self.current.take_if(|probe| is(probe)).is_some();
        if hit {
            self.own_health(true);
        }
        hit || self.checks.len() < checks
    }

    /// Another node wants a member asked; whether there is room for that.
    pub(crate) fn errand(&mut self, now: Micros, asker: MemberId, target: MemberId, number: u64) -> bool {
        self.errands.retain(|errand| now.saturating_sub(errand.at) < ERRAND);
        let room = self.errands.len() < ERRANDS_MOST;
        if room {
            self.errands.push_back(Errand { number, target, asker, at: now });
        }
        room
    }

    /// Who wanted this answer.
    pub(crate) fn errand_done(&mut self, from: MemberId, number: u64) -> Option<MemberId> {
        let at = self.errands.iter().position(|errand| errand.target == from && errand.number == number)?;
        self.errands.remove(at).map(|errand| errand.asker)
    }

    /// This node stood still for so long.
    pub(crate) fn shift(&mut self, by: Micros) {
        self.current.iter_mut().chain(&mut self.checks).for_each(|probe| probe.sent_at += by);
        self.own_health(false);
    }
}
