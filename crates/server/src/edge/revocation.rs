//! Keys that are taken away. An edge that is cut off from the control nodes doesn't hear of it, so it accepts requests with keys only
//! while it can know that no key was taken away longer ago than the deployment allows.

use crate::net::Millis;
use stileroute_config::TimeBounds;

/// Part of the time within which a key's end is in force that is left to the control nodes: between the acknowledgement of a
/// configuration and its arrival at the one that this edge asks, which counts as in contact meanwhile.
const CONTROL_GROUP_DELAY_MS: Millis = 1000;

/// Whether requests with keys may be accepted. `contact_at` is when the control nodes that this edge has heard last knew that they were
/// not cut off themselves; `None` if it has heard none that was.
pub fn are_keys_current(bounds: &TimeBounds, contact_at: Option<Millis>, now: Millis) -> bool {
    if !bounds.revokes_everywhere {
        return true;
    }
    let longest_ms = bounds.revoke_ms.saturating_sub(CONTROL_GROUP_DELAY_MS);
    contact_at.is_some_and(|at| now <= at + longest_ms)
}

#[cfg(test)]
mod tests;
