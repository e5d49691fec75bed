//! The numbers of messages: each life of a store gives those of a line of its own.

use super::Queue;

/// Each life of a store gives numbers of a line of its own, drawn by lot: so many bits are the count in it.
const LINE_BITS: u32 = 36;

/// The first number of the line that this lot draws. Reckoned from the time of day, a life after the loss of a disk that began
/// within the second of the one before, or with the clock put back, gave the same numbers again, and took what was lost with
/// the disk for what it had never finished taking.
pub fn first_number(lot: u64) -> u64 {
    ((lot >> LINE_BITS) | 1) << LINE_BITS
}

/// The line a number belongs to.
fn line_of(number: u64) -> u64 {
    number >> LINE_BITS
}

impl Queue {
    /// The number was given by a life that began with the present disk.
    pub(crate) fn is_number_of_present_disk(&self, number: u64) -> bool {
        let begun = self.settings.earlier_first_numbers.iter().chain([&self.settings.first_number]);
        begun.into_iter().any(|first| line_of(*first) == line_of(number))
    }
}
