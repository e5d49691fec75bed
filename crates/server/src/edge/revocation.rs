//! Revocation of tenant keys. An edge that is partitioned from the control nodes does not receive revocations, so it
//! accepts requests with keys only while any revocation that it may have missed is more recent than the deployment's
//! bound.

use crate::net::Millis;
use stileroute_config::TimeBounds;

/// Part of the revocation bound, in ms, that is reserved for the control nodes: the time from the acknowledgement of
/// a configuration until it reaches the control node that this edge polls, which counts as in contact during that
/// time.
const CONTROL_GROUP_DELAY_MS: Millis = 1000;

/// Whether requests with keys may be accepted. `contact_at` is the latest time at which a control node that this edge
/// polled knew that it was not partitioned from its peers; `None` if there has been no such control node.
pub fn are_keys_current(bounds: &TimeBounds, contact_at: Option<Millis>, now: Millis) -> bool {
    if !bounds.revokes_everywhere {
        return true;
    }
    let longest_ms = bounds.revoke_ms.saturating_sub(CONTROL_GROUP_DELAY_MS);
    contact_at.is_some_and(|at| now <= at + longest_ms)
}

#[cfg(test)]
mod tests;
