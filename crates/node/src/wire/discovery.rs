//! The requests to the discovery service and its responses.

use super::http::Response;
use super::names;
use crate::interfaces;
use serde::Deserialize;
use thiserror::Error;

/// A list of executors: a complete snapshot or only changes.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    pub index: i64,
    #[serde(rename = "snapshot")]
    pub is_snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    pub name: String,
    #[serde(default)]
    pub address: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default, rename = "type")]
    pub kind: String,
    #[serde(default, rename = "group")]
    pub cell: usize,
    pub status: String,
    #[serde(default)]
    pub weight: f64,
    #[serde(default)]
    pub since_ms: i64,
}

impl Endpoint {
    /// Whether the executor accepts new work. An unknown status counts as not accepting.
    pub fn is_active(&self) -> bool {
        self.status == names::ACTIVE
    }
}

impl From<&EndpointList> for interfaces::ExecutorList {
    fn from(list: &EndpointList) -> interfaces::ExecutorList {
        let entry = |endpoint: &Endpoint| {
            let address = endpoint.address.parse().ok();
            interfaces::ExecutorEntry {
                name: endpoint.name.clone(),
                address,
                domain: endpoint.zone.clone(),
                kind: endpoint.kind.clone(),
                cell: endpoint.cell,
                listed: endpoint.status != names::REMOVED,
                active: endpoint.is_active() && address.is_some(),
                weight: endpoint.weight,
                started: (endpoint.since_ms > 0).then(|| endpoint.since_ms * 10),
            }
        };
        interfaces::ExecutorList {
            index: list.index,
            is_snapshot: list.is_snapshot,
            entries: list.endpoints.iter().map(entry).collect(),
        }
    }
}

/// Formats a request for the complete list, or for changes since a version with a long poll of `wait_ms`.
pub fn request(host: &str, known_version: Option<(i64, u64)>) -> String {
    let query = known_version
        .map(|(version, wait_ms)| format!("?since={version}&timeout_ms={wait_ms}"))
        .unwrap_or_default();
    format!("GET {}{query} HTTP/1.1\r\nHost: {host}\r\n\r\n", names::TARGETS)
}

/// Why a discovery response contains no list.
#[derive(Debug, Error)]
pub enum ListError {
    /// The status of the response is not 200.
    #[error("status {0}")]
    Status(u16),
    /// The body of the response is not a valid list in JSON.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
}

/// Parses a discovery response.
pub fn read(answer: &Response) -> Result<EndpointList, ListError> {
    if answer.status != 200 {
        return Err(ListError::Status(answer.status));
    }
    Ok(serde_json::from_slice(&answer.body)?)
}
