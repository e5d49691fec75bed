//! Message numbers: each incarnation of a store numbers its messages in a range of its own.

use super::Queue;
use crate::message::CHECKED_NUMBER;

/// Number of low bits that count messages within the range of one incarnation. The bits above are random.
const COUNTER_BITS: u32 = 36;

/// First message number of a new incarnation, from 64 random bits.
///
/// The range is random and not derived from the time of day. Otherwise an incarnation that follows the loss of a disk
/// within one second, or with the clock set back, would give the same numbers again, and would mistake messages lost
/// with the disk for messages that it never finished accepting.
pub fn first_number(random: u64) -> u64 {
    ((random >> COUNTER_BITS) | 1) << COUNTER_BITS | CHECKED_NUMBER
}

/// The range to which a message number belongs.
fn range_of(number: u64) -> u64 {
    number >> COUNTER_BITS
}

impl Queue {
    /// Whether a message number was given by an incarnation that began with the present disk.
    pub(crate) fn is_number_of_present_disk(&self, number: u64) -> bool {
        let first_numbers = self.settings.earlier_first_numbers.iter().chain([&self.settings.first_number]);
        first_numbers.into_iter().any(|first| range_of(*first) == range_of(number))
    }
}
