//! What instances tell one another, and what they make of bad messages.

use super::*;

fn peers(me: usize) -> Peers {
    let mut peers = Peers::new(&Terms { peers: true, me, nodes: 4, ..Terms::default() }, 1, 2);
    (0..300).for_each(|x| peers.lists(1000 + x as u64, x));
    peers
}

#[test]
fn what_is_told_is_heard_and_what_is_lost_is_made_good() {
    let (mut one, mut two) = (peers(0), peers(1));
    let tell = |one: &mut Peers, now: Time, held: f64| {
        one.changed(7, None);
        one.changed(9, Some(1));
        one.due(now, 1000, &[2.5, 0.0], |x| (1000 + x as u64, held)).remove(0).text
    };
    let first = tell(&mut one, 2 * SECOND, 2.0);
    assert_eq!(two.heard(2 * SECOND, 0, &first), [News::Held(7, 2.0), News::Barred(9, 1)]);
    assert_eq!(two.rate(0, 0.5), Some(6.0), "the mean of both, for four");
    assert!(one.due(2 * SECOND + 900, 1000, &[], |_| (0, 0.0)).is_empty(), "not so often");
    let lost = tell(&mut one, 3 * SECOND, 5.0);
    assert!(!lost.is_empty());
    assert_eq!(two.heard(4 * SECOND, 0, &tell(&mut one, 4 * SECOND, 1.0))[0], News::Held(7, -1.0));
    assert_eq!(two.forget(10 * SECOND), []);
    assert_eq!(two.forget(11 * SECOND), [News::Held(7, -1.0)], "who is silent holds nothing");
    assert_eq!((two.rate(0, 0.5), two.garbled), (None, 0));
}

#[test]
fn a_message_stays_under_its_most_and_the_rest_follows() {
    let mut one = peers(0);
    (0..200).for_each(|x| one.changed(x, None));
    let mut told = 0;
    for turn in 1..=3 {
        let letters = one.due(turn * SECOND, 1000, &[1.0, 1.0], |x| (1000 + x as u64, 1.0));
        assert!(letters[0].text.len() <= LONGEST);
        told += (letters[0].text.len() - 2 - 2 * usize::from(letters[0].text[1])) / 3;
    }
    assert_eq!(told, 200);
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
        assert!(two.heard(SECOND, from, text).is_empty() && two.garbled == 1, "{from}: {text:?}");
    }
    let mut off = Peers::new(&Terms { nodes: 4, ..Terms::default() }, 1, 0);
    assert!(off.heard(SECOND, 1, &[VERSION, 0]).is_empty() && off.garbled == 1, "not allowed");
    // An executor that the list has not named, and a category that there is not, are the receiver's to leave.
    let mut two = peers(1);
    assert_eq!(two.heard(SECOND, 0, &[VERSION, 0, 0, 0, 5]), []);
    assert_eq!(two.garbled, 0);
}
