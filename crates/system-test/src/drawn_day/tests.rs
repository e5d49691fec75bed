use super::*;
use std::collections::BTreeSet;

fn plan(seed: u64, mix: Mix) -> DayPlan {
    DayPlan { seed, length: 60.0, pause: 1.0, mix }
}

#[test]
fn a_seed_gives_the_same_day_and_another_seed_another_one() {
    for mix in [Mix::All, Mix::Losses] {
        let text = DrawnDay::draw(&plan(7, mix)).to_string();
        assert_eq!(text, DrawnDay::draw(&plan(7, mix)).to_string());
        assert_ne!(text, DrawnDay::draw(&plan(8, mix)).to_string());
    }
}

#[test]
fn a_day_is_toml_whose_troubles_lie_within_it() {
    for seed in 0..50 {
        let day: toml::Table = DrawnDay::draw(&plan(seed, Mix::All)).to_string().parse().expect("parses");
        let entries = ["plan", "faults"].into_iter().flat_map(|key| day[key].as_array().expect("a list"));
        let times: Vec<f64> = entries.map(|entry| entry["at"].as_float().expect("a time")).collect();
        assert!(times.len() > 20, "{} troubles in a minute", times.len());
        assert!(times.iter().all(|at| (FIRST_TROUBLE_S..60.0).contains(at)));
        assert!(day.contains_key("closing"));
    }
}

#[test]
fn every_kind_and_every_closing_fault_is_drawn() {
    let days: Vec<DrawnDay> = (0..60).map(|seed| DrawnDay::draw(&plan(seed, Mix::All))).collect();
    let troubles = days.iter().flat_map(|day| day.plan.iter().chain(&day.faults));
    let drawn: BTreeSet<&str> = troubles.map(|trouble| trouble.kind).collect();
    let known: BTreeSet<&str> = CHANGES_AND_PLANS.iter().chain(&FAULTS).map(|kind| kind.name).collect();
    assert_eq!(drawn, known);
    let closings: BTreeSet<&str> = days.iter().filter_map(|day| Some(day.closing.as_ref()?.kind)).collect();
    assert_eq!(closings.len(), CLOSINGS.len());
}

#[test]
fn each_lost_disk_has_a_silent_store_beside_it() {
    let is_loss = |trouble: &&Trouble| trouble.kind == "after_ack_wipe";
    let mut silences = BTreeSet::new();
    for seed in 0..40 {
        let day = DrawnDay::draw(&plan(seed, Mix::LostDisks));
        let (lost, silent): (Vec<&Trouble>, Vec<&Trouble>) = day.faults.iter().partition(is_loss);
        assert_eq!(lost.len(), silent.len(), "seed {seed}");
        for (loss, silence) in lost.iter().zip(&silent) {
            assert!((loss.at - silence.at).abs() <= SILENCE_OFFSET_S + 0.1, "seed {seed}");
            assert_eq!([loss.on, silence.on], [Some("store"); 2], "seed {seed}");
        }
        silences.extend(silent.iter().map(|trouble| trouble.kind));
    }
    assert_eq!(silences, SILENCES.iter().map(|kind| kind.name).collect());
}

#[test]
fn a_day_of_losses_loses_disks_again_and_again() {
    for seed in 0..20 {
        let day = DrawnDay::draw(&plan(seed, Mix::Losses));
        let lost = day.plan.iter().chain(&day.faults).filter(|trouble| {
            matches!(trouble.kind, "after_ack_wipe" | "replace_core" | "retire") && trouble.on != Some("core")
        });
        assert!(lost.count() >= 5, "seed {seed}");
    }
}
