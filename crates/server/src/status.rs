//! Questions to a running system, over the protocol of its own processes, by one who is none of them.

use crate::args::{say, UNUSABLE};
use crate::links;
use crate::node::lot;
use crate::signals::{Hello, NodeRole, Signal, PROTOCOL};
use jzon::JsonValue;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;
use stileroute_config::NodeSettings;
use stileroute_queue::{Key, KeyLocation};

/// A process that is there answers at once.
const PATIENCE: Duration = Duration::from_millis(1500);
const FRAME: usize = 16 << 20;
/// Processes asked at the same time, and in all.
const AT_ONCE: usize = 32;
const MOST: usize = 5000;

/// Nobody answered, or some did not.
const SILENT: u8 = 1;

/// Asks one process one thing.
fn ask(at: SocketAddrV4, what: &Signal) -> Result<String, String> {
    let io = |e: std::io::Error| format!("{at}: {e}");
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(at), PATIENCE).map_err(io)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(io)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(io)?;
    let hello = Hello {
        protocol: PROTOCOL,
        // Drawn: a fixed one would end the connection of another who asks at the same time.
        node: lot() as u32,
        name: "visitor".to_string(),
        class: NodeRole::CommandLine,
        zone: String::new(),
        ip: Ipv4Addr::UNSPECIFIED,
        life: lot(),
        control: None,
    };
    for signal in [&Signal::Hello(hello), what] {
        let bytes = postcard::to_stdvec(signal).map_err(|e| format!("{at}: {e}"))?;
        stream.write_all(&(bytes.len() as u32).to_le_bytes()).map_err(io)?;
        stream.write_all(&bytes).map_err(io)?;
    }
    loop {
        let mut size = [0; 4];
        stream.read_exact(&mut size).map_err(|e| match e.kind() {
            std::io::ErrorKind::UnexpectedEof => {
                format!("{at}: hung up: no stilerouted, or of another protocol")
            }
            _ => format!("{at}: {e}"),
        })?;
        let size = u32::from_le_bytes(size) as usize;
        if size > FRAME {
            return Err(format!("{at}: speaks another protocol"));
        }
        let mut frame = vec![0; size];
        stream.read_exact(&mut frame).map_err(io)?;
        match postcard::from_bytes(&frame) {
            Ok(Signal::Reported { text, .. }) => return Ok(text),
            Ok(_) => {}
            Err(_) => return Err(format!("{at}: speaks another protocol")),
        }
    }
}

/// Where to begin: an address, or what a settings file leads to: the processes of its machine, and the seeds.
fn doors(at: Option<&str>, boot: Option<&Path>, seeds: bool) -> Result<Vec<SocketAddrV4>, String> {
    if let Some(address) = at.and_then(|at| at.parse().ok()) {
        return Ok(vec![address]);
    }
    let file = at.map(PathBuf::from).or_else(|| boot.map(Path::to_path_buf));
    let file = file.or_else(|| std::env::var_os("STILEROUTE_BOOT").map(PathBuf::from));
    let file = file.ok_or("command line: --at: missing, and STILEROUTE_BOOT is not set")?;
    let boot = NodeSettings::read(&file).map_err(|faults| faults.to_string())?;
    let place = |ip, class| links::address((boot.internal_ports.first, boot.internal_ports.last), ip, class);
    let mut all =
        [NodeRole::Edge, NodeRole::Store, NodeRole::Control].map(|class| place(boot.ip, class)).to_vec();
    all.extend(boot.seeds.iter().filter(|_| seeds).map(|seed| place(*seed.ip(), NodeRole::Control)));
    Ok(all)
}

fn class_of(text: &str) -> Option<NodeRole> {
    [NodeRole::Control, NodeRole::Store, NodeRole::Edge].into_iter().find(|class| class.to_string() == text)
}

/// Addresses that a report names.
fn named(report: &JsonValue) -> Vec<(String, SocketAddrV4)> {
    let port = |at: usize| report["ports"][at].as_u16().unwrap_or(0);
    let ports = (port(0), port(1));
    let members = report["known"].members().chain(report["links"].members());
    members
        .filter_map(|m| {
            let (class, ip) = (class_of(m["class"].as_str()?)?, m["ip"].as_str()?.parse().ok()?);
            Some((m["node"].as_str()?.to_string(), links::address(ports, ip, class)))
        })
        .collect()
}

#[derive(Default)]
struct Fleet {
    reports: BTreeMap<String, (SocketAddrV4, JsonValue)>,
    /// Those that a report names and that do not answer.
    silent: BTreeMap<SocketAddrV4, String>,
}

/// Asks one, then all that it names, and so on.
fn walk(doors: Vec<SocketAddrV4>) -> Fleet {
    let mut fleet = Fleet::default();
    let mut asked: BTreeSet<SocketAddrV4> = BTreeSet::new();
    let mut names: BTreeMap<SocketAddrV4, String> = BTreeMap::new();
    let first: BTreeSet<SocketAddrV4> = doors.iter().copied().collect();
    let mut next: Vec<SocketAddrV4> = first.iter().copied().collect();
    while !next.is_empty() && asked.len() < MOST {
        asked.extend(next.iter().copied());
        let mut found = Vec::new();
        for some in next.chunks(AT_ONCE) {
            let answers: Vec<_> = std::thread::scope(|scope| {
                let asks: Vec<_> =
                    some.iter().map(|at| scope.spawn(|| ask(*at, &Signal::Report { ticket: 1 }))).collect();
                asks.into_iter().map(|ask| ask.join().unwrap_or_else(|_| Err("broke off".into()))).collect()
            });
            found.extend(some.iter().copied().zip(answers));
        }
        next.clear();
        for (at, answer) in found {
            let report = answer.and_then(|text| jzon::parse(&text).map_err(|e| format!("{at}: {e}")));
            match report {
                Ok(report) => {
                    for (name, address) in named(&report) {
                        names.insert(address, name);
                        if !asked.contains(&address) && !next.contains(&address) {
                            next.push(address);
                        }
                    }
                    let name = report["node"].as_str().unwrap_or_default().to_string();
                    fleet.reports.insert(name, (at, report));
                }
                Err(reason) => {
                    fleet.silent.insert(at, reason);
                }
            }
        }
    }
    // Of the places where one might have been, only those count that somebody names.
    if !fleet.reports.is_empty() {
        fleet.silent.retain(|at, _| names.contains_key(at));
    }
    for (at, reason) in &mut fleet.silent {
        if let Some(name) = names.get(at) {
            *reason = format!("{name}: {reason}");
        }
    }
    fleet
}

fn open(at: Option<&str>, boot: Option<&Path>) -> Result<Fleet, u8> {
    let doors = doors(at, boot, true).map_err(|reason| {
        eprintln!("{reason}");
        UNUSABLE
    })?;
    let fleet = walk(doors);
    if fleet.reports.is_empty() {
        fleet.silent.values().for_each(|reason| eprintln!("{reason}"));
        return Err(SILENT);
    }
    Ok(fleet)
}

/// Where the control nodes take orders, those that answer: what leads first.
pub fn control_addresses(at: Option<&str>, boot: Option<&Path>) -> Result<Vec<SocketAddrV4>, u8> {
    let fleet = open(at, boot)?;
    let leads = |report: &&JsonValue| report["duty"]["leads"] != true;
    let mut reports: Vec<&JsonValue> = fleet.all(NodeRole::Control).collect();
    reports.sort_by_key(leads);
    Ok(reports.iter().filter_map(|report| report["duty"]["control"].as_str()?.parse().ok()).collect())
}

impl Fleet {
    fn all(&self, class: NodeRole) -> impl Iterator<Item = &JsonValue> {
        let class = class.to_string();
        self.reports
            .values()
            .map(|(_, report)| report)
            .filter(move |report| report["class"].as_str() == Some(&class))
    }

    /// Of the control nodes the one whose word holds: it leads, or has the highest epoch.
    fn control(&self) -> Option<&JsonValue> {
        let rank = |r: &&JsonValue| (r["duty"]["leads"] == true, r["duty"]["epoch"].as_u64().unwrap_or(0));
        self.all(NodeRole::Control).max_by_key(rank)
    }

    fn json(&self) -> JsonValue {
        let mut nodes = Vec::new();
        for (at, report) in self.reports.values() {
            let mut node = report.clone();
            for key in ["known", "links", "executors", "services", "ports"] {
                node.remove(key);
            }
            node["internal"] = at.to_string().into();
            nodes.push(node);
        }
        let silent: Vec<JsonValue> = self.silent.values().map(|reason| reason.as_str().into()).collect();
        let control = self.control().map_or(JsonValue::Null, |r| r["duty"].clone());
        jzon::object! {
            "control" => control,
            "nodes" => nodes,
            "silent" => silent,
            "services" => self.services(),
        }
    }

    /// Each service over all stores: what waits, what is out, its executors and its ceiling.
    fn services(&self) -> JsonValue {
        let mut services: BTreeMap<String, JsonValue> = BTreeMap::new();
        let mut executors: BTreeMap<String, JsonValue> = BTreeMap::new();
        for report in self.all(NodeRole::Control) {
            for one in report["executors"].members() {
                executors.entry(one["id"].to_string()).or_insert_with(|| one.clone());
            }
        }
        for store in self.all(NodeRole::Store) {
            let name = store["node"].to_string();
            for part in store["services"].members() {
                let all = services.entry(part["service"].to_string()).or_insert_with(|| {
                    jzon::object! { "waiting" => 0, "out" => 0, "oldest_ms" => 0, "ceiling" => JsonValue::Null,
                        "repeats" => jzon::object! { "first" => 0, "again" => 0, "held_back" => 0, "waiting" => 0, "most_at_one" => 0 },
                        "stores" => JsonValue::new_object(), "executors" => JsonValue::new_object() }
                });
                let sum = |a: &JsonValue, b: &JsonValue| a.as_u64().unwrap_or(0) + b.as_u64().unwrap_or(0);
                all["waiting"] = sum(&all["waiting"], &part["waiting"]).into();
                all["out"] = sum(&all["out"], &part["out"]).into();
                for key in ["first", "again", "held_back", "waiting", "most_at_one"] {
                    all["repeats"][key] = sum(&all["repeats"][key], &part["repeats"][key]).into();
                }
                let oldest = all["oldest_ms"].as_u64().max(part["oldest_ms"].as_u64());
                all["oldest_ms"] = oldest.into();
                if !part["ceiling"].is_null() {
                    if all["ceiling"].is_null() {
                        all["ceiling"] = jzon::object! { "rate_per_s" => part["ceiling"]["rate_per_s"].clone(), "holders" => jzon::array![] };
                    }
                    if part["ceiling"]["here"] == true {
                        let _ = all["ceiling"]["holders"].push(name.clone());
                    }
                }
                all["stores"][&*name] =
                    jzon::object! { "waiting" => part["waiting"].clone(), "out" => part["out"].clone() };
                for one in part["executors"].members() {
                    let id = one["id"].to_string();
                    let place = &mut all["executors"][&*id];
                    if place.is_null() {
                        *place = executors.get(&id).cloned().unwrap_or_else(JsonValue::new_object);
                        place["out"] = 0.into();
                        place["shares"] = JsonValue::new_object();
                    }
                    place["out"] = sum(&place["out"], &one["out"]).into();
                    place["shares"][&*name] = one["share"].clone();
                }
            }
        }
        // Executors that no store lists: of a service that no configuration names, or just known.
        for (id, one) in executors {
            let service = services.entry(one["service"].to_string()).or_insert_with(|| {
                jzon::object! { "waiting" => 0, "out" => 0, "oldest_ms" => 0, "executors" => JsonValue::new_object() }
            });
            if service["executors"][&*id].is_null() {
                service["executors"][&*id] = one;
            }
        }
        let mut object = JsonValue::new_object();
        services.into_iter().for_each(|(name, service)| object[&*name] = service);
        object
    }
}

fn list(values: &JsonValue) -> String {
    values.members().map(JsonValue::to_string).collect::<Vec<_>>().join(" ")
}

fn table(fleet: &Fleet) -> String {
    let mut text = String::new();
    match fleet.control() {
        None => text += "control: no control node answers\n",
        Some(report) => {
            let duty = &report["duty"];
            let leads = fleet.all(NodeRole::Control).find(|r| r["duty"]["leads"] == true);
            let leader = leads.map_or("nobody leads now".to_string(), |r| format!("{} leads", r["node"]));
            text += &format!("control: epoch {}, primary {}, {leader}\n", duty["epoch"], duty["primary"]);
            text += &format!("  copies: {}\n  voters: {}\n", list(&duty["copies"]), list(&duty["voters"]));
            for blank in fleet.all(NodeRole::Control).filter(|r| r["duty"]["blank"] == true) {
                text += &format!("  blank: {}\n", blank["node"]);
            }
        }
    }
    text += "nodes:\n";
    for (at, report) in fleet.reports.values() {
        let hears = match (report["control"]["heard"] == true, report["control"]["session"].as_str()) {
            _ if report["class"] == "core" => String::new(),
            (true, Some(with)) => {
                format!(
                    ", session with {with} for {} s",
                    report["control"]["session_ms"].as_u64().unwrap_or(0) / 1000
                )
            }
            _ => ", HEARS NOTHING of the control nodes".to_string(),
        };
        let leaving = if report["leaving"] == true { ", ends" } else { "" };
        let ready = if report["ready"] == false { ", not ready" } else { "" };
        let disk = if report["disk_trouble"] == true { ", DISK REFUSES" } else { "" };
        text += &format!(
            "  {} {} in {} at {at}: version {}{hears}{ready}{leaving}{disk}\n",
            report["class"], report["node"], report["zone"], report["version"]
        );
        let messages = &report["messages"];
        if messages.is_object() {
            text += &format!(
                "    messages: {} waiting, {} out, {} landing, {} held, {} copies, {} ended, oldest {} ms\n",
                messages["waiting"],
                messages["out"],
                messages["landing"],
                messages["held"],
                messages["copy"],
                messages["ended"],
                messages["oldest_ms"]
            );
        }
    }
    for reason in fleet.silent.values() {
        text += &format!("  SILENT {reason}\n");
    }
    text += "services:\n";
    for (name, service) in fleet.services().entries() {
        text += &format!(
            "  {name}: {} waiting, {} out, oldest {} ms",
            service["waiting"], service["out"], service["oldest_ms"]
        );
        if !service["ceiling"].is_null() {
            let holders = list(&service["ceiling"]["holders"]);
            let holders = if holders.is_empty() { "nobody".to_string() } else { holders };
            text += &format!(", at most {}/s, tokens by {holders}", service["ceiling"]["rate_per_s"]);
        }
        if service["repeats"]["again"].as_u64().is_some_and(|count| count > 0) {
            let repeats = &service["repeats"];
            text += &format!(
                ", {} repeats of {} first attempts, {} wait, {} were held back, at most {} at one executor",
                repeats["again"],
                repeats["first"],
                repeats["waiting"],
                repeats["held_back"],
                repeats["most_at_one"]
            );
        }
        text.push('\n');
        for (id, one) in service["executors"].entries() {
            let shares: Vec<String> = one["shares"]
                .entries()
                .map(|(store, share)| format!("{store} {:.2}", share.as_f64().unwrap_or(0.0)))
                .collect();
            let id = if id.is_empty() { "endpoint" } else { id };
            text += &format!("    {id}");
            if one["address"].is_string() {
                text += &format!(" at {} in {}, {}", one["address"], one["zone"], one["standing"]);
                text += &format!(", {} slots, heartbeat {} ms ago", one["capacity"], one["beat_ms"]);
            }
            text += &format!(", {} out", one["out"].as_u64().unwrap_or(0));
            if !shares.is_empty() {
                text += &format!(", shares: {}", shares.join(", "));
            }
            text.push('\n');
        }
    }
    text
}

pub fn status(at: Option<&str>, boot: Option<&Path>, json: bool) -> u8 {
    let fleet = match open(at, boot) {
        Ok(fleet) => fleet,
        Err(code) => return code,
    };
    say(&if json { fleet.json().pretty(2) } else { table(&fleet) });
    0
}

/// What each store knows of a message.
pub fn message(id: &str, at: Option<&str>, boot: Option<&Path>, json: bool) -> u8 {
    let Some(KeyLocation { key, .. }) = Key::parse(id) else {
        eprintln!("command line: ID: {id:?} is no message's name");
        return UNUSABLE;
    };
    let fleet = match open(at, boot) {
        Ok(fleet) => fleet,
        Err(code) => return code,
    };
    let mut stores = JsonValue::new_object();
    let mut silent: Vec<JsonValue> = fleet.silent.values().map(|reason| reason.as_str().into()).collect();
    for (name, (at, report)) in &fleet.reports {
        if report["class"] != "store" {
            continue;
        }
        let answer = ask(*at, &Signal::Trace { ticket: 1, key });
        match answer.and_then(|text| jzon::parse(&text).map_err(|e| format!("{at}: {e}"))) {
            Ok(trace) => stores[&**name] = trace,
            Err(reason) => silent.push(reason.into()),
        }
    }
    let known = stores.entries().any(|(_, trace)| !trace.is_null());
    if json {
        say(&jzon::object! { "message" => id, "stores" => stores, "silent" => silent }.pretty(2));
    } else {
        for (store, trace) in stores.entries() {
            say(&format!("{store}: {}", traced(trace)));
        }
        silent.iter().for_each(|reason| say(&format!("SILENT {reason}")));
    }
    if known {
        0
    } else {
        SILENT
    }
}

fn traced(trace: &JsonValue) -> String {
    if trace.is_null() {
        return "knows nothing of it".to_string();
    }
    let mut text = format!(
        "{}, owner {}, copies {}, term {}, tries {}",
        trace["stage"],
        trace["owner"],
        list(&trace["copies"]),
        trace["term"],
        trace["tries"]
    );
    let due = trace["due_in_ms"].as_i64().unwrap_or(0);
    match &trace["end"] {
        JsonValue::Null if due > 0 => text += &format!(", due in {due} ms"),
        JsonValue::Null => text += &format!(", due for {} ms", -due),
        end => {
            text += &format!(", {}", end["state"]);
            if !end["seal"].is_null() {
                text += &format!(" with seal {}", end["seal"]);
            }
            if trace["callback_owed"] == true {
                text += ", call-back not taken yet";
            }
        }
    }
    text
}

/// The counters of one process, as they are or as an object of name and value.
pub fn figures(at: Option<&str>, boot: Option<&Path>, json: bool) -> u8 {
    let doors = match doors(at, boot, false) {
        Ok(doors) => doors,
        Err(reason) => {
            eprintln!("{reason}");
            return UNUSABLE;
        }
    };
    let mut reasons = Vec::new();
    for door in doors {
        match ask(door, &Signal::Count { ticket: 1 }) {
            Ok(text) if json => {
                let mut object = JsonValue::new_object();
                for line in text.lines().filter(|line| !line.starts_with('#')) {
                    let Some((name, value)) = line.rsplit_once(' ') else { continue };
                    object[name] = value.parse::<f64>().map_or(JsonValue::Null, JsonValue::from);
                }
                say(&object.pretty(2));
                return 0;
            }
            Ok(text) => {
                say(&text);
                return 0;
            }
            Err(reason) => reasons.push(reason),
        }
    }
    reasons.iter().for_each(|reason| eprintln!("{reason}"));
    SILENT
}
