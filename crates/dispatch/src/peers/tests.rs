//! Encoding and decoding of messages between instances, and rejection of malformed messages.

use super::*;

fn peers(me: usize) -> Peers {
    let mut peers =
        Peers::new(&InstanceSettings { peers: true, me, nodes: 4, ..InstanceSettings::default() }, 1, 2);
    (0..300).for_each(|x| peers.add_executor(1000 + x as u64, x));
    peers
}

#[test]
fn updates_reach_the_peer_and_a_later_message_replaces_a_lost_one() {
    let (mut one, mut two) = (peers(0), peers(1));
    let encode = |one: &mut Peers, now: Time, held: f64| {
        one.record_change(7, None);
        one.record_change(9, Some(1));
        one.due_messages(now, 1000, &[2.5, 0.0], |x| (1000 + x as u64, held)).remove(0).text
    };
    let first = encode(&mut one, 2 * SECOND, 2.0);
    assert_eq!(two.receive(2 * SECOND, 0, &first), [PeerUpdate::Held(7, 2.0), PeerUpdate::Blocked(9, 1)]);
    assert_eq!(two.rate(0, 0.5), Some(6.0), "mean of the two known rates times four instances");
    assert!(
        one.due_messages(2 * SECOND + 900, 1000, &[], |_| (0, 0.0)).is_empty(),
        "a second message is due only after the interval"
    );
    let lost = encode(&mut one, 3 * SECOND, 5.0);
    assert!(!lost.is_empty());
    assert_eq!(two.receive(4 * SECOND, 0, &encode(&mut one, 4 * SECOND, 1.0))[0], PeerUpdate::Held(7, -1.0));
    assert_eq!(two.expire_silent_peers(10 * SECOND), []);
    assert_eq!(
        two.expire_silent_peers(11 * SECOND),
        [PeerUpdate::Held(7, -1.0)],
        "the slots of a silent peer are released"
    );
    assert_eq!((two.rate(0, 0.5), two.garbled), (None, 0));
}

#[test]
fn a_message_stays_within_its_size_limit_and_the_rest_follows() {
    let mut one = peers(0);
    (0..200).for_each(|x| one.record_change(x, None));
    let mut entries = 0;
    for turn in 1..=3 {
        let messages = one.due_messages(turn * SECOND, 1000, &[1.0, 1.0], |x| (1000 + x as u64, 1.0));
        assert!(messages[0].text.len() <= MAX_MESSAGE_BYTES);
        entries += (messages[0].text.len() - 2 - 2 * usize::from(messages[0].text[1])) / 3;
    }
    assert_eq!(entries, 200);
}

#[test]
fn bad_messages_are_counted_and_change_nothing() {
    let cases: [(usize, &[u8]); 9] = [
        (0, &[]),
        (0, &[VERSION]),
        (0, &[VERSION + 1, 0]),
        (0, &[VERSION, 0, 1]),
        (0, &[VERSION, 1, 0, 0]),
        (0, &[VERSION, 2, 0, 0]),
        (1, &[VERSION, 0]),
        (4, &[VERSION, 0]),
        (0, &[VERSION; 257]),
    ];
    for (from, text) in cases {
        let mut two = peers(1);
        assert!(two.receive(SECOND, from, text).is_empty() && two.garbled == 1, "{from}: {text:?}");
    }
    let mut off = Peers::new(&InstanceSettings { nodes: 4, ..InstanceSettings::default() }, 1, 0);
    assert!(
        off.receive(SECOND, 1, &[VERSION, 0]).is_empty() && off.garbled == 1,
        "messages are refused where peers are disabled"
    );
    // The receiver ignores an entry for an executor that its own list does not name.
    let mut two = peers(1);
    assert_eq!(two.receive(SECOND, 0, &[VERSION, 0, 0, 0, 5]), []);
    assert_eq!(two.garbled, 0);
}
