//! Probes whether members answer: directly, then through other members (SWIM). Timeouts grow while this node
//! itself seems to be slow (Lifeguard's local health).

use std::collections::VecDeque;

use crate::Micros;
use crate::keys::MemberId;
use crate::members::Members;

/// The number of members that are asked to probe a target on this node's behalf.
const HELPERS: usize = 4;
/// The largest slowness level of this node.
const MAX_SLOWNESS: u32 = 5;
/// The largest number of accused members that are probed out of turn at a time.
const MAX_EXTRA_PROBES: usize = 16;
/// The largest number of pending probes on behalf of other members.
const MAX_RELAYED_PROBES: usize = 32;
/// How long a probe on behalf of another member is remembered.
const RELAYED_PROBE_TTL: Micros = 3_000_000;

/// An action of the prober.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Send a ping with this number to a member.
    Ping(MemberId, u64),
    /// Have these members ping the target.
    PingThrough(MemberId, u64, Vec<MemberId>),
    /// The member did not answer any probe.
    Failed(MemberId),
}

struct Probe {
    target: MemberId,
    number: u64,
    sent_at: Micros,
    /// Whether a second ping was sent: a single lost packet proves nothing.
    repeated: bool,
    /// Whether other members were asked to ping the target.
    helpers_asked: bool,
}

impl Probe {
    /// When the next action is due for a probe out of turn.
    fn due(&self, timeout: Micros) -> Micros {
        self.sent_at + if self.repeated { 2 * timeout } else { timeout / 2 }
    }
}

/// A probe of a third member on behalf of another member.
struct RelayedProbe {
    number: u64,
    target: MemberId,
    requester: MemberId,
    at: Micros,
}

pub(crate) struct Prober {
    period: Micros,
    round: Vec<MemberId>,
    current: Option<Probe>,
    extra_probes: Vec<Probe>,
    last_received_at: Micros,
    next_at: Micros,
    slowness: u32,
    relayed_probes: VecDeque<RelayedProbe>,
}

impl Prober {
    pub(crate) fn new(period: Micros, first_at: Micros) -> Prober {
        Prober {
            period,
            round: Vec::new(),
            current: None,
            extra_probes: Vec::new(),
            last_received_at: 0,
            next_at: first_at,
            slowness: 0,
            relayed_probes: VecDeque::new(),
        }
    }

    /// Records evidence that this node responds in time (`true`) or is slow.
    pub(crate) fn record_own_health(&mut self, is_healthy: bool) {
        self.slowness =
            if is_healthy { self.slowness.saturating_sub(1) } else { (self.slowness + 1).min(MAX_SLOWNESS) };
    }

    fn timeout(&self) -> Micros {
        u64::from(1 + self.slowness) * self.period / 3
    }

    /// Records that a packet was received.
    pub(crate) fn record_packet(&mut self, now: Micros) {
        self.last_received_at = now;
    }

    /// When [`Self::step`] is due next.
    pub(crate) fn next(&self) -> Micros {
        let timeout = self.timeout();
        let current = match &self.current {
            Some(probe) if !probe.repeated => probe.sent_at + timeout / 2,
            Some(probe) if !probe.helpers_asked => probe.sent_at + timeout,
            Some(probe) => probe.sent_at + 3 * timeout,
            None => self.next_at,
        };
        self.extra_probes.iter().map(|probe| probe.due(timeout)).fold(current, Micros::min)
    }

    /// Starts a probe of an accused member out of turn, so that more members know whether it answers. `None`
    /// if it is being probed already.
    pub(crate) fn probe_now(&mut self, now: Micros, target: MemberId, number: u64) -> Option<Step> {
        let known = self.extra_probes.iter().chain(&self.current).any(|probe| probe.target == target);
        if known || self.extra_probes.len() >= MAX_EXTRA_PROBES {
            return None;
        }
        self.extra_probes.push(Probe { target, number, sent_at: now, repeated: false, helpers_asked: true });
        Some(Step::Ping(target, number))
    }

    fn extra_probe_step(&mut self, now: Micros) -> Option<Step> {
        let timeout = self.timeout();
        let at = self.extra_probes.iter().position(|probe| probe.due(timeout) <= now)?;
        let probe = &mut self.extra_probes[at];
        if !probe.repeated {
            probe.repeated = true;
            return Some(Step::Ping(probe.target, probe.number));
        }
        Some(Step::Failed(self.extra_probes.swap_remove(at).target))
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
        if let Some(step) = self.extra_probe_step(now) {
            return Some(step);
        }
        if let Some(probe) = &mut self.current {
            if !probe.repeated {
                probe.repeated = true;
                return Some(Step::Ping(probe.target, probe.number));
            }
            if probe.helpers_asked {
                let (target, sent_at) = (probe.target, probe.sent_at);
                self.current = None;
                // A node that receives packets of others is not itself cut off.
                if self.last_received_at <= sent_at {
                    self.record_own_health(false);
                }
                return Some(Step::Failed(target));
            }
            probe.helpers_asked = true;
            let mut helpers: Vec<MemberId> = members.present().filter(|id| *id != probe.target).collect();
            random.shuffle(&mut helpers);
            helpers.truncate(HELPERS);
            return Some(Step::PingThrough(probe.target, probe.number, helpers));
        }
        // Each round probes all present members once, in random order.
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
        self.current = Some(Probe { target, number, sent_at: now, repeated: false, helpers_asked: false });
        Some(Step::Ping(target, number))
    }

    /// The member that is being probed, and the number of the ping.
    #[cfg(test)]
    pub(crate) fn current_ping(&self) -> Option<(MemberId, u64)> {
        self.current.as_ref().map(|probe| (probe.target, probe.number))
    }

    /// Records a member's answer, received directly or through another member; returns whether it was
    /// expected.
    pub(crate) fn answered(&mut self, from: MemberId, number: u64) -> bool {
        let matches = |probe: &Probe| probe.target == from && probe.number == number;
        let extra_probe_count = self.extra_probes.len();
        self.extra_probes.retain(|probe| !matches(probe));
        let matches_current = self.current.take_if(|probe| matches(probe)).is_some();
        if matches_current {
            self.record_own_health(true);
        }
        matches_current || self.extra_probes.len() < extra_probe_count
    }

    /// Registers a probe on behalf of another member; returns whether there is room for it.
    pub(crate) fn add_relayed_probe(
        &mut self,
        now: Micros,
        requester: MemberId,
        target: MemberId,
        number: u64,
    ) -> bool {
        self.relayed_probes.retain(|relayed_probe| now.saturating_sub(relayed_probe.at) < RELAYED_PROBE_TTL);
        let has_room = self.relayed_probes.len() < MAX_RELAYED_PROBES;
        if has_room {
            self.relayed_probes.push_back(RelayedProbe { number, target, requester, at: now });
        }
        has_room
    }

    /// Takes the member on whose behalf this answer was requested.
    pub(crate) fn take_relayed_probe(&mut self, from: MemberId, number: u64) -> Option<MemberId> {
        let at = self
            .relayed_probes
            .iter()
            .position(|relayed_probe| relayed_probe.target == from && relayed_probe.number == number)?;
        self.relayed_probes.remove(at).map(|relayed_probe| relayed_probe.requester)
    }

    /// This node was paused: pending probes get more time.
    pub(crate) fn extend_timeouts(&mut self, by: Micros) {
        self.current.iter_mut().chain(&mut self.extra_probes).for_each(|probe| probe.sent_at += by);
        self.record_own_health(false);
    }
}
