//! A build without the feature `stalled-disk` refuses to start if a schedule of disk stalls is set: otherwise a test that needs stalls
//! would pass without any.
#![cfg(not(feature = "stalled-disk"))]

mod support;

use support::program;

#[test]
fn a_build_without_disk_stalls_rejects_a_stall_schedule() {
    for role in ["store", "core", "edge"] {
        let mut command = program();
        command.args(["--boot", "/nowhere.json", role]).env("STILEROUTE_DISK_STALLS", "/nowhere");
        let output = command.output().unwrap();
        assert_eq!(output.status.code(), Some(2));
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(stderr, "environment: STILEROUTE_DISK_STALLS: this build has no stalls of the disk\n");
    }
}
