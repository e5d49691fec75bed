//! The number of machines and failure domains whose simultaneous loss is tolerated.

use crate::section::Section;

/// Losses that are tolerated with all guarantees kept: any one of the three kinds at a time, not their sum. From the key
/// `tolerate`.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultTolerance {
    /// Number of machines that may be lost at once.
    pub machines: usize,
    /// Number of zones that may be lost at once, with all their machines.
    pub zones: usize,
    /// Number of regions that may be lost at once, with all their zones.
    pub regions: usize,
}

impl FaultTolerance {
    /// Returns the number of replicas needed in addition to the first so that one survives any tolerated loss, if each replica is
    /// in a failure domain of its own.
    pub fn additional_replicas(&self) -> usize {
        self.machines.max(self.zones).max(self.regions)
    }

    /// Whether the loss of a complete zone or region is tolerated, not only of single machines.
    pub fn covers_failure_domains(&self) -> bool {
        self.zones > 0 || self.regions > 0
    }

    pub(crate) fn from_section(section: Section) -> FaultTolerance {
        FaultTolerance {
            machines: section.narrow_unsigned("machine_losses", 1),
            zones: section.narrow_unsigned("zones", 0),
            regions: section.narrow_unsigned("region_losses", 0),
        }
    }
}
