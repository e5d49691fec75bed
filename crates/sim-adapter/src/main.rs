//! Runs many dispatcher instances, isolated from one another, behind the simulator's wire protocol.
//!
//! A batch is read from standard input, each message becomes a call on the instance that it names, and the
//! results of these calls are written as one reply. Names of the wire protocol are used in this crate only.

mod wire;

use std::collections::{BTreeSet, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, Write as _};
use stileroute_dispatch::policy::{Dispatcher, UPKEEP_INTERVAL};
use stileroute_dispatch::settings::{ceil_time, floor_time, NS_PER_UNIT};
use stileroute_dispatch::types::{name_hash, Limits, ListedExecutor, Op, OpRequest, Outcome, Step, Time};
use wire::{Batch, Element, Msg};

/// One instance with the ops and timers that the adapter keeps for it.
struct Instance {
    name: String,
    /// A message for the instance came in this batch.
    touched: bool,
    dispatcher: Dispatcher,
    categories: usize,
    /// Executor indices by address; `addresses` has the addresses by index.
    indices: HashMap<String, usize>,
    addresses: Vec<String>,
    generation: i64,
    ops: HashMap<u64, Op>,
    /// When each op is due for its next check; `check_times` has the time by op, so that a newer one replaces
    /// it.
    due: BTreeSet<(Time, u64)>,
    check_times: HashMap<u64, Time>,
    upkeep_at: Time,
    wakeup_at: Option<Time>,
}

/// The messages of one reply.
#[derive(Default)]
struct Reply {
    text: String,
}

impl Reply {
    fn emit(&mut self, op: &str, node: &str, fields: std::fmt::Arguments) {
        let comma = if self.text.is_empty() { "" } else { "," };
        let _ = write!(self.text, "{comma}{{\"op\":\"{op}\",\"node\":\"{node}\"{fields}}}");
    }
}

/// Returns a required field, or a one-line error that names the field.
fn require<T>(value: Option<T>, msg: &str, field: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("{msg}: field '{field}' is missing"))
}

fn parse_ticket(msg: &Msg) -> Result<u64, String> {
    let text = require(msg.ticket.as_deref(), &msg.op, "ticket")?;
    u64::from_str_radix(text, 16).map_err(|_| format!("{}: field 'ticket' is not hex digits: {text}", msg.op))
}

impl Instance {
    fn index(&mut self, address: &str) -> usize {
        if let Some(index) = self.indices.get(address) {
            return *index;
        }
        self.addresses.push(address.to_string());
        self.indices.insert(address.to_string(), self.addresses.len() - 1);
        self.addresses.len() - 1
    }

    fn list(&mut self, now: Time, whole: bool, elements: &[Element]) -> Result<(), String> {
        let mut entries = Vec::with_capacity(elements.len());
        for element in elements {
            let active = match element.stage_state.as_ref() {
                "active" => true,
                "leaving" | "left" => false,
                other => return Err(format!("MEMBERS: field 'stage-state' has unknown value '{other}'")),
            };
            entries.push(ListedExecutor {
                executor: self.index(&element.executor),
                domain: element.site,
                kind: element.family_type,
                cell: element.group,
                active,
                weight: element.nominal,
                name_hash: name_hash(&element.executor),
                started: (element.last_start_ns > 0).then(|| ceil_time(element.last_start_ns)),
            });
        }
        self.dispatcher.list(now, whole, &entries);
        Ok(())
    }

    /// Carries out steps until there is nothing left to do for the op now, and stores it.
    fn carry_out(&mut self, now: Time, ticket: u64, mut op: Op, mut step: Step, reply: &mut Reply) {
        loop {
            let fields = format!(",\"ticket\":\"{ticket:016x}\"");
            match step {
                Step::Push { executor } => {
                    let address = &self.addresses[executor];
                    reply.emit("ATTEMPT", &self.name, format_args!("{fields},\"executor\":\"{address}\""));
                }
                Step::Cancel { push } => {
                    reply.emit("STOP_ATTEMPT", &self.name, format_args!("{fields},\"round-no\":{push}"))
                }
                Step::Nack { retry_after: 0 } => reply.emit("DENY", &self.name, format_args!("{fields}")),
                Step::Nack { retry_after } => {
                    let stay_away_ns = retry_after * NS_PER_UNIT;
                    reply.emit("DENY", &self.name, format_args!("{fields},\"stay-away-ns\":{stay_away_ns}"));
                }
                Step::DeadLetter => reply.emit("END_FAILED", &self.name, format_args!("{fields}")),
                Step::Wait => return self.store(now, ticket, op),
            }
            step = self.dispatcher.place(now, &mut op);
        }
    }

    /// Stores the op and schedules its next check, or drops it if it is closed with nothing in flight.
    fn store(&mut self, now: Time, ticket: u64, op: Op) {
        if let Some(old) = self.check_times.remove(&ticket) {
            self.due.remove(&(old, ticket));
        }
        if !op.closed {
            let check_at = self.dispatcher.wait(now, &op);
            self.check_times.insert(ticket, check_at);
            self.due.insert((check_at, ticket));
        }
        if !op.closed || op.out() {
            self.ops.insert(ticket, op);
        }
    }

    fn handle(&mut self, now: Time, msg: &Msg, reply: &mut Reply) -> Result<(), String> {
        match msg.op.as_ref() {
            "INGRESS" => {
                let ticket = parse_ticket(msg)?;
                let grade = require(msg.grade, &msg.op, "grade")?;
                if grade >= self.categories {
                    return Err(format!("INGRESS: field 'grade' names no category: {grade}"));
                }
                let request = OpRequest {
                    category: grade,
                    slots: msg.cores_needed.unwrap_or(1.0),
                    memory: msg.ram_units.unwrap_or(0.0),
                    hint: msg.work_ns.filter(|w| *w > 0).map(floor_time),
                    deadline: floor_time(require(msg.drop_dead_ns, &msg.op, "drop-dead-ns")?),
                    limits: Limits::default(),
                    tenant: msg.project.unwrap_or(0),
                    key: msg.resource.as_deref().map_or(0, name_hash),
                };
                let mut op = self.dispatcher.arrive(now, request);
                let step = self.dispatcher.place(now, &mut op);
                self.carry_out(now, ticket, op, step, reply);
            }
            "RESULT" => {
                let ticket = parse_ticket(msg)?;
                let push = require(msg.round_no, &msg.op, "round-no")?;
                let outcome = match require(msg.status.as_deref(), &msg.op, "status")? {
                    "S" => Outcome::Acked,
                    "E" => Outcome::Error,
                    "F" => Outcome::Full,
                    "T" => Outcome::TimedOut,
                    "C" => Outcome::NotConnected,
                    "R" => Outcome::Reset,
                    "X" => Outcome::Cancelled,
                    "N" => Outcome::NeverStarted,
                    other => return Err(format!("RESULT: field 'status' has unknown value '{other}'")),
                };
                let values = msg.gauge.as_deref().unwrap_or_default();
                if let Some(mut op) = self.ops.remove(&ticket) {
                    op.closed |= msg.last;
                    let step = self.dispatcher.settle(now, &mut op, push, outcome, values);
                    self.carry_out(now, ticket, op, step, reply);
                }
            }
            "CHANGE" => {
                let ticket = parse_ticket(msg)?;
                let push = require(msg.round_no, &msg.op, "round-no")?;
                let start = match require(msg.topic, &msg.op, "topic")? {
                    1 => true,
                    2 => false,
                    _ => return Ok(()),
                };
                if let Some(op) = self.ops.get_mut(&ticket) {
                    self.dispatcher.note(now, op, push, start, msg.x.unwrap_or(0.0));
                }
            }
            "WITHDRAWN" => {
                let ticket = parse_ticket(msg)?;
                if let Some(mut op) = self.ops.remove(&ticket) {
                    op.closed = true;
                    let step = self.dispatcher.place(now, &mut op);
                    self.carry_out(now, ticket, op, step, reply);
                }
            }
            "FIRST" => {
                let ticket = parse_ticket(msg)?;
                if let Some(mut op) = self.ops.remove(&ticket) {
                    // The op is bound to this push, so no time-out applies to it any more.
                    op.closed = true;
                    self.store(now, ticket, op);
                }
            }
            "MEMBERS" => {
                let scope = require(msg.scope.as_deref(), &msg.op, "scope")?;
                if scope == "refused" {
                    self.dispatcher.list_call_failed(now, false);
                    return Ok(());
                }
                let generation = require(msg.generation, &msg.op, "generation")?;
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
                let from = require(msg.from, &msg.op, "from")?;
                let text = require(msg.octets.as_deref(), &msg.op, "octets")?;
                let byte = |at| text.get(at..at + 2).and_then(|digits| u8::from_str_radix(digits, 16).ok());
                let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
                // Text that is not hexadecimal is passed on as an empty message, which counts as malformed.
                self.dispatcher.receive_message(now, from, &bytes.unwrap_or_default());
            }
            "BELL" | "PROBE_RESULT" => {}
            other => eprintln!("unknown message '{other}' ignored"),
        }
        Ok(())
    }

    /// Handles the timers that are due, writes out messages and log lines, and requests the next wake-up.
    fn finish_batch(&mut self, now: Time, reply: &mut Reply) {
        while let Some((at, ticket)) = self.due.first().copied().filter(|d| d.0 <= now) {
            self.due.remove(&(at, ticket));
            self.check_times.remove(&ticket);
            if let Some(mut op) = self.ops.remove(&ticket) {
                let step = self.dispatcher.place(now, &mut op);
                self.carry_out(now, ticket, op, step, reply);
            }
        }
        if now >= self.upkeep_at {
            self.upkeep_at = now + UPKEEP_INTERVAL;
            if self.dispatcher.upkeep(now) {
                reply.emit("OBSERVE", &self.name, format_args!(",\"active\":true"));
            }
        }
        for letter in self.dispatcher.outgoing.drain(..) {
            let hex: String = letter.text.iter().map(|byte| format!("{byte:02x}")).collect();
            let to = letter.to.map_or("\"*\"".to_string(), |to| to.to_string());
            reply.emit("NOTIFY", &self.name, format_args!(",\"dst\":{to},\"octets\":\"{hex}\""));
        }
        for line in self.dispatcher.log.drain(..) {
            reply.emit("WRITE_LOG", &self.name, format_args!(",\"msg\":\"{line}\""));
        }
        let next = self.due.first().map_or(self.upkeep_at, |d| d.0.min(self.upkeep_at)).max(now + 1);
        if self.wakeup_at.is_none_or(|at| next < at || at <= now) {
            self.wakeup_at = Some(next);
            let when = next * NS_PER_UNIT;
            reply.emit("NOTIFY_ME", &self.name, format_args!(",\"label\":\"due\",\"when-ns\":{when}"));
        }
    }
}

fn run_batch(
    instances: &mut HashMap<String, Instance>,
    batch: &Batch,
    reply: &mut Reply,
) -> Result<(), String> {
    let now = ceil_time(batch.clock);
    let mut touched: Vec<&str> = Vec::new();
    for msg in &batch.msgs {
        let name = require(msg.node.as_deref(), &msg.op, "node")?;
        match msg.op.as_ref() {
            "SPAWN" => {
                let seed = require(msg.init_seed, &msg.op, "init-seed")?;
                let tariff = require(msg.conf.as_ref(), &msg.op, "conf")?
                    .dispatch_settings()
                    .map_err(|error| format!("SPAWN: {error}"))?;
                let node = Instance {
                    name: name.to_string(),
                    touched: false,
                    dispatcher: Dispatcher::new(&tariff, seed),
                    categories: tariff.categories.len(),
                    indices: HashMap::new(),
                    addresses: Vec::new(),
                    generation: 0,
                    ops: HashMap::new(),
                    due: BTreeSet::new(),
                    check_times: HashMap::new(),
                    upkeep_at: now,
                    wakeup_at: None,
                };
                instances.insert(name.to_string(), node);
            }
            "KILLED" => {
                instances.remove(name);
            }
            _ => {}
        }
        let Some(node) = instances.get_mut(name) else {
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
        if let Some(node) = instances.get_mut(name) {
            node.touched = false;
            node.finish_batch(now, reply);
        }
    }
    Ok(())
}

/// Parses a batch; an error names the field that is wrong.
fn parse_batch(line: &str) -> Result<Batch<'_>, String> {
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
    let mut instances = HashMap::new();
    let mut line = String::new();
    loop {
        line.clear();
        let result = match input.read_line(&mut line) {
            Ok(0) => return,
            Ok(_) if line.trim().is_empty() => continue,
            Ok(_) => {
                let mut reply = Reply::default();
                parse_batch(&line)
                    .and_then(|batch| run_batch(&mut instances, &batch, &mut reply))
                    .map(|()| reply.text)
                    .and_then(|text| {
                        let sent = writeln!(output, "{{\"out\":[{text}]}}").and_then(|()| output.flush());
                        sent.map_err(|error| format!("standard output: {error}"))
                    })
            }
            Err(error) => Err(format!("standard input: {error}")),
        };
        if let Err(error) = result {
            eprintln!("stileroute-sim-adapter: {error}");
            std::process::exit(2);
        }
    }
}
