//! The replicated control state, its digest, and the order that decides which of two control states is newer.

use crate::Retirement;
use serde::{Deserialize, Serialize};

/// The replicated control state: the operators' configuration and the retired stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    /// The number of changes so far; each change raises it by one.
    pub serial: u64,
    /// The version that the operators gave the configuration. 0 if none has been submitted yet.
    pub version: u64,
    /// The configuration, as the operators sent it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The retirements in the order in which they were accepted; at most [`MAX_RETIREMENTS`](crate::MAX_RETIREMENTS).
    pub retirements: Vec<Retirement>,
}

impl ControlState {
    /// A digest that distinguishes two control states with the same serial: one of them was abandoned, and must not be taken for
    /// the other.
    ///
    /// The digest guards against confusion, not against an attacker. It is short because each heartbeat carries it.
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

    /// The position of this control state in the order of all control states.
    pub fn rank(&self) -> Rank {
        Rank { version: self.version, serial: self.serial }
    }

    /// Whether both control states have the same configuration version and body, whatever their serials and retirements.
    pub fn same_configuration(&self, other: &ControlState) -> bool {
        self.version == other.version && self.body == other.body
    }

    /// The accepted retirement order for this store, if there is one.
    pub fn retirement(&self, node: u32) -> Option<&Retirement> {
        self.retirements.iter().find(|retirement| retirement.node == node)
    }
}

/// The order of control states: the newer one has the higher version or, with equal versions, the higher serial.
///
/// Neither number decreases from one write to the next, so the serial alone would suffice, except in one case: a control group
/// that has lost most of its disks and is restarted by hand counts serials from one, and the remaining nodes accept its
/// configuration because of its higher version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    /// The version of the configuration.
    pub version: u64,
    /// The serial of the control state.
    pub serial: u64,
}

/// The 64-bit hash FNV-1a. Each byte string is hashed after its length, so that different splits of the same bytes hash
/// differently.
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
