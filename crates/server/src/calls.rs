//! The HTTP calls of executors and operators to a control node: the requests that each call accepts, and its possible
//! answers.
//!
//! A call is a type that implements [`Call`]; its answers are an enum that converts into a [`Response`]. The unit
//! tests pin the exact texts, statuses and accepted bodies.

use crate::net::{Request, Response};
use jzon::JsonValue;
use std::fmt::Display;
use std::net::SocketAddrV4;

/// Longest JSON body of a call, in bytes; only a configuration may be longer.
const MAX_JSON_BODY_BYTES: usize = 64 << 10;
/// Longest identifier of an executor, in bytes.
const MAX_EXECUTOR_ID_BYTES: usize = 128;
/// Highest number of concurrent requests that an executor may declare as its capacity.
const MAX_EXECUTOR_CAPACITY: u64 = 100_000;
/// Numbers in a JSON body have to be below this limit, so that they are exact as `f64`.
const JSON_NUMBER_LIMIT: f64 = 1e15;

/// Why the body of a call is rejected. The error text becomes the answer's `error`, and begins with the faulty key.
#[derive(Debug, thiserror::Error)]
pub enum InvalidCall {
    /// The body is longer than the limit for JSON bodies of calls.
    #[error("body: over 64 KiB")]
    TooLong,
    /// The body is not UTF-8 text.
    #[error("body: not UTF-8")]
    NotUtf8,
    /// The body is not valid JSON.
    #[error("body: {0}")]
    NotJson(#[from] jzon::Error),
    /// The body is valid JSON but not an object.
    #[error("body: no object")]
    NotAnObject,
    /// A key that must hold a string is missing or holds another type.
    #[error("{key}: no text")]
    NotText {
        /// The faulty key.
        key: &'static str,
    },
    /// A key holds something other than a non-negative number below 10^15.
    #[error("{key}: no number")]
    NotNumber {
        /// The faulty key.
        key: &'static str,
    },
    /// The executor's identifier is too long.
    #[error("id: over 128 letters")]
    ExecutorIdTooLong,
    /// The executor's address is not of the form `10.0.0.4:8080`.
    #[error("address: {0:?} is no IPv4 address and port")]
    InvalidAddress(String),
    /// The executor's state is not one of the known states.
    #[error("state: {0:?} is neither serving nor draining")]
    UnknownState(String),
    /// The body is not a valid configuration; the error text has one line for each fault.
    #[error("{0}")]
    InvalidConfig(stileroute_config::ConfigError),
}

/// A call that can be parsed from an HTTP request.
pub trait Call: Sized {
    /// The possible answers to the call.
    type Reply: Into<Response>;
    /// The HTTP method.
    const METHOD: &'static str;
    /// The path, with `*` for the one segment that names an executor or a store.
    const PATH: &'static str;
    /// Longest body of the call, in bytes; a longer body is answered with 413.
    const MAX_BODY_BYTES: usize = usize::MAX;
    /// Parses the call. `name` is the segment of the path at the `*`, or empty if the path has no `*`.
    ///
    /// # Errors
    ///
    /// Returns the first fault of the body.
    fn parse(name: &str, body: &[u8]) -> Result<Self, InvalidCall>;
}

/// A component that executes calls of one type.
pub trait CallHandler<C: Call> {
    /// Executes the call. Returns `None` if the answer follows later; it is then given under `call_id`.
    fn handle_call(&mut self, call_id: u64, call: C) -> Option<C::Reply>;
}

/// The result of [`dispatch`] for a request that is a call.
#[derive(Debug)]
pub enum Dispatched {
    /// The call has been answered.
    Answered(Response),
    /// The handler has accepted the call and will answer it later.
    Pending,
}

/// Passes the request to the handler if it is a call of type `C`. Returns `None` if the request is another call or no
/// call at all.
pub fn dispatch<C: Call, H: CallHandler<C>>(
    handler: &mut H,
    call_id: u64,
    request: &Request,
) -> Option<Dispatched> {
    let name = match_path(C::PATH, &request.target)?;
    if request.method != C::METHOD {
        return None;
    }
    if request.body.len() > C::MAX_BODY_BYTES {
        let error = format!("body: over {} bytes", C::MAX_BODY_BYTES);
        return Some(Dispatched::Answered(error_response(413, error)));
    }
    let call = match C::parse(name, &request.body) {
        Ok(call) => call,
        Err(error) => return Some(Dispatched::Answered(error_response(400, error))),
    };
    Some(match handler.handle_call(call_id, call) {
        Some(reply) => Dispatched::Answered(reply.into()),
        None => Dispatched::Pending,
    })
}

/// Compares a request's target, without its query, with a path pattern. Returns the segment at the `*`, or an empty
/// text if the pattern has no `*`; `None` if the target does not match.
fn match_path<'a>(pattern: &str, target: &'a str) -> Option<&'a str> {
    let path = target.split('?').next().unwrap_or_default();
    let Some((before, after)) = pattern.split_once('*') else {
        return (path == pattern).then_some("");
    };
    let name = path.strip_prefix(before)?.strip_suffix(after)?;
    (!name.is_empty() && !name.contains('/')).then_some(name)
}

/// Builds an answer whose body is `{"error": ...}`.
pub fn error_response(status: u16, error: impl Display) -> Response {
    Response::json(status, jzon::object! { "error" => error.to_string() }.dump())
}

/// Builds a 503 answer for a call that may succeed if it is repeated a second later.
fn unavailable(error: &str) -> Response {
    Response { headers: vec![("Retry-After", "1".to_string())], ..error_response(503, error) }
}

fn parse_object(body: &[u8]) -> Result<JsonValue, InvalidCall> {
    if body.len() > MAX_JSON_BODY_BYTES {
        return Err(InvalidCall::TooLong);
    }
    let text = std::str::from_utf8(body).map_err(|_| InvalidCall::NotUtf8)?;
    let value = jzon::parse(text)?;
    if value.is_object() {
        Ok(value)
    } else {
        Err(InvalidCall::NotAnObject)
    }
}

fn text_at(object: &JsonValue, key: &'static str) -> Result<String, InvalidCall> {
    object[key].as_str().map(str::to_string).ok_or(InvalidCall::NotText { key })
}

/// Reads the number at a key, rounded down; 0 if the key is missing.
fn number_at(object: &JsonValue, key: &'static str) -> Result<u64, InvalidCall> {
    let value = &object[key];
    if value.is_null() {
        return Ok(0);
    }
    let number = value.as_f64().filter(|number| *number >= 0.0 && *number < JSON_NUMBER_LIMIT);
    number.map(|number| number as u64).ok_or(InvalidCall::NotNumber { key })
}

/// The answer to a call that only has to be acknowledged: 200 with an empty object.
pub struct Acknowledged;
impl From<Acknowledged> for Response {
    fn from(_: Acknowledged) -> Response {
        Response::json(200, "{}".to_string())
    }
}

/// An executor's heartbeat.
#[derive(Debug)]
pub struct HeartbeatCall {
    /// Identifier that is unique to one start of the executor.
    pub id: String,
    /// The backend service whose requests the executor processes.
    pub backend: String,
    /// The address at which the executor accepts requests.
    pub address: SocketAddrV4,
    /// The executor's failure domain; empty if the heartbeat does not state it.
    pub zone: String,
    /// Number of requests that the executor processes concurrently: from 1 to 100,000.
    pub capacity: u32,
    /// Whether the executor is draining: it finishes its requests in flight and accepts no new ones.
    pub is_draining: bool,
    /// Remaining warm-up time of the executor in ms (`cold_left_ms` in the body).
    pub warmup_left_ms: u64,
    /// Sequence number that rises with each heartbeat of this executor (`call_count` in the body).
    pub sequence: u64,
}

/// The answer to an executor's heartbeat.
#[derive(Clone)]
pub enum HeartbeatReply {
    /// The heartbeat is recorded, and the other control nodes will receive it. If it announces draining, a majority of
    /// them has recorded it too.
    Recorded {
        /// Address and port of a control node in the executor's own zone, if the executor should send its heartbeats
        /// there.
        heartbeat_url: Option<String>,
    },
    /// This control node is partitioned from its peers, so the executor has to send its heartbeat to another one as
    /// well.
    Partitioned,
}
impl From<HeartbeatReply> for Response {
    fn from(reply: HeartbeatReply) -> Response {
        match reply {
            HeartbeatReply::Partitioned => error_response(503, "cut off from the other control nodes"),
            HeartbeatReply::Recorded { heartbeat_url: Some(url) } => {
                Response::json(200, jzon::object! { "beat_url" => url }.dump())
            }
            HeartbeatReply::Recorded { heartbeat_url: None } => Acknowledged.into(),
        }
    }
}

impl Call for HeartbeatCall {
    type Reply = HeartbeatReply;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/v1/servers/*/heartbeat";
    fn parse(name: &str, body: &[u8]) -> Result<HeartbeatCall, InvalidCall> {
        let object = parse_object(body)?;
        // The order of these checks is fixed, so that a body with several faults gets the same error as in earlier
        // releases.
        let address = text_at(&object, "address")?;
        let state = text_at(&object, "state")?;
        if name.len() > MAX_EXECUTOR_ID_BYTES {
            return Err(InvalidCall::ExecutorIdTooLong);
        }
        let backend = text_at(&object, "backend")?;
        let address = address.parse().map_err(|_| InvalidCall::InvalidAddress(address))?;
        let capacity = number_at(&object, "capacity")?.clamp(1, MAX_EXECUTOR_CAPACITY) as u32;
        let is_draining = match state.as_str() {
            "serving" => false,
            "draining" => true,
            _ => return Err(InvalidCall::UnknownState(state)),
        };
        Ok(HeartbeatCall {
            id: name.to_string(),
            backend,
            address,
            zone: object["zone"].as_str().unwrap_or_default().to_string(),
            capacity,
            is_draining,
            warmup_left_ms: number_at(&object, "cold_left_ms")?,
            sequence: number_at(&object, "call_count")?,
        })
    }
}

/// An executor's notice that it shuts down.
#[derive(Debug)]
pub struct LeaveCall {
    /// Identifier of the executor that shuts down.
    pub id: String,
}

/// The answer to [`LeaveCall`].
#[derive(Clone)]
pub enum LeaveReply {
    /// The shutdown is recorded here and by a majority of the control nodes.
    Recorded,
    /// This control node is partitioned from its peers, or no majority of them has recorded the shutdown in time, so
    /// the executor has to call another one.
    Partitioned,
}
impl From<LeaveReply> for Response {
    fn from(reply: LeaveReply) -> Response {
        match reply {
            LeaveReply::Recorded => Acknowledged.into(),
            LeaveReply::Partitioned => HeartbeatReply::Partitioned.into(),
        }
    }
}

impl Call for LeaveCall {
    type Reply = LeaveReply;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/v1/servers/*/leave";
    fn parse(name: &str, _: &[u8]) -> Result<LeaveCall, InvalidCall> {
        Ok(LeaveCall { id: name.to_string() })
    }
}

/// Longest configuration in bytes, enough for some 16,000 routes. A configuration is sent in one piece to all control
/// nodes and to each edge and store, so this limit is well below the longest record on disk and the longest frame
/// between processes.
pub const LARGEST_CONFIGURATION: usize = 4 << 20;

/// An operator's call that puts another configuration in force.
#[derive(Debug)]
pub struct ReplaceConfig {
    /// The valid configuration, byte for byte as it was sent.
    pub body: Vec<u8>,
    /// The revision that the configuration states.
    pub version: u64,
}

/// The configuration that is in force when a change is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveConfig {
    /// The revision that the configuration states.
    pub revision: u64,
    /// The [`content_digest`] of the whole configuration, as it was sent.
    pub digest: String,
    /// Whether the configuration in force is byte for byte the one that was sent; another one may be in force under
    /// the same revision.
    pub is_submitted_config: bool,
}
impl ActiveConfig {
    /// Describes the configuration with the given `body`.
    pub fn new(revision: u64, body: &[u8], is_submitted_config: bool) -> ActiveConfig {
        ActiveConfig { revision, digest: content_digest(body), is_submitted_config }
    }
}

/// Returns the BLAKE3 hash of a configuration in hexadecimal, by which operators can compare configurations.
pub fn content_digest(body: &[u8]) -> String {
    blake3::hash(body).to_hex().to_string()
}

/// The answer to [`ReplaceConfig`].
pub enum ReplaceOutcome {
    /// The call is decided, and this configuration is in force.
    Active(ActiveConfig),
    /// The new configuration may be in force or may still come into force; sending it again is harmless.
    Uncertain,
    /// No primary is available to decide the call, and nothing has changed.
    Unavailable,
}
impl From<ReplaceOutcome> for Response {
    fn from(outcome: ReplaceOutcome) -> Response {
        match outcome {
            ReplaceOutcome::Active(ActiveConfig { revision, digest, is_submitted_config }) => {
                let body = jzon::object! {
                    "revision" => revision,
                    "digest" => digest,
                    "applied" => is_submitted_config,
                };
                Response::json(200, body.dump())
            }
            ReplaceOutcome::Uncertain => {
                error_response(504, "it may be in force or come in force: send it again")
            }
            ReplaceOutcome::Unavailable => unavailable("no primary can settle it now"),
        }
    }
}
impl Call for ReplaceConfig {
    type Reply = ReplaceOutcome;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/v1/settings/replace";
    const MAX_BODY_BYTES: usize = LARGEST_CONFIGURATION;
    fn parse(_: &str, body: &[u8]) -> Result<ReplaceConfig, InvalidCall> {
        let config = stileroute_config::Config::parse(body).map_err(InvalidCall::InvalidConfig)?;
        Ok(ReplaceConfig { body: body.to_vec(), version: config.revision })
    }
}

/// An operator's call that reads the configuration in force.
#[derive(Debug)]
pub struct ReadConfig;

/// The answer to [`ReadConfig`].
pub enum ReadConfigReply {
    /// The configuration in force, byte for byte as it was sent.
    Active(Vec<u8>),
    /// No configuration has been set yet.
    Missing,
    /// No primary is available to answer the call.
    Unavailable,
}
impl From<ReadConfigReply> for Response {
    fn from(reply: ReadConfigReply) -> Response {
        match reply {
            ReadConfigReply::Active(body) => {
                Response { status: 200, is_json: true, body, ..Response::default() }
            }
            ReadConfigReply::Missing => error_response(404, "no configuration has come yet"),
            ReadConfigReply::Unavailable => unavailable("no primary can answer now"),
        }
    }
}
impl Call for ReadConfig {
    type Reply = ReadConfigReply;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/v1/settings/read";
    fn parse(_: &str, _: &[u8]) -> Result<ReadConfig, InvalidCall> {
        Ok(ReadConfig)
    }
}

/// An operator's call that orders the retirement of a store.
#[derive(Debug)]
pub struct BeginRetirement {
    /// Name of the store to retire.
    pub node: String,
}

/// Warning in the answer to an operator whose order leaves no spare store.
const NO_SPARE_STORE_WARNING: &str = "no spare store is left: the loss of another stops intake";

/// The answer to [`BeginRetirement`].
pub enum BeginRetirementReply {
    /// No store of this name is in the membership.
    UnknownStore,
    /// The remaining stores could not tolerate the losses that the settings name.
    TooFewStores,
    /// The store has recorded the order on its disk.
    Accepted {
        /// Number of further stores that may be lost while messages are still accepted.
        spare_stores: usize,
    },
    /// No primary is available to decide the call, or the store has not confirmed the order; sending the order again
    /// is harmless.
    Unavailable,
}
impl From<BeginRetirementReply> for Response {
    fn from(reply: BeginRetirementReply) -> Response {
        match reply {
            BeginRetirementReply::UnknownStore => error_response(404, "no such machine"),
            BeginRetirementReply::TooFewStores => error_response(409, "too few would be left"),
            BeginRetirementReply::Accepted { spare_stores } => {
                let mut body = jzon::object! { "spare_stores" => spare_stores };
                if spare_stores == 0 {
                    body["warning"] = NO_SPARE_STORE_WARNING.into();
                }
                Response::json(200, body.dump())
            }
            BeginRetirementReply::Unavailable => unavailable("it has not confirmed"),
        }
    }
}
impl Call for BeginRetirement {
    type Reply = BeginRetirementReply;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/v1/retire/*/begin";
    fn parse(name: &str, _: &[u8]) -> Result<BeginRetirement, InvalidCall> {
        Ok(BeginRetirement { node: name.to_string() })
    }
}

/// An operator's call that reads the progress of a store's retirement.
pub struct ReadRetirement {
    /// Name of the retiring store.
    pub node: String,
}

/// The answer to [`ReadRetirement`].
#[derive(Debug)]
pub enum RetirementProgress {
    /// No such store exists, or there is no order to retire it.
    UnknownStore,
    /// The store is transferring its messages to other stores.
    Draining,
    /// The store holds no messages any more and may be switched off.
    Complete,
    /// No primary is available to answer the call.
    Unavailable,
}
impl From<RetirementProgress> for Response {
    fn from(progress: RetirementProgress) -> Response {
        let state = match progress {
            RetirementProgress::UnknownStore => {
                return error_response(404, "no such machine, or it is not to be emptied")
            }
            RetirementProgress::Unavailable => return unavailable("no primary can answer now"),
            RetirementProgress::Draining => "rolling",
            RetirementProgress::Complete => "complete",
        };
        Response::json(200, jzon::object! { "state" => state }.dump())
    }
}
impl Call for ReadRetirement {
    type Reply = RetirementProgress;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/v1/retire/*/read";
    fn parse(name: &str, _: &[u8]) -> Result<ReadRetirement, InvalidCall> {
        Ok(ReadRetirement { node: name.to_string() })
    }
}

#[cfg(test)]
mod tests;
