//! Random numbers, a generator of its own for each purpose.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// A generator for one purpose of one play: what another purpose draws does not shift it.
pub fn generator(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed ^ purpose.wrapping_mul(0x9E37_79B9_7F4A_7C15))
}
