//! Random choices for generated tests; the same seed produces the same choices.

/// SplitMix64 generator (Steele, Lea, Flood, "Fast splittable pseudorandom number generators", 2014).
pub struct SeededRandom(u64);

impl SeededRandom {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a random number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound.max(1) as u64) as usize
    }

    /// Returns true with a probability of 1 in `times`.
    pub fn once_in(&mut self, times: usize) -> bool {
        self.below(times) == 0
    }

    /// Returns a random element of `choices`.
    pub fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }

    /// Splits bytes at random positions: not at all, into a few pieces, or into single bytes.
    pub fn split<'a>(&mut self, bytes: &'a [u8]) -> Vec<&'a [u8]> {
        let max_piece_length = match self.below(4) {
            0 => bytes.len(),
            1 => 1,
            2 => 7,
            _ => 60,
        };
        let (mut unsplit, mut pieces) = (bytes, Vec::new());
        while !unsplit.is_empty() {
            let length = (1 + self.below(max_piece_length)).min(unsplit.len());
            let (piece, remainder) = unsplit.split_at(length);
            pieces.push(piece);
            unsplit = remainder;
        }
        pieces
    }
}
