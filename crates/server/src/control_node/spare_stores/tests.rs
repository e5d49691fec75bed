use super::*;

#[test]
fn a_change_is_logged_when_the_last_spare_store_goes_or_one_is_back() {
    let mut monitor = SpareStoreMonitor::default();
    let mut observe = |count, spare| monitor.observe(StoresInService { count, spare });
    assert!(observe(4, 2));
    assert!(!observe(3, 1));
    assert!(observe(2, 0));
    assert!(!observe(1, 0));
    assert!(observe(3, 1));
}
