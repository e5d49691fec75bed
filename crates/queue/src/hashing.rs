//! Hash function for small tuples of numbers, with the same result at all stores.

/// Hashes several numbers into one, with the mixing steps of SplitMix64 (Steele, Lea and Flood, 2014).
pub(crate) fn mix(parts: &[u64]) -> u64 {
    parts.iter().fold(0x9e37_79b9_7f4a_7c15, |hash, part| {
        let hash = (hash ^ part).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let hash = (hash ^ (hash >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^ (hash >> 32)
    })
}
