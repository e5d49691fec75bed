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
use machine::{Trouble, CHECKPOINT_AFTER};
use stileroute_wal::Step;

const CHANGES: u64 = 1000;
const BODY: usize = 900;
/// Milliseconds of the group's clock from a start until the node has what was acknowledged before it, and, as a copy, on disk.
const CATCH_UP: u64 = 2000;
/// Milliseconds a change may take, troubles included.
const ANSWER: u64 = 6000;
/// Bytes of a record beside the configuration, its entry's head included, and of the watch and the vote in a snapshot.
const BESIDE: u64 = 400;

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
const TROUBLES: [Trouble; 3] = [Trouble::Kill, Trouble::Power, Trouble::Wipe];

/// The old snapshot and the new, the segment that the new one covers, which takes one record beyond `CHECKPOINT_AFTER`, and the
/// one that is written to: here nothing is appended while a checkpoint runs.
fn disk_bound() -> u64 {
    let record = BODY as u64 + BESIDE;
    2 * record + (CHECKPOINT_AFTER + record) + record
}

#[test]
fn a_thousand_changes_with_trouble_at_each_point_of_the_disk_log() {
    let mut group = Group::new(11);
    let mut struck = BTreeMap::<String, usize>::new();
    let (mut slowest, mut largest, mut memory_early) = (0, 0, 0);
    let mut plans =
        (0..).map(|number: usize| (STEPS[number % STEPS.len()], TROUBLES[number / STEPS.len() % 3]));
    for version in 1..=CHANGES {
        if !group.armed() {
            let (step, trouble) = plans.next().expect("endless");
            group.arm(step, trouble, version as usize);
        }
        group.change(version, vec![b'a' + (version % 26) as u8; BODY], ANSWER);
        for (step, trouble) in group.struck.drain(..) {
            *struck.entry(format!("{step:?} {trouble:?}")).or_default() += 1;
        }
        slowest = slowest.max(group.until_whole(CATCH_UP));
        largest = largest.max(group.largest_disk());
        assert!(largest <= disk_bound(), "{largest} bytes at change {version}, of {}", disk_bound());
        if version == CHANGES / 5 {
            memory_early = memory::live();
        }
    }
    let memory_late = memory::live();
    println!(
        "{} points of 33, {} troubles, catch-up {slowest} ms, disk {largest} of {} bytes, memory {memory_early} and {memory_late}",
        struck.len(),
        struck.values().sum::<usize>(),
        disk_bound(),
    );
    assert_eq!(struck.len(), STEPS.len() * TROUBLES.len(), "{struck:?}");
    assert!(memory_late < memory_early + (64 << 10), "{memory_early} bytes, later {memory_late}");
}
