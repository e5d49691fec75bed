//! Quotas of tenants, counted over all stores. No window holds more of a tenant's messages than its quota allows,
//! whatever fails; without faults, none is rejected below the quota.

mod simulation;
mod support;

use simulation::{config, Action, Fault, Simulation};
use stileroute_queue::*;
use support::*;

const WINDOW_MS: u64 = 5000;
/// Most messages in a window of a tenant with 20 messages per second and a burst of 20: (20 x 5 + 20) x 1.1 + 20.
const MAX_ACCEPTED_IN_WINDOW: usize = 152;
const BEGIN_MS: u64 = 5000;
const END_MS: u64 = 25_000;

fn world(stores: usize, replicas: usize, seed: u64) -> Simulation {
    let mut world = Simulation::new(stores, replicas, seed);
    world.act(200, Action::Configure("quota"));
    // The tenant "hot" sends six times its quota, "calm" half of it.
    for at in (BEGIN_MS..END_MS).step_by(8) {
        world.send_as(at, "hot");
    }
    for at in (BEGIN_MS..END_MS).step_by(100) {
        world.send_as(at, "calm");
    }
    world
}

/// When the accepted messages of a tenant were sent, in order.
fn accepted(world: &Simulation, tenant: &str) -> Vec<u64> {
    let of_tenant = world.messages.iter().filter(|sent| sent.message.tenant.as_deref() == Some(tenant));
    let mut times: Vec<u64> = of_tenant.filter(|sent| sent.name.is_some()).map(|sent| sent.sent_at).collect();
    times.sort_unstable();
    times
}

fn max_in_window(times: &[u64]) -> usize {
    let in_window =
        |first: &u64| times.iter().filter(|time| (*first..first + WINDOW_MS).contains(time)).count();
    times.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn a_hot_tenant_gets_its_quota_and_no_more_and_others_lose_nothing() {
    for (stores, replicas) in [(3, 1), (5, 2)] {
        let mut world = world(stores, replicas, 5);
        world.run(END_MS + 10_000);
        world.check(true);
        let (hot, calm) = (accepted(&world, "hot"), accepted(&world, "calm"));
        println!(
            "{stores} stores: hot {} in all, {} in a window; calm {}",
            hot.len(),
            max_in_window(&hot),
            calm.len()
        );
        assert!(max_in_window(&hot) <= MAX_ACCEPTED_IN_WINDOW, "{}", max_in_window(&hot));
        // The tenant is owed at least what its rate gives in twenty seconds.
        assert!(hot.len() >= 400, "{}", hot.len());
        assert_eq!(calm.len(), 200);
    }
}

#[test]
fn whatever_fails_no_window_holds_more_than_the_quota() {
    let faults =
        [Fault::Kill, Fault::KillLong, Fault::PowerLoss, Fault::DiskLoss, Fault::Shutdown, Fault::Freeze];
    for (seed, fault) in (0u64..).zip(faults) {
        for store in 0..3 {
            let mut world = world(3, 1, seed);
            world.act(BEGIN_MS + 3000 + 170 * seed, Action::Inject(store, fault));
            world.run(END_MS + 10_000);
            world.check(true);
            let hot = max_in_window(&accepted(&world, "hot"));
            println!("seed {seed}, {fault:?} of store {store}: {hot} in a window");
            assert!(hot <= MAX_ACCEPTED_IN_WINDOW, "{fault:?} of store {store}: {hot}");
        }
    }
}

#[test]
fn a_store_that_is_cut_off_hands_out_nothing_beside_its_successor() {
    for seed in 0..6 {
        for store in 0..3 {
            let mut world = world(3, 1, seed);
            let cut = Action::IsolateWithControlNode(store, 6000);
            world.act(BEGIN_MS + 2000 + 400 * seed, cut);
            world.run(END_MS + 10_000);
            let hot = max_in_window(&accepted(&world, "hot"));
            println!("seed {seed}, store {store}: {hot} in a window");
            assert!(hot <= MAX_ACCEPTED_IN_WINDOW, "store {store}: {hot}");
        }
    }
}

/// Guards against 429 below the quota for messages that arrived after the token holder was asked: its answer had no
/// token for them, which was treated as a rejection.
#[test]
fn messages_that_come_at_once_are_accepted_as_long_as_the_holder_has_tokens() {
    for (stores, replicas, seed) in [(3, 1, 1), (3, 1, 2), (5, 2, 3)] {
        let mut world = Simulation::new(stores, replicas, seed);
        world.act(200, Action::Configure("quota"));
        // Half of the rate and of the burst, at one time each second.
        for at in (BEGIN_MS..END_MS).step_by(1000) {
            for n in 0..10 {
                world.send_as(at + n / 4, "calm");
            }
        }
        world.run(END_MS + 10_000);
        world.check(true);
        let calm = accepted(&world, "calm");
        assert_eq!(calm.len(), 200, "{stores} stores, seed {seed}");
    }
}

/// Guards against 429 below the quota when the token holder shuts down in order: its successor began with an empty
/// bucket.
#[test]
fn a_planned_change_of_the_holder_costs_no_message_below_the_quota() {
    for store in 0..3 {
        let mut world = Simulation::new(3, 1, 7);
        world.act(200, Action::Configure("quota"));
        for at in (BEGIN_MS..END_MS).step_by(1000) {
            for n in 0..10 {
                world.send_as(at + n / 4, "calm");
            }
        }
        world.act(BEGIN_MS + 2950, Action::Inject(store, Fault::Shutdown));
        world.run(END_MS + 10_000);
        world.check(true);
        let calm = accepted(&world, "calm");
        println!("store {store}: {} of 200", calm.len());
        assert_eq!(calm.len(), 200, "store {store}");
    }
}

/// The result of the put with this ticket, if it has one.
fn put_result(effects: &[Effect], ticket: u64) -> Option<Result<String, PutError>> {
    effects.iter().find_map(|effect| match effect {
        Effect::PutResult { ticket: of, result } if *of == ticket => Some(result.clone()),
        _ => None,
    })
}

/// A quota exceeded after a restart: a store that had no configuration yet accepted all messages of a tenant. Another
/// store may have one, so the edge is told to ask there.
#[test]
fn a_store_without_a_configuration_accepts_no_message_of_a_tenant() {
    let mut one = SingleStore::new(StateTable::default(), 1);
    one.queue.set_members(0, &[(ME, 0), (B, 1), (C, 2)]);
    for other in [B, C] {
        one.queue.peer_connected(0, other);
        one.queue.handle_peer_message(0, other, PeerMessage::Reconciled);
    }
    one.pass(10);
    let of_tenant = |tenant: &str| Message { tenant: Some(tenant.into()), ..message("plain") };
    let written = one.records.len();
    let effects = one.put(1, of_tenant("hot"));
    assert_eq!(put_result(&effects, 1), Some(Err(PutError::Rejected)));
    assert_eq!((replicas_sent(&effects).len(), one.records.len()), (0, written), "nothing of it is kept");
    assert_eq!(
        replicas_sent(&one.put(2, message("plain"))).len(),
        1,
        "a message without a tenant is accepted"
    );
    one.configure_with(config(2, "quota", 3, 60.0));
    assert_eq!(replicas_sent(&one.put(3, of_tenant("tenant"))).len(), 1, "a tenant without a quota");
}
