//! The HTTP calls of executors and operators to a control node: what each one accepts, and the answers it can have.
//!
//! A call is a type that implements [`Call`]; its answers are an enum that converts into a [`Response`]. The exact texts,
//! statuses and accepted bodies are pinned by the unit tests.

use crate::net::{Request, Response};
use jzon::JsonValue;
use std::fmt::Display;
use std::net::SocketAddrV4;

/// Longest JSON body of a call; only a configuration may be longer.
const MAX_JSON_BODY_BYTES: usize = 64 << 10;
/// Longest identifier of an executor.
const MAX_EXECUTOR_ID_BYTES: usize = 128;
/// Most requests that an executor may say it works on at once.
const MAX_EXECUTOR_CAPACITY: u64 = 100_000;
/// Numbers in a body have to be below this, so that they are exact as `f64`.
const NUMBER_LIMIT: f64 = 1e15;

/// Why the body of a call is rejected. Its text is the answer's `error`, and begins with the key that is at fault.
#[derive(Debug, thiserror::Error)]
pub enum InvalidCall {
    /// The body is longer than any JSON body of a call may be.
    #[error("body: over 64 KiB")]
    TooLong,
    /// The body is no text.
    #[error("body: not UTF-8")]
    NotUtf8,
    /// The body is no JSON.
    #[error("body: {0}")]
    NotJson(#[from] jzon::Error),
    /// The body is JSON, but no object.
    #[error("body: no object")]
    NotAnObject,
    /// A key that must hold a string is missing or holds something else.
    #[error("{key}: no text")]
    NotText {
        /// The key.
        key: &'static str,
    },
    /// A key holds something other than a number that is not negative and below 10^15.
    #[error("{key}: no number")]
    NotNumber {
        /// The key.
        key: &'static str,
    },
    /// The executor's identifier is too long.
    #[error("id: over 128 letters")]
    ExecutorIdTooLong,
    /// The executor's address is not of the form `10.0.0.4:8080`.
    #[error("address: {0:?} is no IPv4 address and port")]
    InvalidAddress(String),
    /// The executor's state has no meaning.
    #[error("state: {0:?} is neither serving nor draining")]
    UnknownState(String),
    /// The body is no valid configuration; the text has one line for each fault.
    #[error("{0}")]
    InvalidConfig(stileroute_config::ConfigError),
}

/// A call that can be parsed from a request.
pub trait Call: Sized {
    /// What the call can be answered with.
    type Reply: Into<Response>;
    /// The HTTP method.
    const METHOD: &'static str;
    /// The path, with `*` for the one segment that names an executor or a store.
    const PATH: &'static str;
    /// Longest body; a longer one is answered with 413.
    const MAX_BODY_BYTES: usize = usize::MAX;
    /// Parses the call. `name` is the path's segment at the `*`, or empty if the path has none.
    ///
    /// # Errors
    ///
    /// The first fault of the body.
    fn parse(name: &str, body: &[u8]) -> Result<Self, InvalidCall>;
}

/// Who decides a call.
pub trait CallHandler<C: Call> {
    /// Decides the call. `None`: the answer follows later, and is then given under `call_id`.
    fn handle_call(&mut self, call_id: u64, call: C) -> Option<C::Reply>;
}

/// What [`dispatch`] made of a request.
#[derive(Debug)]
pub enum Dispatched {
    /// The answer is known.
    Answered(Response),
    /// The handler has the call, and answers later.
    Pending,
}

/// Hands the request to the handler if it is a call of the type `C`. `None`: it is another call, or none.
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

/// Compares a request's target, without its query, with a pattern. Gives the segment at the `*`, or an empty text if the
/// pattern has none; `None` if they do not match.
fn match_path<'a>(pattern: &str, target: &'a str) -> Option<&'a str> {
    let path = target.split('?').next().unwrap_or_default();
    let Some((before, after)) = pattern.split_once('*') else {
        return (path == pattern).then_some("");
    };
    let name = path.strip_prefix(before)?.strip_suffix(after)?;
    (!name.is_empty() && !name.contains('/')).then_some(name)
}

/// An answer whose body is `{"error": ...}`.
pub fn error_response(status: u16, error: impl Display) -> Response {
    Response::json(status, jzon::object! { "error" => error.to_string() }.dump())
}

/// A 503 for what may succeed a second later.
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

/// The number at a key, rounded down; 0 if the key is missing.
fn number_at(object: &JsonValue, key: &'static str) -> Result<u64, InvalidCall> {
    let value = &object[key];
    if value.is_null() {
        return Ok(0);
    }
    let number = value.as_f64().filter(|number| *number >= 0.0 && *number < NUMBER_LIMIT);
    number.map(|number| number as u64).ok_or(InvalidCall::NotNumber { key })
}

/// The answer to a call that has nothing to say but that it was accepted: 200 with an empty object.
pub struct Acknowledged;
impl From<Acknowledged> for Response {
    fn from(_: Acknowledged) -> Response {
        Response::json(200, "{}".to_string())
    }
}

/// An executor's heartbeat.
#[derive(Debug)]
pub struct HeartbeatCall {
    /// Unique to one start of the executor.
    pub id: String,
    /// The service that it executes requests of.
    pub backend: String,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// The failure domain that it runs in; empty if it did not say.
    pub zone: String,
    /// Requests that it works on at once: from 1 to 100,000.
    pub capacity: u32,
    /// It finishes what it has and takes nothing new.
    pub is_draining: bool,
    /// For so long it is still warming up (`cold_left_ms` in the body).
    pub warmup_left_ms: u64,
    /// Rises with each heartbeat of this executor (`call_count` in the body).
    pub sequence: u64,
}

/// The answer to a heartbeat.
pub enum HeartbeatReply {
    /// It is recorded, and the other control nodes learn of it.
    Recorded {
        /// A control node in the executor's own zone, as address and port, if it should send its heartbeats there.
        heartbeat_url: Option<String>,
    },
    /// This control node can't tell the others: the executor is to send its heartbeat to another one as well.
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
        // In this order: a body with several faults is answered with the same one as ever.
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

/// An executor says that it shuts down.
#[derive(Debug)]
pub struct LeaveCall {
    /// The executor.
    pub id: String,
}

/// The answer to [`LeaveCall`].
pub enum LeaveReply {
    /// It is recorded, and the other control nodes learn of it.
    Recorded,
    /// This control node can't tell the others: the executor is to call another one.
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

/// Longest configuration in bytes: some 16,000 routes. It is copied in one piece to all control nodes and to each edge and
/// store, so this is well below the longest record on disk and the longest frame between processes.
pub const LARGEST_CONFIGURATION: usize = 4 << 20;

/// Operators put another configuration in force.
#[derive(Debug)]
pub struct ReplaceConfig {
    /// The configuration, as it was sent; it is valid.
    pub body: Vec<u8>,
    /// The revision that it names.
    pub version: u64,
}

/// The configuration in force at the time when a change is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveConfig {
    /// The revision that it names.
    pub revision: u64,
    /// The [`content_digest`] of the whole body, as it was sent.
    pub digest: String,
    /// It is the one that was sent, byte for byte: another one may be in force under the same revision.
    pub is_requested_one: bool,
}
impl ActiveConfig {
    /// Describes the configuration `body`.
    pub fn new(revision: u64, body: &[u8], is_requested_one: bool) -> ActiveConfig {
        ActiveConfig { revision, digest: content_digest(body), is_requested_one }
    }
}

/// Identifies a configuration's content, for operators to compare: BLAKE3, in hexadecimal.
pub fn content_digest(body: &[u8]) -> String {
    blake3::hash(body).to_hex().to_string()
}

/// The answer to [`ReplaceConfig`].
pub enum ReplaceOutcome {
    /// The call is decided: this configuration is in force.
    Active(ActiveConfig),
    /// The new configuration may be in force or come in force; to send it again is harmless.
    Uncertain,
    /// No primary can decide it now; nothing has changed.
    Unavailable,
}
impl From<ReplaceOutcome> for Response {
    fn from(outcome: ReplaceOutcome) -> Response {
        match outcome {
            ReplaceOutcome::Active(ActiveConfig { revision, digest, is_requested_one }) => {
                let body = jzon::object! {
                    "revision" => revision,
                    "digest" => digest,
                    "applied" => is_requested_one,
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

/// Operators read the configuration in force.
#[derive(Debug)]
pub struct ReadConfig;

/// The answer to [`ReadConfig`].
pub enum ReadConfigReply {
    /// The configuration in force, as it was sent.
    Active(Vec<u8>),
    /// There is no configuration yet.
    Missing,
    /// No primary can answer now.
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

/// Operators order the retirement of a store.
#[derive(Debug)]
pub struct BeginRetirement {
    /// The store's name.
    pub node: String,
}

/// Warns an operator who has taken the last spare store away.
const NO_SPARE_STORE: &str = "no spare store is left: the loss of another stops intake";

/// The answer to [`BeginRetirement`].
pub enum BeginRetirementReply {
    /// No store of this name is a member.
    UnknownStore,
    /// The stores that stay could not bear the losses that the settings name.
    TooFewStores,
    /// The store has the order on its disk.
    Accepted {
        /// How many further stores may be lost while messages are still accepted.
        spare_stores: usize,
    },
    /// No primary can decide it now, or the store has not confirmed it; to send it again is harmless.
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
                    body["warning"] = NO_SPARE_STORE.into();
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

/// Operators ask how far the retirement of a store has come.
pub struct ReadRetirement {
    /// The store's name.
    pub node: String,
}

/// The answer to [`ReadRetirement`].
#[derive(Debug)]
pub enum RetirementProgress {
    /// There is no such store, or no order to retire it.
    UnknownStore,
    /// The store is handing its messages to others.
    Draining,
    /// The store holds nothing any more and may be switched off.
    Complete,
    /// No primary can answer now.
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
