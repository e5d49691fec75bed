//! Tests of the lifetime of tokens and of the tokens with which a new holder begins.

use super::*;

#[test]
fn repeatedly_returning_a_token_does_not_extend_its_lifetime() {
    let mut bucket = TokenBucket::new(0, RateLimit { rate_per_s: 20.0, window_ms: 5000, tolerance: 1.1 });
    bucket.receive(0, 1);
    for now in (0..TOKEN_LIFETIME_MS).step_by(10) {
        assert!(bucket.take(now), "{now}");
        bucket.give_back();
    }
    assert!(!bucket.take(TOKEN_LIFETIME_MS));
}

const BOUNDS: QuotaBounds = QuotaBounds { window_ms: 5000, overrun: 0.1, slack: 20 };

fn quota_bucket() -> TokenBucket {
    let mut bucket = TokenBucket::default();
    bucket.set_quota(1, 20.0, 20.0, BOUNDS);
    bucket
}

/// A holder with a full bucket, and its successor.
fn full_holder_and_successor() -> (TokenBucket, TokenBucket) {
    let (mut holder, mut successor) = (quota_bucket(), quota_bucket());
    holder.set_holder(1, true);
    holder.refill(20_000);
    successor.set_holder(20_000, true);
    (holder, successor)
}

/// Guards against rejections with status 429 below the quota: after a planned change of the holder, the successor began
/// with an empty bucket.
#[test]
fn a_successor_begins_with_the_tokens_left_by_the_former_holder() {
    let (mut holder, mut successor) = full_holder_and_successor();
    let used = holder.hand_out(20_000, 5);
    let left = holder.hand_out(20_000, u32::MAX);
    successor.take_over(20_000, 0);
    successor.take_over(20_000, left);
    assert_eq!(used, 5);
    assert_eq!(successor.hand_out(20_000, u32::MAX), left);
    assert_eq!(holder.hand_out(20_000, 1), 0, "tokens that were handed over were handed out twice");
}

#[test]
fn tokens_handed_over_late_fill_the_bucket_only_to_its_burst() {
    let (mut holder, mut successor) = full_holder_and_successor();
    let left = holder.hand_out(20_000, u32::MAX);
    let burst = successor.burst.floor() as u32;
    successor.take_over(21_900, left);
    assert!(successor.hand_out(21_900, u32::MAX) <= burst);
}

#[test]
fn a_store_that_is_not_the_holder_takes_nothing_over() {
    let mut other = quota_bucket();
    other.take_over(20_000, 30);
    assert_eq!(other.hand_out(20_000, u32::MAX), 0);
    assert!(!other.take(20_000));
}
