//! Drives the decisions of many instances over the simulator's wire, each apart from the others.
//!
//! A batch is read from standard input, each message becomes a call on the instance that it names, and
//! what the calls give back is written as one reply. Wire names end here.

mod wire;

use std::collections::{BTreeSet, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, Write as _};
use stileroute_dispatch::policy::{Dispatcher, UPKEEP};
use stileroute_dispatch::settings::{down, up, UNIT};
use stileroute_dispatch::types::{mark, Ask, Limits, Listed, Op, Outcome, Step, Time};
use wire::{Batch, Element, Msg};

/// One instance with the ops and timers that the adapter keeps for it.
struct Node {
    name: String,
    /// Something came for it in this batch.
    touched: bool,
    dispatcher: Dispatcher,
    categories: usize,
    /// Executors by address, and their addresses by index.
    indices: HashMap<String, usize>,
    addresses: Vec<String>,
    generation: i64,
    ops: HashMap<u64, Op>,
    /// When to look at which op again; the time is kept by op, so that a newer one replaces it.
    due: BTreeSet<(Time, u64)>,
    looks: HashMap<u64, Time>,
    upkeep: Time,
    bell: Option<Time>,
}

/// The messages of one reply.
#[derive(Default)]
struct Reply {
    text: String,
}

impl Reply {
    fn say(&mut self, op: &str, node: &str, rest: std::fmt::Arguments) {
        let comma = if self.text.is_empty() { "" } else { "," };
        let _ = write!(self.text, "{comma}{{\"op\":\"{op}\",\"node\":\"{node}\"{rest}}}");
    }
}

/// A required field, or one clear line that names it.
fn need<T>(value: Option<T>, msg: &str, field: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("{msg}: field '{field}' is missing"))
}

fn ticket_of(msg: &Msg) -> Result<u64, String> {
    let text = need(msg.ticket.as_deref(), &msg.op, "ticket")?;
    u64::from_str_radix(text, 16).map_err(|_| format!("{}: field 'ticket' is not hex digits: {text}", msg.op))
}

impl Node {
    fn index(&mut self, address: &str) -> usize {
        if let Some(index) = self.indices.get(address) {
            return *index;
        }
        self.addresses.push(address.to_string());
        self.indices.insert(address.to_string(), self.addresses.len() - 1);
        self.addresses.len() - 1
    }

    fn list(&mut self, now: Time, whole: bool, elements: &[Element]) -> Result<(), String> {
        let mut lines = Vec::with_capacity(elements.len());
        for element in elements {
            let active = match element.stage_state.as_ref() {
                "active" => true,
                "leaving" | "left" => false,
                other => return Err(format!("MEMBERS: field 'stage-state' has unknown value '{other}'")),
            };
            lines.push(Listed {
                executor: self.index(&element.executor),
                domain: element.site,
                kind: element.family_type,
                cell: element.group,
                active,
                weight: element.nominal,
                mark: mark(&element.executor),
                started: (element.last_start_ns > 0).then(|| up(element.last_start_ns)),
            });
        }
        self.dispatcher.list(now, whole, &lines);
        Ok(())
    }

    /// Carries out steps until there is nothing left to do for the op now, and keeps it.
    fn carry(&mut self, now: Time, ticket: u64, mut op: Op, mut step: Step, reply: &mut Reply) {
        loop {
            let rest = format!(",\"ticket\":\"{ticket:016x}\"");
            match step {
                Step::Push { executor } => {
                    let address = &self.addresses[executor];
                    reply.say("ATTEMPT", &self.name, format_args!("{rest},\"executor\":\"{address}\""));
                }
                Step::Stop { push } => {
                    reply.say("STOP_ATTEMPT", &self.name, format_args!("{rest},\"round-no\":{push}"))
                }
                Step::Nack { come_back: 0 } => reply.say("DENY", &self.name, format_args!("{rest}")),
                Step::Nack { come_back } => {
                    let away = come_back * UNIT;
                    reply.say("DENY", &self.name, format_args!("{rest},\"stay-away-ns\":{away}"));
                }
                Step::DeadLetter => reply.say("END_FAILED", &self.name, format_args!("{rest}")),
                Step::Hold => return self.keep(now, ticket, op),
            }
            step = self.dispatcher.place(now, &mut op);
        }
    }

    /// Puts the op back in hand and notes when to look again, or lets go of it.
    fn keep(&mut self, now: Time, ticket: u64, op: Op) {
        if let Some(old) = self.looks.remove(&ticket) {
            self.due.remove(&(old, ticket));
        }
        if !op.closed {
            let look = self.dispatcher.wait(now, &op);
            self.looks.insert(ticket, look);
            self.due.insert((look, ticket));
        }
        if !op.closed || op.out() {
            self.ops.insert(ticket, op);
        }
    }

    fn handle(&mut self, now: Time, msg: &Msg, reply: &mut Reply) -> Result<(), String> {
        match msg.op.as_ref() {
            "INGRESS" => {
                let ticket = ticket_of(msg)?;
                let grade = need(msg.grade, &msg.op, "grade")?;
                if grade >= self.categories {
                    return Err(format!("INGRESS: field 'grade' names no category: {grade}"));
                }
                let ask = Ask {
                    category: grade,
                    slots: msg.cores_needed.unwrap_or(1.0),
                    memory: msg.ram_units.unwrap_or(0.0),
                    hint: msg.work_ns.filter(|w| *w > 0).map(down),
                    deadline: down(need(msg.drop_dead_ns, &msg.op, "drop-dead-ns")?),
                    limits: Limits::default(),
                    tenant: msg.project.unwrap_or(0),
                    key: msg.resource.as_deref().map_or(0, mark),
                };
                let mut op = self.dispatcher.arrive(now, ask);
                let step = self.dispatcher.place(now, &mut op);
                self.carry(now, ticket, op, step, reply);
            }
            "RESULT" => {
                let ticket = ticket_of(msg)?;
                let push = need(msg.round_no, &msg.op, "round-no")?;
                let outcome = match need(msg.status.as_deref(), &msg.op, "status")? {
                    "S" => Outcome::Acked,
                    "E" => Outcome::Error,
                    "F" => Outcome::Full,
                    "T" => Outcome::TimedOut,
                    "C" => Outcome::NotConnected,
                    "R" => Outcome::Reset,
                    "X" => Outcome::Cancelled,
                    "N" => Outcome::Moot,
                    other => return Err(format!("RESULT: field 'status' has unknown value '{other}'")),
                };
                let values = msg.gauge.as_deref().unwrap_or_default();
                if let Some(mut op) = self.ops.remove(&ticket) {
                    op.closed |= msg.last;
                    let step = self.dispatcher.settle(now, &mut op, push, outcome, values);
                    self.carry(now, ticket, op, step, reply);
                }
            }
            "CHANGE" => {
                let ticket = ticket_of(msg)?;
                let push = need(msg.round_no, &msg.op, "round-no")?;
                let start = match need(msg.topic, &msg.op, "topic")? {
                    1 => true,
                    2 => false,
                    _ => return Ok(()),
                };
                if let Some(op) = self.ops.get_mut(&ticket) {
                    self.dispatcher.note(now, op, push, start, msg.x.unwrap_or(0.0));
                }
            }
            "WITHDRAWN" => {
                let ticket = ticket_of(msg)?;
                if let Some(mut op) = self.ops.remove(&ticket) {
                    op.closed = true;
                    let step = self.dispatcher.place(now, &mut op);
                    self.carry(now, ticket, op, step, reply);
                }
            }
            "FIRST" => {
                let ticket = ticket_of(msg)?;
                if let Some(mut op) = self.ops.remove(&ticket) {
                    // The op is bound to this push: no time-out applies to it any more.
                    op.closed = true;
                    self.keep(now, ticket, op);
                }
            }
            "MEMBERS" => {
                let scope = need(msg.scope.as_deref(), &msg.op, "scope")?;
                if scope == "refused" {
                    self.dispatcher.refused(now, false);
                    return Ok(());
                }
                let generation = need(msg.generation, &msg.op, "generation")?;
                if generation < self.generation {
                    return Ok(());
                }
                self.generation = generation;
                let elements = msg.elements.as_deref().unwrap_or_default();
                match scope {
                    "changes" => self.list(now, false, elements)?,
                    "all" | "remembered" => self.list(now, true, elements)?,
                    other => return Err(format!("MEMBERS: field 'scope' has unknown value '{other}'")),
                }
            }
            "WHISPER" => {
                let from = need(msg.from, &msg.op, "from")?;
                let text = need(msg.octets.as_deref(), &msg.op, "octets")?;
                let byte = |at| text.get(at..at + 2).and_then(|two| u8::from_str_radix(two, 16).ok());
                let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
                // What is no hex is handed on as nothing, which counts as bad.
                self.dispatcher.heard(now, from, &bytes.unwrap_or_default());
            }
            "BELL" | "PROBE_RESULT" => {}
            other => eprintln!("unknown message '{other}' ignored"),
        }
        Ok(())
    }

    /// Whatever has come due, and the next bell.
    fn close(&mut self, now: Time, reply: &mut Reply) {
        while let Some((at, ticket)) = self.due.first().copied().filter(|d| d.0 <= now) {
            self.due.remove(&(at, ticket));
            self.looks.remove(&ticket);
            if let Some(mut op) = self.ops.remove(&ticket) {
                let step = self.dispatcher.place(now, &mut op);
                self.carry(now, ticket, op, step, reply);
            }
        }
        if now >= self.upkeep {
            self.upkeep = now + UPKEEP;
            if self.dispatcher.upkeep(now) {
                reply.say("OBSERVE", &self.name, format_args!(",\"active\":true"));
            }
        }
        for letter in self.dispatcher.letters.drain(..) {
            let hex: String = letter.text.iter().map(|byte| format!("{byte:02x}")).collect();
            let to = letter.to.map_or("\"*\"".to_string(), |to| to.to_string());
            reply.say("NOTIFY", &self.name, format_args!(",\"dst\":{to},\"octets\":\"{hex}\""));
        }
        for line in self.dispatcher.log.drain(..) {
            reply.say("WRITE_LOG", &self.name, format_args!(",\"msg\":\"{line}\""));
        }
        let next = self.due.first().map_or(self.upkeep, |d| d.0.min(self.upkeep)).max(now + 1);
        if self.bell.is_none_or(|at| next < at || at <= now) {
            self.bell = Some(next);
            let when = next * UNIT;
            reply.say("NOTIFY_ME", &self.name, format_args!(",\"label\":\"due\",\"when-ns\":{when}"));
        }
    }
}

fn run_batch(nodes: &mut HashMap<String, Node>, batch: &Batch, reply: &mut Reply) -> Result<(), String> {
    let now = up(batch.clock);
    let mut touched: Vec<&str> = Vec::new();
    for msg in &batch.msgs {
        let name = need(msg.node.as_deref(), &msg.op, "node")?;
        match msg.op.as_ref() {
            "SPAWN" => {
                let seed = need(msg.init_seed, &msg.op, "init-seed")?;
                let tariff = need(msg.conf.as_ref(), &msg.op, "conf")?
                    .tariff()
                    .map_err(|error| format!("SPAWN: {error}"))?;
                let node = Node {
                    name: name.to_string(),
                    touched: false,
                    dispatcher: Dispatcher::new(&tariff, seed),
                    categories: tariff.categories.len(),
                    indices: HashMap::new(),
                    addresses: Vec::new(),
                    generation: 0,
                    ops: HashMap::new(),
                    due: BTreeSet::new(),
                    looks: HashMap::new(),
                    upkeep: now,
                    bell: None,
                };
                nodes.insert(name.to_string(), node);
            }
            "KILLED" => {
                nodes.remove(name);
            }
            _ => {}
        }
        let Some(node) = nodes.get_mut(name) else {
            if msg.op != "KILLED" {
                eprintln!("message '{}' for unknown instance '{name}' ignored", msg.op);
            }
            continue;
        };
        if !std::mem::replace(&mut node.touched, true) {
            touched.push(name);
        }
        if msg.op != "SPAWN" {
            node.handle(now, msg, reply)?;
        }
    }
    for name in touched {
        if let Some(node) = nodes.get_mut(name) {
            node.touched = false;
            node.close(now, reply);
        }
    }
    Ok(())
}

/// Reads a batch; what is wrong with it is told with the name of the field.
fn read(line: &str) -> Result<Batch<'_>, String> {
    serde_json::from_str(line).map_err(|plain| {
        let text = &mut serde_json::Deserializer::from_str(line);
        match serde_path_to_error::deserialize::<_, Batch>(text) {
            Err(error) => format!("{}: {}", error.path(), error.inner()),
            Ok(_) => plain.to_string(),
        }
    })
}

fn main() {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut nodes = HashMap::new();
    let mut line = String::new();
    loop {
        line.clear();
        let problem = match input.read_line(&mut line) {
            Ok(0) => return,
            Ok(_) if line.trim().is_empty() => continue,
            Ok(_) => {
                let mut reply = Reply::default();
                read(&line)
                    .and_then(|batch| run_batch(&mut nodes, &batch, &mut reply))
                    .map(|()| reply.text)
                    .and_then(|text| {
                        let sent = writeln!(output, "{{\"out\":[{text}]}}").and_then(|()| output.flush());
                        sent.map_err(|error| format!("standard output: {error}"))
                    })
            }
            Err(error) => Err(format!("standard input: {error}")),
        };
        if let Err(problem) = problem {
            eprintln!("stileroute-sim-adapter: {problem}");
            std::process::exit(2);
        }
    }
}
