//! A control group with its disk logs, through a thousand changes: at each numbered point of the log a process is killed,
//! power is lost, or a disk. Whoever comes back catches up, nobody leads with old state, disk and memory stay bounded.

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

const CHANGES: u64 = 1000;
const BODY_BYTES: usize = 900;
/// Milliseconds of the group's clock from a start until the node has what was acknowledged before it, and, as a replica, on disk.
const CATCH_UP_LIMIT_MS: u64 = 2000;
/// Milliseconds a change may take, troubles included.
const CHANGE_LIMIT_MS: u64 = 6000;
/// Bytes of a record beside the configuration, its entry's head included, and of the view and the vote in a snapshot.
const RECORD_OVERHEAD: u64 = 400;

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

/// The old snapshot and the new, the segment that the new one covers, which takes one record beyond `CHECKPOINT_AFTER_BYTES`, and the
/// one that is written to: here nothing is appended while a checkpoint runs.
fn disk_bound() -> u64 {
    let record = BODY_BYTES as u64 + RECORD_OVERHEAD;
    2 * record + (CHECKPOINT_AFTER_BYTES + record) + record
}

#[test]
fn a_group_survives_faults_at_each_step_of_its_disk_log() {
    let mut group = Group::new(11);
    let mut strikes = BTreeMap::<String, usize>::new();
    let (mut slowest, mut largest, mut memory_early) = (0, 0, 0);
    let mut planned_faults =
        (0..).map(|number: usize| (STEPS[number % STEPS.len()], FAULTS[number / STEPS.len() % 3]));
    for version in 1..=CHANGES {
        if !group.is_armed() {
            let (step, fault) = planned_faults.next().expect("endless");
            group.arm(step, fault, version as usize);
        }
        group.change(version, vec![b'a' + (version % 26) as u8; BODY_BYTES], CHANGE_LIMIT_MS);
        for (step, fault) in group.strikes.drain(..) {
            *strikes.entry(format!("{step:?} {fault:?}")).or_default() += 1;
        }
        slowest = slowest.max(group.until_all_caught_up(CATCH_UP_LIMIT_MS));
        largest = largest.max(group.largest_disk());
        assert!(largest <= disk_bound(), "{largest} bytes at change {version}, of {}", disk_bound());
        if version == CHANGES / 5 {
            memory_early = memory::live();
        }
    }
    let memory_late = memory::live();
    println!(
        "{} points of 33, {} faults, catch-up {slowest} ms, disk {largest} of {} bytes, memory {memory_early} and {memory_late}",
        strikes.len(),
        strikes.values().sum::<usize>(),
        disk_bound(),
    );
    assert_eq!(strikes.len(), STEPS.len() * FAULTS.len(), "{strikes:?}");
    assert!(memory_late < memory_early + (64 << 10), "{memory_early} bytes, later {memory_late}");
}
