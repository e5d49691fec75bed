//! The judge of the four rules. It keeps a ledger of what clients and executors saw, never of what a node says, and
//! reads it when the day is over.

use crate::executor::Availability;
use crate::plan::{EffectName, Group, Plan, What};
use crate::time::{ms, seconds};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use stileroute_dispatch::types::Time;

/// How a push ended, as its executor knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Done,
    Failed,
    Lost,
    /// Handed back unstarted, and told so.
    Returned,
    /// Its connection never came up, or broke before the last byte.
    Cut,
    /// Its connection broke later, at the executor's end or on the way.
    Broken,
}

impl End {
    fn never_ran(self) -> bool {
        matches!(self, End::Returned | End::Cut)
    }
}

/// A final answer, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Acked,
    /// Come back after so long; zero for no advice.
    Nacked(Time),
    DeadLettered,
    /// The connection ended with no whole answer.
    Nothing,
}

/// One entry of the ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Saw {
    Asked,
    /// The first byte of a push has come to an executor.
    Pushed(usize),
    /// Its last byte has, where that is later: from now on it is out.
    Whole(usize),
    Began(usize),
    Ended(usize, End),
    /// The node has given the push up: its connection is closed.
    GivenUp(usize),
    Answered(Answer),
    /// The client went away, or its node was killed: nobody is owed an answer.
    Released,
}

/// One op, which is one try of a client's job.
#[derive(Clone, Debug)]
pub struct Sheet {
    pub job: usize,
    pub node: usize,
    pub category: usize,
    pub asked: Time,
    pub deadline: Time,
    pub seen: Vec<(Time, Saw)>,
}

/// A broken rule, with the op that shows it and what was seen of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Broken {
    pub rule: u8,
    pub op: usize,
    pub what: String,
    pub line: Vec<String>,
}

/// A cold executor that was pushed over.
#[derive(Clone, Copy, Debug)]
pub struct Fall {
    pub executor: usize,
    pub at: Time,
}

/// What an executor is from a time on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Life {
    pub at: Time,
    pub up: Availability,
    /// Its latest start, where that is not long past.
    pub started: Option<Time>,
    /// Nothing at it runs on.
    pub halted: bool,
}

/// The ledger of a day.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pub sheets: Vec<Sheet>,
    /// By executor: what it was, in order of time; before the first entry it serves and is warm.
    pub lives: Vec<Vec<Life>>,
    /// By executor: when a connection came up, and when something was asked that is no push.
    pub connected: Vec<Vec<Time>>,
    pub probed: Vec<Vec<Time>>,
    /// By replica of discovery: when it was called, and how many calls it turned away.
    pub called: Vec<Vec<Time>>,
    pub turned_away: u64,
    /// When a process or an executor was back after a fault.
    pub back: Vec<Time>,
    /// By node and executor: from when on its operators had its word that it is out, or in again.
    pub disabled: HashMap<(usize, usize), Vec<(Time, bool)>>,
    /// Operators' calls that were answered with a yes, and those that were not.
    pub by_hand: [u64; 2],
    /// By node: when it was started anew, and when something was done to what it keeps.
    pub starts: HashMap<usize, Vec<Time>>,
    pub forgot: HashMap<usize, Vec<Time>>,
    /// Faults as they came and went.
    pub weather: Vec<(Time, bool, String)>,
    /// Nodes that got a part of their time only, and when.
    pub starved: HashMap<usize, Vec<(Time, Time)>>,
    /// By node and executor, when what was told of it: whether it takes new work.
    pub told: HashMap<(usize, usize), Vec<(Time, bool)>>,
    /// The same, when it was told of a start of the executor, and when that was.
    pub started_told: HashMap<(usize, usize), Vec<(Time, Time)>>,
    pub falls: Vec<Fall>,
    /// Domain and cell of each executor.
    pub groups: Vec<(usize, usize)>,
}

impl Ledger {
    /// Opens the sheet of an op; its number names the op from then on.
    pub fn open(&mut self, job: usize, node: usize, category: usize, at: Time, deadline: Time) -> usize {
        let seen = vec![(at, Saw::Asked)];
        self.sheets.push(Sheet { job, node, category, asked: at, deadline, seen });
        self.sheets.len() - 1
    }

    /// A ledger for so many executors, by their domains and cells, and replicas of discovery.
    pub fn new(groups: Vec<(usize, usize)>, replicas: usize) -> Ledger {
        let count = groups.len();
        Ledger {
            groups,
            lives: vec![Vec::new(); count],
            connected: vec![Vec::new(); count],
            probed: vec![Vec::new(); count],
            called: vec![Vec::new(); replicas],
            ..Ledger::default()
        }
    }

    /// A node was told of an executor's start.
    pub fn told_start(&mut self, node: usize, executor: usize, at: Time, started: Time) {
        let told = self.started_told.entry((node, executor)).or_default();
        if told.last().is_none_or(|(_, last)| *last != started) {
            told.push((at, started));
        }
    }

    /// What an executor was at a time.
    pub fn life(&self, executor: usize, at: Time) -> Life {
        let lives = self.lives.get(executor).map_or(&[][..], |lives| lives);
        let warm = Life { at: Time::MIN, up: Availability::Serving, started: None, halted: false };
        lives.iter().rfind(|life| life.at <= at).copied().unwrap_or(warm)
    }

    /// When the process that stood for a node at a time was started; long before, where it never was anew.
    fn started_by(&self, node: usize, at: Time) -> Time {
        let starts = self.starts.get(&node).into_iter().flatten();
        starts.copied().filter(|start| *start <= at).max().unwrap_or(Time::MIN)
    }

    /// Whether a node was kept from running at some moment of a span.
    pub fn was_starved(&self, node: usize, from: Time, to: Time) -> bool {
        let spans = self.starved.get(&node);
        spans.is_some_and(|spans| spans.iter().any(|(begun, ended)| *begun <= to && *ended >= from))
    }

    pub fn saw(&mut self, op: usize, at: Time, what: Saw) {
        self.sheets[op].seen.push((at, what));
    }

    pub fn told(&mut self, node: usize, executor: usize, at: Time, active: bool) {
        let told = self.told.entry((node, executor)).or_default();
        if told.last().is_none_or(|(_, last)| *last != active) {
            told.push((at, active));
        }
    }
}

/// One push of an op: executor, when it came and was whole, how it ended and when, when it was given up.
struct Out {
    executor: usize,
    came: Time,
    out_from: Time,
    ended: Option<(Time, End)>,
    given_up: Option<Time>,
}

impl Out {
    fn over(&self) -> Time {
        [self.ended.map(|e| e.0), self.given_up].into_iter().flatten().min().unwrap_or(Time::MAX)
    }
}

/// How long two pushes were both out; which of them came first says nothing of which was sent first.
fn together(a: &Out, b: &Out) -> Time {
    a.over().min(b.over()).saturating_sub(a.out_from.max(b.out_from))
}

/// The pushes of an op, how often it was begun, and who may have run it when it was nacked.
struct Outs {
    out: Vec<Out>,
    began: usize,
    may_have_run_at_nack: Option<usize>,
}

fn outs(sheet: &Sheet) -> Outs {
    let mut out: Vec<Out> = Vec::new();
    let mut began = 0;
    let mut may_have_run_at_nack = None;
    for (at, saw) in &sheet.seen {
        match *saw {
            Saw::Pushed(executor) => {
                out.push(Out { executor, came: *at, out_from: *at, ended: None, given_up: None });
            }
            Saw::Whole(executor) => {
                let open = |p: &&mut Out| p.executor == executor && p.ended.is_none();
                if let Some(p) = out.iter_mut().rev().find(open) {
                    p.out_from = *at;
                }
            }
            Saw::Began(_) => began += 1,
            Saw::Ended(executor, end) => {
                // Of two pushes to one executor the one that is not given up.
                let open = |p: &Out| p.executor == executor && p.ended.is_none();
                let live = out.iter().rposition(|p| open(p) && p.given_up.is_none());
                if let Some(at_push) = live.or_else(|| out.iter().rposition(open)) {
                    out[at_push].ended = Some((*at, end));
                }
            }
            Saw::GivenUp(executor) => {
                let open = |p: &&mut Out| p.executor == executor && p.given_up.is_none() && p.ended.is_none();
                if let Some(p) = out.iter_mut().find(open) {
                    p.given_up = Some(*at);
                }
            }
            Saw::Answered(Answer::Nacked(_)) => {
                // What is still out may run, and so may what was given up without a word.
                let harmless = |p: &&Out| p.ended.is_some_and(|(_, end)| end.never_ran());
                may_have_run_at_nack = out.iter().find(|p| !harmless(p)).map(|p| p.executor);
            }
            _ => {}
        }
    }
    Outs { out, began, may_have_run_at_nack }
}

/// How much later than its deadline a node that hardly runs may answer: such an answer earns nothing, and one that is
/// later still, or never comes, is lost.
const STARVED: Time = 5_000;

/// What the judge holds a day to.
pub struct Judge<'a> {
    plan: &'a Plan,
    /// What the clocks and the network may add to each limit.
    slack: Time,
    /// The same with what a slow way adds for a part of the fleet: of two pushes, or of a push and a call-off, each
    /// may have been longer on its way than the other, which no node can see.
    crossing: Time,
}

impl<'a> Judge<'a> {
    pub fn new(plan: &'a Plan, slack_ms: f64) -> Judge<'a> {
        let slower = plan
            .fault
            .iter()
            .filter(|fault| matches!(fault.what, What::Delay | What::Loss))
            .map(|fault| ms(fault.ms));
        Judge { plan, slack: ms(slack_ms), crossing: ms(slack_ms) + slower.sum::<Time>() }
    }

    /// Every broken rule of the day, the first of each op and rule, in order of rule and op.
    pub fn read(&self, ledger: &Ledger) -> Vec<Broken> {
        let mut broken = Vec::new();
        let mut began_before: HashMap<usize, Vec<usize>> = HashMap::new();
        for (op, sheet) in ledger.sheets.iter().enumerate() {
            let mut say = |rule: u8, what: String| {
                // The first of each rule: those of this op stand at the end.
                if !broken.iter().rev().take_while(|b: &&Broken| b.op == op).any(|b| b.rule == rule) {
                    broken.push(Broken { rule, op, what, line: self.time_line(ledger, op) });
                }
            };
            self.one_answer(ledger, sheet, &mut say);
            self.no_second_effect(ledger, sheet, &mut say);
            self.drains(ledger, sheet, &mut say);
            let began = sheet.seen.iter().filter(|(_, saw)| matches!(saw, Saw::Began(_))).count();
            if began > 0 && self.plan.category[sheet.category].effect == EffectName::AtMostOnce {
                let before = began_before.entry(sheet.job).or_default();
                if let Some(first) = before.first() {
                    say(2, format!("begun again by a client's retry, after op {first} had begun it"));
                }
                before.push(op);
            }
        }
        for fall in &ledger.falls {
            let span = seconds(self.plan.fleet.cold.tip_after_s);
            let sent = |sheet: &Sheet| {
                let recent = |(at, saw): &(Time, Saw)| {
                    *saw == Saw::Pushed(fall.executor) && *at > fall.at - span && *at <= fall.at
                };
                sheet.seen.iter().filter(|entry| recent(entry)).count()
            };
            let pushes: Vec<(usize, usize)> = ledger
                .sheets
                .iter()
                .enumerate()
                .map(|(op, sheet)| (op, sent(sheet)))
                .filter(|p| p.1 > 0)
                .collect();
            let mut nodes: Vec<usize> = pushes.iter().map(|(op, _)| ledger.sheets[*op].node).collect();
            nodes.sort_unstable();
            nodes.dedup();
            let op = pushes.last().map_or(0, |(op, _)| *op);
            let what = format!(
                "cold executor {} pushed over at {:.1} ms by {} pushes of {} nodes",
                fall.executor,
                fall.at as f64 / 10.0,
                pushes.iter().map(|p| p.1).sum::<usize>(),
                nodes.len()
            );
            broken.push(Broken { rule: 4, op, what, line: self.time_line(ledger, op) });
        }
        broken.sort_by_key(|b| (b.rule, b.op));
        broken
    }

    fn forbids_two(&self, sheet: &Sheet) -> bool {
        let at_most_once = self.plan.category[sheet.category].effect == EffectName::AtMostOnce;
        !self.plan.fleet.second_copies || at_most_once
    }

    /// The longest that two pushes of an op were out together where that is forbidden, and that op. It is told however
    /// short it is; only what is longer than a call-off can be on its way breaks the rule.
    pub fn longest_together(&self, ledger: &Ledger) -> (Time, usize) {
        let of = |(op, sheet): (usize, &Sheet)| {
            let Outs { out, .. } = outs(sheet);
            let pairs = (1..out.len()).flat_map(|b| (0..b).map(move |a| (a, b)));
            let longest = pairs.map(|(a, b)| together(&out[a], &out[b])).max().unwrap_or(0);
            (if self.forbids_two(sheet) { longest } else { 0 }, op)
        };
        ledger
            .sheets
            .iter()
            .enumerate()
            .map(of)
            .max_by_key(|(long, op)| (*long, std::cmp::Reverse(*op)))
            .unwrap_or((0, 0))
    }

    /// Rule 1: one final answer before the deadline, and nothing is sent for the op after it.
    fn one_answer(&self, ledger: &Ledger, sheet: &Sheet, say: &mut impl FnMut(u8, String)) {
        let starved = ledger.was_starved(sheet.node, sheet.asked, sheet.deadline + STARVED);
        let late = self.slack + if starved { STARVED } else { 0 };
        let answers: Vec<(Time, Answer)> = sheet
            .seen
            .iter()
            .filter_map(|(at, saw)| if let Saw::Answered(answer) = saw { Some((*at, *answer)) } else { None })
            .collect();
        let released = sheet.seen.iter().any(|(_, saw)| *saw == Saw::Released);
        match answers.first() {
            None if !released => say(1, "no answer".to_string()),
            Some((_, Answer::Nothing)) if !released => {
                say(1, "its connection ended with no answer".to_string())
            }
            Some((at, _)) if *at > sheet.deadline + late && !released => {
                say(1, "answered after its deadline".to_string())
            }
            _ => {}
        }
        if answers.len() > 1 {
            say(1, format!("answered {} times", answers.len()));
        }
        if let Some((answered, _)) = answers.first() {
            let after =
                |(at, saw): &&(Time, Saw)| matches!(saw, Saw::Pushed(_)) && *at > answered + self.crossing;
            if sheet.seen.iter().any(|entry| after(&entry)) {
                say(1, "pushed after its answer".to_string());
            }
        }
    }

    /// Rule 2: further pushes and nacks only where they are harmless, and never two at once where that is forbidden.
    fn no_second_effect(&self, ledger: &Ledger, sheet: &Sheet, say: &mut impl FnMut(u8, String)) {
        let category = &self.plan.category[sheet.category];
        let Outs { out, began, may_have_run_at_nack } = outs(sheet);
        let local = category.effect == EffectName::Deduplicated && category.group != Group::All;
        if let Some(executor) =
            may_have_run_at_nack.filter(|_| local || category.effect == EffectName::AtMostOnce)
        {
            say(2, format!("nacked, though executor {executor} may have run it"));
        }
        for (number, push) in out.iter().enumerate() {
            for before in &out[..number] {
                let told_never =
                    before.ended.is_some_and(|(at, end)| end.never_ran() && at <= push.came + self.slack);
                if together(before, push) > self.crossing && self.forbids_two(sheet) {
                    let (first, second) = (before.executor, push.executor);
                    say(2, format!("two pushes at once, at executors {first} and {second}"));
                }
                match category.effect {
                    _ if told_never => {}
                    EffectName::Redeliverable => {}
                    EffectName::AtMostOnce => {
                        let first = before.executor;
                        say(2, format!("pushed again, though executor {first} may have run it"));
                    }
                    EffectName::Deduplicated => {
                        let group = |x: usize| match category.group {
                            Group::All => 0,
                            Group::Domain => ledger.groups[x].0,
                            Group::Cell => ledger.groups[x].1,
                        };
                        if group(before.executor) != group(push.executor) {
                            let (first, second) = (before.executor, push.executor);
                            say(2, format!("resent outside its group, from executor {first} to {second}"));
                        }
                        if push.came > before.came + ms(category.window_ms) + self.crossing {
                            say(2, "resent after its window".to_string());
                        }
                    }
                }
            }
        }
        if category.effect == EffectName::AtMostOnce && began > 1 {
            say(2, format!("begun {began} times"));
        }
    }

    /// Rule 3: nothing new to an executor later than the grace after its node was told.
    fn drains(&self, ledger: &Ledger, sheet: &Sheet, say: &mut impl FnMut(u8, String)) {
        let grace = ms(self.plan.fleet.grace_ms) + self.slack;
        for (at, saw) in &sheet.seen {
            let Saw::Pushed(executor) = *saw else { continue };
            let by_hand = ledger.disabled.get(&(sheet.node, executor));
            let by_hand = by_hand.and_then(|all| all.iter().rfind(|(since, _)| *since <= *at));
            // What a node keeps may be lost to it by a fault; then it can't know, and that counts as a stale decision.
            let forgot = |since: Time| {
                ledger
                    .forgot
                    .get(&sheet.node)
                    .is_some_and(|all| all.iter().any(|f| (since..=*at).contains(f)))
            };
            let by_hand = by_hand.filter(|(since, _)| *at > since + self.slack && !forgot(*since));
            if let Some((since, true)) = by_hand {
                let late = (at - since) as f64 / 10.0;
                say(3, format!("pushed to executor {executor} {late:.1} ms after it was taken out by hand"));
            }
            let Some(told) = ledger.told.get(&(sheet.node, executor)) else { continue };
            // News on its way while the push was made is within the grace in any case.
            let Some((since, active)) = told.iter().rfind(|(since, _)| since <= at) else { continue };
            // A process that was started since has not been told by anyone.
            let told_it = *since >= ledger.started_by(sheet.node, *at);
            if !active && told_it && *at > since + grace {
                let late = (at - since) as f64 / 10.0;
                say(3, format!("pushed to executor {executor} {late:.1} ms after it was told to be leaving"));
            }
        }
    }

    /// What was seen of an op, an entry a line, in order of time.
    pub fn time_line(&self, ledger: &Ledger, op: usize) -> Vec<String> {
        let Some(sheet) = ledger.sheets.get(op) else { return Vec::new() };
        let category = &self.plan.category[sheet.category].name;
        let mut lines = vec![format!(
            "op {op}: job {}, category {category}, node n{}, deadline {:.1} ms",
            sheet.job,
            sheet.node,
            sheet.deadline as f64 / 10.0
        )];
        let mut seen = sheet.seen.clone();
        seen.sort_by_key(|(at, _)| *at);
        for (at, saw) in seen {
            let text = match saw {
                Saw::Asked => "asked".to_string(),
                Saw::Pushed(x) => format!("pushed to executor {x}"),
                Saw::Whole(x) => format!("whole at executor {x}"),
                Saw::Began(x) => format!("begun at executor {x}"),
                Saw::Ended(x, end) => format!("ended at executor {x}: {}", format!("{end:?}").to_lowercase()),
                Saw::GivenUp(x) => format!("given up at executor {x}"),
                Saw::Answered(Answer::Nacked(0)) => "nacked".to_string(),
                Saw::Answered(Answer::Nacked(after)) => {
                    format!("nacked, back in {:.1} ms", after as f64 / 10.0)
                }
                Saw::Answered(answer) => format!("answered: {}", format!("{answer:?}").to_lowercase()),
                Saw::Released => "released: its client or its node is gone".to_string(),
            };
            lines.push(format!("{:>12.1} ms  {text}", at as f64 / 10.0));
        }
        // The faults that were on at some moment of it, each with when it came and went.
        let (from, to) = (sheet.asked, sheet.seen.iter().map(|(at, _)| *at).max().unwrap_or(sheet.deadline));
        let mut open: Vec<(Time, &str)> = Vec::new();
        let mut shown = Vec::new();
        for (at, on, title) in &ledger.weather {
            if *on {
                open.push((*at, title));
            } else if let Some(begun) = open.iter().position(|(_, own)| own == title) {
                shown.push((open.remove(begun).0, Some(*at), title.as_str()));
            }
        }
        shown.extend(open.into_iter().map(|(at, title)| (at, None, title)));
        shown.retain(|(begun, ended, _)| *begun <= to && ended.is_none_or(|ended| ended >= from));
        shown.sort_by_key(|(begun, ..)| *begun);
        for (begun, ended, title) in shown {
            let ended = ended.map_or(String::new(), |at| format!("{:.1} ms", at as f64 / 10.0));
            lines.push(format!("  fault on from {:.1} ms to {ended}: {title}", begun as f64 / 10.0));
        }
        lines
    }
}
