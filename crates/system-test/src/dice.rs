//! Numbers drawn from a seed.

use crate::message;

/// Numbers drawn from a seed.
pub struct Dice {
    seed: u64,
    drawn: u64,
}

impl Dice {
    pub fn new(seed: u64) -> Dice {
        Dice { seed, drawn: 0 }
    }

    pub fn below(&mut self, bound: usize) -> usize {
        self.drawn += 1;
        (message::mix(self.seed ^ message::mix(self.drawn)) % bound as u64) as usize
    }

    /// Both ends are drawn too.
    pub fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.below((most - least + 1) as usize) as u64
    }
}

#[cfg(test)]
mod tests;
