use super::*;

/// Traffic on the connections of one edge within 20 s of simulated time.
struct Traffic {
    /// Number of frames, pings and others, sent in both directions.
    frames: u64,
    /// Number of wake-ups of the edge.
    wakeups: u64,
    /// Longest time in which one side of a connection received no frame.
    longest_silence: Millis,
}

/// Simulates an edge and the peers that it has dialed, with connections in different initial states. `sends_every` is
/// the interval at which each peer sends a frame other than a ping.
fn simulate(others: u64, sends_every: Option<Millis>) -> Traffic {
    let begin = |n: u64| {
        let (one, other) = (n * 37 % PING_INTERVAL, n * 53 % PING_INTERVAL);
        let here =
            Keepalive { is_dialer: true, last_received_at: one, last_sent_at: other, unanswered_since: None };
        (
            here,
            Keepalive {
                is_dialer: false,
                last_received_at: other,
                last_sent_at: one,
                unanswered_since: None,
            },
        )
    };
    let mut ends: Vec<(Keepalive, Keepalive)> = (0..others).map(begin).collect();
    let (mut frames, mut wakeups, mut longest) = (0, 0, 0);
    for now in PING_INTERVAL..PING_INTERVAL + 20_000 {
        let is_ping_time = now % PING_INTERVAL == 123;
        let mut has_woken = is_ping_time;
        for (at, (here, there)) in ends.iter_mut().enumerate() {
            if is_ping_time && here.is_ping_due(now) {
                longest = longest.max(now - there.last_received_at);
                (here.last_sent_at, there.last_received_at, frames) = (now, now, frames + 1);
                here.unanswered_since.get_or_insert(now);
                if there.needs_ping_reply(now) {
                    (there.last_sent_at, frames) = (now, frames + 1);
                    longest = longest.max(now - here.last_received_at);
                    here.record_received(now);
                }
            }
            let sends_own = sends_every.is_some_and(|every| (now + at as u64 * 7).is_multiple_of(every));
            if there.is_ping_due(now) || sends_own {
                longest = longest.max(now - here.last_received_at);
                (there.last_sent_at, here.last_received_at, frames, has_woken) = (now, now, frames + 1, true);
            }
        }
        wakeups += u64::from(has_woken);
    }
    Traffic { frames, wakeups, longest_silence: longest }
}

#[test]
fn pings_go_out_together_and_no_side_is_silent_for_long() {
    // With one timer per connection the edge woke up 4 times a second for each peer.
    for others in [1, 24, 100] {
        let Traffic { frames, wakeups, longest_silence } = simulate(others, None);
        assert!(frames <= others * 20 * 4, "{others}: {frames} frames");
        assert!(wakeups <= 20 * 2 + 2, "{others}: woke up {wakeups} times");
        assert!(longest_silence <= PEER_SILENCE_LIMIT / 2, "{others}: {longest_silence} ms of silence");
    }
    // If the peers send frames of their own, the edge still sends pings to them, and no more pings than without those
    // frames.
    for every in [100, 190, 210, 700] {
        let Traffic { frames, longest_silence, .. } = simulate(24, Some(every));
        assert!(longest_silence <= PEER_SILENCE_LIMIT / 2, "{every}: {longest_silence} ms of silence");
        assert!(frames <= 24 * 20 * (4 + 1000 / every), "{every}: {frames} frames");
    }
    // A peer that never replies still receives pings, and is considered dead at the time-out.
    let mut silent = Keepalive::new(true, 0);
    for now in (0..3000).step_by(500).filter(|now| *now > 0) {
        assert!(silent.is_ping_due(now));
        silent.record_sent(now);
    }
    assert_eq!(silent.expires_at(), PEER_SILENCE_LIMIT);
    // A dialer whose process was suspended, and which sent no pings in that time, pings before it closes the
    // connection.
    let mut suspended = Keepalive::new(true, 0);
    assert!(suspended.expires_at() > 5000 && suspended.is_ping_due(5000));
    suspended.record_sent(5000);
    assert_eq!(suspended.expires_at(), 5000 + PEER_SILENCE_LIMIT - PING_INTERVAL);
    suspended.record_received(5001);
    assert!(suspended.expires_at() > 60_000);
    assert_eq!(
        Keepalive::new(false, 0).expires_at(),
        PEER_SILENCE_LIMIT,
        "the side that was dialled counts from what it received"
    );
}
