//! The judge: finds what breaks a rule in what the stand-ins saw.

mod control;

use crate::history::{Answered, Arrival, History, Micros, Retry, Said, Sent, Version, Work, SECOND};
use crate::message;
use std::collections::HashMap;
use std::fmt;

/// A machine is in touch again so long after a fault.
const CONTACT: Micros = 4 * SECOND;
/// A configuration is in force everywhere so long after its acknowledgement.
const APPLY: Micros = 3 * SECOND;
const DRAIN: Micros = 3 * SECOND;
const WINDOW: Micros = 5 * SECOND;
const OVERRUN: f64 = 1.1;
const EARLY: Micros = SECOND / 10;
/// A connection may close without an answer within so long of a request: it may not have been read.
const SLACK: Micros = SECOND / 5;

/// One who is lost so soon after an answer may not have read it.
const UNREAD: Micros = SECOND / 20;
/// An end is on disk, or with the store that has the copy, so long after the answer.
const KNOWN: Micros = SECOND;

/// A store that neither the control nodes nor the other stores answer starts nothing so long after it lost them: their
/// connections count as lost after 1.6 s, it waits 0.4 s more, and a tenth is for what was under way (docs/system.md, "Fencing").
pub const FENCED: Micros = SECOND * 21 / 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Accepted, and gone, or said to have failed without a reason.
    Lost,
    Mixed,
    Refused,
    Unasked,
    Route,
    Seen,
    /// Two tries with one idempotency key both ran.
    Key,
    /// Control nodes differ, or what was acknowledged is not read back as it was sent, nor a higher one.
    Split,
    /// What was acknowledged is refused when it is sent again.
    Denied,
    /// An operator was told that a content is in force, and another one is.
    Applied,
    /// Accepted, and not done with in time: no end, no call-back, no answer to who asks.
    Owed,
    Twice,
    Early,
    Config,
    Cut,
    Ceiling,
    Drain,
    Bound,
    /// A control node with no contact to the others answers as if it knew what is current.
    Stale,
    /// A message was turned away while nothing but control nodes had no contact.
    Shut,
}

impl Rule {
    /// A machine that is too busy can be the reason: the rule counts time, or excuses by it.
    pub fn timed(self) -> bool {
        self >= Rule::Owed
    }
}

#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: Rule,
    /// What is wrong is only that nobody knows any more how a message ended, that had ended before a fault.
    pub end_forgotten: bool,
    pub at: Micros,
    pub evidence: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let rule = format!("{:?}", self.rule).to_uppercase();
        write!(f, "{rule} at {:.3} s: {}", self.at as f64 / SECOND as f64, self.evidence)?;
        if self.end_forgotten {
            f.write_str("; it had ended before a fault")?;
        }
        Ok(())
    }
}

/// All of one message, or of all tries with one key.
#[derive(Default)]
struct Life<'a> {
    sent: Option<&'a Sent>,
    retries: Vec<&'a Retry>,
    arrivals: Vec<&'a Arrival>,
    readings: Vec<(usize, &'a Said)>,
    calls: Vec<(&'a Said, bool)>,
}

impl Life<'_> {
    /// The try that was accepted, if one was: the first one, or a further one in its place.
    fn accepted(&self, first: &Sent) -> Option<Sent> {
        if first.answered == Answered::Status(202) {
            return Some(first.clone());
        }
        let accepted = self.retries.iter().find(|retry| retry.answered == Answered::Status(202))?;
        Some(Sent {
            at: accepted.at,
            edge: accepted.edge,
            answered: accepted.answered,
            answered_at: accepted.answered_at,
            name: accepted.name.clone(),
            ..first.clone()
        })
    }
}

struct Judge<'a> {
    history: &'a History,
    versions: Vec<&'a Version>,
    breaches: Vec<Breach>,
}

/// All breaches, in the order of their time.
pub fn judge(history: &History) -> Vec<Breach> {
    let mut versions: Vec<&Version> = history.versions.iter().collect();
    versions.sort_by_key(|version| version.number);
    let mut judge = Judge { history, versions, breaches: Vec::new() };
    let mut lives: HashMap<&str, Life> = HashMap::new();
    for sent in &history.sent {
        lives.entry(&sent.id).or_default().sent = Some(sent);
    }
    for retry in &history.retries {
        lives.entry(message::first_id(&retry.id)).or_default().retries.push(retry);
    }
    for arrival in &history.arrivals {
        lives.entry(message::first_id(&arrival.id)).or_default().arrivals.push(arrival);
    }
    for reading in &history.readings {
        lives.entry(message::first_id(&reading.id)).or_default().readings.push((reading.edge, &reading.said));
    }
    for call in &history.calls {
        lives.entry(message::first_id(&call.id)).or_default().calls.push((&call.said, call.taken));
    }
    for (id, life) in &mut lives {
        life.arrivals.sort_by_key(|arrival| arrival.at);
        match life.sent {
            Some(sent) => judge.message(sent, life),
            None => {
                let at = life.arrivals.first().map_or(0, |arrival| arrival.at);
                judge.add(Rule::Unasked, at, format!("{id}: nobody sent it"));
            }
        }
    }
    judge.ceilings();
    judge.drains();
    judge.control();
    for take in &history.takes {
        match take.took {
            Some(took) if took <= take.most => {}
            Some(took) => {
                let (took, most) = (took / 1000, take.most / 1000);
                judge.add(Rule::Bound, 0, format!("{} took {took} ms, {most} are allowed", take.what));
            }
            None => judge.add(Rule::Bound, 0, format!("{} never came", take.what)),
        }
    }
    for seen in history.seen.iter().filter(|seen| !seen.right) {
        judge.add(Rule::Seen, 0, seen.what.clone());
    }
    judge.breaches.sort_by(|a, b| (a.at, a.rule, &a.evidence).cmp(&(b.at, b.rule, &b.evidence)));
    judge.breaches
}

impl Judge<'_> {
    fn add(&mut self, rule: Rule, at: Micros, evidence: String) {
        self.breaches.push(Breach { rule, end_forgotten: false, at, evidence });
    }

    /// Its runs had ended it, and a fault came after.
    fn ended_before_a_fault(&self, sent: &Sent, runs: &[&Arrival]) -> bool {
        let fails = runs.iter().filter(|run| run.work == Work::Failed).count() as u32;
        let held = self.versions.iter().filter_map(|v| v.routes.get(&sent.prefix));
        let tries = held.map(|(_, tries)| *tries).min().unwrap_or(u32::MAX);
        let last = runs.last().map_or(Micros::MAX, |run| run.ended);
        let done = |run: &&&Arrival| run.seal().is_some() || run.work == Work::Refused;
        let ended = runs.iter().find(done).map(|run| run.ended).or((fails >= tries).then_some(last));
        let faults = &self.history.troubles;
        ended.is_some_and(|ended| faults.iter().any(|(begin, _)| ended + KNOWN < *begin))
    }

    /// No fault on any machine in a span, nor so shortly before that it still counts.
    fn calm(&self, from: Micros, to: Micros) -> bool {
        let History { troubles, freezes, cuts, halvings, .. } = self.history;
        let mut faults = troubles.iter().chain(freezes).chain(cuts).chain(halvings);
        !faults.any(|(begin, end)| *begin <= to && *end + CONTACT >= from)
    }

    fn message(&mut self, sent: &Sent, life: &Life) {
        let id = &sent.id;
        for arrival in &life.arrivals {
            if arrival.target != sent.target || !arrival.whole {
                let what = format!("{id}: changed on its way to {}", arrival.server);
                self.add(Rule::Unasked, arrival.at, what);
            }
        }
        let runs: Vec<&Arrival> = life.arrivals.iter().copied().filter(|arrival| arrival.ran()).collect();
        self.refused(sent, life, &runs);
        self.routes(sent, &runs);
        if !self.two_tries_ran(sent, &runs) {
            self.twice(sent, &runs);
        }
        if let Some(run) = runs.first().filter(|run| run.at + EARLY < sent.at + sent.delay) {
            let short = (sent.at + sent.delay - run.at) / 1000;
            self.add(Rule::Early, run.at, format!("{id}: run {short} ms before its delay was over"));
        }
        self.cut(sent, &runs);
        self.one_name(sent, life);
        if let Some(accepted) = life.accepted(sent) {
            self.end(&accepted, life, &runs);
        }
    }

    /// What was turned away for sure never runs, whatever becomes of other tries with its key.
    fn refused(&mut self, sent: &Sent, life: &Life, runs: &[&Arrival]) {
        let retries = life.retries.iter().map(|retry| (&retry.id, retry.answered));
        for (id, answered) in [(&sent.id, sent.answered)].into_iter().chain(retries) {
            // 502 and 504 promise nothing.
            let Answered::Status(status) = answered else { continue };
            let run = runs.iter().find(|run| run.id == *id && !matches!(status, 202 | 502 | 504));
            if let Some(run) = run {
                let what = format!("{id}: answered {status}, yet run by {}", run.server);
                self.add(Rule::Refused, run.at, what);
            }
        }
    }

    /// All tries with one key are one message, which has one name.
    fn one_name(&mut self, sent: &Sent, life: &Life) {
        let is_accepted = |retry: &&&Retry| retry.answered == Answered::Status(202);
        let accepted = life.accepted(sent);
        let other = life
            .retries
            .iter()
            .filter(is_accepted)
            .find(|retry| accepted.as_ref().is_some_and(|accepted| accepted.name != retry.name));
        if let (Some(accepted), Some(other)) = (accepted, other) {
            let (name, other_name) = (accepted.name, &other.name);
            let what = format!("{}: accepted as {name:?}, and with its key as {other_name:?}", sent.id);
            self.add(Rule::Mixed, other.answered_at, what);
        }
    }

    /// Of all tries with one key only one runs, whatever its attempts come to and whichever faults are near. Whether two did.
    fn two_tries_ran(&mut self, sent: &Sent, runs: &[&Arrival]) -> bool {
        let Some(first) = runs.first() else { return false };
        let Some(other) = runs.iter().find(|run| run.id != first.id) else { return false };
        let what = format!("{} and {} both ran; {}", first.id, other.id, story(sent, runs));
        self.add(Rule::Key, other.at, what);
        true
    }

    /// Run by a service, taken or turned away as a version that may be in force allows.
    fn routes(&mut self, sent: &Sent, runs: &[&Arrival]) {
        let acked = self.versions.iter().filter(|v| v.acked.is_some_and(|at| at + APPLY <= sent.at));
        let floor = acked.map(|v| v.number).max().unwrap_or(0);
        let allows = |service: &str, from: u64| {
            let held = self.versions.iter().filter(|v| v.number >= from);
            held.filter_map(|v| v.routes.get(&sent.prefix)).any(|(name, _)| name == service)
        };
        let mut found = Vec::new();
        for run in runs {
            if !allows(&run.service, 0) {
                found.push((Rule::Route, run.at, format!("{}: run by service {}", sent.id, run.service)));
            } else if !allows(&run.service, floor) {
                let what = format!(
                    "{}: sent over 3 s after version {floor}, run by service {} of an older one",
                    sent.id, run.service
                );
                found.push((Rule::Config, run.at, what));
            }
        }
        let held: Vec<bool> = self
            .versions
            .iter()
            .filter(|v| v.number >= floor && v.sent <= sent.answered_at)
            .map(|v| v.routes.contains_key(&sent.prefix))
            .collect();
        let older = match sent.answered {
            Answered::Status(202) => !held.contains(&true),
            Answered::Status(404) => !held.contains(&false),
            _ => false,
        };
        if older && !held.is_empty() {
            let what = format!(
                "{}: {} answered {:?} over 3 s after version {floor} said otherwise",
                sent.id, sent.prefix, sent.answered
            );
            found.push((Rule::Config, sent.answered_at, what));
        }
        found.into_iter().for_each(|(rule, at, what)| self.add(rule, at, what));
    }

    /// A success that could be known by then is not run again, whatever has gone wrong since; one that could not may be,
    /// as long as the fault is near.
    fn twice(&mut self, sent: &Sent, runs: &[&Arrival]) {
        let Some(first) = runs.iter().filter(|run| run.seal().is_some()).min_by_key(|run| run.ended) else {
            return;
        };
        let Some(again) = runs.iter().find(|run| run.at > first.ended) else { return };
        let excused = self.history.troubles.iter().any(|(begin, end)| {
            let unread = first.ended + UNREAD >= *begin && first.ended <= *end;
            let near = first.ended + KNOWN >= *begin && again.at <= *end + CONTACT;
            *begin <= again.at && (unread || near)
        });
        // Who is frozen has in hand what it had, and no more: what others ran meanwhile it must not run when it wakes.
        let frozen = self.history.freezes.iter().any(|(begin, end)| {
            let begun = first.at <= *begin + UNREAD && first.ended + KNOWN >= *begin;
            begun && *begin <= again.at && again.at <= *end + CONTACT
        });
        // What the smaller half began before it knew that others may take over, it can't tell them.
        let halved = self.history.halvings.iter().any(|(begin, end)| {
            let untold = first.at <= *begin + FENCED && first.ended + KNOWN >= *begin;
            untold && *begin <= again.at && again.at <= *end + CONTACT
        });
        // One that was cut off lives and keeps what it owns: nothing is excused by that.
        if !excused && !frozen && !halved {
            let ms = (again.at - first.ended) / 1000;
            let what = format!("run by {} {ms} ms after its success; {}", again.server, story(sent, runs));
            self.add(Rule::Twice, again.at, what);
        }
    }

    /// A connection that was used before may be closed just as a request is sent on it, which nobody reads then. A run of this try
    /// shows that it was read; one of a further try with its key does not.
    fn cut(&mut self, sent: &Sent, runs: &[&Arrival]) {
        if !matches!(sent.answered, Answered::Cut | Answered::Late) || !self.calm(sent.at, sent.answered_at) {
            return;
        }
        let has_run = runs.iter().any(|run| run.id == sent.id);
        let read = has_run || sent.answered_at > sent.at + SLACK;
        if read || sent.idle.is_none() {
            let connection = sent.idle.map_or("a new connection".to_string(), |idle| {
                format!("a connection that was idle for {} ms", idle / 1000)
            });
            let what = format!(
                "{}: edge {} gave no answer on {connection} ({:?} after {} ms); {}",
                sent.id,
                sent.edge + 1,
                sent.answered,
                (sent.answered_at - sent.at) / 1000,
                story(sent, runs)
            );
            self.add(Rule::Cut, sent.answered_at, what);
        }
    }

    /// One that was accepted ends once, and as the runs say.
    fn end(&mut self, sent: &Sent, life: &Life, runs: &[&Arrival]) {
        let id = &sent.id;
        let at = runs.last().map_or(sent.answered_at, |run| run.ended);
        let name = sent.name.as_deref().unwrap_or("no name");
        let mut told: Vec<(String, &Said)> =
            life.readings.iter().map(|(edge, said)| (format!("edge {}", edge + 1), *said)).collect();
        told.extend(life.calls.iter().map(|(said, _)| ("its call-back".to_string(), *said)));
        if life.readings.is_empty() {
            self.add(Rule::Lost, at, format!("{id} ({name}): nobody was asked what became of it"));
        }
        let mut first: Option<&(String, &Said)> = None;
        for one @ (who, said) in &told {
            let fault = match said {
                Said::Complete { seal } if runs.iter().any(|run| run.seal() == Some(seal)) => None,
                Said::Complete { seal } => {
                    Some((Rule::Mixed, format!("complete with {seal:?}, which no run gave")))
                }
                Said::Failed if self.may_fail(sent, runs) => None,
                Said::Failed => Some((Rule::Lost, "failed, and nothing that happened allows it".to_string())),
                Said::Waiting => Some((Rule::Owed, "still waiting at the end".to_string())),
                Said::Unknown => Some((Rule::Lost, "unknown, though it was answered 202".to_string())),
                Said::Nothing => Some((Rule::Owed, "no answer to who asks for it".to_string())),
            };
            if let Some((rule, what)) = fault {
                self.add(rule, at, format!("{who} says {what}; {}", story(sent, runs)));
                let unknown = matches!(said, Said::Unknown | Said::Nothing);
                let forgotten = unknown && self.ended_before_a_fault(sent, runs);
                self.breaches.iter_mut().rev().take(1).for_each(|breach| breach.end_forgotten = forgotten);
                return;
            }
            match first {
                None => first = Some(one),
                // One that ran twice has two seals; edges agree on one, a call-back may carry either.
                Some((_, other))
                    if *other != *said && !(who == "its call-back" && both_complete(other, said)) =>
                {
                    let what = format!("{id} ({name}): {who} says {said:?}, another said {other:?}");
                    self.add(Rule::Mixed, at, what);
                    return;
                }
                Some(_) => {}
            }
        }
        if sent.callback && !life.calls.iter().any(|(_, taken)| *taken) {
            self.add(Rule::Owed, at, format!("its call-back never came; {}", story(sent, runs)));
        }
    }

    /// Refused for good, failed as often as it may, or its route was dropped.
    fn may_fail(&self, sent: &Sent, runs: &[&Arrival]) -> bool {
        let fails = runs.iter().filter(|run| run.work == Work::Failed).count() as u32;
        let held = || self.versions.iter().filter_map(|v| v.routes.get(&sent.prefix));
        let tries = held().map(|(_, tries)| *tries).min().unwrap_or(u32::MAX);
        let dropped = self.versions.iter().any(|v| {
            let newer = self.versions.iter().filter(|n| n.number > v.number && n.acked.is_some());
            let after = newer.filter_map(|n| n.acked).min();
            !v.routes.contains_key(&sent.prefix) && after.is_none_or(|at| at > sent.at)
        });
        runs.iter().any(|run| run.work == Work::Refused) || fails >= tries || dropped
    }

    fn ceilings(&mut self) {
        for (service, rate) in &self.history.ceilings {
            let mut times: Vec<Micros> =
                self.history.arrivals.iter().filter(|a| a.service == *service).map(|a| a.at).collect();
            times.sort_unstable();
            let most = rate * (WINDOW / SECOND) as f64 * OVERRUN + 5.0;
            let mut from = 0;
            for (at, time) in times.iter().enumerate() {
                while times[from] + WINDOW <= *time {
                    from += 1;
                }
                let count = at - from + 1;
                if count as f64 > most {
                    let what = format!("{service}: {count} in 5 s, {most:.0} are allowed");
                    self.add(Rule::Ceiling, *time, what);
                    break;
                }
            }
        }
    }

    fn drains(&mut self) {
        for drain in &self.history.drains {
            let after = drain.acked + DRAIN;
            let mut late: Vec<&Arrival> = self.history.arrivals.iter().collect();
            late.retain(|a| a.server == drain.server && a.at > after && a.work != Work::NotRun(421));
            late.retain(|a| self.calm(a.at, a.at));
            if let Some(first) = late.iter().min_by_key(|a| a.at) {
                let ms = (first.at - drain.acked) / 1000;
                let what =
                    format!("{} came to {} {ms} ms after its draining was heard", first.id, drain.server);
                self.add(Rule::Drain, first.at, what);
            }
        }
    }
}

/// What is known of a message, for those who look for the reason.
pub fn story(sent: &Sent, runs: &[&Arrival]) -> String {
    let ms = |at: Micros| at as f64 / 1000.0;
    let runs: Vec<String> = runs
        .iter()
        .map(|run| {
            format!("{} by {} {:.1}-{:.1} {:?}", run.id, run.server, ms(run.at), ms(run.ended), run.work)
        })
        .collect();
    format!(
        "{} ({}) to edge {} at {:.1}, {:?} at {:.1}, delay {}; runs: {}",
        sent.id,
        sent.name.as_deref().unwrap_or("no name"),
        sent.edge + 1,
        ms(sent.at),
        sent.answered,
        ms(sent.answered_at),
        sent.delay / 1000,
        runs.join(", ")
    )
}

fn both_complete(one: &Said, other: &Said) -> bool {
    matches!((one, other), (Said::Complete { .. }, Said::Complete { .. }))
}

#[cfg(test)]
#[path = "judge_tests.rs"]
mod tests;
