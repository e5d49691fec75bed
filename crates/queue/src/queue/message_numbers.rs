//! The numbers of messages: each incarnation of a store numbers its messages in a range of its own.

use super::Queue;
use crate::message::CHECKED_NUMBER;

/// The lower bits of a message number count within the range of one incarnation; the bits above are random.
const COUNTER_BITS: u32 = 36;

/// The first message number of a new incarnation, from 64 random bits.
///
/// The range is random and not taken from the time of day: an incarnation after the loss of a disk that began within one second
/// of the former one, or with the clock put back, would give the same numbers again, and take messages lost with the disk for
/// ones that it had never finished accepting.
pub fn first_number(random: u64) -> u64 {
    ((random >> COUNTER_BITS) | 1) << COUNTER_BITS | CHECKED_NUMBER
}

/// The range that a number belongs to.
fn range_of(number: u64) -> u64 {
    number >> COUNTER_BITS
}

impl Queue {
    /// Whether the number was given by an incarnation that began with the present disk.
    pub(crate) fn is_number_of_present_disk(&self, number: u64) -> bool {
        let first_numbers = self.settings.earlier_first_numbers.iter().chain([&self.settings.first_number]);
        first_numbers.into_iter().any(|first| range_of(*first) == range_of(number))
    }
}
