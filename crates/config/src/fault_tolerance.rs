//! How many machines and failure domains may be lost at once.

use crate::section::Section;

/// The losses that are tolerated with all guarantees kept: any one of the three, not their sum. From the key `tolerate`.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultTolerance {
    /// Machines that may be lost at once.
    pub machines: usize,
    /// Zones that may be lost at once, with all their machines.
    pub zones: usize,
    /// Regions that may be lost at once, with all their zones.
    pub regions: usize,
}

impl FaultTolerance {
    /// Replicas that are needed beside the first to keep one through any tolerated loss, if each is in a failure domain of its
    /// own.
    pub fn additional_replicas(&self) -> usize {
        self.machines.max(self.zones).max(self.regions)
    }

    /// Whether the loss of a whole zone or region is tolerated, not only of single machines.
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
