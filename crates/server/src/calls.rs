//! The calls of executors and operators: each a pair of types, its call and its answer, behind one handler.

use crate::net::{Answer, Request};
use jzon::JsonValue;
use std::net::SocketAddrV4;

/// A call that can be read from a request.
pub trait Call: Sized {
    type Answer: Into<Answer>;
    const METHOD: &'static str;
    /// The path with `*` for the part that names something.
    const PATH: &'static str;
    /// Longest body; a longer one is refused by name.
    const BODY: usize = usize::MAX;
    fn read(name: &str, body: &[u8]) -> Result<Self, String>;
}

/// Who settles a call; without an answer it comes later, to the place.
pub trait CallHandler<C: Call> {
    fn settle(&mut self, place: u64, call: C) -> Option<C::Answer>;
}

/// Whether the request is a call of this kind, and if so what is said at once.
pub fn handle<C: Call, D: CallHandler<C>>(
    handler: &mut D,
    place: u64,
    request: &Request,
) -> Option<Option<Answer>> {
    let name = part(C::PATH, &request.target)?;
    if request.method != C::METHOD {
        return None;
    }
    if request.body.len() > C::BODY {
        return Some(Some(fault(413, &format!("body: over {} bytes", C::BODY))));
    }
    Some(match C::read(name, &request.body) {
        Ok(call) => handler.settle(place, call).map(Into::into),
        Err(reason) => Some(fault(400, &reason)),
    })
}

fn part<'a>(pattern: &str, target: &'a str) -> Option<&'a str> {
    let path = target.split('?').next().unwrap_or_default();
    match pattern.split_once('*') {
        None => (path == pattern).then_some(""),
        Some((before, after)) => {
            let name = path.strip_prefix(before)?.strip_suffix(after)?;
            (!name.is_empty() && !name.contains('/')).then_some(name)
        }
    }
}

pub fn fault(status: u16, reason: &str) -> Answer {
    Answer::json(status, jzon::object! { "error" => reason }.dump())
}

fn object(body: &[u8]) -> Result<JsonValue, String> {
    if body.len() > 64 << 10 {
        return Err("body: over 64 KiB".to_string());
    }
    let text = std::str::from_utf8(body).map_err(|_| "body: not UTF-8".to_string())?;
    let value = jzon::parse(text).map_err(|error| format!("body: {error}"))?;
    if value.is_object() {
        Ok(value)
    } else {
        Err("body: no object".to_string())
    }
}

fn text(value: &JsonValue, key: &str) -> Result<String, String> {
    value[key].as_str().map(str::to_string).ok_or_else(|| format!("{key}: no text"))
}

fn number(value: &JsonValue, key: &str) -> Result<u64, String> {
    match &value[key] {
        JsonValue::Null => Ok(0),
        other => other
            .as_f64()
            .filter(|n| *n >= 0.0 && *n < 1e15)
            .map(|n| n as u64)
            .ok_or_else(|| format!("{key}: no number")),
    }
}

/// An empty 200.
pub struct Done;
impl From<Done> for Answer {
    fn from(_: Done) -> Answer {
        Answer::json(200, "{}".to_string())
    }
}

#[derive(Debug)]
pub struct HeartbeatCall {
    pub id: String,
    pub backend: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub capacity: u32,
    pub draining: bool,
    pub cold_left_ms: u64,
    pub call_count: u64,
}

pub struct Heard {
    pub beat_url: Option<String>,
    /// The others can be told of it.
    pub told: bool,
}
impl From<Heard> for Answer {
    fn from(heard: Heard) -> Answer {
        if !heard.told {
            return fault(503, "cut off from the other control nodes");
        }
        match heard.beat_url {
            Some(url) => Answer::json(200, jzon::object! { "beat_url" => url }.dump()),
            None => Answer::json(200, "{}".to_string()),
        }
    }
}

impl Call for HeartbeatCall {
    type Answer = Heard;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/v1/servers/*/heartbeat";
    fn read(name: &str, body: &[u8]) -> Result<HeartbeatCall, String> {
        let value = object(body)?;
        let address = text(&value, "address")?;
        let state = text(&value, "state")?;
        if name.len() > 128 {
            return Err("id: over 128 letters".to_string());
        }
        Ok(HeartbeatCall {
            id: name.to_string(),
            backend: text(&value, "backend")?,
            address: address
                .parse()
                .map_err(|_| format!("address: {address:?} is no IPv4 address and port"))?,
            zone: value["zone"].as_str().unwrap_or_default().to_string(),
            capacity: number(&value, "capacity")?.clamp(1, 100_000) as u32,
            draining: match state.as_str() {
                "serving" => false,
                "draining" => true,
                other => return Err(format!("state: {other:?} is neither serving nor draining")),
            },
            cold_left_ms: number(&value, "cold_left_ms")?,
            call_count: number(&value, "call_count")?,
        })
    }
}

#[derive(Debug)]
pub struct Leave {
    pub id: String,
}
impl Call for Leave {
    type Answer = Done;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/v1/servers/*/leave";
    fn read(name: &str, _: &[u8]) -> Result<Leave, String> {
        Ok(Leave { id: name.to_string() })
    }
}

/// Some 16,000 routes. It is copied to all control nodes, and to each edge and store, in one piece: well below what the disk
/// takes as one record, and what goes to another process as one frame.
pub const LARGEST_CONFIGURATION: usize = 4 << 20;

#[derive(Debug)]
pub struct Replace {
    pub body: Vec<u8>,
    pub version: u64,
}
/// The configuration that is in force, as a change is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    pub revision: u64,
    /// Of the whole body, as it was sent.
    pub digest: String,
    /// It is the one that was sent, byte for byte: another may stand under the same number.
    pub applied: bool,
}
impl InForce {
    pub fn new(revision: u64, body: &[u8], applied: bool) -> InForce {
        InForce { revision, digest: content_digest(body), applied }
    }
}

/// Names a configuration's content, for operators to compare: BLAKE3, in hexadecimal.
pub fn content_digest(body: &[u8]) -> String {
    blake3::hash(body).to_hex().to_string()
}

/// How a change of the configuration ended.
pub enum Replaced {
    InForce(InForce),
    /// It may be in force: sent again, it does no harm.
    Uncertain,
    NotNow,
}
impl From<Replaced> for Answer {
    fn from(replaced: Replaced) -> Answer {
        match replaced {
            Replaced::InForce(InForce { revision, digest, applied }) => Answer::json(
                200,
                jzon::object! { "revision" => revision, "digest" => digest, "applied" => applied }.dump(),
            ),
            Replaced::Uncertain => fault(504, "it may be in force or come in force: send it again"),
            Replaced::NotNow => Answer {
                headers: vec![("Retry-After", "1".to_string())],
                ..fault(503, "no primary can settle it now")
            },
        }
    }
}
impl Call for Replace {
    type Answer = Replaced;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/v1/settings/replace";
    const BODY: usize = LARGEST_CONFIGURATION;
    fn read(_: &str, body: &[u8]) -> Result<Replace, String> {
        match stileroute_config::Config::parse(body) {
            Ok(config) => Ok(Replace { body: body.to_vec(), version: config.revision }),
            Err(faults) => Err(faults.to_string()),
        }
    }
}

#[derive(Debug)]
pub struct ReadSettings;
pub enum Settings {
    Whole(Vec<u8>),
    None,
    NotNow,
}
impl From<Settings> for Answer {
    fn from(settings: Settings) -> Answer {
        match settings {
            Settings::Whole(body) => Answer { status: 200, json: true, body, ..Answer::default() },
            Settings::None => fault(404, "no configuration has come yet"),
            Settings::NotNow => Answer {
                headers: vec![("Retry-After", "1".to_string())],
                ..fault(503, "no primary can answer now")
            },
        }
    }
}
impl Call for ReadSettings {
    type Answer = Settings;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/v1/settings/read";
    fn read(_: &str, _: &[u8]) -> Result<ReadSettings, String> {
        Ok(ReadSettings)
    }
}

#[derive(Debug)]
pub struct RetireBegin {
    pub node: String,
}
pub enum Retire {
    Unknown,
    TooFew,
    /// The store has the order on its disk.
    Taken,
    NotNow,
}
impl From<Retire> for Answer {
    fn from(retire: Retire) -> Answer {
        match retire {
            Retire::Unknown => fault(404, "no such machine"),
            Retire::TooFew => fault(409, "too few would be left"),
            Retire::Taken => Answer::json(200, "{}".to_string()),
            Retire::NotNow => Answer {
                headers: vec![("Retry-After", "1".to_string())],
                ..fault(503, "it has not confirmed")
            },
        }
    }
}
impl Call for RetireBegin {
    type Answer = Retire;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/v1/retire/*/begin";
    fn read(name: &str, _: &[u8]) -> Result<RetireBegin, String> {
        Ok(RetireBegin { node: name.to_string() })
    }
}

pub struct RetireRead {
    pub node: String,
}
#[derive(Debug)]
pub enum Retired {
    Unknown,
    Rolling,
    Complete,
    NotNow,
}
impl From<Retired> for Answer {
    fn from(retired: Retired) -> Answer {
        let state = match retired {
            Retired::Unknown => return fault(404, "no such machine, or it is not to be emptied"),
            Retired::NotNow => {
                return Answer {
                    headers: vec![("Retry-After", "1".to_string())],
                    ..fault(503, "no primary can answer now")
                }
            }
            Retired::Rolling => "rolling",
            Retired::Complete => "complete",
        };
        Answer::json(200, jzon::object! { "state" => state }.dump())
    }
}
impl Call for RetireRead {
    type Answer = Retired;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/v1/retire/*/read";
    fn read(name: &str, _: &[u8]) -> Result<RetireRead, String> {
        Ok(RetireRead { node: name.to_string() })
    }
}

#[cfg(test)]
mod tests;
