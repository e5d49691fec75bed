//! Runs a control group with its disk logs through 1000 configuration changes. At each step of the log a process is killed, power is
//! lost, or a disk is lost. A restarted node has to catch up, no node may lead with stale state, and disk and memory use stay bounded.

#[path = "control_log/group.rs"]
mod group;
#[path = "control_log/machine.rs"]
mod machine;
#[path = "control_log/memory.rs"]
mod memory;
#[path = "../../wal/tests/power/disk.rs"]
mod power;

use std::collections::BTreeMap;

use group::Group;
use machine::{Fault, CHECKPOINT_AFTER_BYTES};
use stileroute_wal::Step;

const CONFIGURATION_CHANGES: u64 = 1000;
const CONFIGURATION_BYTES: usize = 900;
/// Maximum time, in ms of the simulated clock, from the restart of a node until it has all changes that were acknowledged before the
/// restart; a replica also has to have them on disk.
const CATCH_UP_LIMIT_MS: u64 = 2000;
/// Maximum time, in ms of the simulated clock, until a configuration change is acknowledged, including injected faults.
const CHANGE_LIMIT_MS: u64 = 6000;
/// Bytes of a record in addition to the configuration: the header of its log entry, and the view and the vote in a snapshot.
const RECORD_OVERHEAD_BYTES: u64 = 400;

const STEPS: [Step; 11] = [
    Step::WriteEntries,
    Step::SyncSegment,
    Step::CreateSegment,
    Step::RenameSegment,
    Step::SyncFolderAfterSegment,
    Step::ReadForCheckpoint,
    Step::WriteSnapshot,
    Step::SyncSnapshot,
    Step::RenameSnapshot,
    Step::SyncFolderAfterSnapshot,
    Step::RemoveCovered,
];
const FAULTS: [Fault; 3] = [Fault::Kill, Fault::PowerLoss, Fault::DiskLoss];

/// Maximum disk use in bytes: the old and the new snapshot, the segment that the new snapshot covers (it exceeds
/// `CHECKPOINT_AFTER_BYTES` by up to one record), and the segment that is being written. In this test nothing is appended while a
/// checkpoint runs.
fn max_disk_bytes() -> u64 {
    let record = CONFIGURATION_BYTES as u64 + RECORD_OVERHEAD_BYTES;
    2 * record + (CHECKPOINT_AFTER_BYTES + record) + record
}

#[test]
fn a_group_survives_faults_at_each_step_of_its_disk_log() {
    let mut group = Group::new(11);
    let mut fault_counts = BTreeMap::<String, usize>::new();
    let (mut slowest_ms, mut peak_disk_bytes, mut early_memory_bytes) = (0, 0, 0);
    let mut planned_faults =
        (0..).map(|number: usize| (STEPS[number % STEPS.len()], FAULTS[number / STEPS.len() % 3]));
    for version in 1..=CONFIGURATION_CHANGES {
        if !group.is_armed() {
            let (step, fault) = planned_faults.next().expect("endless");
            group.arm(step, fault, version as usize);
        }
        group.change_configuration(
            version,
            vec![b'a' + (version % 26) as u8; CONFIGURATION_BYTES],
            CHANGE_LIMIT_MS,
        );
        for (step, fault) in group.injected_faults.drain(..) {
            *fault_counts.entry(format!("{step:?} {fault:?}")).or_default() += 1;
        }
        slowest_ms = slowest_ms.max(group.run_until_all_caught_up(CATCH_UP_LIMIT_MS));
        peak_disk_bytes = peak_disk_bytes.max(group.peak_disk_bytes());
        assert!(
            peak_disk_bytes <= max_disk_bytes(),
            "{peak_disk_bytes} bytes at change {version}, limit {}",
            max_disk_bytes()
        );
        if version == CONFIGURATION_CHANGES / 5 {
            early_memory_bytes = memory::allocated_bytes();
        }
    }
    let late_memory_bytes = memory::allocated_bytes();
    println!(
        "{} of 33 fault points, {} faults, catch-up {slowest_ms} ms, disk {peak_disk_bytes} of {} bytes, \
         memory {early_memory_bytes} and {late_memory_bytes} bytes",
        fault_counts.len(),
        fault_counts.values().sum::<usize>(),
        max_disk_bytes(),
    );
    assert_eq!(fault_counts.len(), STEPS.len() * FAULTS.len(), "{fault_counts:?}");
    assert!(
        late_memory_bytes < early_memory_bytes + (64 << 10),
        "allocated memory grew from {early_memory_bytes} to {late_memory_bytes} bytes"
    );
}
