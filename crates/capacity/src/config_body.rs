//! The configurations of simulated fleets: they carry their version, and are otherwise only so many bytes.

/// The version stands in the first bytes, little-endian.
const VERSION_BYTES: usize = 8;

/// A configuration of this version and length; it is never shorter than its version.
pub fn configuration(version: u64, bytes: usize) -> Vec<u8> {
    let mut body = version.to_le_bytes().to_vec();
    body.resize(bytes.max(VERSION_BYTES), b'x');
    body
}

/// The version of a configuration that [`configuration`] made.
pub fn version_of(body: &[u8]) -> u64 {
    let version = body.get(..VERSION_BYTES).and_then(|bytes| bytes.try_into().ok());
    version.map_or(0, u64::from_le_bytes)
}
