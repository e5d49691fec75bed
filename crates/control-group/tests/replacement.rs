//! Replacement of control nodes, after a loss or as planned, with a fault at each step and with a second loss right after it.

mod simulation;

use simulation::*;

fn settled_simulation(seeds: usize, tolerated_losses: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seeds, tolerated_losses, seed);
    let call = simulation.replace(0, 1);
    simulation.wait(call, 6000);
    simulation.run(1000);
    simulation
}
/// Returns one of three nodes: the primary, the other replica, or the voter that is not a replica.
fn node_by_role(simulation: &Simulation, which: u64) -> usize {
    let (primary, replica) = (simulation.primary(), simulation.replica());
    [primary, replica, 3 - primary - replica][which as usize % 3]
}
/// Loses one more node, and asserts that within 3 s one of the remaining nodes is primary and accepts a write.
fn assert_tolerates_one_more_loss(simulation: &mut Simulation, which: u64) {
    let lost = if which.is_multiple_of(2) { simulation.primary() } else { simulation.replica() };
    simulation.inject(lost, PowerLoss, None);
    let up = (0..simulation.nodes.len()).find(|i| simulation.is_up(*i)).unwrap();
    let call = simulation.replace(up, 9);
    simulation.wait(call, 3000);
}

/// Guards against removing a lost voter only after 3 s of silence: two of four voters would be lost by then.
#[test]
fn a_second_loss_is_tolerated_two_seconds_after_a_replacement_joins() {
    for seed in 0..36 {
        for fault in [Kill, PowerLoss, DiskLoss] {
            let mut simulation = settled_simulation(3, 1, seed);
            let lost = node_by_role(&simulation, seed);
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
            assert_tolerates_one_more_loss(&mut simulation, seed / 3);
        }
    }
}

/// After the loss of a node, injects a fault into the node that carries out effect k, for each k. That node comes back.
#[test]
fn a_fault_at_each_effect_of_a_replacement_is_tolerated() {
    for fault in [Kill, PowerLoss, Freeze] {
        let mut effects = 0;
        for k in 0.. {
            let mut simulation = settled_simulation(3, 1, 5);
            let lost = node_by_role(&simulation, k as u64);
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

/// After a new node has joined, the old one is shut down. It is removed from the voters by the time it exits or, if it was
/// primary, right after. Guards against detecting a lost voter by its silence alone.
#[test]
fn a_planned_replacement_leaves_three_voters_at_once() {
    for seed in 0..36 {
        let mut simulation = settled_simulation(3, 1, seed);
        let (old, was_primary) = (node_by_role(&simulation, seed), seed % 3 == 0);
        simulation.add_node();
        simulation.run(1500);
        assert_eq!(simulation.voters().len(), 4);
        simulation.shut_down(old);
        simulation.run(200);
        assert!(
            simulation.nodes[old].is_ready_to_exit,
            "a backup exits after at most two membership changes"
        );
        simulation.run(if was_primary { 100 } else { 0 });
        assert!(!simulation.voters().contains(&old) && !simulation.view().replicas.contains(&voter(old)));
        assert_eq!(simulation.view().replicas.len(), 2);
        simulation.run(300);
        assert_eq!(simulation.voters().len(), 3, "a node that is shutting down does not join again");
        simulation.inject(old, Kill, None);
        assert_tolerates_one_more_loss(&mut simulation, seed / 3);
    }
}

#[test]
fn a_restart_in_an_odd_group_removes_no_voter() {
    for seed in 0..18 {
        let mut simulation = settled_simulation(if seed < 9 { 3 } else { 5 }, 1, seed);
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

/// A node that is shut down while no majority can remove it still exits within half a second.
#[test]
fn a_departing_node_exits_at_its_deadline() {
    let mut simulation = settled_simulation(3, 1, 4);
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

/// A removed voter that had granted views or was primary learns the new voters, and joins them again.
#[test]
fn a_removed_voter_that_comes_back_with_its_disk_joins_again() {
    for seed in 0..18 {
        let mut simulation = settled_simulation(3, 1, seed);
        let lost = node_by_role(&simulation, seed);
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
            "one change adds the voter, and no other node becomes a candidate"
        );
        simulation.assert_recovers();
    }
}

#[test]
fn two_of_five_are_replaced_together_and_two_more_may_be_lost() {
    for seed in 0..12 {
        let mut simulation = settled_simulation(5, 2, seed);
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

/// The write is waiting for a replica that is lost; it completes with the replicas that follow.
#[test]
fn a_write_under_way_completes_with_the_replicas_after_a_replacement() {
    for seed in 0..18 {
        let mut simulation = settled_simulation(3, 1, seed);
        let lost = node_by_role(&simulation, seed);
        simulation.add_node();
        simulation.inject(lost, PowerLoss, None);
        let call = simulation.replace((lost + 1) % 3, 8);
        simulation.wait(call, 3000);
        simulation.run(2000);
        assert!(simulation.voters().len() == 3 && !simulation.voters().contains(&lost));
        simulation.assert_recovers();
    }
}

/// A primary proposes a membership change that no other node receives until the partition heals. Another node may be primary by
/// then.
#[test]
fn a_partition_that_heals_while_a_membership_change_is_pending() {
    for seed in 0..24 {
        let mut simulation = settled_simulation(3, 1, seed);
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

/// Two of five voters are in one failure domain, which is lost. They are replaced in another domain, and then the next domain is
/// lost.
#[test]
fn a_failure_domain_is_replaced_and_then_another_lost() {
    for seed in 0..10 {
        let mut simulation = Simulation::with_failure_domains(5, 1, seed);
        let call = simulation.replace(0, 1);
        simulation.wait(call, 6000);
        simulation.run(1000);
        let lost_domain = [seed as usize % 5, (seed as usize + 2) % 5];
        lost_domain.iter().for_each(|i| simulation.inject(*i, DiskLoss, None));
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

/// Guards against a primary that loses its role while it is shutting down and no longer exits: it ran until it was killed.
#[test]
fn a_partitioned_primary_that_is_shut_down_and_superseded_exits() {
    for seed in 0..12 {
        let mut simulation = settled_simulation(3, 1, seed);
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

/// The new node is lost while it joins, at each moment from 0.7 s after the first loss (until 0.6 s that loss is not certain).
/// The two remaining nodes continue. Guards against adding the new voter before the lost one is removed: then two of four voters
/// are lost.
#[test]
fn the_loss_of_a_replacement_at_each_moment_is_tolerated() {
    for after in (0..900).step_by(2) {
        let mut simulation = settled_simulation(3, 1, 6);
        let lost = simulation.replica();
        simulation.inject(lost, PowerLoss, None);
        simulation.run(700);
        simulation.add_node();
        simulation.run(after);
        simulation.trace.push(format!("new node lost {after} ms after it was added"));
        simulation.inject(3, PowerLoss, None);
        let call = simulation.replace(simulation.primary(), 9);
        simulation.wait(call, 3000);
    }
}
