//! Each fault that is planted in the queue is found, and the same days are well without it.

// Not finished yet: what these lints name is still to be documented or divided.
#![allow(clippy::struct_excessive_bools, clippy::too_many_lines)]

#[path = "../../queue/tests/simulation/mod.rs"]
mod simulation;

use simulation::{retirement_scenarios, Act, Does, Fault, Prepare, World};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use stileroute_model_check::queue::QUEUE_FAULTS;
use stileroute_queue::{PlantedFault, Queue};

type Day = fn(&Prepare);

const DAYS: [(PlantedFault, Day); 14] = [
    (PlantedFault::EarlyAnswer, the_owner_is_lost_just_after_its_answer),
    (PlantedFault::CopyUnsynced, the_copy_loses_power_and_the_owner_its_disk),
    (PlantedFault::FenceUnheeded, a_store_is_cut_off),
    (PlantedFault::ReleasedEarly, an_end_is_lost_with_the_power),
    (PlantedFault::OldCopyList, the_copy_that_replaced_another_runs_it),
    (PlantedFault::DropUnsent, a_copy_that_was_replaced_is_still_there),
    (PlantedFault::EndUnkept, all_lose_power_after_the_end),
    (PlantedFault::HandedTwice, one_of_two_copies_gets_it),
    (PlantedFault::TermUnraised, retirement_scenarios::an_owner_is_gone),
    (PlantedFault::RetiredEarly, retirement_scenarios::a_message_is_handed_over_late),
    (PlantedFault::RelievedForever, retirement_scenarios::a_message_is_handed_over_late),
    (PlantedFault::OrphansUnheeded, retirement_scenarios::an_owner_is_gone),
    (PlantedFault::EndsGoAlong, retirement_scenarios::ends_are_asked_for_later),
    (PlantedFault::EndsGoAlong, retirement_scenarios::ends_outlive_two_disks),
];

fn planted(fault: Option<PlantedFault>) -> Prepare {
    Rc::new(move |queue: &mut Queue| queue.plant(fault))
}

fn fails(day: Day, fault: Option<PlantedFault>) -> bool {
    catch_unwind(AssertUnwindSafe(|| day(&planted(fault)))).is_err()
}

#[test]
fn each_planted_fault_is_found_on_its_day() {
    let by_search = |fault| QUEUE_FAULTS.iter().any(|(of, ..)| of == fault);
    let found = |fault| by_search(fault) || DAYS.iter().any(|(of, _)| of == fault);
    assert!(PlantedFault::ALL.iter().all(found));
    for (fault, day) in DAYS {
        assert!(!fails(day, None), "the day of {fault:?} fails without it");
        assert!(fails(day, Some(fault)), "{fault:?} is not found");
    }
}

fn world(stores: usize, losses: usize, prepare: &Prepare) -> World {
    let mut world = World::new(stores, losses, 1);
    world.prepare(prepare);
    world
}

/// Each message has run, and once.
fn once(mut world: World, until: u64) {
    world.run(until);
    world.check(false);
    let runs = |id: &str| world.runs.iter().filter(|run| run.id == id).count();
    let other: Vec<_> = world.messages.iter().map(|m| (&m.message.id, runs(&m.message.id))).collect();
    assert!(other.iter().all(|(_, runs)| *runs == 1), "{other:?}");
}

fn the_owner_is_lost_just_after_its_answer(prepare: &Prepare) {
    for at in 2500..2530 {
        let mut world = world(3, 1, prepare);
        world.send(2500, 0, "plain", &[Does::Down], 0);
        world.act(at, Act::Gone(0));
        world.run(15_000);
        world.check(false);
    }
}

fn the_copy_loses_power_and_the_owner_its_disk(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    world.act(2000, Act::DiskSlow(1, 100));
    world.send(2500, 0, "plain", &[Does::Down], 0);
    world.act(2550, Act::Strike(1, Fault::Power));
    world.act(2560, Act::Gone(0));
    world.run(15_000);
    world.check(false);
}

fn a_store_is_cut_off(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    for n in 0..40 {
        world.send(2600 + 3 * n, 0, "plain", &[Does::Well], 3500 + 20 * n);
    }
    world.act(3500, Act::Isolate(0, 6000));
    once(world, 25_000);
}

/// The copy knows the end of what the owner reads as live.
fn an_end_is_lost_with_the_power(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    world.send(2500, 0, "plain", &[Does::Well], 0);
    world.act(2680, Act::Strike(0, Fault::Power));
    once(world, 15_000);
}

/// One that has it by a changed list runs it while its owner is away, and is not connected when that one is back.
fn the_copy_that_replaced_another_runs_it(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    world.act(2400, Act::DiskSlow(1, 500));
    world.send(2500, 0, "plain", &[Does::Well], 3000);
    world.act(3500, Act::DiskSlow(1, 2));
    world.act(4000, Act::Strike(0, Fault::Long));
    // It tells nobody else of it.
    world.act(4100, Act::Cut(1, 2));
    world.act(10_500, Act::Cut(0, 2));
    world.act(12_500, Act::Join(0, 2));
    once(world, 25_000);
}

fn a_copy_that_was_replaced_is_still_there(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    world.act(2400, Act::DiskSlow(1, 150));
    world.send(2500, 0, "plain", &[Does::Well], 1000);
    world.act(3300, Act::DiskSlow(1, 2));
    // Nobody is there to tell it of the end.
    world.act(4400, Act::Cut(1, 2));
    world.act(9000, Act::Join(1, 2));
    world.act(4500, Act::Strike(0, Fault::Long));
    once(world, 25_000);
}

fn all_lose_power_after_the_end(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    world.send(2500, 0, "plain", &[Does::Well], 0);
    world.act(5000, Act::PowerAll);
    once(world, 15_000);
}

fn one_of_two_copies_gets_it(prepare: &Prepare) {
    let mut world = world(4, 2, prepare);
    world.send(2500, 0, "plain", &[Does::Well], 1500);
    world.act(3000, Act::Strike(0, Fault::Leave));
    once(world, 15_000);
}
