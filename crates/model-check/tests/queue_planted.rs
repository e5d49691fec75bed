//! Each fault that is planted in the queue is found, and the same days are well without it.

#[path = "../../queue/tests/simulation/mod.rs"]
mod simulation;

use simulation::drawn::{broken_by, for_each_seed, Ingredients};
use simulation::{
    key_loss_scenarios, key_scenarios, loss_scenarios, retirement_scenarios, Action, Behavior, DiskRetention,
    Fault, Prepare, Simulation,
};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use stileroute_model_check::queue::QUEUE_FAULTS;
use stileroute_queue::{PlantedFault, Queue};

type Day = fn(&Prepare);

const DAYS: [(PlantedFault, Day); 32] = [
    (PlantedFault::EarlyAnswer, the_owner_is_lost_just_after_its_answer),
    (PlantedFault::CopyUnsynced, the_copy_loses_power_and_the_owner_its_disk),
    (PlantedFault::FenceUnheeded, a_store_is_cut_off),
    (PlantedFault::ReleasedEarly, an_end_is_lost_with_the_power),
    (PlantedFault::OldCopyList, the_copy_that_replaced_another_runs_it),
    (PlantedFault::DropUnsent, a_copy_that_was_replaced_is_still_there),
    (PlantedFault::EndUnkept, all_lose_power_after_the_end),
    (PlantedFault::EndKeptByDiskAlone, all_are_killed_while_writes_stall),
    (PlantedFault::HandedTwice, one_of_two_copies_gets_it),
    (PlantedFault::TermUnraised, retirement_scenarios::an_owner_is_gone),
    (PlantedFault::RetiredEarly, retirement_scenarios::a_message_is_handed_over_late),
    (PlantedFault::RelievedForever, retirement_scenarios::a_message_is_handed_over_late),
    (PlantedFault::OrphansUnheeded, retirement_scenarios::an_owner_is_gone),
    (PlantedFault::EndsGoAlong, retirement_scenarios::ends_are_asked_for_later),
    (PlantedFault::EndsGoAlong, retirement_scenarios::ends_outlive_two_disks),
    (PlantedFault::ResubmittedUnasked, the_second_store_reads_late_that_the_first_has_it),
    (PlantedFault::PeerDisksForgotten, retirement_scenarios::ends_outlive_a_restart_between_two_losses),
    (PlantedFault::FailedAttemptsForgotten, a_poison_message_outlives_many_restarts),
    (PlantedFault::FailuresKeptByDiskAlone, poison_messages_fail_while_writes_stall),
    (PlantedFault::FailuresUnannounced, the_owner_of_poison_messages_is_gone),
    (PlantedFault::EndsCopiedOnce, loss_scenarios::ends_outlive_three_losses),
    (PlantedFault::GoneReplicasCounted, loss_scenarios::two_are_lost_after_a_retirement_and_a_restart),
    (PlantedFault::DroppedConfirmed, loss_scenarios::a_dropped_replica_reaches_the_disk),
    (PlantedFault::ReplicaChosenTwice, loss_scenarios::two_replicas_are_late),
    (PlantedFault::InheritedListTrusted, loss_scenarios::an_inherited_list_is_out_of_date),
    (PlantedFault::CutOffControlNodeTrusted, a_store_is_cut_off_with_a_control_node),
    (PlantedFault::ShardsHeldUnasked, key_scenarios::tries_reach_different_stores),
    (PlantedFault::StaleHolderHeeded, key_scenarios::an_earlier_holder_has_not_heard_of_its_successor),
    (PlantedFault::BlankStoreGrants, key_scenarios::the_store_that_granted_a_claim_loses_its_disk),
    (PlantedFault::KeyUnchecked, key_scenarios::uncertain_messages_of_one_key_survive_a_blackout),
    (PlantedFault::BlankGrantCounts, key_loss_scenarios::a_store_is_killed_while_another_recovers),
    (PlantedFault::LostDisksUncounted, key_loss_scenarios::a_second_disk_is_lost_during_a_recovery),
];

/// Seeds within which each fault has to be found: those of `crates/queue/tests/drawn_figures.rs`.
const DRAWN_SEEDS: u64 = 1000;

/// A span that does not follow from the settings.
#[derive(Clone, Copy, Debug)]
enum FixedSpan {
    /// In the queue.
    Queue(PlantedFault),
    /// In what the program of a store records on its disk.
    Disk(DiskRetention),
}

const FIXED_SPANS: [FixedSpan; 8] = [
    FixedSpan::Queue(PlantedFault::UnconfiguredStoreExpires),
    FixedSpan::Queue(PlantedFault::ReportsKeptForFixedTime),
    FixedSpan::Disk(DiskRetention::Unrecorded),
    FixedSpan::Queue(PlantedFault::UnconfiguredStoreAdmits),
    FixedSpan::Queue(PlantedFault::LongWaitsCut),
    FixedSpan::Queue(PlantedFault::EndsKeptByStatusAlone),
    FixedSpan::Disk(DiskRetention::RecordedForLookups),
    FixedSpan::Queue(PlantedFault::QuotaWindowFixed),
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
    let is_span = |span: &FixedSpan, fault| matches!(span, FixedSpan::Queue(of) if of == fault);
    let by_drawn_figures = |fault| FIXED_SPANS.iter().any(|span| is_span(span, fault));
    let found = |fault| by_search(fault) || by_drawn_figures(fault) || DAYS.iter().any(|(of, _)| of == fault);
    assert!(PlantedFault::ALL.iter().all(found));
    for (fault, day) in DAYS {
        assert!(!fails(day, None), "the day of {fault:?} fails without it");
        assert!(fails(day, Some(fault)), "{fault:?} is not found");
    }
}

/// What a play of the seed with drawn figures and this fault has broken.
fn broken_by_span(seed: u64, span: FixedSpan) -> Option<String> {
    let (disk_retention, fault) = match span {
        FixedSpan::Disk(disk_retention) => (disk_retention, None),
        FixedSpan::Queue(fault) => (DiskRetention::Recorded, Some(fault)),
    };
    broken_by(seed, Ingredients::default(), disk_retention, &planted(fault))
}

/// The first seed that finds the fault, and what it has broken.
fn first_find(span: FixedSpan) -> Option<(u64, String)> {
    let first = AtomicU64::new(DRAWN_SEEDS);
    for_each_seed(0..DRAWN_SEEDS, |seed| {
        if seed < first.load(Ordering::Relaxed) && broken_by_span(seed, span).is_some() {
            first.fetch_min(seed, Ordering::Relaxed);
        }
        seed < first.load(Ordering::Relaxed)
    });
    let first = first.into_inner();
    (first < DRAWN_SEEDS).then(|| (first, broken_by_span(first, span).unwrap_or_default()))
}

#[test]
fn each_fixed_span_is_found() {
    for span in FIXED_SPANS {
        let found = first_find(span);
        println!("{span:?}: {found:?}");
        assert!(found.is_some(), "{span:?} is not found within {DRAWN_SEEDS} seeds");
    }
}

fn world(stores: usize, losses: usize, prepare: &Prepare) -> Simulation {
    let mut world = Simulation::new(stores, losses, 1);
    world.prepare(prepare);
    world
}

/// Each message has run, and once.
fn once(mut world: Simulation, until: u64) {
    world.run(until);
    world.check(false);
    let runs = |id: &str| world.executions.iter().filter(|run| run.id == id).count();
    let other: Vec<_> = world.messages.iter().map(|m| (&m.message.id, runs(&m.message.id))).collect();
    assert!(other.iter().all(|(_, runs)| *runs == 1), "{other:?}");
}

fn the_owner_is_lost_just_after_its_answer(prepare: &Prepare) {
    for at in 2500..2530 {
        let mut world = world(3, 1, prepare);
        world.send(2500, 0, "plain", &[Behavior::Unreachable], 0);
        world.act(at, Action::Remove(0));
        world.run(15_000);
        world.check(false);
    }
}

fn the_copy_loses_power_and_the_owner_its_disk(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    world.act(2000, Action::DiskSlow(1, 100));
    world.send(2500, 0, "plain", &[Behavior::Unreachable], 0);
    world.act(2550, Action::Inject(1, Fault::PowerLoss));
    world.act(2560, Action::Remove(0));
    world.run(15_000);
    world.check(false);
}

/// What runs while the writes of all stores hang has ended long before the processes are killed.
fn all_are_killed_while_writes_stall(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    for n in 0..20 {
        world.send(2600 + 20 * n, 0, "plain", &[Behavior::Succeeds], 1500);
    }
    kill_all_while_writes_stall(&mut world);
    once(world, 20_000);
}

fn kill_all_while_writes_stall(world: &mut Simulation) {
    for store in 0..3 {
        world.act(4000, Action::HoldWrites(store, 2500));
        world.act(6000, Action::Inject(store, Fault::Kill));
    }
}

fn a_store_is_cut_off(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    for n in 0..40 {
        world.send(2600 + 3 * n, 0, "plain", &[Behavior::Succeeds], 3500 + 20 * n);
    }
    world.act(3500, Action::Isolate(0, 6000));
    once(world, 25_000);
}

/// Its control node answers on. What falls due once it may have been listed as gone is not started by both sides.
fn a_store_is_cut_off_with_a_control_node(prepare: &Prepare) {
    const CUT_AT: u64 = 3500;
    let mut world = world(3, 1, prepare);
    for n in 0..40 {
        let sent_at = 2600 + 3 * n;
        world.send(sent_at, 0, "plain", &[Behavior::Succeeds], CUT_AT + 2050 + 25 * n - sent_at);
    }
    world.act(CUT_AT, Action::IsolateWithControlNode(0, 6000));
    once(world, 25_000);
}

/// The copy knows the end of what the owner reads as live.
fn an_end_is_lost_with_the_power(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    world.send(2500, 0, "plain", &[Behavior::Succeeds], 0);
    world.act(2680, Action::Inject(0, Fault::PowerLoss));
    once(world, 15_000);
}

/// One that has it by a changed list runs it while its owner is away, and is not connected when that one is back.
fn the_copy_that_replaced_another_runs_it(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    world.act(2400, Action::DiskSlow(1, 500));
    world.send(2500, 0, "plain", &[Behavior::Succeeds], 3000);
    world.act(3500, Action::DiskSlow(1, 2));
    world.act(4000, Action::Inject(0, Fault::KillLong));
    // It tells nobody else of it.
    world.act(4100, Action::Cut(1, 2));
    world.act(10_500, Action::Cut(0, 2));
    world.act(12_500, Action::Reconnect(0, 2));
    once(world, 25_000);
}

fn a_copy_that_was_replaced_is_still_there(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    world.act(2400, Action::DiskSlow(1, 150));
    world.send(2500, 0, "plain", &[Behavior::Succeeds], 1000);
    world.act(3300, Action::DiskSlow(1, 2));
    // Nobody is there to tell it of the end.
    world.act(4400, Action::Cut(1, 2));
    world.act(9000, Action::Reconnect(1, 2));
    world.act(4500, Action::Inject(0, Fault::KillLong));
    once(world, 25_000);
}

fn all_lose_power_after_the_end(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    world.send(2500, 0, "plain", &[Behavior::Succeeds], 0);
    world.act(5000, Action::PowerLossOfAll);
    once(world, 15_000);
}

/// Due while it is handed over: a moment later the new owner's replica has told the others of it.
fn one_of_two_copies_gets_it(prepare: &Prepare) {
    for delay_ms in (494..506).chain([1500]) {
        let mut world = world(4, 2, prepare);
        world.send(2500, 0, "plain", &[Behavior::Succeeds], delay_ms);
        world.act(3000, Action::Inject(0, Fault::Shutdown));
        once(world, 15_000);
    }
}

fn a_poison_message_outlives_many_restarts(prepare: &Prepare) {
    // At some of these gaps each life of the store is long enough for one attempt, and too short for the next one. Where one store alone
    // is killed another one tells it.
    for (gap_ms, killed) in (500..2500).step_by(50).flat_map(|gap_ms| [(gap_ms, 1), (gap_ms, 3)]) {
        let mut world = world(3, 1, prepare);
        world.send(2500, 0, "plain", &[Behavior::Fails], 0);
        for n in 0..14 {
            (0..killed).for_each(|store| world.act(2560 + gap_ms * n, Action::Inject(store, Fault::Kill)));
        }
        world.run(60_000);
        world.check(true);
    }
}

/// All attempts but the last fail while no write ends, and then all processes are killed.
fn poison_messages_fail_while_writes_stall(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    for n in 0..20 {
        world.send(2600 + 20 * n, 0, "plain", &[Behavior::Fails], 1500);
    }
    kill_all_while_writes_stall(&mut world);
    assert_attempts_are_counted(world);
}

/// Some attempts have failed when the owner is killed, and its replicas are taken over.
fn the_owner_of_poison_messages_is_gone(prepare: &Prepare) {
    let mut world = world(3, 1, prepare);
    for n in 0..20 {
        world.send(2600 + 20 * n, 0, "plain", &[Behavior::Fails], 1500 - 20 * n);
    }
    world.act(4250, Action::Inject(0, Fault::KillLong));
    assert_attempts_are_counted(world);
}

/// All messages fail at each run, and none more often than its route allows.
fn assert_attempts_are_counted(mut world: Simulation) {
    world.run(70_000);
    world.check(true);
    let failures = |id: &str| {
        world.executions.iter().filter(|run| run.id == id && run.failure_read_at.is_some()).count()
    };
    let most = world.messages.iter().map(|sent| failures(&sent.message.id)).max();
    assert_eq!(most, Some(world.max_tries as usize));
}

/// The first store is slow, and accepts the message just after its edge has asked the second, which is slow to read what the
/// edge says then.
fn the_second_store_reads_late_that_the_first_has_it(prepare: &Prepare) {
    for sync_ms in (190..210).step_by(2) {
        let mut world = world(3, 1, prepare);
        world.edge_patience_ms = 200;
        world.superseded_delay_ms = 15;
        world.act(2400, Action::DiskSlow(0, sync_ms));
        world.send(2500, 0, "plain", &[Behavior::Succeeds], 0);
        once(world, 15_000);
    }
}
