//! A hunt draws the same days from the same seed and makes a failing one as small as it goes.

use std::path::Path;
use stileroute_testbed::experiment::{load, read};
use stileroute_testbed::hunt::hunt_for;
use stileroute_testbed::plan::{Plan, What};

fn experiment() -> Plan {
    load(&Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/hunt.toml")).unwrap().plan
}

#[test]
fn a_failing_day_is_shrunk_to_the_fault_that_makes_it_fail() {
    let plan = experiment();
    // Fails where executors hang, for a second at least, and something else is slow.
    let has =
        |plan: &Plan, what: What, least: f64| plan.fault.iter().any(|f| f.what == what && f.for_s >= least);
    let fails = |plan: &Plan, _: u64| {
        Ok((has(plan, What::Hang, 1.0) && has(plan, What::Slow, 0.0)).then(|| "both".to_string()))
    };
    let found = hunt_for(&plan, 3, &|| {}, &fails).unwrap().expect("no such day in 200");
    assert_eq!((found.plan.fault.len(), found.why.as_str()), (2, "both"));
    assert!(found.drawn >= 2 && found.plan.seconds <= plan.seconds);
    let hang = found.plan.fault.iter().find(|f| f.what == What::Hang).unwrap();
    assert!((1.0..2.0).contains(&hang.for_s) && hang.every_s == 0.0, "{hang:?}");
    // Told as an experiment it is the same day; and the same seed finds it again.
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/found.toml");
    let again = read(&file.display().to_string(), &found.text("hunt.toml").unwrap()).unwrap();
    assert_eq!(again.plan.fault, found.plan.fault);
    assert_eq!(again.plan.seeds, [found.seed]);
    let second = hunt_for(&plan, 3, &|| {}, &fails).unwrap().unwrap();
    assert_eq!((second.seed, second.plan.fault), (found.seed, found.plan.fault));
    // Where nothing fails, nothing is found.
    assert!(hunt_for(&plan, 3, &|| {}, &|_, _| Ok(None)).unwrap().is_none());
}
