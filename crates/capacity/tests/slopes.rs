//! How costs grow with the fleet must not get worse. Sizes are small, so that the test is quick; what the capacity page uses
//! is measured at up to a thousand nodes by `make measure-capacity`.

use stileroute_capacity::fit::{power, Spread};
use stileroute_capacity::layout::Layout;
use stileroute_capacity::report::{Fleets, Row};
use stileroute_capacity::run::{is_complete, run, FleetSettings};
use stileroute_capacity::simulation::Simulation;
use stileroute_capacity::store_cost::{comparison_cost, message_cost};
use stileroute_capacity::stores::BODY_BYTES;

const SIZES: [usize; 3] = [16, 32, 64];

fn fleets() -> Fleets {
    let settings =
        |nodes| FleetSettings { nodes, executors_per_node: 10, calm_ms: 2000, has_changes: true, seed: 1 };
    let runs = SIZES.iter().map(|nodes| vec![run(settings(*nodes))]).collect();
    Fleets { sizes: SIZES.to_vec(), runs }
}

/// The power of the first row of this name, which may stand in two tables.
fn power_of(rows: &[Row], name: &str) -> f64 {
    let row = rows.iter().find(|row| row.name == name);
    row.and_then(|row| row.power).unwrap_or_else(|| panic!("no power for {name}"))
}

#[test]
fn costs_grow_with_the_fleet_no_faster_than_they_did() {
    let fleets = fleets();
    assert!(fleets.is_complete(), "a store does not know all executors, or a node lacks the configuration");
    let rows = fleets.rows();
    // In proportion to the fleet.
    let linear = ["control: bytes a second in and out", "control: messages a second in and out"];
    let states = ["control: state, kB", "store: state, kB", "edge: state, kB"];
    let flows = ["executors", "heartbeats", "session", "control"];
    for name in linear.iter().chain(&states).chain(&flows) {
        let power = power_of(&rows, name);
        assert!(power <= 1.25, "{name} grows with the power {power:.2}");
    }
    // Words on connections: edges times stores, until one of the two hears from fewer of the other.
    let link = power_of(&rows, "link");
    assert!(link <= 2.15, "link grows with the power {link:.2}");
    // One change, told to all that need it.
    for row in rows.iter().filter(|row| row.table.starts_with("one change")) {
        let power = row.power.unwrap_or_default();
        assert!(power <= 1.6, "{} grows with the power {power:.2}", row.name);
    }
}

#[test]
fn a_fleet_with_more_executors_than_a_control_node_keeps_is_seen() {
    // A control node keeps 20,000; those beyond are left out without a word.
    let layout = Layout::new(10, 2100);
    let all = layout.executors;
    let mut simulation = Simulation::new(layout, 1);
    // All have called once, and all control nodes have told each other.
    simulation.run_until(3000);
    let kept: Vec<usize> =
        simulation.control_nodes().map(|node| node.registry().executors().count()).collect();
    assert!(kept.iter().all(|kept| *kept < all && *kept >= all / 2), "{kept:?} of {all}");
    assert!(!is_complete(&simulation, 0));
}

#[test]
fn a_message_costs_what_it_has_and_little_more() {
    let cost = message_cost(500).expect("a configuration of the measurement's own");
    // Two stores keep the body; what is around it is an entry and its places in the indexes.
    assert!(cost.waiting_heap_bytes >= 2.0 * BODY_BYTES as f64, "{} bytes", cost.waiting_heap_bytes);
    assert!(cost.waiting_heap_bytes <= 2.0 * BODY_BYTES as f64 + 3000.0, "{} bytes", cost.waiting_heap_bytes);
    // Two records of the message and two of its end.
    assert_eq!(cost.disk.count, 4.0);
    assert!(
        cost.disk.bytes >= 2.0 * BODY_BYTES as f64 && cost.disk.bytes <= 2.0 * BODY_BYTES as f64 + 400.0,
        "{}",
        cost.disk.bytes
    );
}

#[test]
fn a_comparison_tells_sums_and_no_messages() {
    let bytes = comparison_cost(2000).expect("a configuration of the measurement's own").bytes_per_message;
    assert!(bytes > 0.0 && bytes < 1.0, "{bytes} bytes a message that waits");
}

#[test]
fn the_power_is_that_of_the_figures() {
    let of = |figure: fn(f64) -> f64| power(&[10.0, 30.0, 90.0].map(|size| (size, figure(size))));
    let near = |power: Option<f64>, wanted: f64| power.is_some_and(|power| (power - wanted).abs() < 1e-9);
    assert!(near(of(|_| 7.0), 0.0));
    assert!(near(of(|size| 3.0 * size), 1.0));
    assert!(near(of(|size| size * size / 5.0), 2.0));
    assert_eq!(of(|_| 0.0), None);
    assert_eq!(power(&[(10.0, 1.0)]), None);
    assert_eq!(Spread::of(vec![3.0, 1.0, 2.0]), Spread { least: 1.0, median: 2.0, greatest: 3.0 });
}
