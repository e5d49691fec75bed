//! Whose fault an unanswered op is: the clients of a play tell a killed node from one that hangs up.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use stileroute_testbed::executor::specs;
use stileroute_testbed::experiment;
use stileroute_testbed::faults::Weather;
use stileroute_testbed::judge::{Answer, Saw};
use stileroute_testbed::load::{Asked, Source};
use stileroute_testbed::play::clients::{ask, Front, NodeConnection};
use stileroute_testbed::play::world::{locked, World};

const SEED: u64 = 1;
const NODE: usize = 0;
const GIVE_UP: i64 = 10_000;

/// A day without faults and its front, with one node at this address.
fn calm_day(node: SocketAddr) -> (World, Front) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/calm.toml");
    let plan = experiment::load(&path).unwrap().plan;
    let specs = specs(&plan, SEED);
    let world = World::new(&plan, Weather::new(&plan, &specs, SEED).0, Vec::new()).unwrap();
    let front = Front::new(vec![(node, 0)], Source::new(&plan, &specs, SEED));
    (world, front)
}

fn some_job() -> Asked {
    Asked { category: 0, tenant: 0, domain: 0, due: 0, work: 1.0, hint: None, useful: 0, tries: 0 }
}

/// The node ends the connection without a word; `meanwhile` happens to it after the connection and before the op.
async fn unanswered(meanwhile: impl FnOnce(&Front)) -> Saw {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (world, front) = calm_day(listener.local_addr().unwrap());
    let connection = NodeConnection::open(&world, &front, 0, GIVE_UP).await.unwrap();
    drop(listener.accept().unwrap());
    meanwhile(&front);
    ask(&world, &front, 0, &some_job(), connection).await;
    let ledger = locked(&world.ledger);
    ledger.sheets[0].seen.last().unwrap().1
}

#[tokio::test]
async fn a_node_killed_and_buried_between_the_connection_and_the_op_owes_no_answer() {
    let killed_and_waited_for = 2;
    let seen = unanswered(|front| front.node(NODE, |node| node.killed += killed_and_waited_for)).await;
    assert_eq!(seen, Saw::Released);
}

#[tokio::test]
async fn a_node_that_hangs_up_while_it_lives_owes_an_answer() {
    let seen = unanswered(|_| {}).await;
    assert_eq!(seen, Saw::Answered(Answer::Nothing));
}

#[tokio::test]
async fn a_kill_before_the_connection_excuses_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (world, front) = calm_day(listener.local_addr().unwrap());
    front.node(NODE, |node| node.killed += 2);
    let connection = NodeConnection::open(&world, &front, 0, GIVE_UP).await.unwrap();
    drop(listener.accept().unwrap());
    ask(&world, &front, 0, &some_job(), connection).await;
    let seen = locked(&world.ledger).sheets[0].seen.last().unwrap().1;
    assert_eq!(seen, Saw::Answered(Answer::Nothing));
}
