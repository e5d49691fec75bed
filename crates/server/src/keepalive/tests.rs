use super::*;

/// An edge and those it has dialled, each in a state of its own at first: how many words were said in all, how often the
/// edge woke for them, and the longest silence that any side heard. `sends_every`: the others say something by themselves.
fn simulate(others: u64, sends_every: Option<Millis>) -> (u64, u64, Millis) {
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
    let (mut words, mut wakes, mut longest) = (0, 0, 0);
    for now in PING_INTERVAL..PING_INTERVAL + 20_000 {
        let look = now % PING_INTERVAL == 123;
        let mut woken = look;
        for (at, (here, there)) in ends.iter_mut().enumerate() {
            if look && here.is_ping_due(now) {
                longest = longest.max(now - there.last_received_at);
                (here.last_sent_at, there.last_received_at, words) = (now, now, words + 1);
                here.unanswered_since.get_or_insert(now);
                if there.needs_ping_reply(now) {
                    (there.last_sent_at, words) = (now, words + 1);
                    longest = longest.max(now - here.last_received_at);
                    here.record_received(now);
                }
            }
            let own = sends_every.is_some_and(|every| (now + at as u64 * 7).is_multiple_of(every));
            if there.is_ping_due(now) || own {
                longest = longest.max(now - here.last_received_at);
                (there.last_sent_at, here.last_received_at, words, woken) = (now, now, words + 1, true);
            }
        }
        wakes += u64::from(woken);
    }
    (words, wakes, longest)
}

#[test]
fn pings_go_out_together_and_no_side_is_silent_for_long() {
    // Each by its own clock the edge woke 4 times a second for each of the others.
    for others in [1, 24, 100] {
        let (words, wakes, longest) = simulate(others, None);
        assert!(words <= others * 20 * 4, "{others}: {words} words");
        assert!(wakes <= 20 * 2 + 2, "{others}: woken {wakes} times");
        assert!(longest <= PEER_SILENCE_LIMIT / 2, "{others}: {longest} ms of silence");
    }
    // Where the others say something the edge still lets them hear of it, and is asked for no more.
    for every in [100, 190, 210, 700] {
        let (words, _, longest) = simulate(24, Some(every));
        assert!(longest <= PEER_SILENCE_LIMIT / 2, "{every}: {longest} ms of silence");
        assert!(words <= 24 * 20 * (4 + 1000 / every), "{every}: {words} words");
    }
    // One that never answers is asked again and again, and given up all the same.
    let mut mute = Keepalive::new(true, 0);
    for now in (0..3000).step_by(500).filter(|now| *now > 0) {
        assert!(mute.is_ping_due(now));
        mute.record_sent(now);
    }
    assert_eq!(mute.expires_at(), PEER_SILENCE_LIMIT);
    // After a sleep of its own, in which it has asked nothing, it asks first.
    let mut slept = Keepalive::new(true, 0);
    assert!(slept.expires_at() > 5000 && slept.is_ping_due(5000));
    slept.record_sent(5000);
    assert_eq!(slept.expires_at(), 5000 + PEER_SILENCE_LIMIT - PING_INTERVAL);
    slept.record_received(5001);
    assert!(slept.expires_at() > 60_000);
    assert_eq!(
        Keepalive::new(false, 0).expires_at(),
        PEER_SILENCE_LIMIT,
        "who was dialled hears the other's words"
    );
}
