//! An operator's orders from the command line: a configuration is applied, read or compared, a store is retired. Each is sent
//! to one control node after another until one has a clear answer, and what is in force is read back before it is said.

use crate::args::{say, UNUSABLE};
use crate::calls::content_digest;
use crate::status::control_addresses;
use jzon::JsonValue;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};
use stileroute_config::Config;

/// Another content is in force; an order was refused; a retirement is not complete.
const NOT_SO: u8 = 3;
/// Nobody gave a clear answer in time.
const UNCLEAR: u8 = 4;

/// How long one control node may take, and all together.
const PATIENCE: Duration = Duration::from_millis(3000);
const ALTOGETHER: Duration = Duration::from_secs(15);
/// Between two rounds of all control nodes.
const PAUSE: Duration = Duration::from_millis(300);
const LONGEST_ANSWER: u64 = 16 << 20;

/// Where to begin, and how it is said.
pub struct Asked<'a> {
    pub at: Option<&'a str>,
    pub boot: Option<&'a Path>,
    pub json: bool,
}

/// How a command ended, as it is said and as an exit code.
struct Outcome {
    code: u8,
    text: String,
    more: JsonValue,
}

impl Outcome {
    fn new(code: u8, text: impl Into<String>) -> Outcome {
        Outcome { code, text: text.into(), more: JsonValue::new_object() }
    }
    fn with(mut self, key: &str, value: impl Into<JsonValue>) -> Outcome {
        self.more[key] = value.into();
        self
    }
    fn tell(self, json: bool) -> u8 {
        if json {
            let mut object = jzon::object! { "ok" => self.code == 0, "outcome" => self.text };
            self.more.entries().for_each(|(key, value)| object[key] = value.clone());
            say(&object.pretty(2));
        } else {
            say(&self.text);
        }
        self.code
    }
}

struct Reply {
    status: u16,
    body: Vec<u8>,
}

impl Reply {
    fn json(&self) -> JsonValue {
        let text = String::from_utf8_lossy(&self.body);
        jzon::parse(&text).unwrap_or(JsonValue::Null)
    }
    fn reason(&self) -> String {
        let said = self.json()["error"].as_str().map(str::to_string);
        format!("{} {}", self.status, said.unwrap_or_default())
    }
}

/// One call to one control node.
fn call(at: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> Result<Reply, String> {
    let failed = |error: std::io::Error| format!("{at}: {error}");
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(at), PATIENCE).map_err(failed)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(failed)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(failed)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).map_err(failed)?;
    stream.write_all(body).map_err(failed)?;
    let mut bytes = Vec::new();
    stream.take(LONGEST_ANSWER).read_to_end(&mut bytes).map_err(failed)?;
    reply(&bytes).ok_or_else(|| format!("{at}: no whole answer"))
}

/// A whole answer, or none: a connection may break in the midst of it.
fn reply(bytes: &[u8]) -> Option<Reply> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(end) = head.parse(bytes).ok()? else { return None };
    let length = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"))?;
    let length: usize = std::str::from_utf8(length.value).ok()?.parse().ok()?;
    let body = bytes.get(end..end.checked_add(length)?)?.to_vec();
    Some(Reply { status: head.code?, body })
}

/// The control nodes, asked by turns.
struct Control {
    all: Vec<SocketAddrV4>,
    until: Instant,
}

impl Control {
    fn find(asked: &Asked) -> Result<Control, u8> {
        let all = control_addresses(asked.at, asked.boot)?;
        if all.is_empty() {
            return Err(Outcome::new(UNCLEAR, "unclear: no control node is known").tell(asked.json));
        }
        Ok(Control { all, until: Instant::now() + ALTOGETHER })
    }

    /// The first clear answer. One that is none, the same call may be sent again to any node after: it does no harm.
    fn ask(&self, method: &str, path: &str, body: &[u8]) -> Result<Reply, Outcome> {
        let mut last = String::new();
        while Instant::now() < self.until {
            for at in &self.all {
                match call(*at, method, path, body) {
                    Ok(reply) if reply.status < 500 && ![408, 429].contains(&reply.status) => {
                        return Ok(reply)
                    }
                    Ok(reply) => last = format!("{at}: {}", reply.reason()),
                    Err(reason) => last = reason,
                }
            }
            std::thread::park_timeout(PAUSE);
        }
        Err(Outcome::new(UNCLEAR, format!("unclear, send it again: {last}")))
    }

    /// What is in force.
    fn read(&self) -> Result<Vec<u8>, Outcome> {
        let reply = self.ask("GET", "/v1/settings/read", b"")?;
        match reply.status {
            200 => Ok(reply.body),
            404 => Err(Outcome::new(NOT_SO, "no configuration is in force yet")),
            _ => Err(Outcome::new(UNCLEAR, format!("unclear: {}", reply.reason()))),
        }
    }
}

/// A file that can be sent, and its revision; all that is wrong with it is said otherwise.
fn usable(path: &Path) -> Result<(Vec<u8>, u64), u8> {
    let file = path.display();
    let body = std::fs::read(path).map_err(|error| {
        eprintln!("{file}: cannot be read: {error}");
        UNUSABLE
    })?;
    match Config::parse(&body) {
        Ok(config) => Ok((body, config.revision)),
        Err(faults) => {
            eprintln!("{file}: {faults}");
            Err(UNUSABLE)
        }
    }
}

fn revision(body: &[u8]) -> u64 {
    Config::parse(body).map_or(0, |config| config.revision)
}

/// What is in force, beside what was meant to be.
fn compared(sent: &[u8], number: u64, held: &[u8]) -> Outcome {
    let other = revision(held);
    let outcome = if sent == held {
        Outcome::new(0, format!("revision {number} is in force"))
    } else if number == other {
        let text = "CONFLICT: another content is in force under this number; read it, and send yours under a higher one";
        Outcome::new(NOT_SO, format!("{text} (revision {number})"))
    } else {
        Outcome::new(NOT_SO, format!("revision {other} is in force, not {number}"))
    };
    outcome.with("revision", other).with("digest", content_digest(held)).with("sent", content_digest(sent))
}

fn done(outcome: Result<Outcome, Outcome>, json: bool) -> u8 {
    outcome.unwrap_or_else(|outcome| outcome).tell(json)
}

/// Sends a configuration, and says whether it is in force.
pub fn apply(path: &Path, asked: &Asked) -> u8 {
    let (body, number) = match usable(path) {
        Ok(usable) => usable,
        Err(code) => return code,
    };
    let control = match Control::find(asked) {
        Ok(control) => control,
        Err(code) => return code,
    };
    let applied = || {
        let reply = control.ask("POST", "/v1/settings/replace", &body)?;
        if reply.status != 200 {
            return Err(Outcome::new(UNUSABLE, format!("refused: {}", reply.reason())));
        }
        // The answer tells of one moment: another may have sent a newer one since.
        Ok(compared(&body, number, &control.read()?))
    };
    done(applied(), asked.json)
}

/// The configuration that is in force, as it was sent.
pub fn read(asked: &Asked) -> u8 {
    let control = match Control::find(asked) {
        Ok(control) => control,
        Err(code) => return code,
    };
    match control.read() {
        Err(outcome) => outcome.tell(asked.json),
        Ok(body) => {
            let text = String::from_utf8_lossy(&body);
            if asked.json {
                let configuration = jzon::parse(&text).unwrap_or(JsonValue::Null);
                let (revision, digest) = (revision(&body), content_digest(&body));
                let object = jzon::object! {
                    "revision" => revision, "digest" => digest, "configuration" => configuration
                };
                say(&object.pretty(2));
            } else {
                say(&text);
            }
            0
        }
    }
}

/// Whether a file is what is in force, and else what differs.
pub fn diff(path: &Path, asked: &Asked) -> u8 {
    let (body, number) = match usable(path) {
        Ok(usable) => usable,
        Err(code) => return code,
    };
    let control = match Control::find(asked) {
        Ok(control) => control,
        Err(code) => return code,
    };
    let compare = || {
        let held = control.read()?;
        let mut outcome = compared(&body, number, &held);
        let parts = differences(&held, &body);
        for part in &parts {
            outcome.text += &format!("\n  {part}");
        }
        let list: Vec<JsonValue> = parts.into_iter().map(JsonValue::from).collect();
        Ok(outcome.with("differences", list))
    };
    done(compare(), asked.json)
}

/// Routes and services by their names, and the limits: what a file adds to, lacks of and changes in what is in force.
pub(crate) fn differences(held: &[u8], file: &[u8]) -> Vec<String> {
    let parse = |bytes: &[u8]| jzon::parse(&String::from_utf8_lossy(bytes)).unwrap_or(JsonValue::Null);
    let (held, file) = (parse(held), parse(file));
    let mut all = Vec::new();
    for (key, kind) in [("routes", "route"), ("backends", "service")] {
        let find = |list: &JsonValue, name: &JsonValue| {
            list[key].members().find(|one| one["name"] == *name).cloned()
        };
        for one in file[key].members() {
            match find(&held, &one["name"]) {
                None => all.push(format!("{kind} {}: only in the file", one["name"])),
                Some(other) if other != *one => all.push(format!("{kind} {}: differs", one["name"])),
                Some(_) => {}
            }
        }
        for one in held[key].members().filter(|one| find(&file, &one["name"]).is_none()) {
            all.push(format!("{kind} {}: only in force", one["name"]));
        }
    }
    if held["limits"] != file["limits"] {
        all.push("limits: differ".to_string());
    }
    all
}

/// Orders a store to be emptied, or says how far it is.
pub fn retire(name: &str, status: bool, asked: &Asked) -> u8 {
    let sound = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if name.is_empty() || !name.chars().all(sound) {
        eprintln!("command line: NAME: {name:?} is no node's name");
        return UNUSABLE;
    }
    let control = match Control::find(asked) {
        Ok(control) => control,
        Err(code) => return code,
    };
    let told = || {
        let reply = match status {
            true => control.ask("GET", &format!("/v1/retire/{name}/read"), b"")?,
            false => control.ask("POST", &format!("/v1/retire/{name}/begin"), b"{}")?,
        };
        let state = reply.json()["state"].as_str().unwrap_or("ordered").to_string();
        let outcome = match (reply.status, state.as_str()) {
            (200, "complete") => Outcome::new(0, format!("{name} is empty: take it away with its disk")),
            (200, "rolling") => Outcome::new(NOT_SO, format!("{name} is being emptied: leave it running")),
            (200, _) => Outcome::new(0, format!("{name} has the order: ask with --status until it is empty")),
            (404, _) => return Err(Outcome::new(UNUSABLE, format!("{name}: {}", reply.reason()))),
            _ => return Err(Outcome::new(NOT_SO, format!("refused: {}", reply.reason()))),
        };
        Ok(outcome.with("state", state))
    };
    done(told(), asked.json)
}

#[cfg(test)]
mod tests;
