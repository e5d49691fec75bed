//! A judge that cannot fail is worth nothing: for each rule a policy that is wrong on purpose breaks it, is caught,
//! and the op is named with its time line. The module on the same days is not.

use stileroute_dispatch::policy::Dispatcher;
use stileroute_dispatch::types::{
    DispatchSettings, ListedExecutor, Op, OpRequest, Outcome, Push, Step, Time,
};
use stileroute_testbed::experiment::read;
use stileroute_testbed::plan::Plan;
use stileroute_testbed::policy::{Policy, Truth};
use stileroute_testbed::report::Played;
use stileroute_testbed::run::{play_simulated, play_with};

/// How a policy is wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wrong {
    /// Never gives some ops an answer.
    Silent,
    /// Sends again whatever failed, of any category.
    Resends,
    /// Nacks what may have run.
    Nacks,
    /// Sends a second copy while the first is out.
    Copies,
    /// Resends a deduplicated op wherever there is room.
    OutOfGroup,
    /// Resends a deduplicated op when its repeats are no longer dropped.
    TooLate,
    /// Goes on sending to executors that leave.
    Deaf,
    /// Sends everything to the executor that has started last.
    Crowds,
    /// Sends a push of its own for an op that has its answer.
    AfterAnswer,
}

/// Chooses turn by turn, and is wrong in one way.
struct Faulty {
    wrong: Wrong,
    lines: Vec<ListedExecutor>,
    turn: usize,
    held: Vec<Time>,
}

impl Faulty {
    fn send(&mut self, op: &mut Op) -> Step {
        if op.pushes.len() == 12 {
            op.closed = true;
            return Step::DeadLetter;
        }
        let newest =
            self.lines.iter().max_by_key(|line| line.started.unwrap_or(-1)).map(|line| line.executor);
        let may: Vec<usize> = self
            .lines
            .iter()
            .filter(|line| line.active || self.wrong == Wrong::Deaf)
            .map(|line| line.executor)
            .collect();
        if may.is_empty() {
            op.closed = true;
            return Step::Nack { retry_after: 0 };
        }
        self.turn += 1;
        let crowds = self.wrong == Wrong::Crowds;
        let executor = newest.filter(|x| crowds && may.contains(x)).unwrap_or(may[self.turn % may.len()]);
        let mut push = Push::default();
        push.executor = executor;
        op.pushes.push(push);
        Step::Push { executor }
    }
}

impl Policy for Faulty {
    fn arrive(&mut self, _now: Time, ask: OpRequest) -> Op {
        let mut op = Op::default();
        (op.category, op.deadline) = (ask.category, ask.deadline);
        op
    }
    fn place(&mut self, now: Time, op: &mut Op, _truth: &Truth) -> Step {
        if op.closed {
            if self.wrong == Wrong::AfterAnswer && op.pushes.len() == 1 {
                return self.send(op);
            }
            return Step::Wait;
        }
        if now + 100 >= op.deadline {
            if self.wrong == Wrong::Silent {
                return Step::Wait;
            }
            op.closed = true;
            return if op.pushes.is_empty() { Step::Nack { retry_after: 0 } } else { Step::DeadLetter };
        }
        let copies = self.wrong == Wrong::Copies && op.pushes.len() < 2;
        let failed = op.pushes.iter().any(|p| p.outcome.is_some_and(|o| !o.never_ran()));
        if op.out() && !copies {
            return Step::Wait;
        }
        match self.wrong {
            Wrong::Nacks if failed => {
                op.closed = true;
                Step::Nack { retry_after: 0 }
            }
            Wrong::TooLate if failed && !self.held.contains(&op.deadline) => {
                self.held.push(op.deadline);
                Step::Wait
            }
            Wrong::Resends | Wrong::OutOfGroup | Wrong::TooLate | Wrong::Copies => self.send(op),
            _ if failed => {
                op.closed = true;
                Step::DeadLetter
            }
            _ => self.send(op),
        }
    }
    fn settle(
        &mut self,
        now: Time,
        op: &mut Op,
        push: usize,
        outcome: Outcome,
        _values: &[f64],
        truth: &Truth,
    ) -> Step {
        op.pushes[push].outcome = Some(outcome);
        op.closed |= outcome == Outcome::Acked;
        self.place(now, op, truth)
    }
    fn wait(&self, now: Time, op: &Op) -> Time {
        if self.held.contains(&op.deadline) {
            return now + 3_000;
        }
        (op.deadline - 100).max(now + 100)
    }
    fn list(&mut self, _now: Time, whole: bool, lines: &[ListedExecutor]) {
        if whole {
            self.lines.clear();
        }
        for line in lines {
            self.lines.retain(|old| old.executor != line.executor);
            self.lines.push(*line);
        }
    }
}

fn day(effect: &str, more: &str) -> Plan {
    let text = format!(
        "name = 'day'\nseconds = 12.0\nseeds = [1]\n[fleet]\ndomains = ['a', 'b']\n[[fleet.kind]]\nname = 'k'\n\
         count = 6\nslots = 4.0\nspeed = [1.0, 1.0]\n[nodes]\ncount = 3\n[load]\npart = 0.5\nretries = 2\n\
         [[category]]\nname = 'c'\npart = 1.0\nwork-ms = 100.0\nspread = 0.3\ntarget-ms = 400.0\nttl-ms = 3000.0\n\
         effect = '{effect}'\nwindow-ms = 200.0\ngroup = 'domain'\n{more}"
    );
    read("day.toml", &text).unwrap().plan
}

const ERRORS: &str = "[[fault]]\nwhat = 'errors'\nfrom-s = 2.0\nfor-s = 8.0\npart = 0.3\n";
const HANG: &str = "[[fault]]\nwhat = 'hang'\nfrom-s = 2.0\nfor-s = 8.0\non = 'part:0.3'\n";
const RELEASE: &str = "[[fault]]\nwhat = 'release'\nfrom-s = 2.0\nfor-s = 9.0\n";

fn with(plan: &Plan, wrong: Wrong) -> Played {
    let make = |_: usize, _: &DispatchSettings, _: u64| -> Box<dyn Policy> {
        Box::new(Faulty { wrong, lines: Vec::new(), turn: 0, held: Vec::new() })
    };
    play_with(plan, 1, &make).unwrap()
}

#[test]
fn each_rule_is_broken_by_a_wrong_policy_and_caught() {
    let cases = [
        (Wrong::Silent, "at-most-once", HANG, 1, "no answer"),
        (Wrong::AfterAnswer, "redeliverable", "", 1, "pushed after its answer"),
        (Wrong::Resends, "at-most-once", ERRORS, 2, "pushed again, though executor"),
        (Wrong::Nacks, "at-most-once", ERRORS, 2, "nacked, though executor"),
        (Wrong::Copies, "redeliverable", "", 2, "two pushes at once, at executors"),
        (Wrong::OutOfGroup, "deduplicated", ERRORS, 2, "resent outside its group"),
        (Wrong::TooLate, "deduplicated", ERRORS, 2, "resent"),
        (Wrong::Deaf, "redeliverable", RELEASE, 3, "after it was told to be leaving"),
        (Wrong::Crowds, "redeliverable", RELEASE, 4, "pushed over at"),
    ];
    for (wrong, effect, more, rule, what) in cases {
        let plan = day(effect, more);
        let played = with(&plan, wrong);
        let found = played.broken.iter().find(|b| b.rule == rule && b.what.contains(what));
        let Some(found) = found else { panic!("{wrong:?} is not caught: {:?}", played.broken.first()) };
        // The op is named, and its line tells of it from the asking on.
        assert!(found.line[0].starts_with(&format!("op {}: ", found.op)), "{wrong:?}: {:?}", found.line);
        assert!(found.line[1].ends_with("asked") && found.line.len() > 2, "{wrong:?}: {:?}", found.line);
        // The module keeps all rules on the same day.
        let module = play_simulated(&plan, 1).unwrap();
        assert!(module.broken.is_empty() && module.jobs > 100, "{wrong:?}: {:?}", module.broken.first());
    }
    let late = with(&day("deduplicated", ERRORS), Wrong::TooLate);
    assert!(late.broken.iter().any(|b| b.what == "resent after its window"), "{:?}", late.broken.first());
    // A client that heeds a wrong nack makes the op begin twice.
    let twice = with(&day("at-most-once", ERRORS), Wrong::Nacks);
    assert!(twice.broken.iter().any(|b| b.what.contains("begun again by a client's retry")));
}

#[test]
fn a_killed_executor_and_a_restart_under_its_address_keep_the_rules() {
    // Killed between begin and answer, and back before the list, which is late or goes backward, tells of it.
    let kill = "[[fault]]\nwhat = 'killed'\nfrom-s = 3.0\nfor-s = 0.5\non = 'part:0.5'\n";
    let back = "[[fault]]\nwhat = 'list-backward'\nfrom-s = 4.0\nfor-s = 4.0\nms = 3000.0\n";
    for effect in ["at-most-once", "deduplicated", "redeliverable"] {
        let plan = day(effect, &format!("{kill}{back}"));
        let played = play_simulated(&plan, 3).unwrap();
        assert!(played.broken.is_empty(), "{effect}: {:?}", played.broken.first());
        // Some were lost between begin and answer: those of an at-most-once category are not tried again.
        assert_eq!(played.dead_lettered > 0, effect != "redeliverable", "{effect}: {played:?}");
    }
}

#[test]
fn an_answer_that_crosses_a_cancel_changes_nothing() {
    // Slow ways and impatient nodes: pushes are called off while their answers are on the way.
    let slow = "[[fault]]\nwhat = 'delay'\nfrom-s = 1.0\nfor-s = 10.0\non = 'part:0.3'\nms = 150.0\n\
                [[fault]]\nwhat = 'slow'\nfrom-s = 1.0\nfor-s = 10.0\non = 'part:0.3'\nfactor = 8.0\n";
    for effect in ["at-most-once", "deduplicated", "redeliverable"] {
        let played = play_simulated(&day(effect, slow), 2).unwrap();
        assert!(played.broken.is_empty(), "{effect}: {:?}", played.broken.first());
    }
    let played = play_simulated(&day("redeliverable", slow), 2).unwrap();
    assert!(played.pushes > played.acked, "nothing was called off: {} of {}", played.pushes, played.acked);
}

#[test]
fn a_day_begins_with_nothing_known() {
    let mut plan = day("redeliverable", "");
    plan.fleet.cold.at_start = true;
    let played = play_simulated(&plan, 1).unwrap();
    assert!(played.broken.is_empty() && played.acked > 0, "{:?}", played.broken.first());
    // The same days under the module itself, made by hand as a node makes it.
    let make = |_: usize, tariff: &DispatchSettings, seed: u64| -> Box<dyn Policy> {
        Box::new(Dispatcher::new(tariff, seed))
    };
    assert_eq!(play_with(&plan, 1, &make).unwrap(), played);
}
