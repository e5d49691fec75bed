//! Members and heartbeats for the tests of the registry.

// Each file of tests uses its part of it.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_registry::*;

/// A node of this role, at an address of its own if it is a control node.
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

/// A heartbeat of an executor at this port, with this count.
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
