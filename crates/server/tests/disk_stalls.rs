//! A build without stalls of the disk refuses to start where a test asks for some: it would pass without a stall.
#![cfg(not(feature = "stalled-disk"))]

mod support;

use support::program;

#[test]
fn a_build_without_stalls_refuses_their_schedule() {
    for role in ["store", "core", "edge"] {
        let mut command = program();
        command.args(["--boot", "/nowhere.json", role]).env("STILEROUTE_DISK_STALLS", "/nowhere");
        let output = command.output().unwrap();
        assert_eq!(output.status.code(), Some(2));
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(said, "environment: STILEROUTE_DISK_STALLS: this build has no stalls of the disk\n");
    }
}
