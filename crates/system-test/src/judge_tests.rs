//! Made-up histories, each with one rule broken once: it must be found, and nothing else.

use super::{judge, message, Rule};
use crate::history::{
    Answered, Arrival, Ask, Call, Content, Drain, History, Isolation, Micros, Order, Read, Reading, Retry,
    Said, Seen, Sent, Take, Version, Work, SECOND,
};

const MS: Micros = 1000;

fn sent(id: &str, at: Micros) -> Sent {
    Sent {
        id: id.into(),
        prefix: "/a/".into(),
        target: format!("/a/{id}"),
        at,
        delay: 0,
        callback: true,
        edge: 0,
        idle: None,
        answered: Answered::Status(202),
        answered_at: at + MS,
        name: None,
    }
}

/// A further try with the key of "m1".
fn retry(at: Micros, status: u16) -> Retry {
    let answered = Answered::Status(status);
    Retry { id: "m1-1".into(), edge: 1, at, answered, answered_at: at + MS, name: None }
}

/// The first try of "m1" has no certain answer, and a further one is accepted.
fn accepted_by_retry(history: &mut History) {
    history.sent[0].answered = Answered::Status(502);
    history.retries.push(retry(10_020 * MS, 202));
}

fn run(id: &str, at: Micros, work: Work) -> Arrival {
    Arrival {
        id: id.into(),
        target: format!("/a/{}", message::first_id(id)),
        whole: true,
        service: "s".into(),
        server: "s-1".into(),
        at,
        ended: at + 10 * MS,
        work,
    }
}

/// At an executor that does not drain.
fn other(id: &str, at: Micros, work: Work) -> Arrival {
    Arrival { server: "s-2".into(), ..run(id, at, work) }
}

fn done(seal: &str) -> Work {
    Work::Done { seal: seal.into() }
}

fn complete(seal: &str) -> Said {
    Said::Complete { seal: seal.into() }
}

fn version(number: u64, at: Micros, routes: &[(&str, &str)]) -> Version {
    let held = routes.iter().map(|(prefix, service)| (prefix.to_string(), (service.to_string(), 2)));
    Version { number, sent: at, acked: Some(at + MS), routes: held.collect(), body: Vec::new() }
}

fn read(control: &str, at: Micros, version: Option<u64>) -> Read {
    let (answered_at, content) = (at + MS, Content::default());
    Read { round: 1, at, answered_at, control: control.into(), version, content }
}

/// Just what `version` makes: its body is empty, so all are one content.
const SENT: Ask = Ask::Replace(Content(0xcbf2_9ce4_8422_2325));

/// To a control node that has lost contact from 70 to 90 s.
fn order(at: Micros, ask: Ask, status: u16) -> Order {
    let status = Some(status);
    Order { at, answered_at: at + MS, control: "c-3".into(), ask, status, applied: None }
}

fn retire(at: Micros, status: u16) -> Order {
    order(at, Ask::Retire("store-1".into()), status)
}

/// Acknowledged at 5 s, and again at 68 s.
fn acknowledged_twice() -> Vec<Order> {
    [5, 68].into_iter().flat_map(|at| [order(at * SECOND, SENT, 200), retire(at * SECOND, 200)]).collect()
}

/// One message that was done, one that failed twice, one refused for good; an invalid order refused, a drain, a fault.
fn right() -> History {
    let mut history = History {
        versions: vec![version(1, 0, &[("/a/", "s")])],
        ceilings: vec![("s".into(), 2.0)],
        drains: vec![Drain { server: "s-1".into(), acked: 40 * SECOND }],
        troubles: vec![(60 * SECOND, 62 * SECOND)],
        takes: vec![Take { what: "a takeover".into(), took: Some(2 * SECOND), most: 5 * SECOND }],
        isolations: vec![Isolation { control: "c-3".into(), from: 70 * SECOND, to: 90 * SECOND }],
        orders: acknowledged_twice(),
        reads: vec![read("c-1", 90 * SECOND, Some(1)), read("c-2", 91 * SECOND, Some(1))],
        seen: vec![Seen { what: "an invalid one is refused".into(), right: true }],
        ..History::default()
    };
    let ends = [
        ("m1", vec![done("x")], complete("x")),
        ("m2", vec![Work::Failed, Work::Failed], Said::Failed),
        ("m3", vec![Work::NotRun(503), Work::Refused], Said::Failed),
    ];
    for (number, (id, works, said)) in ends.into_iter().enumerate() {
        let at = (10 + number as Micros) * SECOND;
        history.sent.push(sent(id, at));
        for (step, work) in works.into_iter().enumerate() {
            history.arrivals.push(run(id, at + (50 + step as Micros * 100) * MS, work));
        }
        history.calls.push(Call { id: id.into(), said: said.clone(), taken: true });
        history.readings.extend((0..3).map(|edge| Reading { id: id.into(), edge, said: said.clone() }));
    }
    history
}

type Change = fn(&mut History);

fn found(change: Change) -> Vec<Rule> {
    let mut history = right();
    change(&mut history);
    judge(&history).into_iter().map(|breach| breach.rule).collect()
}

/// What is changed in a history without a breach, and the rule that it then breaks.
const BREACHES: [(&str, Rule, Change); 66] = [
    ("never ended", Rule::Owed, |h| h.readings[0].said = Said::Waiting),
    ("forgotten", Rule::Lost, |h| h.readings[2].said = Said::Unknown),
    ("silence to who asks", Rule::Owed, |h| h.readings[1].said = Said::Nothing),
    ("nobody asked", Rule::Lost, |h| h.readings.retain(|r| r.id != "m2")),
    ("failed after one 500 of two", Rule::Lost, |h| {
        h.arrivals.retain(|a| a.work != Work::Failed || a.at < 11_100 * MS)
    }),
    ("failed with no run at all", Rule::Lost, |h| h.arrivals.retain(|a| a.id != "m3")),
    ("failed though it was done", Rule::Lost, |h| {
        h.readings.iter_mut().filter(|r| r.id == "m1").for_each(|r| r.said = Said::Failed);
    }),
    ("no call-back", Rule::Owed, |h| h.calls.retain(|c| c.id != "m1")),
    ("no call-back that was taken", Rule::Owed, |h| h.calls[0].taken = false),
    ("a seal of no run", Rule::Mixed, |h| h.readings[0].said = complete("y")),
    ("complete with no run that succeeded", Rule::Mixed, |h| {
        h.readings.iter_mut().filter(|r| r.id == "m2").for_each(|r| r.said = complete(""));
    }),
    ("a call-back with a seal of no run", Rule::Mixed, |h| h.calls[0].said = complete("y")),
    ("edges differ", Rule::Mixed, |h| {
        h.arrivals.push(run("m1", 10_051 * MS, done("z")));
        h.readings[1].said = complete("z");
    }),
    ("run after 503", Rule::Refused, |h| h.sent[0].answered = Answered::Status(503)),
    ("run after 429", Rule::Refused, |h| h.sent[1].answered = Answered::Status(429)),
    ("a further try was accepted under another name", Rule::Mixed, |h| {
        h.retries.push(Retry { name: Some("other".into()), ..retry(20 * SECOND, 202) });
    }),
    ("a further try runs after the first had succeeded", Rule::Key, |h| {
        h.retries.push(retry(20 * SECOND, 202));
        h.arrivals.push(run("m1-1", 20_050 * MS, done("z")));
    }),
    ("a further try runs beside the first", Rule::Key, |h| {
        h.retries.push(retry(10_020 * MS, 502));
        h.arrivals.push(other("m1-1", 10_055 * MS, done("z")));
    }),
    ("a further try runs, just after a fault that came just after the first had succeeded", Rule::Key, |h| {
        h.retries.push(retry(11 * SECOND, 202));
        h.troubles.push((10_500 * MS, 11 * SECOND));
        h.arrivals.push(other("m1-1", 14 * SECOND, done("z")));
    }),
    ("a further try runs, in a freeze of who had the first in hand", Rule::Key, |h| {
        h.retries.push(retry(11 * SECOND, 202));
        h.freezes.push((10_055 * MS, 14 * SECOND));
        h.arrivals.push(other("m1-1", 13 * SECOND, done("z")));
    }),
    ("a further try runs in the other half of a cut", Rule::Key, |h| {
        h.retries.push(retry(11 * SECOND, 202));
        h.halvings.push((10_500 * MS, 14 * SECOND));
        h.arrivals.push(other("m1-1", 12_900 * MS, done("z")));
    }),
    ("a further try runs after the first had failed once", Rule::Key, |h| {
        h.retries.push(retry(12_600 * MS, 202));
        h.retries[0].id = "m2-1".into();
        h.arrivals.push(other("m2-1", 12_700 * MS, Work::Failed));
    }),
    ("a further try was turned away, and runs", Rule::Refused, |h| {
        h.retries.push(retry(10_020 * MS, 503));
        h.arrivals[0].id = "m1-1".into();
    }),
    ("accepted by a further try, and forgotten", Rule::Lost, |h| {
        accepted_by_retry(h);
        h.readings[2].said = Said::Unknown;
    }),
    ("accepted by a further try, and nobody asked", Rule::Lost, |h| {
        accepted_by_retry(h);
        h.readings.retain(|r| r.id != "m1");
    }),
    ("a further try of a message that nobody sent", Rule::Unasked, |h| {
        h.arrivals.push(run("m9-1", 30 * SECOND, Work::Failed));
    }),
    ("nobody sent it", Rule::Unasked, |h| h.arrivals.push(run("m9", 30 * SECOND, Work::Failed))),
    ("another body", Rule::Unasked, |h| h.arrivals[0].whole = false),
    ("another path", Rule::Unasked, |h| h.arrivals[0].target = "/a/m2".into()),
    ("a service that no version allows", Rule::Route, |h| h.arrivals[0].service = "t".into()),
    ("an invalid one was acknowledged", Rule::Seen, |h| h.seen[0].right = false),
    ("a success runs again", Rule::Twice, |h| h.arrivals.push(run("m1", 10_500 * MS, done("z")))),
    ("a success runs again long after a fault", Rule::Twice, |h| {
        h.troubles.push((10_500 * MS, 11 * SECOND));
        h.arrivals.push(other("m1", 15_001 * MS, Work::Failed));
    }),
    ("a success of long before a fault runs again after it", Rule::Twice, |h| {
        h.arrivals.push(other("m1", 63 * SECOND, done("z")));
    }),
    ("what others ran while one was frozen runs again when it wakes", Rule::Twice, |h| {
        h.freezes.push((9_900 * MS, 12 * SECOND));
        h.arrivals.push(other("m1", 12_100 * MS, done("z")));
    }),
    ("what ended long before a freeze runs again in it", Rule::Twice, |h| {
        h.freezes.push((11_100 * MS, 14 * SECOND));
        h.arrivals.push(other("m1", 12 * SECOND, done("z")));
    }),
    ("what ended just before a freeze runs again long after it", Rule::Twice, |h| {
        h.freezes.push((10_500 * MS, 11 * SECOND));
        h.arrivals.push(other("m1", 15_001 * MS, done("z")));
    }),
    ("a success runs again while one is cut off", Rule::Twice, |h| {
        h.cuts.push((10 * SECOND, 14 * SECOND));
        h.arrivals.push(other("m1", 12 * SECOND, done("z")));
    }),
    ("what began long into a cut into halves runs again when they meet", Rule::Twice, |h| {
        h.halvings.push((7_800 * MS, 14 * SECOND));
        h.arrivals.push(other("m1", 14_100 * MS, done("z")));
    }),
    ("what ended just before a cut into halves runs again long after it", Rule::Twice, |h| {
        h.halvings.push((10_500 * MS, 11 * SECOND));
        h.arrivals.push(other("m1", 15_001 * MS, done("z")));
    }),
    ("what was acknowledged is not read back", Rule::Split, |h| {
        h.versions.push(version(2, 80 * SECOND, &[("/a/", "s")]));
        h.reads.truncate(1);
    }),
    ("other bytes are read back", Rule::Split, |h| h.reads[0].version = None),
    ("control nodes read back two versions", Rule::Split, |h| {
        let unclear = version(2, 80 * SECOND, &[("/a/", "s")]);
        h.versions.push(Version { acked: None, ..unclear });
        h.reads[0].version = Some(2);
    }),
    ("a version is read back, and later an older one", Rule::Split, |h| {
        let late = version(2, 92 * SECOND, &[("/a/", "s")]);
        h.versions.push(late);
        h.reads.push(Read { round: 2, ..read("c-1", 93 * SECOND, Some(1)) });
    }),
    ("a version is read at one node, and later an older one at another", Rule::Split, |h| {
        let unclear = version(2, 80 * SECOND, &[("/a/", "s")]);
        h.versions.push(Version { acked: None, ..unclear });
        h.reads = vec![read("c-1", 90 * SECOND, Some(2)), read("c-2", 91 * SECOND, Some(1))];
        h.reads[1].round = 0;
    }),
    ("two contents of one version are read back", Rule::Split, |h| h.reads[1].content = Content(7)),
    ("the same configuration is refused", Rule::Denied, |h| h.orders.push(order(69 * SECOND, SENT, 409))),
    ("the same order to retire finds nobody", Rule::Denied, |h| h.orders.push(retire(69 * SECOND, 404))),
    ("a content is said to be applied, another one is", Rule::Applied, |h| {
        h.orders[0].applied = Some(true);
    }),
    ("a change is acknowledged with no contact to the others", Rule::Stale, |h| {
        h.orders.push(order(71_501 * MS, Ask::Replace(Content(7)), 200));
    }),
    ("a change is refused with no contact to the others", Rule::Stale, |h| {
        h.orders.push(order(71_501 * MS, Ask::Replace(Content(7)), 409));
    }),
    ("a configuration is read with no contact to the others", Rule::Stale, |h| {
        h.orders.push(order(89 * SECOND, Ask::Read, 200));
    }),
    ("a store is unknown to who has no contact", Rule::Stale, |h| {
        h.orders.push(order(80 * SECOND, Ask::Retire("store-9".into()), 404));
    }),
    ("a message is turned away meanwhile", Rule::Shut, |h| {
        h.sent.push(Sent { answered: Answered::Status(503), ..sent("m9", 71 * SECOND) });
    }),
    ("a message is not answered in time meanwhile, beside a slow disk", Rule::Shut, |h| {
        h.slow_writes.push((70_800 * MS, 70_900 * MS));
        h.sent.push(Sent { answered: Answered::Status(504), ..sent("m9", 71 * SECOND) });
    }),
    ("a message is turned away meanwhile, long after a slow write", Rule::Shut, |h| {
        h.slow_writes.push((70_500 * MS, 70_700 * MS));
        h.sent.push(Sent { answered: Answered::Status(503), ..sent("m9", 71 * SECOND) });
    }),
    ("a draining is heard with no contact to the others, and does not hold", Rule::Drain, |h| {
        h.drains.push(Drain { server: "s-2".into(), acked: 75 * SECOND });
        h.arrivals.push(other("m1", 79 * SECOND, Work::NotRun(503)));
    }),
    ("before its delay is over", Rule::Early, |h| h.sent[0].delay = 200 * MS),
    ("the old service, after the new version", Rule::Config, |h| {
        h.versions.push(version(2, 5 * SECOND, &[("/a/", "t")]));
        h.reads.clear();
        h.arrivals.retain(|a| a.id == "m1");
        h.readings.retain(|r| r.id == "m1");
        h.sent.truncate(1);
        h.calls.truncate(1);
    }),
    ("a dropped route takes", Rule::Config, |h| {
        h.versions.push(version(2, 5 * SECOND, &[]));
        h.reads.clear();
        h.sent.truncate(1);
        h.arrivals.clear();
        h.calls.truncate(1);
        h.calls[0].said = Said::Failed;
        h.readings.retain(|r| r.id == "m1");
        h.readings.iter_mut().for_each(|r| r.said = Said::Failed);
        h.versions[1].acked = Some(6 * SECOND);
    }),
    ("no route where there is one", Rule::Config, |h| {
        h.sent.push(Sent { answered: Answered::Status(404), ..sent("m9", 20 * SECOND) });
    }),
    ("cut on a fresh connection", Rule::Cut, |h| {
        h.sent.push(Sent { answered: Answered::Cut, ..sent("m9", 20 * SECOND) });
    }),
    ("cut on a used connection, though it ran", Rule::Cut, |h| {
        h.sent.push(Sent { answered: Answered::Cut, idle: Some(SECOND), ..sent("m9", 20 * SECOND) });
        h.arrivals.push(run("m9", 20_100 * MS, done("z")));
    }),
    ("over the ceiling", Rule::Ceiling, |h| {
        let many = |n: Micros| other("m1", 70 * SECOND + n * 300 * MS, Work::NotRun(429));
        h.arrivals.extend((0..17).map(many));
    }),
    ("to one that drains", Rule::Drain, |h| h.arrivals.push(run("m1", 43_001 * MS, Work::NotRun(503)))),
    ("too slow", Rule::Bound, |h| h.takes[0].took = Some(6 * SECOND)),
];

#[test]
fn each_rule_that_is_broken_once_is_found_and_no_other() {
    assert_eq!(found(|_| {}), []);
    for (what, rule, change) in BREACHES {
        assert_eq!(found(change), [rule], "{what}");
    }
    assert_eq!(found(|h| h.takes[0].took = None), [Rule::Bound]);
}

#[test]
fn a_try_that_was_turned_away_and_runs_beside_the_first_breaks_two_rules() {
    let turned_away_and_run = |h: &mut History| {
        h.retries.push(retry(10_020 * MS, 503));
        h.arrivals.push(run("m1-1", 10_030 * MS, Work::Failed));
    };
    assert_eq!(found(turned_away_and_run), [Rule::Refused, Rule::Key]);
}

/// What is changed in a history without a breach, and leaves it without one.
const ALLOWED: [(&str, Change); 32] = [
    ("further tries have the name of the first, or are turned away", |h| {
        h.retries.extend([retry(10_020 * MS, 202), retry(20 * SECOND, 503), retry(30 * SECOND, 504)]);
    }),
    ("accepted by a further try, and run as the first", accepted_by_retry),
    ("accepted by a further try, and run as that", |h| {
        accepted_by_retry(h);
        h.arrivals[0].id = "m1-1".into();
    }),
    ("again, just after a fault that came just after it", |h| {
        h.troubles.push((10_500 * MS, 11 * SECOND));
        h.arrivals.push(other("m1", 14 * SECOND, done("z")));
    }),
    ("again, long after a fault that came before its answer can have been read", |h| {
        h.troubles.push((10_070 * MS, 11 * SECOND));
        h.arrivals.push(other("m1", 30 * SECOND, done("z")));
    }),
    ("again, while the first ran", |h| h.arrivals.push(run("m1", 10_055 * MS, done("z")))),
    ("again in a freeze of who had it in hand", |h| {
        h.freezes.push((10_055 * MS, 14 * SECOND));
        h.arrivals.push(other("m1", 13 * SECOND, done("z")));
    }),
    ("again in a freeze that came before its end was told", |h| {
        h.freezes.push((10_500 * MS, 14 * SECOND));
        h.arrivals.push(other("m1", 13 * SECOND, done("z")));
    }),
    ("one with no clear answer is in force everywhere", |h| {
        let unclear = version(2, 80 * SECOND, &[("/a/", "s")]);
        h.versions.push(Version { acked: None, ..unclear });
        h.reads.iter_mut().for_each(|r| r.version = Some(2));
    }),
    ("another round reads a newer one", |h| {
        h.versions.push(version(2, 92 * SECOND, &[("/a/", "s")]));
        h.reads.push(Read { round: 2, ..read("c-1", 93 * SECOND, Some(2)) });
    }),
    ("with no contact no clear answer, and one before the lease ended", |h| {
        let unclear = |status| Order { status, ..order(75 * SECOND, Ask::Read, 0) };
        h.orders.extend([unclear(Some(503)), unclear(None), order(71 * SECOND, Ask::Read, 200)]);
    }),
    ("another node, or one that is back in contact, answers", |h| {
        h.orders.push(Order { control: "c-1".into(), ..order(75 * SECOND, Ask::Read, 200) });
        h.orders.push(order(90 * SECOND, Ask::Read, 200));
    }),
    ("an order is refused that nobody acknowledged, or before it was", |h| {
        h.orders.push(order(69 * SECOND, Ask::Replace(Content(7)), 409));
        h.orders.push(retire(4 * SECOND, 404));
    }),
    ("what was acknowledged has no clear answer", |h| h.orders.push(retire(69 * SECOND, 503))),
    ("a content is said to be applied and is read back", |h| {
        h.orders[0].applied = Some(true);
        h.reads.iter_mut().for_each(|read| read.content = Content::of(&[]));
    }),
    ("a content is said not to be applied", |h| h.orders[0].applied = Some(false)),
    ("an older version in a read that overlaps one of a newer", |h| {
        let unclear = version(2, 80 * SECOND, &[("/a/", "s")]);
        h.versions.push(Version { acked: None, ..unclear });
        h.reads = vec![read("c-1", 90 * SECOND, Some(2)), read("c-2", 90 * SECOND, Some(1))];
        h.reads.iter_mut().for_each(|read| read.round = 0);
    }),
    ("a message is taken, or has no route, with a control node out of contact", |h| {
        h.isolations.push(Isolation { control: "c-4".into(), from: 9 * SECOND, to: 15 * SECOND });
    }),
    ("turned away with a control node out of contact, beside a slow disk", |h| {
        h.slow_writes.push((70_800 * MS, 70_900 * MS));
        h.sent.push(Sent { answered: Answered::Status(503), ..sent("m9", 71 * SECOND) });
    }),
    ("cut while one was frozen, or cut off", |h| {
        h.freezes.push((20 * SECOND, 21 * SECOND));
        h.cuts.push((30 * SECOND, 31 * SECOND));
        h.sent.push(Sent { answered: Answered::Cut, ..sent("m8", 20 * SECOND) });
        h.sent.push(Sent { answered: Answered::Cut, ..sent("m9", 30 * SECOND) });
    }),
    ("what ended just before a cut into halves runs again in the other half", |h| {
        h.halvings.push((10_500 * MS, 14 * SECOND));
        h.arrivals.push(other("m1", 12_900 * MS, done("z")));
    }),
    ("502 promises nothing", |h| h.sent[0].answered = Answered::Status(502)),
    ("cut while a machine was lost", |h| {
        h.sent.push(Sent { answered: Answered::Cut, ..sent("m9", 61 * SECOND) });
    }),
    ("closed before it was read", |h| {
        h.sent.push(Sent { answered: Answered::Cut, idle: Some(SECOND), ..sent("m9", 20 * SECOND) });
    }),
    ("closed before it was read, and run as a further try", |h| {
        accepted_by_retry(h);
        h.sent[0].answered = Answered::Cut;
        h.sent[0].idle = Some(15 * SECOND);
        h.arrivals[0].id = "m1-1".into();
    }),
    ("turned away, never run", |h| {
        h.sent.push(Sent { answered: Answered::Status(503), ..sent("m9", 20 * SECOND) });
    }),
    ("to one that drains, in time", |h| {
        h.arrivals.push(run("m1", 42_900 * MS, Work::NotRun(503)));
    }),
    ("421 of one that drains", |h| h.arrivals.push(run("m1", 50 * SECOND, Work::NotRun(421)))),
    ("just the ceiling", |h| {
        let many = |n: Micros| other("m1", 70 * SECOND + n * 300 * MS, Work::NotRun(429));
        h.arrivals.extend((0..16).map(many));
    }),
    ("the old service, soon after the new version", |h| {
        h.versions.push(version(2, 9 * SECOND, &[("/a/", "t")]));
        h.reads.clear();
    }),
    ("failed with a dropped route", |h| {
        h.versions.push(version(2, 9 * SECOND, &[]));
        h.reads.clear();
        h.arrivals.retain(|a| a.id != "m3");
    }),
    ("a call-back twice, one with the other seal", |h| {
        h.arrivals.push(run("m1", 10_055 * MS, done("z")));
        h.calls.push(Call { id: "m1".into(), said: complete("z"), taken: false });
    }),
];

#[test]
fn what_the_rules_allow_is_no_breach() {
    for (what, change) in ALLOWED {
        assert_eq!(found(change), [], "{what}");
    }
}

#[test]
fn an_end_that_nobody_knows_is_told_apart_from_a_message_that_is_lost() {
    let forgotten = |change: Change| {
        let mut history = right();
        change(&mut history);
        judge(&history).into_iter().map(|breach| (breach.rule, breach.end_forgotten)).collect::<Vec<_>>()
    };
    // The fault of this history comes at 60 s, long after all ends.
    assert_eq!(forgotten(|h| h.readings[2].said = Said::Unknown), [(Rule::Lost, true)]);
    assert_eq!(forgotten(|h| h.readings[4].said = Said::Nothing), [(Rule::Owed, true)]);
    assert_eq!(forgotten(|h| h.readings[0].said = Said::Waiting), [(Rule::Owed, false)]);
    assert_eq!(forgotten(|h| h.readings[0].said = complete("y")), [(Rule::Mixed, false)]);
    let with_no_fault = |h: &mut History| {
        h.readings[2].said = Said::Unknown;
        h.troubles.clear();
    };
    assert_eq!(forgotten(with_no_fault), [(Rule::Lost, false)]);
    let never_run = |h: &mut History| {
        h.arrivals.retain(|a| a.id != "m1");
        h.readings[2].said = Said::Unknown;
        h.readings.remove(0);
        h.readings.remove(0);
        h.calls.remove(0);
        h.sent[0].callback = false;
    };
    assert_eq!(forgotten(never_run), [(Rule::Lost, false)]);
}
