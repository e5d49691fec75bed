use super::*;

const STORES: [usize; 3] = [0, 1, 4];
const SEEDS: u64 = 500;

fn drawn(kills_all: bool) -> Vec<DiskStall> {
    (0..SEEDS).map(|seed| DiskStall::draw(&mut Dice::new(seed), &STORES, kills_all)).collect()
}

#[test]
fn where_all_stores_are_killed_all_of_their_disks_stall_then() {
    for stall in drawn(true) {
        assert_eq!(stall.stores, STORES);
        assert_eq!(stall.delay_ms, 0);
        assert!((LEAD_BEFORE_KILL_MS..=stall.length_ms).contains(&stall.lead_ms), "{stall}");
        assert!((LENGTH_BEFORE_KILL_MS..=LENGTH_MS.1).contains(&stall.length_ms), "{stall}");
    }
}

#[test]
fn some_or_all_disks_stall_before_a_step_or_during_it() {
    let stalls = drawn(false);
    for stall in &stalls {
        assert!((LENGTH_MS.0..=LENGTH_MS.1).contains(&stall.length_ms), "{stall}");
        assert!(stall.lead_ms <= stall.length_ms && stall.delay_ms <= LATEST_MS, "{stall}");
        assert!(stall.lead_ms == 0 || stall.delay_ms == 0, "{stall}");
        let mut stores = stall.stores.clone();
        stores.sort_unstable();
        stores.dedup();
        assert_eq!(stores.len(), stall.stores.len(), "{stall}");
        assert!(stores.iter().all(|store| STORES.contains(store)), "{stall}");
    }
    for count in 1..=STORES.len() {
        assert!(stalls.iter().any(|stall| stall.stores.len() == count));
    }
    assert!(stalls.iter().any(|stall| stall.lead_ms > 0));
    assert!(stalls.iter().any(|stall| stall.delay_ms > 0));
    assert!(stalls.iter().any(|stall| stall.held == Held::Writes));
    assert!(stalls.iter().any(|stall| stall.held == Held::Syncs));
}

#[test]
fn a_seed_gives_the_same_stall() {
    assert_eq!(drawn(true), drawn(true));
    assert_eq!(drawn(false), drawn(false));
}
