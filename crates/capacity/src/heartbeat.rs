//! Executors: what their heartbeats weigh on the wire, and what a control node learns from them.

use crate::layout::zone_name;
use crate::net::Millis;
use crate::protocol::{ExecutorState, Heartbeat};
use std::net::{Ipv4Addr, SocketAddrV4};

/// How often an executor calls, as on the operators' sites.
pub const INTERVAL: Millis = 1200;

/// A simulated executor.
#[derive(Clone, Debug)]
pub struct Executor {
    pub number: usize,
    pub service: usize,
    pub zone: usize,
    /// Each start of it is another life, with another id.
    pub life: u64,
    pub call_count: u64,
}

impl Executor {
    pub fn id(&self) -> String {
        format!("i-{:06x}-{:04x}", self.number, self.life)
    }

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
            sequence: self.call_count,
            age_ms: 0,
        }
    }
}

/// Bytes of the call, and of the answer to it, as HTTP/1.1 with the headers of the operators' examples.
pub fn wire_bytes(heartbeat: &Heartbeat, control: SocketAddrV4) -> (usize, usize) {
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
    let answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    (head.len() + body.len(), answer.len())
}
