//! The table `bounds` of the settings file: numeric limits of the contracts that the fleet has to meet.

use super::error::BootSettingsError;
use super::section::Section;

/// Numeric limits of the contracts in force. Fields that end in `_ms` are in milliseconds, fields that end in
/// `_s` in seconds; all numbers are finite and at least 0. Each field names its key, with the default in
/// parentheses.
///
/// Keys missing from the file have the values of [`ContractBounds::default`]. There, allowances (slack and
/// overshoot) are 0, so that a missing key never permits more.
#[derive(Debug, Clone, PartialEq)]
pub struct ContractBounds {
    /// `seedLagS`: longest time for which the operator's list of control addresses may be outdated (3).
    pub seed_lag_s: f64,
    /// `reuseAfterS`: shortest time after which the address of a terminated server may be reused by another
    /// service (2).
    pub reuse_after_s: f64,
    /// `contactMs`: time for which a node has to be running and connected before it counts as in contact
    /// (3,000).
    pub contact_ms: f64,
    /// `ackMs`: longest time until a command of the operator is acknowledged (4,000).
    pub ack_ms: f64,
    /// `catchUpS`: time for which a restarted or new machine still counts as lost (4).
    pub catch_up_s: f64,
    /// `drainMs`: time for which a server continues to serve after it is first listed as draining (3,000).
    pub drain_ms: f64,
    /// `graceS`: time from SIGTERM to SIGKILL (8).
    pub grace_s: f64,
    /// `lossSlackMs`: time after the start of planned maintenance within which a lost request is tolerated
    /// (200).
    pub loss_slack_ms: f64,
    /// `configMs`: longest time until an acknowledged configuration is in force on all nodes in contact
    /// (2,000).
    pub config_ms: f64,
    /// `rollbackSlackMs`: time for which an older configuration may still take effect after a newer one did
    /// (250).
    pub rollback_slack_ms: f64,
    /// `maxSkewMs`: longest time for which the configuration of a node without contact may be outdated
    /// (5,000).
    pub max_skew_ms: f64,
    /// `revocation`: whether `revokeMs` applies to removed API keys (false).
    pub revocation: bool,
    /// `revokeMs`: longest time for which a removed API key may still be accepted (5,000).
    pub revoke_ms: f64,
    /// `retryRatio`: retries permitted per request, summed over all nodes (0.2).
    pub retry_ratio: f64,
    /// `retryWindowS`: window over which retries are counted (10).
    pub retry_window_s: f64,
    /// `retrySlack`: additional retries permitted per window (0).
    pub retry_slack: f64,
    /// `quotaWindowS`: window over which quotas are counted (8).
    pub quota_window_s: f64,
    /// `quotaOvershoot`: permitted overshoot as a fraction of the quota (0).
    pub quota_overshoot: f64,
    /// `quotaSlack`: additional units above a quota permitted per window (0).
    pub quota_slack: f64,
    /// `recoveryS`: longest time until service is restored once the machines are back (12).
    pub recovery_s: f64,
    /// `pass_ms`: longest time until each event of a stream reaches the client (120).
    pub event_delivery_ms: f64,
    /// `again_s`: time after the last use of a prompt part within which processing it again is charged (8).
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
    /// Reads the table; a missing key keeps its default.
    pub(super) fn read(section: &Section<'_>) -> Result<Self, BootSettingsError> {
        let mut bounds = Self::default();
        bounds.revocation = section.boolean("revocation")?.unwrap_or(bounds.revocation);
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
