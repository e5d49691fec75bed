//! Simulated executors, what their heartbeats weigh on the wire, and what a control node learns from them.

use crate::layout::zone_name;
use crate::net::Millis;
use crate::protocol::{ExecutorState, Heartbeat};
use std::net::{Ipv4Addr, SocketAddrV4};

/// How often an executor sends a heartbeat, as on the operators' sites.
pub const HEARTBEAT_INTERVAL: Millis = 1200;

/// A simulated executor.
#[derive(Clone, Debug)]
pub struct Executor {
    /// Its number in the fleet, which it keeps over restarts.
    pub number: usize,
    /// The service that it executes requests of.
    pub service: usize,
    /// The zone that it runs in.
    pub zone: usize,
    /// How often it has been started; each start has an identifier of its own.
    pub incarnation: u64,
    /// How many heartbeats it has sent since its start.
    pub heartbeat_count: u64,
}

impl Executor {
    /// Its identifier, which is unique to its present start.
    pub fn id(&self) -> String {
        format!("i-{:06x}-{:04x}", self.number, self.incarnation)
    }

    /// What a control node learns from its next heartbeat.
    pub fn heartbeat(&self) -> Heartbeat {
        let block = (self.number >> 16) as u8;
        let ip = Ipv4Addr::new(172, 16 + block, (self.number >> 8) as u8, self.number as u8);
        Heartbeat {
            id: self.id(),
            backend: format!("service-{:05}", self.service),
            address: SocketAddrV4::new(ip, 8080),
            zone: zone_name(self.zone),
            capacity: 4,
            state: ExecutorState::Serving,
            warmup_left_ms: 0,
            sequence: self.heartbeat_count,
            age_ms: 0,
        }
    }
}

/// The size of a heartbeat on the wire.
pub struct HeartbeatBytes {
    /// Of the request.
    pub request: usize,
    /// Of the response.
    pub response: usize,
}

/// The size of a heartbeat as HTTP/1.1 with the headers of the operators' examples.
pub fn heartbeat_bytes(heartbeat: &Heartbeat, control: SocketAddrV4) -> HeartbeatBytes {
    let body = format!(
        "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\"capacity\":{},\
         \"state\":\"serving\",\"cold_left_ms\":{},\"call_count\":{}}}",
        heartbeat.backend,
        heartbeat.address,
        heartbeat.zone,
        heartbeat.capacity,
        heartbeat.warmup_left_ms,
        heartbeat.sequence
    );
    let head = format!(
        "POST /v1/servers/{}/heartbeat HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        heartbeat.id,
        body.len()
    );
    let response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    HeartbeatBytes { request: head.len() + body.len(), response: response.len() }
}
