//! Two control nodes and those that ask them, with a clock of the test's own.

use assert_matches::assert_matches;
use std::net::{Ipv4Addr, SocketAddrV4};
use stileroute_registry::*;

fn member(node: Node, class: Class) -> Member {
    let control = (class == Class::Core).then(|| SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9000 + node as u16));
    let ip = Ipv4Addr::LOCALHOST;
    Member {
        node,
        name: format!("n{node}"),
        class,
        zone: "z".into(),
        ip,
        life: 1,
        control,
        config: 0,
        retiring: Retiring::No,
    }
}

fn heartbeat(id: &str, port: u16, count: u64, standing: Standing) -> Heartbeat {
    Heartbeat {
        id: id.into(),
        backend: "s".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        zone: "z".into(),
        capacity: 4,
        standing,
        cold_left_ms: 3000,
        call_count: count,
        age_ms: 0,
    }
}

/// A control node that knows enough to tell, at 3 s.
fn ready() -> Registry {
    let mut registry = Registry::new(member(1, Class::Core), 77, 1200, 0);
    registry.tick(3000, true, None);
    registry.take();
    registry
}

fn news(effects: Vec<Effect>, node: Node) -> Option<News> {
    effects.into_iter().find_map(|e| match e {
        Effect::News { to, news } if to == node => Some(news),
        _ => None,
    })
}

/// Asks as a node does that has `had`, and gives what it is told by `until`.
fn ask(
    registry: &mut Registry,
    now: Millis,
    node: Member,
    had: Option<&News>,
    until: Millis,
) -> Option<News> {
    let id = node.node;
    let (life, version) = had.map_or((0, 0), |n| (n.life, n.version));
    registry.asked(now, node, life, version);
    registry.tick(now, true, None);
    let mut told = news(registry.take(), id);
    if told.is_none() {
        registry.tick(until, true, None);
        told = news(registry.take(), id);
    }
    told
}

fn ids(news: &News) -> Vec<(String, Standing)> {
    let mut all: Vec<_> = news.servers.iter().map(|b| (b.id.clone(), b.standing)).collect();
    all.sort_by(|a, b| a.0.cmp(&b.0));
    all
}

#[test]
fn calls_are_merged_by_their_count() {
    use Standing::*;
    // (what comes, one after the other) -> what a store that knows nothing is told
    type Case<'a> = (&'a [Heartbeat], &'a [(&'a str, Standing)]);
    let cases: [Case; 6] = [
        (&[heartbeat("a", 1, 1, Serving)], &[("a", Serving)]),
        (&[heartbeat("a", 1, 2, Draining), heartbeat("a", 1, 1, Serving)], &[("a", Draining)]),
        (&[heartbeat("a", 1, 1, Serving), heartbeat("a", 1, 1, Gone), heartbeat("a", 1, 1, Serving)], &[]),
        (&[heartbeat("a", 1, 1, Gone), heartbeat("a", 1, 2, Serving)], &[("a", Serving)]),
        // Another life at the address ends the one before.
        (&[heartbeat("a", 1, 9, Serving), heartbeat("b", 1, 1, Serving)], &[("b", Serving)]),
        (&[heartbeat("a", 1, 9, Serving), heartbeat("b", 2, 1, Serving)], &[("a", Serving), ("b", Serving)]),
    ];
    for (number, (heartbeats, want)) in cases.iter().enumerate() {
        let mut registry = ready();
        heartbeats.iter().for_each(|b| registry.heartbeat(3000, b.clone()));
        let told = ask(&mut registry, 3001, member(9, Class::Store), None, 4000).expect("news");
        let want: Vec<(String, Standing)> = want.iter().map(|(id, s)| (id.to_string(), *s)).collect();
        assert_eq!(ids(&told), want, "case {number}");
    }
}

#[test]
fn a_change_is_told_at_once_and_only_what_is_newer() {
    let mut registry = ready();
    registry.heartbeat(3000, heartbeat("a", 1, 1, Standing::Serving));
    let first = ask(&mut registry, 3001, member(9, Class::Store), None, 3001).expect("all at once");
    assert!(first.whole && first.members.is_some());
    // Nothing new: held, then answered with nothing.
    let none =
        ask(&mut registry, 3010, member(9, Class::Store), Some(&first), 3010 + HOLD).expect("after a while");
    assert!(none.servers.is_empty() && none.members.is_none() && !none.whole);
    registry.asked(4000, member(9, Class::Store), none.life, none.version);
    registry.tick(4001, true, None);
    assert_matches!(news(registry.take(), 9), None);
    registry.heartbeat(4002, heartbeat("a", 1, 2, Standing::Draining));
    registry.tick(4002, true, None);
    let effects = registry.take();
    assert!(effects
        .iter()
        .any(|e| matches!(e, Effect::TellHeartbeats(all) if all[0].standing == Standing::Draining)));
    assert_eq!(ids(&news(effects, 9).expect("at once")), [("a".to_string(), Standing::Draining)]);
    // An edge is told of no executors.
    let edge = ask(&mut registry, 4100, member(8, Class::Edge), None, 5000).expect("news");
    assert!(edge.servers.is_empty());
}

#[test]
fn a_control_node_that_has_just_begun_tells_no_shorter_list() {
    let mut registry = Registry::new(member(1, Class::Core), 78, 1200, 0);
    registry.heartbeat(10, heartbeat("a", 1, 5, Standing::Serving));
    let had = News { life: 77, version: 40, ..News::default() };
    let told = ask(&mut registry, 20, member(9, Class::Store), Some(&had), 20 + HOLD).expect("after a while");
    assert_eq!((told.life, told.version, told.whole, told.members), (77, 40, false, None));
    // One that knows nobody takes what there is.
    let told = ask(&mut registry, 1000, member(8, Class::Store), None, 1000).expect("at once");
    assert!(told.whole && told.servers.len() == 1);
    // With the table of another control node, or after an interval of heartbeats, it is whole.
    registry.told_heartbeats(
        1001,
        vec![heartbeat("a", 1, 5, Standing::Serving), heartbeat("b", 2, 5, Standing::Serving)],
    );
    registry.tick(1400, true, None);
    registry.take();
    let told = ask(&mut registry, 1401, member(9, Class::Store), Some(&had), 1401).expect("at once");
    assert!(told.whole && told.servers.len() == 2);
}

#[test]
fn silence_ends_an_executor_but_not_where_this_node_is_the_one_that_is_cut_off() {
    for (in_touch, want) in [(true, 0), (false, 1)] {
        let mut registry = ready();
        registry.heartbeat(3000, heartbeat("a", 1, 1, Standing::Serving));
        for now in (3000..9000).step_by(100) {
            registry.tick(now, in_touch, None);
        }
        let serving = registry.executors().filter(|k| k.heartbeat.standing == Standing::Serving).count();
        assert_eq!(serving, want, "in touch: {in_touch}");
    }
}

#[test]
fn one_that_hears_no_primary_says_so_and_tells_nothing_old() {
    let mut registry = ready();
    let first = ask(&mut registry, 3001, member(9, Class::Edge), None, 3001).expect("news");
    registry.asked(3100, member(9, Class::Edge), first.life, first.version);
    registry.tick(3100 + CUT, false, None);
    assert!(news(registry.take(), 9).expect("soon").cut_off);
    // A configuration that the node lacks is told all the same: it is in force, however old.
    registry.asked(4000, member(9, Class::Edge), first.life, first.version);
    registry.tick(4000 + CUT, false, Some((3, b"{}")));
    let told = news(registry.take(), 9).expect("soon");
    assert!(!told.cut_off && told.config.is_some());
}

#[test]
fn a_store_is_a_member_while_a_session_stands_anywhere_and_a_little_longer() {
    let (mut here, mut there) = (ready(), ready());
    let stores = |r: &Registry| r.members.iter().filter(|m| m.class == Class::Store).count();
    here.asked(3000, member(9, Class::Store), 0, 0);
    here.tick(3000, true, None);
    let sessions = here.take().into_iter().find_map(|e| match e {
        Effect::TellSessions(all) => Some(all),
        _ => None,
    });
    there.told_sessions(3001, 1, sessions.expect("told at once"));
    there.tick(3001, true, None);
    assert_eq!((stores(&here), stores(&there)), (1, 1));
    here.session_down(3100, 9);
    here.tick(3100 + GRACE - 100, true, None);
    assert_eq!(stores(&here), 1);
    here.tick(3100 + GRACE + 300, true, None);
    // Told as soon as it counts no more; and with no word of the node that told it, it counts as long as that is heard.
    let told = here.take().into_iter().any(|e| matches!(e, Effect::TellSessions(all) if all.is_empty()));
    assert!(told);
    there.core_heard(1, 4000);
    there.tick(4000 + GRACE + TELL - 1, true, None);
    assert_eq!((stores(&here), stores(&there)), (0, 1));
    there.tick(4000 + GRACE + TELL + 300, true, None);
    assert_eq!(stores(&there), 0);
    // Back within the time nobody is told of anything.
    here.asked(6000, member(9, Class::Store), 0, 0);
    here.tick(6000, true, None);
    let before = here.take().len();
    here.session_down(6100, 9);
    here.asked(6500, member(9, Class::Store), 77, u64::MAX);
    here.tick(6500, true, None);
    assert!(before > 0 && stores(&here) == 1);
}

#[test]
fn a_store_that_is_to_be_emptied_counts_as_one_that_goes_whoever_tells_of_it() {
    let mut registry = ready();
    let store = |node, retiring| Member { retiring, ..member(node, Class::Store) };
    for node in [7, 8, 9] {
        registry.asked(3000, store(node, Retiring::No), 0, 0);
    }
    registry.tick(3000, true, None);
    assert_eq!(registry.stay_without(|node| node == 7).count(), 2);
    // Ordered, and not yet confirmed: who asks names it with the one that is to go.
    assert_eq!(registry.stay_without(|node| [7, 8].contains(&node)).count(), 1);
    // It has its session here, and another control node tells of the one that it had before.
    registry.asked(6100, store(8, Retiring::Rolling), 0, 0);
    registry.told_sessions(6101, 2, vec![store(8, Retiring::No), store(9, Retiring::No)]);
    registry.tick(6101, true, None);
    assert_eq!(registry.store("n8").map(|m| m.retiring), Some(Retiring::Rolling));
    assert_eq!(registry.stay_without(|node| node == 7).count(), 1);
    registry.asked(6200, store(8, Retiring::Complete), 0, 0);
    registry.told_sessions(6201, 2, vec![store(8, Retiring::Rolling)]);
    registry.tick(6201, true, None);
    assert_eq!(registry.store("n8").map(|m| m.retiring), Some(Retiring::Complete));
}

#[test]
fn what_is_told_does_not_grow_with_the_square_of_the_fleet() {
    // Sessions that come one a millisecond: each list told holds all, so they are told of together.
    let mut registry = ready();
    let (mut lists, mut entries) = (0, 0);
    let mut count = |registry: &mut Registry, now: Millis| {
        registry.tick(now, true, None);
        for effect in registry.take() {
            if let Effect::TellSessions(all) = effect {
                (lists, entries) = (lists + 1, entries + all.len());
            }
        }
    };
    for node in 0..1000 {
        registry.asked(3000 + u64::from(node), member(10 + node, Class::Edge), 0, 0);
        count(&mut registry, 3000 + u64::from(node));
    }
    // With nothing new they are told again only now and then, and what was asked is answered when its time is over.
    for now in (4000..9000).step_by(10) {
        for node in 0..20 {
            registry.asked(now, member(10 + node, Class::Edge), 77, u64::MAX);
        }
        count(&mut registry, now);
    }
    assert!(lists <= 12 && entries <= 7000, "{lists} lists, {entries} entries");
}

#[test]
fn a_thousand_executors_that_call_at_once_are_not_compared_with_each_other() {
    let mut registry = ready();
    let all = (0..1000).map(|n| heartbeat(&format!("old-{n}"), n, 5, Standing::Serving)).collect();
    registry.told_heartbeats(3000, all);
    // A new life at each address ends the one that was there, and no other.
    for n in 0..500 {
        registry.heartbeat(3100, heartbeat(&format!("new-{n}"), n, 1, Standing::Serving));
    }
    let serving = |r: &Registry| r.executors().filter(|k| k.heartbeat.standing == Standing::Serving).count();
    assert_eq!(serving(&registry), 1000);
    assert!(registry
        .executors()
        .filter(|k| k.heartbeat.standing == Standing::Gone)
        .all(|k| k.heartbeat.id.starts_with("old-")));
    // One that moves to an address ends nobody there, and whoever begins there after it ends it.
    registry.heartbeat(3200, heartbeat("old-900", 4000, 6, Standing::Serving));
    registry.heartbeat(3300, heartbeat("third", 4000, 1, Standing::Serving));
    assert_eq!(serving(&registry), 1000);
}

#[test]
fn what_another_control_node_told_holds_as_long_as_it_is_connected() {
    let mut registry = ready();
    let stores = |r: &Registry| r.members.iter().filter(|m| m.class == Class::Store).count();
    registry.core_up(3000, member(2, Class::Core));
    registry.told_sessions(3000, 2, vec![member(8, Class::Store)]);
    registry.tick(3000, true, None);
    // This node has slept: nothing was heard, but the connection stands.
    registry.tick(9000, true, None);
    assert_eq!(stores(&registry), 1);
    registry.core_heard(2, 9000);
    registry.core_down(2);
    registry.tick(10_900, true, None);
    assert_eq!(stores(&registry), 1);
    registry.tick(11_300, true, None);
    assert_eq!(stores(&registry), 0);
}
