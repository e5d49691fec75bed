//! The simulated disk answers appends and keeps records as the log promises. An earlier one kept ends that had not
//! been written, so no test saw that they could be lost.

mod simulation;

use simulation::{AppendAnswer, DiskCut, SimulatedDisk};

/// One record, as one append.
fn record(n: u8) -> Vec<Vec<u8>> {
    vec![vec![n]]
}

/// A disk with an append without sync, one with sync, and another one without.
fn disk_with_three_appends(held_writes_ms: u64, held_syncs_ms: u64) -> SimulatedDisk {
    let mut disk = SimulatedDisk::default();
    disk.hold_writes(held_writes_ms);
    disk.hold_syncs(held_syncs_ms);
    disk.append(0, 1, record(1), false);
    disk.append(0, 2, record(2), true);
    disk.append(0, 3, record(3), false);
    disk
}

/// Number of written records and of synced records.
fn contents(disk: &SimulatedDisk) -> (usize, usize) {
    (disk.written().count(), disk.synced().count())
}

fn answers(tickets: &[u64], is_ok: bool) -> Vec<AppendAnswer> {
    tickets.iter().map(|ticket| AppendAnswer { ticket: *ticket, is_ok }).collect()
}

#[test]
fn appends_are_answered_in_order_after_the_write_or_the_sync() {
    let mut disk = disk_with_three_appends(0, 0);
    assert_eq!(disk.advance(0), answers(&[1], true));
    assert_eq!(disk.advance(1), answers(&[], true));
    assert_eq!(disk.advance(2), answers(&[2, 3], true));
}

#[test]
fn a_kill_keeps_what_is_written_and_a_loss_of_power_what_is_synced() {
    for (cut, left) in [(DiskCut::Kill, (3, 0)), (DiskCut::PowerLoss, (0, 0)), (DiskCut::DiskLoss, (0, 0))] {
        let mut disk = disk_with_three_appends(0, 900);
        assert_eq!(disk.advance(899), answers(&[1], true));
        disk.cut(cut);
        assert_eq!(contents(&disk), left, "{cut:?}");
        assert_eq!(disk.advance(2000), answers(&[], true), "{cut:?}");
    }
}

#[test]
fn nothing_is_written_while_writes_are_held() {
    let mut disk = disk_with_three_appends(900, 0);
    assert_eq!(disk.advance(899), answers(&[], true));
    assert_eq!(contents(&disk), (0, 0));
    assert_eq!(disk.advance(900), answers(&[1], true));
    assert_eq!(contents(&disk), (3, 0));
    assert_eq!(disk.advance(902), answers(&[2, 3], true));
    assert_eq!(contents(&disk).0, 3);
    disk.cut(DiskCut::PowerLoss);
    assert!(contents(&disk).1 >= 2);
}

#[test]
fn what_is_in_memory_is_gone_after_a_kill() {
    let mut disk = disk_with_three_appends(900, 0);
    disk.cut(DiskCut::Kill);
    assert_eq!(disk.advance(2000), answers(&[], true));
    assert_eq!(contents(&disk), (0, 0));
}

#[test]
fn a_failed_sync_takes_back_what_was_not_answered() {
    let mut disk = disk_with_three_appends(0, 0);
    assert_eq!(disk.advance(0), answers(&[1], true));
    disk.largest_synced_write = 0;
    assert_eq!(disk.advance(2), answers(&[2, 3], false));
    assert_eq!(contents(&disk), (1, 0));
}

#[test]
fn records_that_nobody_waits_for_are_synced_in_the_background() {
    let mut disk = SimulatedDisk::default();
    disk.append(0, 1, record(1), false);
    assert_eq!(disk.advance(199), answers(&[1], true));
    assert_eq!(contents(&disk), (1, 0));
    assert_eq!(disk.next_due_at(), Some(200));
    assert_eq!(disk.advance(200), answers(&[], true));
    assert_eq!(contents(&disk), (1, 1));
    assert_eq!(disk.next_due_at(), None);
}
