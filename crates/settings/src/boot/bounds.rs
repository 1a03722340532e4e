//! The figures of the contracts, from the table `bounds` of the settings file.

use super::error::BootSettingsError;
use super::section::Section;

/// The figures of the contracts in force. Fields that end in `_ms` are milliseconds, those that end in `_s`
/// seconds; all are finite and at least 0.
///
/// [`ContractBounds::default`] holds for keys that the file leaves out. Allowances that permit something extra (slack,
/// overshoot) are 0 there, so that a missing key never permits more.
#[derive(Debug, Clone, PartialEq)]
pub struct ContractBounds {
    /// `seedLagS`: how far behind the operator's list of control addresses may be (3).
    pub seed_lag_s: f64,
    /// `reuseAfterS`: how soon an address of a server that ended may serve another service (2).
    pub reuse_after_s: f64,
    /// `contactMs`: how long a node has to have run and been connected to count as in touch (3,000).
    pub contact_ms: f64,
    /// `ackMs`: how long an order of the operator may wait for its acknowledgement (4,000).
    pub ack_ms: f64,
    /// `catchUpS`: how long a returned or new machine still counts as lost (4).
    pub catch_up_s: f64,
    /// `drainMs`: how long a server serves on after it is first listed as draining (3,000).
    pub drain_ms: f64,
    /// `graceS`: time from SIGTERM to SIGKILL (8).
    pub grace_s: f64,
    /// `lossSlackMs`: time after the start of planned work within which a lost request is excused (200).
    pub loss_slack_ms: f64,
    /// `configMs`: how soon an acknowledged configuration has to be in force on nodes in touch (2,000).
    pub config_ms: f64,
    /// `rollbackSlackMs`: how long an older configuration may still show after a newer one was seen (250).
    pub rollback_slack_ms: f64,
    /// `maxSkewMs`: how far the configuration of a node out of touch may be behind (5,000).
    pub max_skew_ms: f64,
    /// `revocation`: whether keys that are taken away have a time limit of their own (false).
    pub revocation: bool,
    /// `revokeMs`: that time limit (5,000).
    pub revoke_ms: f64,
    /// `retryRatio`: retries permitted per request, all nodes taken together (0.2).
    pub retry_ratio: f64,
    /// `retryWindowS`: window over which retries are counted (10).
    pub retry_window_s: f64,
    /// `retrySlack`: retries permitted on top in a window (0).
    pub retry_slack: f64,
    /// `quotaWindowS`: window over which quotas are counted (8).
    pub quota_window_s: f64,
    /// `quotaOvershoot`: share above a quota that is permitted (0).
    pub quota_overshoot: f64,
    /// `quotaSlack`: units above a quota that are permitted on top in a window (0).
    pub quota_slack: f64,
    /// `recoveryS`: how soon service has to be back after the machines are (12).
    pub recovery_s: f64,
    /// `event_delivery_ms`: how soon each event of a stream has to reach the client (120).
    pub event_delivery_ms: f64,
    /// `prefix_reuse_s`: how soon after its last use a part of a prompt that is read again is priced (8).
    pub prefix_reuse_s: f64,
}

impl Default for ContractBounds {
    fn default() -> Self {
        Self {
            seed_lag_s: 3.0,
            reuse_after_s: 2.0,
            contact_ms: 3_000.0,
            ack_ms: 4_000.0,
            catch_up_s: 4.0,
            drain_ms: 3_000.0,
            grace_s: 8.0,
            loss_slack_ms: 200.0,
            config_ms: 2_000.0,
            rollback_slack_ms: 250.0,
            max_skew_ms: 5_000.0,
            revocation: false,
            revoke_ms: 5_000.0,
            retry_ratio: 0.2,
            retry_window_s: 10.0,
            retry_slack: 0.0,
            quota_window_s: 8.0,
            quota_overshoot: 0.0,
            quota_slack: 0.0,
            recovery_s: 12.0,
            event_delivery_ms: 120.0,
            prefix_reuse_s: 8.0,
        }
    }
}

impl ContractBounds {
    /// Reads the table; a key that is left out keeps its default.
    pub(super) fn read(section: &Section<'_>) -> Result<Self, BootSettingsError> {
        let mut bounds = Self::default();
        bounds.revocation = section.flag("revocation")?.unwrap_or(bounds.revocation);
        for (key, field) in bounds.numbers() {
            if let Some(number) = section.number(key)? {
                *field = number;
            }
        }
        Ok(bounds)
    }

    fn numbers(&mut self) -> [(&'static str, &mut f64); 21] {
        [
            ("seedLagS", &mut self.seed_lag_s),
            ("reuseAfterS", &mut self.reuse_after_s),
            ("contactMs", &mut self.contact_ms),
            ("ackMs", &mut self.ack_ms),
            ("catchUpS", &mut self.catch_up_s),
            ("drainMs", &mut self.drain_ms),
            ("graceS", &mut self.grace_s),
            ("lossSlackMs", &mut self.loss_slack_ms),
            ("configMs", &mut self.config_ms),
            ("rollbackSlackMs", &mut self.rollback_slack_ms),
            ("maxSkewMs", &mut self.max_skew_ms),
            ("revokeMs", &mut self.revoke_ms),
            ("retryRatio", &mut self.retry_ratio),
            ("retryWindowS", &mut self.retry_window_s),
            ("retrySlack", &mut self.retry_slack),
            ("quotaWindowS", &mut self.quota_window_s),
            ("quotaOvershoot", &mut self.quota_overshoot),
            ("quotaSlack", &mut self.quota_slack),
            ("recoveryS", &mut self.recovery_s),
            ("pass_ms", &mut self.event_delivery_ms),
            ("again_s", &mut self.prefix_reuse_s),
        ]
    }
}
