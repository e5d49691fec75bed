//! Members and heartbeats that the registry tests share.

// Each test file includes this module and uses only some of its functions.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_registry::*;

/// Creates a node with this role. A control node gets an address of its own.
pub fn member(node: NodeId, role: NodeRole) -> Member {
    let control =
        (role == NodeRole::Control).then(|| SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9000 + node as u16));
    let ip = Ipv4Addr::LOCALHOST;
    Member {
        node,
        name: format!("n{node}"),
        role,
        zone: "z".into(),
        ip,
        incarnation: 1,
        control_address: control,
        config_version: 0,
        retirement: RetirementState::NotRetiring,
    }
}

/// Creates a heartbeat of the executor at this port, with this sequence number.
pub fn heartbeat(id: &str, port: u16, sequence: u64, state: ExecutorState) -> Heartbeat {
    Heartbeat {
        id: id.into(),
        backend: "s".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        zone: "z".into(),
        capacity: 4,
        state,
        warmup_left_ms: 3000,
        sequence,
        age_ms: 0,
    }
}
