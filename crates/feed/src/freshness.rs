//! How far what is held can be trusted.

use dunelink_protocol::Heartbeat;

/// Age in milliseconds that stands for "never confirmed". Receivers may add to it without overflow.
pub const NEVER_CONFIRMED_MS: u64 = u64::MAX / 2;
/// Microseconds in a millisecond.
const MICROS: u64 = 1_000;

/// When the state was last known to be current, counted on from the receipt of signs of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness {
    confirmed_at: Option<i64>,
    list_read_at: Option<i64>,
    known_version: u64,
}

impl Freshness {
    /// Takes a sign of life received at `now`. Older proofs never replace newer ones. `roster_held` tells whether
    /// the roster held is at least the one that the sign speaks of: only then is its age that of the roster held.
    pub fn update(&mut self, tick: &Heartbeat, roster_held: bool, now: u64) {
        self.confirmed_at = self.confirmed_at.max(moment(now, tick.confirmed_age_ms));
        self.known_version = self.known_version.max(tick.configuration_version);
        if roster_held {
            self.list_read_at = self.list_read_at.max(moment(now, tick.roster_age_ms));
        }
    }

    /// Forgets the proof: what is held may be current, but nobody is there any more who could tell.
    pub fn clear_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Age of the last proof that the state was current, in milliseconds; [`NEVER_CONFIRMED_MS`] if there was none.
    pub fn confirmed_age_ms(&self, now: u64) -> u64 {
        age(self.confirmed_at, now)
    }

    /// Time since the platform's list was last read, in milliseconds; [`NEVER_CONFIRMED_MS`] if it is unknown.
    pub fn roster_age_ms(&self, now: u64) -> u64 {
        age(self.list_read_at, now)
    }

    /// Newest version of the configuration known to be committed; 0 for none. It may not be held yet.
    pub fn known_version(&self) -> u64 {
        self.known_version
    }
}

/// When something that is `age_ms` old at `now` happened, which may be before the clock began; nothing if it never
/// did.
fn moment(now: u64, age_ms: u64) -> Option<i64> {
    let age = i64::try_from(age_ms.checked_mul(MICROS)?).ok()?;
    i64::try_from(now).ok()?.checked_sub(age)
}

fn age(moment: Option<i64>, now: u64) -> u64 {
    let Some(moment) = moment else { return NEVER_CONFIRMED_MS };
    let passed = i128::from(now) - i128::from(moment);
    u64::try_from(passed).unwrap_or(0) / MICROS
}
