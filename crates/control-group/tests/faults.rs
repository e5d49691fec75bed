//! Troubles, each in turn, and by chance: what was answered stays, one answers at a time, and soon again.

mod world;

use stileroute_control_group::{Message, Verdict};
use world::*;

/// First start, first configuration, three changes, a reading.
fn scenario(world: &mut World) {
    for version in 1..=4 {
        let call = world.replace(version as usize % 3, version);
        world.wait(call, 6000);
    }
    world.read(0, 3000);
}

fn quiet(seeds: usize, tolerated_losses: usize, seed: u64) -> World {
    let mut world = World::new(seeds, tolerated_losses, seed);
    scenario(&mut world);
    world.run(1000);
    world
}

/// Trouble strikes whoever carries out the effect k, for each k.
fn at_each_effect(seeds: usize, tolerated_losses: usize, trouble: Trouble, every: usize) {
    let mut whole = World::new(seeds, tolerated_losses, 7);
    scenario(&mut whole);
    assert!(whole.effects > 50);
    for k in (1..=whole.effects).step_by(every) {
        let mut world = World::new(seeds, tolerated_losses, 7);
        world.trap = Some((k, trouble));
        world.trace.push(format!("{trouble:?} at effect {k}"));
        scenario(&mut world);
        world.run(if trouble == Freeze { 1500 } else { 300 });
        world.calm();
    }
}

#[test]
fn trouble_at_each_effect() {
    for trouble in [Kill, Power, Wipe, Freeze] {
        at_each_effect(3, 1, trouble, 1);
        at_each_effect(5, 2, trouble, 5);
    }
}

#[test]
fn nothing_but_pulses_when_nothing_happens() {
    let mut world = quiet(3, 1, 3);
    let (epoch, effects) = (world.view().epoch, world.effects);
    world.sent.clear();
    world.run(10_000);
    assert_eq!(epoch, world.view().epoch);
    assert!(world.sent.iter().all(|s| matches!(s, Message::Heartbeat(_) | Message::HeartbeatAck { .. })));
    assert!(world.effects - effects == world.sent.len() && world.sent.len() <= 4 * 51);
}

#[test]
fn answers_soon_after_the_primary_is_killed_or_loses_power() {
    for seed in 0..20 {
        for trouble in [Kill, Power, Wipe] {
            let mut world = quiet(3, 1, seed);
            let primary = world.primary();
            world.strike(primary, trouble, None);
            let call = world.replace((primary + 1) % 3, 9);
            world.wait(call, 2200);
            let replicas = world.view().replicas;
            assert!(replicas.len() == 2 && !replicas.contains(&voter(primary)), "{replicas:?}");
        }
    }
}

#[test]
fn an_orderly_release_under_load_is_hardly_seen() {
    for seed in 0..20 {
        let mut world = quiet(3, 1, seed);
        let primary = world.primary();
        let calls: Vec<usize> = (5..15).map(|v| world.replace(v as usize % 3, v)).collect();
        world.release(primary);
        for call in calls {
            world.wait(call, 500);
        }
        world.run(600);
        assert!(world.nodes[primary].released && world.primary() != primary);
        world.strike(primary, Kill, Some(500));
        world.run(500);
        world.calm();
    }
}

#[test]
fn the_small_side_of_a_cut_answers_nothing_new() {
    for seed in 0..20 {
        let mut world = quiet(5, 2, seed);
        let (primary, with) = (world.primary(), world.replica());
        for i in (0..5).filter(|i| *i != primary && *i != with) {
            world.cut(primary, i);
            world.cut(with, i);
        }
        let call = world.replace(primary, 9);
        world.run(3000);
        assert_ne!(world.primary(), primary);
        world.heal();
        world.wait(call, 3000);
        world.calm();
    }
}

/// For twenty seconds: on the small side nobody says that it is in touch, also one that hears the primary of before, which heartbeats
/// on. Seen failing with the heartbeat itself as the sign of contact.
#[test]
fn the_small_side_of_a_long_cut_is_out_of_touch() {
    for seed in 0..20 {
        let mut world = quiet(5, 2, seed);
        let small = [world.primary(), world.replica()];
        for i in (0..5).filter(|i| !small.contains(i)) {
            small.iter().for_each(|s| world.cut(*s, i));
        }
        world.run(2500);
        for _ in 0..175 {
            world.run(100);
            assert!(small.iter().all(|i| !world.is_in_contact(*i)), "of {small:?} one is in touch");
            assert!((0..5).filter(|i| !small.contains(i)).all(|i| world.is_in_contact(i)));
        }
        world.heal();
        world.run(1500);
        assert!((0..5).all(|i| world.is_in_contact(i)));
        world.calm();
    }
}

#[test]
fn a_cut_between_two_changes_no_duty() {
    let mut world = quiet(3, 1, 5);
    let view = world.view();
    world.cut(world.primary(), world.replica());
    world.run(3000);
    world.heal();
    world.run(1000);
    assert_eq!(world.view().primary, view.primary, "one that was cut off has no better claim");
    world.calm();
}

#[test]
fn a_primary_that_wakes_answers_nothing_old() {
    for (seed, span) in (0..30).map(|seed| (seed, 300 + seed * 100)) {
        let mut world = quiet(3, 1, seed);
        let primary = world.primary();
        world.strike(primary, Freeze, Some(span));
        let call = world.replace((primary + 1) % 3, 9);
        world.run(span);
        world.wait(call, 3000);
        world.calm();
    }
}

#[test]
fn two_writers_at_once() {
    for seed in 0..20 {
        let mut world = quiet(3, 1, seed);
        let (a, b) = (world.call(0, Some(5), b"one".to_vec()), world.call(1, Some(5), b"other".to_vec()));
        let verdicts = [world.wait(a, 500), world.wait(b, 500)];
        assert!(verdicts.contains(&Verdict::Accepted) && verdicts.contains(&Verdict::Unchanged));
        let (a, b) = (world.replace(0, 7), world.replace(1, 6));
        world.wait(a, 500);
        world.wait(b, 500);
        world.calm();
    }
}

#[test]
fn a_lost_disk_has_no_vote_and_is_filled_again() {
    for seed in 0..10 {
        let mut world = quiet(3, 1, seed);
        let (primary, replica) = (world.primary(), world.replica());
        let blank = |world: &World| world.nodes[replica].group.as_ref().is_some_and(|p| p.is_awaiting_view());
        world.cut(replica, primary);
        world.strike(replica, Wipe, Some(10));
        world.run(2000);
        assert!(blank(&world), "one of the others is no majority");
        world.heal();
        world.run(1500);
        assert!(!blank(&world));
        // It and the primary are enough now.
        world.strike(3 - primary - replica, Power, None);
        world.run(2500);
        assert_eq!(world.replica(), replica);
        world.calm();
    }
}

#[test]
fn all_power_lost_right_after_an_answer() {
    for seed in 0..40 {
        let mut world = World::new(3, 1, seed);
        scenario(&mut world);
        let wiped = (seed % 4) as usize;
        for i in 0..3 {
            world.strike(i, if i == wiped { Wipe } else { Power }, Some(500 + seed * 13 * i as u64));
        }
        world.run(1600);
        world.read(1, 3000);
        world.calm();
    }
}

/// The vote that an earlier life lent to the primary is on disk: nobody waits for a lease that only it could hold. Seen failing
/// (800 ms and more) without `Record::Vote`.
#[test]
fn all_power_lost_and_back_the_same_primary_answers_at_once() {
    for seed in 0..20 {
        let mut world = World::new(3, 1, seed);
        scenario(&mut world);
        world.run(1000);
        for i in 0..3 {
            world.strike(i, Power, Some(500));
        }
        world.run(510);
        world.read(1, 450);
        world.calm();
    }
}

#[test]
fn three_seeds_grow_to_five_and_bear_two() {
    for seed in 0..10 {
        let mut world = quiet(3, 2, seed);
        world.add();
        world.add();
        world.run(3000);
        assert_eq!(world.voters().len(), 5);
        let primary = world.primary();
        world.strike(primary, Power, None);
        world.strike((primary + 1 + seed as usize % 4) % 5, Wipe, None);
        world.run(100);
        world.calm();
    }
}

/// One machine, or one place with two voters of five. With `losses` + 1 replicas both could lie in that place.
#[test]
fn a_place_that_is_lost_takes_no_configuration() {
    for seed in 0..30 {
        let mut world = World::of_places(5, 1, seed);
        scenario(&mut world);
        world.run(1000);
        let replicas: Vec<usize> = (0..5).filter(|i| world.view().replicas.contains(&voter(*i))).collect();
        assert_eq!(replicas.len(), 3);
        let both = [replicas[seed as usize % 3], replicas[(seed as usize + 1) % 3]];
        for i in both {
            world.strike(i, Wipe, None);
        }
        world.read((0..5).find(|i| !both.contains(i)).unwrap(), 3000);
        world.calm();
    }
}

#[test]
fn a_machine_replaced_for_good_leaves_three_voters() {
    for seed in 0..9 {
        let mut world = quiet(3, 1, seed);
        for round in 0..2 {
            let gone = (0..3 + round).filter(|i| world.up(*i)).nth(seed as usize % 3).unwrap_or(0);
            world.strike(gone, Wipe, None);
            world.run(500);
            world.add();
            world.run(15_000);
            assert_eq!(world.voters().len(), 3, "round {round}");
            world.calm();
        }
    }
}

/// Once a lost machine is replaced and what it held is caught up (4.2 s), the next may be lost. Seen failing with the silent
/// one kept as a voter for ten seconds: two of four are no majority.
#[test]
fn a_machine_replaced_and_then_another_lost() {
    for seed in 0..12 {
        let mut world = quiet(3, 1, seed);
        world.strike(seed as usize % 3, Wipe, None);
        world.run(500);
        world.add();
        world.run(4200);
        let next = if seed < 6 { world.primary() } else { world.replica() };
        world.strike(next, Power, None);
        let call = world.replace((0..4).find(|i| world.up(*i)).unwrap(), 9);
        world.wait(call, 3000);
    }
}

#[test]
fn a_full_disk_costs_its_machine_the_duty_and_the_copy() {
    for (seed, full) in (0..12).map(|seed| (seed, seed as usize % 3)) {
        let mut world = quiet(3, 1, seed);
        world.nodes[full].full = true;
        let call = world.replace(full, 9);
        world.wait(call, 3000);
        assert!(!world.view().replicas.contains(&voter(full)) || world.view().primary != voter(full));
        world.nodes[full].full = false;
        world.run(1500);
        world.calm();
    }
}

#[test]
fn by_chance() {
    for seed in 0..300 {
        let (seeds, tolerated_losses) = if seed % 3 == 0 { (5, 2) } else { (3, 1) };
        let mut world = World::new(seeds, tolerated_losses, seed + 1000);
        world.trace.push(format!("seed {seed}"));
        world.delay = [4, 150][world.random_below(2) as usize];
        world.disk = [2, 40, 400][world.random_below(3) as usize];
        for version in 1..=8 {
            let node = world.random_below(seeds as u64) as usize;
            world.replace(node, version);
            let pause = 20 + world.random_below(700);
            world.run(pause);
            if world.random_below(5) == 0 {
                world.heal();
            }
            let node = (node + world.random_below(2) as usize) % seeds;
            let down = (0..seeds).filter(|i| !world.up(*i)).count();
            let (back, what) = (20 + world.random_below(1500), world.random_below(6) as usize);
            if what == 4 {
                world.cut(node, (node + 1) % seeds);
            } else if what < 4 && down < tolerated_losses && world.up(node) {
                world.strike(node, [Kill, Power, Wipe, Freeze][what], Some(back));
                // A disk counts as lost until it is filled.
                if what == 2 {
                    world.heal();
                    world.run(back + 2500);
                }
            }
        }
        world.heal();
        world.run(1500);
        world.calm();
    }
}
