//! Freshness of the fed data.

use dunelink_protocol::Heartbeat;

/// Age in milliseconds that means "never confirmed". Receivers may add to it without overflow.
pub const NEVER_CONFIRMED_MS: u64 = u64::MAX / 2;
/// Microseconds per millisecond.
const MICROS_PER_MS: u64 = 1_000;

/// Last times at which the data was known to be current, derived from the ages in received heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness {
    /// Time of the last confirmation in microseconds, negative before the clock's origin; `None` if never.
    confirmed_at: Option<i64>,
    /// Time of the last read of the server list, as `confirmed_at`.
    list_read_at: Option<i64>,
    known_version: u64,
}

impl Freshness {
    /// Applies a heartbeat received at `now`. An older confirmation never replaces a newer one. `has_roster`
    /// states whether the receiver's roster is at least at the heartbeat's position: only then does the
    /// heartbeat's roster age apply to it.
    pub fn update(&mut self, heartbeat: &Heartbeat, has_roster: bool, now: u64) {
        self.confirmed_at = self.confirmed_at.max(time_of(now, heartbeat.confirmed_age_ms));
        self.known_version = self.known_version.max(heartbeat.configuration_version);
        if has_roster {
            self.list_read_at = self.list_read_at.max(time_of(now, heartbeat.roster_age_ms));
        }
    }

    /// Clears the confirmation: the data may be current, but no source is left that can confirm it.
    pub fn clear_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Time since the data was last confirmed as current, in milliseconds; [`NEVER_CONFIRMED_MS`] if never.
    pub fn confirmed_age_ms(&self, now: u64) -> u64 {
        age_ms(self.confirmed_at, now)
    }

    /// Time since the platform's server list was last read, in milliseconds; [`NEVER_CONFIRMED_MS`] if
    /// unknown.
    pub fn roster_age_ms(&self, now: u64) -> u64 {
        age_ms(self.list_read_at, now)
    }

    /// Newest version of the configuration known to be committed, whether received or not; 0 for none.
    pub fn known_version(&self) -> u64 {
        self.known_version
    }
}

/// The time `age_ms` before `now`, which may be negative (before the clock's origin); `None` if the age is
/// too large, which means that the event never happened.
fn time_of(now: u64, age_ms: u64) -> Option<i64> {
    let age = i64::try_from(age_ms.checked_mul(MICROS_PER_MS)?).ok()?;
    i64::try_from(now).ok()?.checked_sub(age)
}

fn age_ms(time: Option<i64>, now: u64) -> u64 {
    let Some(time) = time else { return NEVER_CONFIRMED_MS };
    let elapsed = i128::from(now) - i128::from(time);
    u64::try_from(elapsed).unwrap_or(0) / MICROS_PER_MS
}
