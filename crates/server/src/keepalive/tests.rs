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

/// Simulates an edge and the peers that it has dialed, with connections in different initial states. `send_interval` is
/// the interval at which each peer sends a frame other than a ping.
fn simulate(peer_count: u64, send_interval: Option<Millis>) -> Traffic {
    let new_connection = |index: u64| {
        let (dialer_received_at, acceptor_received_at) =
            (index * 37 % PING_INTERVAL, index * 53 % PING_INTERVAL);
        let dialer = Keepalive {
            is_dialer: true,
            last_received_at: dialer_received_at,
            last_sent_at: acceptor_received_at,
            unanswered_since: None,
        };
        (
            dialer,
            Keepalive {
                is_dialer: false,
                last_received_at: acceptor_received_at,
                last_sent_at: dialer_received_at,
                unanswered_since: None,
            },
        )
    };
    let mut connections: Vec<(Keepalive, Keepalive)> = (0..peer_count).map(new_connection).collect();
    let (mut frames, mut wakeups, mut max_silence) = (0, 0, 0);
    for now in PING_INTERVAL..PING_INTERVAL + 20_000 {
        let is_ping_time = now % PING_INTERVAL == 123;
        let mut has_woken = is_ping_time;
        for (index, (dialer, acceptor)) in connections.iter_mut().enumerate() {
            if is_ping_time && dialer.is_ping_due(now) {
                max_silence = max_silence.max(now - acceptor.last_received_at);
                (dialer.last_sent_at, acceptor.last_received_at, frames) = (now, now, frames + 1);
                dialer.unanswered_since.get_or_insert(now);
                if acceptor.needs_ping_reply(now) {
                    (acceptor.last_sent_at, frames) = (now, frames + 1);
                    max_silence = max_silence.max(now - dialer.last_received_at);
                    dialer.record_received(now);
                }
            }
            let sends_own =
                send_interval.is_some_and(|interval| (now + index as u64 * 7).is_multiple_of(interval));
            if acceptor.is_ping_due(now) || sends_own {
                max_silence = max_silence.max(now - dialer.last_received_at);
                (acceptor.last_sent_at, dialer.last_received_at, frames, has_woken) =
                    (now, now, frames + 1, true);
            }
        }
        wakeups += u64::from(has_woken);
    }
    Traffic { frames, wakeups, longest_silence: max_silence }
}

#[test]
fn pings_are_sent_together_and_neither_side_stays_silent() {
    // With one timer per connection the edge woke up 4 times a second for each peer.
    for peer_count in [1, 24, 100] {
        let Traffic { frames, wakeups, longest_silence } = simulate(peer_count, None);
        assert!(frames <= peer_count * 20 * 4, "{peer_count}: {frames} frames");
        assert!(wakeups <= 20 * 2 + 2, "{peer_count}: woke up {wakeups} times");
        assert!(longest_silence <= PEER_TIMEOUT / 2, "{peer_count}: {longest_silence} ms of silence");
    }
    // If the peers send frames of their own, the edge still sends pings to them, and no more pings than without those
    // frames.
    for interval in [100, 190, 210, 700] {
        let Traffic { frames, longest_silence, .. } = simulate(24, Some(interval));
        assert!(longest_silence <= PEER_TIMEOUT / 2, "{interval}: {longest_silence} ms of silence");
        assert!(frames <= 24 * 20 * (4 + 1000 / interval), "{interval}: {frames} frames");
    }
    // A peer that never replies still receives pings, and is considered dead at the time-out.
    let mut unresponsive = Keepalive::new(true, 0);
    for now in (0..3000).step_by(500).filter(|now| *now > 0) {
        assert!(unresponsive.is_ping_due(now));
        unresponsive.record_sent(now);
    }
    assert_eq!(unresponsive.expires_at(), PEER_TIMEOUT);
    // A dialer whose process was suspended, and which sent no pings in that time, pings before it closes the
    // connection.
    let mut suspended = Keepalive::new(true, 0);
    assert!(suspended.expires_at() > 5000 && suspended.is_ping_due(5000));
    suspended.record_sent(5000);
    assert_eq!(suspended.expires_at(), 5000 + PEER_TIMEOUT - PING_INTERVAL);
    suspended.record_received(5001);
    assert!(suspended.expires_at() > 60_000);
    assert_eq!(
        Keepalive::new(false, 0).expires_at(),
        PEER_TIMEOUT,
        "the time-out of the dialed side starts at the last received frame"
    );
}
