//! Retirements in the replicated control state: an accepted one is never lost, is stored once, and never goes back to an earlier
//! stage.

mod simulation;

use assert_matches::assert_matches;
use simulation::*;
use stileroute_control_group::*;

/// Submits a configuration, eight retirement orders concurrently at all nodes, and each order once more at the next node.
fn retire_eight_stores(simulation: &mut Simulation) {
    let first = simulation.replace(0, 1);
    simulation.wait(first, 6000);
    let first_orders: Vec<usize> = (0..8).map(|i| simulation.retire(i % 3, i as u32)).collect();
    let change = simulation.replace(1, 2);
    let repeated_orders: Vec<usize> = (0..8).map(|i| simulation.retire((i + 1) % 3, i as u32)).collect();
    for call in first_orders.into_iter().chain(repeated_orders).chain([change]) {
        simulation.wait(call, 9000);
    }
    simulation.advance(3, RetirementStage::Draining);
    simulation.run(50);
    simulation.advance(3, RetirementStage::Complete);
}

fn assert_all_retirements_known(simulation: &Simulation, nodes: usize) {
    for i in 0..nodes {
        let mut known: Vec<u32> = simulation.retired(i).into_iter().map(|(node, _)| node).collect();
        known.sort_unstable();
        if known != (0..8).collect::<Vec<u32>>() {
            simulation.fail(&format!("node {i} has committed the retirements {known:?}"));
        }
    }
}

#[test]
fn a_fault_at_each_effect_of_eight_orders_loses_and_duplicates_none() {
    for (fault, every) in [(Kill, 2), (PowerLoss, 2), (DiskLoss, 3), (Freeze, 3)] {
        let mut without_fault = Simulation::new(3, 1, 7);
        retire_eight_stores(&mut without_fault);
        for k in (1..=without_fault.effects).step_by(every) {
            let mut simulation = Simulation::new(3, 1, 7);
            simulation.armed_fault = Some((k, fault));
            simulation.trace.push(format!("{fault:?} at effect {k}"));
            retire_eight_stores(&mut simulation);
            simulation.run(if fault == Freeze { 1500 } else { 300 });
            simulation.assert_recovers();
            assert_all_retirements_known(&simulation, 3);
        }
    }
}

#[test]
fn after_a_restart_of_all_nodes_a_repeated_order_changes_nothing() {
    for fault in [Kill, PowerLoss] {
        let mut simulation = Simulation::new(3, 1, 5);
        retire_eight_stores(&mut simulation);
        simulation.run(500);
        let before = simulation.nodes[0].committed.serial;
        (0..3).for_each(|i| simulation.inject(i, fault, Some(100)));
        simulation.run(100);
        for at in 0..3 {
            let again = simulation.retire(at, 3);
            assert_eq!(simulation.wait(again, 3000), Verdict::Unchanged);
        }
        simulation.run(500);
        assert_eq!(simulation.nodes[0].committed.serial, before);
        assert!(simulation.retired(1).contains(&(3, RetirementStage::Complete)));
    }
}

#[test]
fn a_stage_only_advances_and_is_written_once() {
    let mut simulation = Simulation::new(3, 1, 5);
    retire_eight_stores(&mut simulation);
    simulation.run(500);
    let serial = simulation.nodes[0].committed.serial;
    simulation.advance(3, RetirementStage::Draining);
    simulation.advance(9, RetirementStage::Complete);
    simulation.run(500);
    assert_eq!(simulation.nodes[0].committed.serial, serial);
    // The caller repeats the request in each iteration of its loop until the stage is written.
    (0..5).for_each(|_| simulation.advance(4, RetirementStage::Draining));
    simulation.run(500);
    assert_eq!(simulation.nodes[0].committed.serial, serial + 1);
    assert!(
        simulation.retired(2).contains(&(4, RetirementStage::Draining))
            && simulation.retired(2).contains(&(3, RetirementStage::Complete))
    );
}

#[test]
fn beyond_the_limit_the_oldest_complete_retirement_is_removed_and_none_under_way() {
    let mut simulation = Simulation::new(3, 1, 5);
    for node in 0..MAX_RETIREMENTS as u32 {
        let call = simulation.retire(0, node);
        simulation.wait(call, 6000);
    }
    // All retirements are under way, so one more is rejected and none is removed to make room for it.
    let more = simulation.retire(0, 900);
    simulation.run(1000);
    assert_eq!((simulation.calls[more].done, simulation.retired(0).len()), (None, MAX_RETIREMENTS));
    simulation.advance(7, RetirementStage::Complete);
    simulation.advance(2, RetirementStage::Complete);
    assert_eq!(simulation.wait(more, 3000), Verdict::Accepted);
    simulation.run(500);
    let known: Vec<u32> = simulation.retired(0).into_iter().map(|(node, _)| node).collect();
    assert!(
        known.len() == MAX_RETIREMENTS && !known.contains(&2) && known.contains(&7) && known.contains(&900)
    );
}

#[test]
fn a_legacy_configuration_is_read_with_its_version_as_serial() {
    let old = Record::LegacyConfiguration(LegacyConfiguration { version: 7, body: b"seven".to_vec() });
    let mut persisted = PersistedState::default();
    persisted.apply(old);
    let read = ControlState { serial: 7, version: 7, body: b"seven".to_vec(), retirements: Vec::new() };
    assert_matches!(&persisted.state, Some(state) if *state == read);
    // Records written from here on have the current format.
    assert_eq!(persisted.records().collect::<Vec<_>>(), [Record::ControlState(read)]);
}

#[test]
fn the_digest_depends_on_every_part_of_a_value() {
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
