//! Control nodes that are replaced, after a loss or by plan, with a fault at each step of it, and a second loss right after.

mod simulation;

use simulation::*;

fn settled(seeds: usize, tolerated_losses: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seeds, tolerated_losses, seed);
    let call = simulation.replace(0, 1);
    simulation.wait(call, 6000);
    simulation.run(1000);
    simulation
}
/// Of three nodes: the primary, the other replica, or the voter that is no replica.
fn member(simulation: &Simulation, which: u64) -> usize {
    let (primary, replica) = (simulation.primary(), simulation.replica());
    [primary, replica, 3 - primary - replica][which as usize % 3]
}
/// One more node is lost: within 3 s one of those that are left is primary and accepts a write.
fn tolerates_one_more_loss(simulation: &mut Simulation, which: u64) {
    let lost = if which.is_multiple_of(2) { simulation.primary() } else { simulation.replica() };
    simulation.inject(lost, PowerLoss, None);
    let up = (0..simulation.nodes.len()).find(|i| simulation.is_up(*i)).unwrap();
    let call = simulation.replace(up, 9);
    simulation.wait(call, 3000);
}

/// Seen failing with a voter removed only after 3 s of silence: four voters of which two are lost.
#[test]
fn a_second_loss_is_tolerated_two_seconds_after_a_replacement_came() {
    for seed in 0..36 {
        for fault in [Kill, PowerLoss, DiskLoss] {
            let mut simulation = settled(3, 1, seed);
            let lost = member(&simulation, seed);
            simulation.inject(lost, fault, None);
            simulation.run(500);
            simulation.add_node();
            simulation.run(2000);
            assert!(
                !simulation.voters().contains(&lost) && simulation.voters().contains(&3),
                "{:?}",
                simulation.voters()
            );
            assert!(!simulation.view().replicas.contains(&voter(lost)));
            tolerates_one_more_loss(&mut simulation, seed / 3);
        }
    }
}

/// A fault strikes the node that carries out the effect k after the loss, for each k; the node comes back.
#[test]
fn a_fault_at_each_effect_of_a_replacement_is_tolerated() {
    for fault in [Kill, PowerLoss, Freeze] {
        let mut effects = 0;
        for k in 0.. {
            let mut simulation = settled(3, 1, 5);
            let lost = member(&simulation, k as u64);
            simulation.inject(lost, PowerLoss, None);
            simulation.run(600);
            simulation.add_node();
            simulation.armed_fault = Some((simulation.effects + 1 + k, fault));
            simulation.trace.push(format!("{fault:?} at effect {k} after the loss of {lost}"));
            simulation.run(2500);
            effects = effects.max(simulation.effects);
            if simulation.armed_fault.is_some_and(|(at, _)| at > simulation.effects) || k > 150 {
                break;
            }
            simulation.run(2500);
            assert!(!simulation.voters().contains(&lost), "{:?}", simulation.voters());
            simulation.assert_recovers();
        }
    }
}

/// The new node has come, and the old one is told to end: it is removed by the time it ends, or right after, where it was
/// primary. Seen failing with silence alone as the sign of a lost voter.
#[test]
fn a_planned_replacement_leaves_three_voters_at_once() {
    for seed in 0..36 {
        let mut simulation = settled(3, 1, seed);
        let (old, led) = (member(&simulation, seed), seed % 3 == 0);
        simulation.add_node();
        simulation.run(1500);
        assert_eq!(simulation.voters().len(), 4);
        simulation.shut_down(old);
        simulation.run(200);
        assert!(
            simulation.nodes[old].is_ready_to_exit,
            "a backup waits for two changes of the membership at most"
        );
        simulation.run(if led { 100 } else { 0 });
        assert!(!simulation.voters().contains(&old) && !simulation.view().replicas.contains(&voter(old)));
        assert_eq!(simulation.view().replicas.len(), 2);
        simulation.run(300);
        assert_eq!(simulation.voters().len(), 3, "a node that ends does not join again");
        simulation.inject(old, Kill, None);
        tolerates_one_more_loss(&mut simulation, seed / 3);
    }
}

#[test]
fn a_restart_in_an_odd_group_removes_no_voter() {
    for seed in 0..18 {
        let mut simulation = settled(if seed < 9 { 3 } else { 5 }, 1, seed);
        let (voters, i) = (simulation.voters(), seed as usize % 3);
        simulation.shut_down(i);
        simulation.run(300);
        assert!(simulation.nodes[i].is_ready_to_exit);
        simulation.inject(i, Kill, Some(4000));
        simulation.run(2500);
        assert_eq!(simulation.voters(), voters);
        simulation.run(2500);
        assert_eq!(simulation.voters(), voters);
        simulation.assert_recovers();
    }
}

/// Told to end, and no majority removes it: it ends all the same within half a second.
#[test]
fn a_departing_node_exits_at_its_deadline() {
    let mut simulation = settled(3, 1, 4);
    simulation.add_node();
    simulation.run(1500);
    let old = simulation.replica();
    (0..4).filter(|i| *i != old).for_each(|i| simulation.partition(old, i));
    simulation.shut_down(old);
    simulation.run(400);
    assert!(!simulation.nodes[old].is_ready_to_exit);
    simulation.run(150);
    assert!(simulation.nodes[old].is_ready_to_exit);
}

/// It has granted views, or was primary, before: it learns that others vote, and joins them again.
#[test]
fn a_removed_voter_that_comes_back_with_its_disk_joins_again() {
    for seed in 0..18 {
        let mut simulation = settled(3, 1, seed);
        let lost = member(&simulation, seed);
        simulation.inject(lost, PowerLoss, Some(6000));
        simulation.run(500);
        simulation.add_node();
        simulation.run(2500);
        let (epoch, call) = (simulation.view().epoch, simulation.replace(3, 7));
        simulation.wait(call, 1000);
        simulation.run(4500);
        assert!(simulation.voters().contains(&lost));
        assert!(
            simulation.view().epoch <= epoch + 2,
            "one change adds it, and nobody becomes candidate against the primary"
        );
        simulation.assert_recovers();
    }
}

#[test]
fn two_of_five_are_replaced_together_and_two_more_may_be_lost() {
    for seed in 0..12 {
        let mut simulation = settled(5, 2, seed);
        let lost = [seed as usize % 5, (seed as usize + 1 + seed as usize / 5) % 5];
        lost.iter().for_each(|i| simulation.inject(*i, PowerLoss, None));
        simulation.run(500);
        simulation.add_node();
        simulation.add_node();
        simulation.run(3000);
        let voters = simulation.voters();
        assert!(voters.len() == 5 && lost.iter().all(|i| !voters.contains(i)), "{voters:?}");
        let (one, other) = (simulation.primary(), simulation.replica());
        simulation.inject(one, PowerLoss, None);
        simulation.inject(other, PowerLoss, None);
        let call = simulation.replace((0..7).find(|i| simulation.is_up(*i)).unwrap(), 9);
        simulation.wait(call, 3000);
    }
}

/// The write waits for a lost replica.
#[test]
fn a_write_under_way_ends_with_the_replicas_after_a_replacement() {
    for seed in 0..18 {
        let mut simulation = settled(3, 1, seed);
        let lost = member(&simulation, seed);
        simulation.add_node();
        simulation.inject(lost, PowerLoss, None);
        let call = simulation.replace((lost + 1) % 3, 8);
        simulation.wait(call, 3000);
        simulation.run(2000);
        assert!(simulation.voters().len() == 3 && !simulation.voters().contains(&lost));
        simulation.assert_recovers();
    }
}

/// The change is proposed, and nobody receives it until the partition heals: another node may be primary by then.
#[test]
fn a_partition_that_heals_while_a_membership_change_waits() {
    for seed in 0..24 {
        let mut simulation = settled(3, 1, seed);
        let primary = simulation.primary();
        simulation.add_node();
        simulation.run(seed * 3);
        (0..3).filter(|i| *i != primary).for_each(|i| simulation.partition(primary, i));
        simulation.run([300, 1500, 20_000][seed as usize % 3]);
        simulation.heal();
        simulation.run(2500);
        assert_eq!(simulation.voters(), [0, 1, 2, 3]);
        simulation.assert_recovers();
    }
}

/// Two of five voters are in one failure domain, which is lost. They are replaced in another, and then the next domain is lost.
#[test]
fn a_failure_domain_is_replaced_and_then_another_lost() {
    for seed in 0..10 {
        let mut simulation = Simulation::with_failure_domains(5, 1, seed);
        let call = simulation.replace(0, 1);
        simulation.wait(call, 6000);
        simulation.run(1000);
        let place = [seed as usize % 5, (seed as usize + 2) % 5];
        place.iter().for_each(|i| simulation.inject(*i, DiskLoss, None));
        simulation.run(300);
        simulation.add_node();
        simulation.add_node();
        simulation.run(3500);
        assert_eq!((simulation.voters().len(), simulation.view().replicas.len()), (5, 3));
        let next = [simulation.primary(), simulation.replica()];
        next.iter().for_each(|i| simulation.inject(*i, DiskLoss, None));
        simulation.read((0..7).find(|i| simulation.is_up(*i)).unwrap(), 3000);
    }
}

/// Seen failing: the node forgot that it was told to end, and ran until it was killed.
#[test]
fn a_partitioned_primary_that_was_told_to_end_and_is_superseded_ends() {
    for seed in 0..12 {
        let mut simulation = settled(3, 1, seed);
        let primary = simulation.primary();
        (0..3).filter(|i| *i != primary).for_each(|i| simulation.partition(primary, i));
        simulation.run(2000);
        assert_ne!(simulation.primary(), primary);
        simulation.shut_down(primary);
        simulation.heal();
        simulation.run(700);
        assert!(simulation.nodes[primary].is_ready_to_exit);
    }
}

/// The new node is lost as it comes, at each moment from 0.7 s after the first loss (until 0.6 s that loss is in doubt): the two
/// that are left go on. Seen failing with the new node made a voter before the lost one is removed: two of four.
#[test]
fn the_loss_of_a_replacement_at_each_moment_is_tolerated() {
    for after in (0..900).step_by(2) {
        let mut simulation = settled(3, 1, 6);
        let lost = simulation.replica();
        simulation.inject(lost, PowerLoss, None);
        simulation.run(700);
        simulation.add_node();
        simulation.run(after);
        simulation.trace.push(format!("lost {after} ms after it came"));
        simulation.inject(3, PowerLoss, None);
        let call = simulation.replace(simulation.primary(), 9);
        simulation.wait(call, 3000);
    }
}
