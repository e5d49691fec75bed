//! Tests with more control nodes lost at once than the group tolerates: the group becomes unavailable, answers nothing stale,
//! and resumes when enough disks are back. Two tests cover cases in which it becomes unavailable although no more than one node
//! was lost at a time.

mod simulation;

use simulation::*;

fn settled_simulation(seeds: usize, tolerated_losses: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seeds, tolerated_losses, seed);
    let call = simulation.replace(0, 1);
    simulation.wait(call, 6000);
    simulation.run(1000);
    simulation
}

fn first_running_node(simulation: &Simulation) -> usize {
    (0..simulation.nodes.len()).find(|i| simulation.is_up(*i)).unwrap()
}

/// Asserts that a write is accepted within `within` milliseconds.
fn assert_accepted(simulation: &mut Simulation, version: u64, within: u64) {
    let at = first_running_node(simulation);
    let call = simulation.replace(at, version);
    simulation.wait(call, within);
}

/// Asserts that neither a write nor a read is answered for `span` milliseconds once the lease has expired.
fn assert_unavailable(simulation: &mut Simulation, version: u64, span: u64) {
    simulation.run(800);
    let at = first_running_node(simulation);
    let (write, read) = (simulation.replace(at, version), simulation.call(at, None, Vec::new()));
    simulation.run(span);
    assert!(simulation.calls[write].done.is_none() && simulation.calls[read].done.is_none());
}

/// Two nodes join five voters, and then two of the old nodes are lost at once, so two of the seven voters are lost and remain in
/// the list. With five of seven left, one more loss is tolerated, as intended. The next loss is not, until any one of the lost
/// nodes returns.
#[test]
fn an_odd_group_with_two_unreplaced_losses_tolerates_one_more_loss() {
    for seed in 0..8 {
        let mut simulation = settled_simulation(5, 1, seed);
        simulation.add_node();
        simulation.add_node();
        simulation.run(3000);
        assert_eq!(simulation.voters().len(), 7);
        let (primary, replica) = (simulation.primary(), simulation.replica());
        let lost_voters: Vec<usize> = (0..5).filter(|i| ![primary, replica].contains(i)).take(2).collect();
        lost_voters.iter().for_each(|i| simulation.inject(*i, PowerLoss, None));
        simulation.run(4000);
        assert_eq!(simulation.voters().len(), 7, "no node is available to replace the lost voters");
        assert_accepted(&mut simulation, 2, 3000);
        let lost = if seed % 2 == 0 { simulation.primary() } else { simulation.replica() };
        simulation.inject(lost, PowerLoss, None);
        assert_accepted(&mut simulation, 3, 3000);
        simulation.run(3000);
        let next = simulation.replica();
        simulation.inject(next, PowerLoss, Some(8000));
        assert_unavailable(&mut simulation, 4, 6500);
        simulation.run(700);
        assert_accepted(&mut simulation, 5, 4000);
        simulation.assert_recovers();
    }
}

/// Between the two membership changes of a replacement there are two voters. If the primary is lost then, the other voter is no
/// majority, and the removed node no longer votes. The group is unavailable until the primary returns with its disk, and resumes
/// within three seconds.
#[test]
fn a_group_waits_for_a_primary_lost_between_the_two_changes_of_a_replacement() {
    for seed in 0..12 {
        let mut simulation = settled_simulation(3, 1, seed);
        let lost = simulation.replica();
        simulation.inject(lost, PowerLoss, None);
        simulation.run(500);
        simulation.add_node();
        while simulation.voters().contains(&lost) {
            assert!(simulation.now < 20_000);
            simulation.run(1);
        }
        assert_eq!(simulation.voters().len(), 2, "the new node is not a voter yet");
        let primary = simulation.primary();
        simulation.inject(primary, PowerLoss, Some(6000));
        assert_unavailable(&mut simulation, 4, 5000);
        simulation.run(200);
        assert_accepted(&mut simulation, 5, 3000);
        simulation.run(3000);
        assert!(simulation.voters().contains(&3) && !simulation.voters().contains(&lost));
        simulation.assert_recovers();
    }
}

/// Overlapping losses of more nodes than are tolerated, after which all disks come back. No answer may ever be older than what
/// was acknowledged.
#[test]
fn overlapping_losses_beyond_tolerance_lose_no_acknowledged_write() {
    for seed in 0..24 {
        let mut simulation = settled_simulation(if seed % 2 == 0 { 3 } else { 5 }, 1, seed);
        let nodes = simulation.nodes.len();
        assert_accepted(&mut simulation, 2, 1000);
        for i in 0..nodes {
            let back = 2500 + simulation.random_below(2500);
            simulation.inject(i, if seed % 3 == 0 { Kill } else { PowerLoss }, Some(back));
            let delay = simulation.random_below(900);
            simulation.run(delay);
        }
        simulation.run(6000);
        assert_accepted(&mut simulation, 3, 4000);
        simulation.assert_recovers();
    }
}

/// One node loses its disk while all others lose power, right after a write was acknowledged. The write must survive.
#[test]
fn a_lost_disk_while_all_others_lose_power_loses_no_acknowledged_write() {
    for seed in 0..30 {
        let mut simulation = settled_simulation(3, 1, seed);
        assert_accepted(&mut simulation, 2, 1000);
        let node_without_disk = seed as usize % 3;
        for i in 0..3 {
            simulation.inject(i, if i == node_without_disk { DiskLoss } else { PowerLoss }, Some(1500));
        }
        simulation.run(1600);
        simulation.read(node_without_disk, 5000);
        simulation.assert_recovers();
    }
}
