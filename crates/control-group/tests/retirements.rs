//! Retirements in the replicated value: an accepted one is never forgotten, stands there once, and never goes back.

mod world;

use assert_matches::assert_matches;
use stileroute_control_group::*;
use world::*;

/// A configuration, eight orders at once at all nodes, and each once more at the next node.
fn orders(world: &mut World) {
    let first = world.replace(0, 1);
    world.wait(first, 6000);
    let once: Vec<usize> = (0..8).map(|i| world.retire(i % 3, i as u32)).collect();
    let change = world.replace(1, 2);
    let again: Vec<usize> = (0..8).map(|i| world.retire((i + 1) % 3, i as u32)).collect();
    for call in once.into_iter().chain(again).chain([change]) {
        world.wait(call, 9000);
    }
    world.advance(3, RetirementStage::Draining);
    world.run(50);
    world.advance(3, RetirementStage::Complete);
}

fn assert_all_know(world: &World, nodes: usize) {
    for i in 0..nodes {
        let mut known: Vec<u32> = world.retired(i).into_iter().map(|(node, _)| node).collect();
        known.sort_unstable();
        if known != (0..8).collect::<Vec<u32>>() {
            world.fail(&format!("node {i} knows of {known:?}"));
        }
    }
}

#[test]
fn trouble_at_each_effect_of_eight_orders_forgets_and_doubles_none() {
    for (trouble, every) in [(Kill, 2), (Power, 2), (Wipe, 3), (Freeze, 3)] {
        let mut whole = World::new(3, 1, 7);
        orders(&mut whole);
        for k in (1..=whole.effects).step_by(every) {
            let mut world = World::new(3, 1, 7);
            world.trap = Some((k, trouble));
            world.trace.push(format!("{trouble:?} at effect {k}"));
            orders(&mut world);
            world.run(if trouble == Freeze { 1500 } else { 300 });
            world.calm();
            assert_all_know(&world, 3);
        }
    }
}

#[test]
fn after_a_start_of_all_an_order_sent_again_is_known_and_changes_nothing() {
    for trouble in [Kill, Power] {
        let mut world = World::new(3, 1, 5);
        orders(&mut world);
        world.run(500);
        let before = world.nodes[0].committed.serial;
        (0..3).for_each(|i| world.strike(i, trouble, Some(100)));
        world.run(100);
        for at in 0..3 {
            let again = world.retire(at, 3);
            assert_eq!(world.wait(again, 3000), Verdict::Unchanged);
        }
        world.run(500);
        assert_eq!(world.nodes[0].committed.serial, before);
        assert!(world.retired(1).contains(&(3, RetirementStage::Complete)));
    }
}

#[test]
fn a_stage_goes_forward_only_and_is_written_once() {
    let mut world = World::new(3, 1, 5);
    orders(&mut world);
    world.run(500);
    let serial = world.nodes[0].committed.serial;
    world.advance(3, RetirementStage::Draining);
    world.advance(9, RetirementStage::Complete);
    world.run(500);
    assert_eq!(world.nodes[0].committed.serial, serial);
    // Noticed at each turn of the loop until it is written.
    (0..5).for_each(|_| world.advance(4, RetirementStage::Draining));
    world.run(500);
    assert_eq!(world.nodes[0].committed.serial, serial + 1);
    assert!(
        world.retired(2).contains(&(4, RetirementStage::Draining))
            && world.retired(2).contains(&(3, RetirementStage::Complete))
    );
}

#[test]
fn the_oldest_complete_one_is_forgotten_beyond_the_bound_and_none_that_is_under_way() {
    let mut world = World::new(3, 1, 5);
    for node in 0..MAX_RETIREMENTS as u32 {
        let call = world.retire(0, node);
        world.wait(call, 6000);
    }
    // All are under way: one more is not taken, and none makes room.
    let more = world.retire(0, 900);
    world.run(1000);
    assert_eq!((world.calls[more].done, world.retired(0).len()), (None, MAX_RETIREMENTS));
    world.advance(7, RetirementStage::Complete);
    world.advance(2, RetirementStage::Complete);
    assert_eq!(world.wait(more, 3000), Verdict::Accepted);
    world.run(500);
    let known: Vec<u32> = world.retired(0).into_iter().map(|(node, _)| node).collect();
    assert!(
        known.len() == MAX_RETIREMENTS && !known.contains(&2) && known.contains(&7) && known.contains(&900)
    );
}

#[test]
fn an_older_builds_value_is_read_with_its_version_for_a_serial() {
    let old = Record::LegacyConfiguration(LegacyConfiguration { version: 7, body: b"seven".to_vec() });
    let mut persisted = PersistedState::default();
    persisted.apply(old);
    let read = ControlState { serial: 7, version: 7, body: b"seven".to_vec(), retirements: Vec::new() };
    assert_matches!(&persisted.state, Some(state) if *state == read);
    // What is written from here on is in the new form.
    assert_eq!(persisted.records().collect::<Vec<_>>(), [Record::ControlState(read)]);
}

#[test]
fn a_value_is_told_from_another_by_any_part_of_it() {
    let order = |name: &str, stage| Retirement { node: 1, name: name.to_string(), stage };
    let of = |retirements| ControlState { serial: 3, version: 2, body: b"two".to_vec(), retirements };
    let base = of(vec![order("a", RetirementStage::Ordered)]);
    let others = [
        of(Vec::new()),
        of(vec![order("b", RetirementStage::Ordered)]),
        of(vec![order("a", RetirementStage::Draining)]),
        ControlState { serial: 4, ..base.clone() },
        ControlState { version: 3, ..base.clone() },
        ControlState { body: b"owt".to_vec(), ..base.clone() },
    ];
    for other in others {
        assert_ne!(other.digest(), base.digest(), "{other:?}");
    }
}
