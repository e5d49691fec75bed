//! The time bounds guaranteed to users of the deployment, from the key `bounds` of a settings file.

use crate::section::Section;

/// Time bounds of the deployment's guarantees. Durations are in ms, whatever the unit of their key. Most of the bounds are only
/// read and checked; the fields that a process acts on describe what it does with them.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeBounds {
    /// The key `seed_lag_s`.
    pub seed_lag_ms: u64,
    /// The key `reuse_after_s`.
    pub reuse_after_ms: u64,
    /// The key `contact_ms`.
    pub contact_ms: u64,
    /// The key `ack_ms`.
    pub ack_ms: u64,
    /// The key `catch_up_s`.
    pub catch_up_ms: u64,
    /// The key `drain_ms`.
    pub drain_ms: u64,
    /// Time after which a process that was asked to end is killed; its graceful shutdown ends a little earlier.
    pub shutdown_grace_ms: u64,
    /// The key `loss_slack_ms`.
    pub loss_slack_ms: u64,
    /// The key `config_apply_ms`.
    pub config_apply_ms: u64,
    /// The key `rollback_slack_ms`.
    pub rollback_slack_ms: u64,
    /// The key `max_stretch_ms`.
    pub max_stretch_ms: u64,
    /// The key `recovery_s`.
    pub recovery_ms: u64,
    /// The key `done_within_s`.
    pub done_within_ms: u64,
    /// Time for which the status of a request can be queried after the request has ended.
    pub status_retention_ms: u64,
    /// The key `callback_timeout_s`.
    pub callback_timeout_ms: u64,
    /// The key `visible_ms`.
    pub visible_ms: u64,
    /// The key `early_slack_ms`.
    pub early_slack_ms: u64,
    /// Length of the window over which a service's rate limit is measured.
    pub rate_limit_window_ms: u64,
    /// Factor by which a service's rate limit may be exceeded within a window.
    pub rate_limit_overrun: f64,
    /// Whether every edge, even one partitioned from the control nodes, rejects a tenant key that was removed from the
    /// configuration.
    pub revokes_everywhere: bool,
    /// Time within which a removed tenant key is rejected, counted from the acknowledgement of the configuration that removed it.
    pub revoke_ms: u64,
    /// Time for which an idempotency key refers to its first message, counted from the first sending.
    pub idempotency_window_ms: u64,
    /// Length of the window over which a tenant's rate limit is measured.
    pub quota_window_ms: u64,
    /// Fraction by which a tenant's rate limit may be exceeded within a window; 0.1 is a tenth.
    pub quota_overrun: f64,
    /// Number of messages by which a tenant's rate limit may be exceeded in addition to the fraction.
    pub quota_slack: u64,
}

impl TimeBounds {
    pub(crate) fn from_section(section: Section) -> TimeBounds {
        let duration_ms = |key, default_ms| section.duration_ms(key, Some(default_ms));
        TimeBounds {
            seed_lag_ms: duration_ms("seed_lag_s", 3000),
            reuse_after_ms: duration_ms("reuse_after_s", 2000),
            contact_ms: duration_ms("contact_ms", 4000),
            ack_ms: duration_ms("ack_ms", 5000),
            catch_up_ms: duration_ms("catch_up_s", 4200),
            drain_ms: duration_ms("drain_ms", 3000),
            shutdown_grace_ms: duration_ms("grace_s", 6000),
            loss_slack_ms: duration_ms("loss_slack_ms", 200),
            config_apply_ms: duration_ms("config_apply_ms", 3000),
            rollback_slack_ms: duration_ms("rollback_slack_ms", 250),
            max_stretch_ms: duration_ms("max_stretch_ms", 12_000),
            recovery_ms: duration_ms("recovery_s", 12_000),
            done_within_ms: duration_ms("done_within_s", 10_000),
            status_retention_ms: duration_ms("status_s", 120_000),
            callback_timeout_ms: duration_ms("callback_timeout_s", 5000),
            visible_ms: duration_ms("visible_ms", 3000),
            early_slack_ms: duration_ms("early_slack_ms", 100),
            rate_limit_window_ms: duration_ms("ceiling_window_s", 5000),
            rate_limit_overrun: section.non_negative("origin_overrun", 1.1),
            revokes_everywhere: section.flag("revoke_everywhere"),
            revoke_ms: duration_ms("revoke_ms", 5000),
            idempotency_window_ms: duration_ms("key_window_s", 60_000),
            quota_window_ms: duration_ms("quota_window_s", 5000),
            quota_overrun: section.non_negative("quota_overrun", 0.1),
            quota_slack: section.unsigned("quota_slack", Some(20)),
        }
    }
}
