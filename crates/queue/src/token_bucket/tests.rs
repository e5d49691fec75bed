//! The lifetime of tokens.

use super::*;

#[test]
fn a_token_that_is_given_back_again_and_again_lives_no_longer() {
    let mut bucket = TokenBucket::new(0, RateLimit { rate_per_s: 20.0, window_ms: 5000, tolerance: 1.1 });
    bucket.receive(0, 1);
    for now in (0..TOKEN_LIFETIME_MS).step_by(10) {
        assert!(bucket.take(now), "{now}");
        bucket.give_back();
    }
    assert!(!bucket.take(TOKEN_LIFETIME_MS));
}
