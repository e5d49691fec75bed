//! The unit of time of the dispatcher and of all plays: a tenth of a millisecond.

use stileroute_dispatch::types::Time;

/// Tenths of a millisecond in a number of milliseconds, rounded.
pub fn ms(ms: f64) -> Time {
    (ms * 10.0).round() as Time
}

/// Tenths of a millisecond in a number of seconds, rounded.
pub fn seconds(seconds: f64) -> Time {
    (seconds * 10_000.0).round() as Time
}
