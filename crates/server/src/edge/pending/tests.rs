use super::*;
use assert_matches::assert_matches;

const ORIGIN: Node = 1;
const FIRST: Node = 2;
const SECOND: Node = 3;

#[test]
fn a_late_refusal_does_not_end_the_wait_for_the_store_asked_since() {
    let message = Message::default();
    let mut put = Put { conn: 0, message, tried: vec![FIRST, SECOND], sent: 0, until: 0, uncertain: false };
    assert_eq!(put.refused(FIRST, PutError::Rejected), Refused::Wait);
    assert!(!put.uncertain);
    assert_eq!(put.refused(FIRST, PutError::Uncertain), Refused::Wait);
    assert!(put.uncertain, "what it says counts all the same");
    assert_eq!(put.refused(SECOND, PutError::Rejected), Refused::Next);
}

#[test]
fn a_late_word_that_a_message_waits_does_not_hide_its_end() {
    let key = Key { origin: ORIGIN, number: 1 };
    let asks = |asked| Find {
        conn: 0,
        key,
        body: false,
        left: Vec::new(),
        asked,
        sent: 0,
        until: 0,
        waiting: None,
        unsure: false,
    };
    let waits = || Some(KnownMessage { state: MessageState::Pending, body: None });
    // The first was given up, and the second, asked since, knows the end.
    let mut find = asks(SECOND);
    assert_eq!(find.heard(FIRST, waits()), Heard::Wait);
    assert_eq!(find.waiting, waits());
    assert_eq!(find.heard(FIRST, None), Heard::Wait);
    let end = Some(KnownMessage { state: MessageState::Failed, body: None });
    assert_matches!(
        find.heard(SECOND, end),
        Heard::Answer(KnownMessage { state: MessageState::Failed, body: None })
    );
    // The one that is asked leads on to the next, and the owner is believed at once.
    assert_eq!(asks(FIRST).heard(FIRST, waits()), Heard::Next);
    assert_eq!(asks(FIRST).heard(FIRST, None), Heard::Next);
    assert_matches!(asks(SECOND).heard(ORIGIN, waits()), Heard::Answer(_));
    assert_matches!(
        asks(SECOND).heard(FIRST, Some(KnownMessage { state: MessageState::Failed, body: None })),
        Heard::Answer(_)
    );
}
