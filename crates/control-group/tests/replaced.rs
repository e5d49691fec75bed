//! Control nodes that are replaced: by loss or by plan, with trouble at each step of it, and a second loss right after.

mod world;

use world::*;

fn quiet(seeds: usize, tolerated_losses: usize, seed: u64) -> World {
    let mut world = World::new(seeds, tolerated_losses, seed);
    let call = world.replace(0, 1);
    world.wait(call, 6000);
    world.run(1000);
    world
}
/// Each of three, as whatever it is in the group.
fn each(world: &World, which: u64) -> usize {
    let (primary, replica) = (world.primary(), world.replica());
    [primary, replica, 3 - primary - replica][which as usize % 3]
}
/// Two of three are lost one after the other: whoever is left leads within 3 s and takes a write.
fn bears_one_more(world: &mut World, which: u64) {
    let lost = if which.is_multiple_of(2) { world.primary() } else { world.replica() };
    world.strike(lost, Power, None);
    let up = (0..world.nodes.len()).find(|i| world.up(*i)).unwrap();
    let call = world.replace(up, 9);
    world.wait(call, 3000);
}

/// Seen failing with a voter left out only after 3 s of silence: four voters of which two are gone.
#[test]
fn a_second_loss_two_seconds_after_a_new_one_came() {
    for seed in 0..36 {
        for trouble in [Kill, Power, Wipe] {
            let mut world = quiet(3, 1, seed);
            let lost = each(&world, seed);
            world.strike(lost, trouble, None);
            world.run(500);
            world.add();
            world.run(2000);
            assert!(!world.voters().contains(&lost) && world.voters().contains(&3), "{:?}", world.voters());
            assert!(!world.view().replicas.contains(&voter(lost)));
            bears_one_more(&mut world, seed / 3);
        }
    }
}

/// Trouble strikes whoever carries out the effect k after the loss, for each k: it comes back, and all is well again.
#[test]
fn trouble_at_each_effect_of_a_replacement() {
    for trouble in [Kill, Power, Freeze] {
        let mut effects = 0;
        for k in 0.. {
            let mut world = quiet(3, 1, 5);
            let lost = each(&world, k as u64);
            world.strike(lost, Power, None);
            world.run(600);
            world.add();
            world.trap = Some((world.effects + 1 + k, trouble));
            world.trace.push(format!("{trouble:?} at effect {k} after the loss of {lost}"));
            world.run(2500);
            effects = effects.max(world.effects);
            if world.trap.is_some_and(|(at, _)| at > world.effects) || k > 150 {
                break;
            }
            world.run(2500);
            assert!(!world.voters().contains(&lost), "{:?}", world.voters());
            world.calm();
        }
    }
}

/// The new one has come, and the old one is told to end: it is out of the group by the time it ends, or right after, where it
/// led. Seen failing with silence alone as the sign of a voter that is gone.
#[test]
fn a_planned_replacement_leaves_three_voters_at_once() {
    for seed in 0..36 {
        let mut world = quiet(3, 1, seed);
        let (old, led) = (each(&world, seed), seed % 3 == 0);
        world.add();
        world.run(1500);
        assert_eq!(world.voters().len(), 4);
        world.release(old);
        world.run(200);
        assert!(world.nodes[old].released, "a follower waits for no more than two agreements");
        world.run(if led { 100 } else { 0 });
        assert!(!world.voters().contains(&old) && !world.view().replicas.contains(&voter(old)));
        assert_eq!(world.view().replicas.len(), 2);
        world.run(300);
        assert_eq!(world.voters().len(), 3, "it does not join again as it ends");
        world.strike(old, Kill, None);
        bears_one_more(&mut world, seed / 3);
    }
}

#[test]
fn a_restart_of_one_of_three_or_five_takes_no_vote_from_it() {
    for seed in 0..18 {
        let mut world = quiet(if seed < 9 { 3 } else { 5 }, 1, seed);
        let (voters, i) = (world.voters(), seed as usize % 3);
        world.release(i);
        world.run(300);
        assert!(world.nodes[i].released);
        world.strike(i, Kill, Some(4000));
        world.run(2500);
        assert_eq!(world.voters(), voters);
        world.run(2500);
        assert_eq!(world.voters(), voters);
        world.calm();
    }
}

/// Told to end, and nobody agrees: it ends all the same within half a second.
#[test]
fn one_that_leaves_does_not_wait_for_ever() {
    let mut world = quiet(3, 1, 4);
    world.add();
    world.run(1500);
    let old = world.replica();
    (0..4).filter(|i| *i != old).for_each(|i| world.cut(old, i));
    world.release(old);
    world.run(400);
    assert!(!world.nodes[old].released);
    world.run(150);
    assert!(world.nodes[old].released);
}

/// It had granted and led before: it hears that others vote, and joins them again.
#[test]
fn a_removed_voter_that_is_back_on_its_disk_joins_again() {
    for seed in 0..18 {
        let mut world = quiet(3, 1, seed);
        let lost = each(&world, seed);
        world.strike(lost, Power, Some(6000));
        world.run(500);
        world.add();
        world.run(2500);
        let (epoch, call) = (world.view().epoch, world.replace(3, 7));
        world.wait(call, 1000);
        world.run(4500);
        assert!(world.voters().contains(&lost));
        assert!(
            world.view().epoch <= epoch + 2,
            "one change lets it in, and nobody stands against the primary"
        );
        world.calm();
    }
}

#[test]
fn two_of_five_are_replaced_at_once_and_two_more_may_be_lost() {
    for seed in 0..12 {
        let mut world = quiet(5, 2, seed);
        let gone = [seed as usize % 5, (seed as usize + 1 + seed as usize / 5) % 5];
        gone.iter().for_each(|i| world.strike(*i, Power, None));
        world.run(500);
        world.add();
        world.add();
        world.run(3000);
        let voters = world.voters();
        assert!(voters.len() == 5 && gone.iter().all(|i| !voters.contains(i)), "{voters:?}");
        let (one, other) = (world.primary(), world.replica());
        world.strike(one, Power, None);
        world.strike(other, Power, None);
        let call = world.replace((0..7).find(|i| world.up(*i)).unwrap(), 9);
        world.wait(call, 3000);
    }
}

/// A write waits for the replica that is gone: it ends with the replicas that come after it.
#[test]
fn a_replacement_while_a_write_is_under_way() {
    for seed in 0..18 {
        let mut world = quiet(3, 1, seed);
        let lost = each(&world, seed);
        world.add();
        world.strike(lost, Power, None);
        let call = world.replace((lost + 1) % 3, 8);
        world.wait(call, 3000);
        world.run(2000);
        assert!(world.voters().len() == 3 && !world.voters().contains(&lost));
        world.calm();
    }
}

/// The change is asked for, and nobody hears of it until the cut heals: another may lead by then.
#[test]
fn a_cut_that_heals_while_a_change_waits() {
    for seed in 0..24 {
        let mut world = quiet(3, 1, seed);
        let primary = world.primary();
        world.add();
        world.run(seed * 3);
        (0..3).filter(|i| *i != primary).for_each(|i| world.cut(primary, i));
        world.run([300, 1500, 20_000][seed as usize % 3]);
        world.heal();
        world.run(2500);
        assert_eq!(world.voters(), [0, 1, 2, 3]);
        world.calm();
    }
}

/// Whole places may be lost, and two of five lie in one: they are replaced in another, and then the next place is lost.
#[test]
fn a_place_is_replaced_and_then_another_lost() {
    for seed in 0..10 {
        let mut world = World::of_places(5, 1, seed);
        let call = world.replace(0, 1);
        world.wait(call, 6000);
        world.run(1000);
        let place = [seed as usize % 5, (seed as usize + 2) % 5];
        place.iter().for_each(|i| world.strike(*i, Wipe, None));
        world.run(300);
        world.add();
        world.add();
        world.run(3500);
        assert_eq!((world.voters().len(), world.view().replicas.len()), (5, 3));
        let next = [world.primary(), world.replica()];
        next.iter().for_each(|i| world.strike(*i, Wipe, None));
        world.read((0..7).find(|i| world.up(*i)).unwrap(), 3000);
    }
}

/// Seen failing: it forgot that it was told to end, and ran on until it was killed.
#[test]
fn a_primary_told_to_end_that_another_follows_meanwhile_ends() {
    for seed in 0..12 {
        let mut world = quiet(3, 1, seed);
        let primary = world.primary();
        (0..3).filter(|i| *i != primary).for_each(|i| world.cut(primary, i));
        world.run(2000);
        assert_ne!(world.primary(), primary);
        world.release(primary);
        world.heal();
        world.run(700);
        assert!(world.nodes[primary].released);
    }
}

/// The one that comes is lost as it comes, at each moment from 0.7 s after the loss (until 0.6 s it is open whether there was
/// one): the two that are left go on. Seen failing with the new one made a
/// voter before the lost one is left out: two of four.
#[test]
fn the_one_that_comes_is_lost_at_each_moment() {
    for after in (0..900).step_by(2) {
        let mut world = quiet(3, 1, 6);
        let lost = world.replica();
        world.strike(lost, Power, None);
        world.run(700);
        world.add();
        world.run(after);
        world.trace.push(format!("lost {after} ms after it came"));
        world.strike(3, Power, None);
        let call = world.replace(world.primary(), 9);
        world.wait(call, 3000);
    }
}
