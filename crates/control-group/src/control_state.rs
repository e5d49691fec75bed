//! The replicated value, its digest, and which of two values is the newer.

use crate::Retirement;
use serde::{Deserialize, Serialize};

/// The replicated value: the operators' configuration, and which stores are retired.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    /// Counts the changes of the value: one more with each.
    pub serial: u64,
    /// The operators' own number of the configuration. 0: none has been submitted yet.
    pub version: u64,
    /// The configuration, as the operators sent it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// In the order in which they were accepted; at most [`MAX_RETIREMENTS`](crate::MAX_RETIREMENTS).
    pub retirements: Vec<Retirement>,
}

impl ControlState {
    /// Distinguishes two values with one serial: one of them was abandoned, and must not be taken for the other.
    ///
    /// It guards against confusion, not against an attacker: each heartbeat carries it, so it is short.
    pub fn digest(&self) -> u64 {
        let mut hash = Fnv::default();
        hash.add_number(self.serial);
        hash.add_number(self.version);
        hash.add_bytes(&self.body);
        for Retirement { node, name, stage } in &self.retirements {
            hash.add_number(u64::from(*node));
            hash.add_bytes(name.as_bytes());
            hash.add_number(*stage as u64);
        }
        hash.0
    }

    /// Its place in the order of values.
    pub fn rank(&self) -> Rank {
        Rank { version: self.version, serial: self.serial }
    }

    /// Whether both have the same version with the same body, whatever else was written with it.
    pub fn same_configuration(&self, other: &ControlState) -> bool {
        self.version == other.version && self.body == other.body
    }

    /// The accepted order to retire this store, if there is one.
    pub fn retirement(&self, node: u32) -> Option<&Retirement> {
        self.retirements.iter().find(|retirement| retirement.node == node)
    }
}

/// Which of two values is the newer: first by version, then by serial.
///
/// Neither number ever falls from one write to the next, so the serial alone would do, but for one case: a control group that
/// has lost most of its disks and is started anew by hand counts serials from one, and the nodes that are left accept its
/// configuration by its higher version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    /// Of the configuration.
    pub version: u64,
    /// Of the value.
    pub serial: u64,
}

/// The hash FNV-1a with 64 bits. Each byte string goes in after its length, so that two parts never run together.
struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Fnv {
        Fnv(0xCBF2_9CE4_8422_2325)
    }
}

impl Fnv {
    fn add_bytes(&mut self, bytes: &[u8]) {
        self.add_number(bytes.len() as u64);
        self.add_raw(bytes);
    }

    fn add_number(&mut self, number: u64) {
        self.add_raw(&number.to_le_bytes());
    }

    fn add_raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01B3);
        }
    }
}
