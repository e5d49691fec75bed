use super::*;

fn messages() -> Vec<Message> {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 7), 4711);
    let entry =
        |id: u64, state| Entry { id, incarnation: id * 3, address, domain: 2, state, suspected_by: id + 5 };
    let entries = vec![entry(1, State::Alive), entry(2, State::Suspect), entry(3, State::Left)];
    let kinds = [
        Kind::Ping { seq: 7, id: 9 },
        Kind::Ack { seq: u32::MAX },
        Kind::Request { seq: 1, id: 2, address },
        Kind::Nack { seq: 0 },
        Kind::Sync { from: 5 },
        Kind::Members { next: 0 },
    ];
    kinds.map(|kind| Message { from: 1, incarnation: 2, number: 3, kind, entries: entries.clone() }).to_vec()
}

#[test]
fn what_is_written_is_read_and_nothing_else_is() {
    let (key, other) = ([7; 32], [8; 32]);
    for message in messages() {
        let (plain, tagged) = (message.encode(None), message.encode(Some(&key)));
        assert_eq!(Message::decode(&plain, None).as_ref(), Ok(&message));
        assert_eq!(Message::decode(&tagged, Some(&key)).as_ref(), Ok(&message));
        assert_eq!(Message::decode(&tagged, Some(&other)), Err(DecodeError::Unauthenticated));
        assert_eq!(Message::decode(&plain, Some(&key)), Err(DecodeError::Unauthenticated));
        // Truncated at any length, extended, or changed at any byte.
        for at in 0..plain.len() {
            assert!(Message::decode(&plain[..at], None).is_err(), "{message:?} to {at}");
        }
        assert!(Message::decode(&[&plain[..], &[0]].concat(), None).is_err());
        for at in 0..tagged.len() {
            let mut spoilt = tagged.clone();
            spoilt[at] ^= 1;
            assert!(Message::decode(&spoilt, Some(&key)).is_err(), "{message:?} at {at}");
        }
    }
    assert_eq!(Message::decode(&[], None), Err(DecodeError::Malformed));
    assert_eq!(Message::decode(&[1, 0], None), Err(DecodeError::Malformed), "a list by number's");
}

#[test]
fn the_fullest_message_is_no_longer_than_may_be() {
    let mut message = messages().remove(2);
    message.entries = vec![message.entries[0]; max_entries()];
    let text = message.encode(Some(&[1; 32]));
    assert!(
        text.len() <= MAX_MESSAGE_BYTES && text.len() > MAX_MESSAGE_BYTES - 2 * ENTRY_BYTES,
        "{}",
        text.len()
    );
    assert!(Message::decode(&text, Some(&[1; 32])).is_ok());
}
