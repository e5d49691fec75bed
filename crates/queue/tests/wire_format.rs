//! The bytes of every message between stores and of every record on disk: stores of two versions talk to each other while a
//! site is updated, and a store reads the disk that an older version has written.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use stileroute_queue::{
    End, Handed, Key, KnownEnd, Message, Owned, PeerMessage, Range, Record, Refusal, Shared, Stands, Sum,
};

fn assert_bytes<Value: Serialize + DeserializeOwned + PartialEq + Debug>(value: &Value, hex: &str) {
    let bytes = postcard::to_stdvec(value).expect("a value can be written");
    let written: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(written, hex, "bytes of {value:?}");
    let read: Value = postcard::from_bytes(&bytes).expect("what was written can be read");
    assert_eq!(&read, value);
}

fn key() -> Key {
    Key { origin: 300, number: 70_000 }
}

fn other_key() -> Key {
    Key { origin: 1, number: 2 }
}

fn message() -> Message {
    Message {
        id: "id".into(),
        host: "host".into(),
        method: "POST".into(),
        target: "/t".into(),
        content_type: Some("text/plain".into()),
        callback: Some("/back".into()),
        order_key: Some("row".into()),
        delay_ms: 1000,
        taken: 2000,
        config: 3,
        body: vec![0xAB, 0xCD],
    }
}

fn replicated() -> Shared {
    Shared {
        key: key(),
        owner: 4,
        term: 5,
        copies: vec![6, 700],
        due_in: 800,
        waited: 9,
        tries: 10,
        message: message(),
    }
}

fn owned() -> Owned {
    Owned { key: key(), owner: 4, term: 5, copies: vec![6, 700] }
}

fn handed() -> Handed {
    Handed { key: key(), term: 5, tries: 300 }
}

fn range() -> Range {
    Range { owner: 4, part: 500 }
}

fn sum() -> Sum {
    Sum { range: range(), count: 200, mix: 1 << 40 }
}

fn stands() -> Stands {
    Stands { key: key(), owner: 4, term: 5, ended: true }
}

fn complete() -> End {
    End::Complete { seal: "seal".into() }
}

#[test]
fn the_parts_of_frames_and_records_have_these_bytes() {
    assert_bytes(&key(), "ac02f0a204");
    assert_bytes(
        &message(),
        "02696404686f737404504f5354022f74010a746578742f706c61696e01052f6261636b0103726f77e807d00f0302abcd",
    );
    assert_bytes(&Message::default(), "0000000000000000000000");
    assert_bytes(&complete(), "00047365616c");
    assert_bytes(&End::Failed, "01");
    assert_bytes(&replicated(), "ac02f0a20404050206bc05a006090a02696404686f737404504f5354022f74010a746578742f706c61696e01052f6261636b0103726f77e807d00f0302abcd");
    assert_bytes(&owned(), "ac02f0a20404050206bc05");
    assert_bytes(&handed(), "ac02f0a20405ac02");
    assert_bytes(&range(), "04f403");
    assert_bytes(&sum(), "04f403c801808080808020");
    assert_bytes(&stands(), "ac02f0a204040501");
    assert_bytes(
        &KnownEnd { key: key(), end: complete(), owed: true, dead: None },
        "ac02f0a20400047365616c0100",
    );
    assert_bytes(&KnownEnd { key: key(), end: End::Failed, owed: false, dead: Some(message()) }, "ac02f0a20401000102696404686f737404504f5354022f74010a746578742f706c61696e01052f6261636b0103726f77e807d00f0302abcd");
    assert_bytes(&Refusal::NotTaken, "00");
    assert_bytes(&Refusal::Uncertain, "01");
}

#[test]
fn the_records_on_disk_have_these_bytes() {
    assert_bytes(&Record::Born { disk: 1000, first: 1 << 36 }, "00e807808080808002");
    assert_bytes(&Record::Put { shared: replicated() }, "01ac02f0a20404050206bc05a006090a02696404686f737404504f5354022f74010a746578742f706c61696e01052f6261636b0103726f77e807d00f0302abcd");
    assert_bytes(
        &Record::End { key: key(), end: complete(), owed: true, at: 1 << 41 },
        "02ac02f0a20400047365616c01808080808040",
    );
    assert_bytes(&Record::End { key: key(), end: End::Failed, owed: false, at: 5 }, "02ac02f0a204010005");
    assert_bytes(&Record::Called { key: key() }, "03ac02f0a204");
    assert_bytes(
        &Record::Own { key: key(), owner: 4, term: 5, copies: vec![6, 700] },
        "04ac02f0a20404050206bc05",
    );
    assert_bytes(&Record::Drop { key: key() }, "05ac02f0a204");
    assert_bytes(&Record::Retire, "06");
}

#[test]
fn the_frames_that_replicate_a_message_have_these_bytes() {
    assert_bytes(&PeerMessage::Copy(vec![replicated()]), "0001ac02f0a20404050206bc05a006090a02696404686f737404504f5354022f74010a746578742f706c61696e01052f6261636b0103726f77e807d00f0302abcd");
    assert_bytes(&PeerMessage::Copied(vec![key(), other_key()]), "0102ac02f0a2040102");
    assert_bytes(&PeerMessage::NotCopied(vec![key()]), "0201ac02f0a204");
    assert_bytes(
        &PeerMessage::Ends(vec![(key(), complete(), true), (other_key(), End::Failed, false)]),
        "0302ac02f0a20400047365616c0101020100",
    );
    assert_bytes(&PeerMessage::Called(vec![key()]), "0401ac02f0a204");
    assert_bytes(&PeerMessage::Own(vec![owned()]), "0501ac02f0a20404050206bc05");
    assert_bytes(&PeerMessage::Drop(vec![key()]), "0601ac02f0a204");
    assert_bytes(&PeerMessage::Lost(vec![key()]), "0701ac02f0a204");
    assert_bytes(&PeerMessage::Want(vec![key()]), "0801ac02f0a204");
}

#[test]
fn the_frames_that_compare_two_stores_have_these_bytes() {
    assert_bytes(&PeerMessage::Disk(1000), "09e807");
    assert_bytes(
        &PeerMessage::Digests { disk: 1000, over: 300, sums: vec![sum()] },
        "0ae807ac020104f403c801808080808020",
    );
    let standing =
        PeerMessage::Standing { disk: 1000, answer: true, ranges: vec![range()], live: vec![stands()] };
    assert_bytes(&standing, "0be807010104f40301ac02f0a204040501");
    assert_bytes(&PeerMessage::Stood, "0c");
}

#[test]
fn the_frames_that_hand_messages_over_have_these_bytes() {
    assert_bytes(&PeerMessage::Handover(vec![handed()]), "0d01ac02f0a20405ac02");
    assert_bytes(&PeerMessage::HandoverTaken(vec![(key(), 6)]), "0e01ac02f0a20406");
    assert_bytes(&PeerMessage::HandoverRefused(vec![key()]), "0f01ac02f0a204");
    assert_bytes(&PeerMessage::Leaving, "13");
    assert_bytes(&PeerMessage::Retiring, "14");
    assert_bytes(&PeerMessage::Relieved, "15");
    let known = KnownEnd { key: key(), end: End::Failed, owed: true, dead: Some(message()) };
    assert_bytes(&PeerMessage::KnownEnds(vec![known]), "1601ac02f0a20401010102696404686f737404504f5354022f74010a746578742f706c61696e01052f6261636b0103726f77e807d00f0302abcd");
    assert_bytes(&PeerMessage::EndsKept(vec![key()]), "1701ac02f0a204");
}

#[test]
fn the_frames_that_keep_messages_in_order_have_these_bytes() {
    let ask =
        PeerMessage::RowAsk { number: 300, row: "row".into(), taken: 1 << 41, key: key(), announced: true };
    assert_bytes(&ask, "10ac0203726f77808080808040ac02f0a20401");
    let live = vec![(1 << 41, key()), (7, other_key())];
    assert_bytes(
        &PeerMessage::RowLive { number: 300, beyond: 1 << 41, live },
        "11ac0280808080804002808080808040ac02f0a204070102",
    );
    assert_bytes(&PeerMessage::RowDone(vec![("row".into(), key())]), "120103726f77ac02f0a204");
}

#[test]
fn the_frames_that_carry_tokens_have_these_bytes() {
    assert_bytes(
        &PeerMessage::TokensWanted { service: "service".into(), count: 300 },
        "180773657276696365ac02",
    );
    assert_bytes(&PeerMessage::Tokens { service: "service".into(), count: 4 }, "19077365727669636504");
}

#[test]
fn a_key_is_written_in_hexadecimal_with_its_first_replica_last() {
    assert_eq!(key().name(None), "12c.11170");
    assert_eq!(key().name(Some(700)), "12c.11170.2bc");
    assert_eq!(Key::default().name(Some(0)), "0.0.0");
    let most = Key { origin: u32::MAX, number: u64::MAX };
    assert_eq!(most.name(Some(u32::MAX)), "ffffffff.ffffffffffffffff.ffffffff");
}

#[test]
fn a_key_is_read_with_the_stores_to_ask_the_origin_first() {
    assert_eq!(Key::parse("12c.11170"), Some((key(), vec![300])));
    assert_eq!(Key::parse("12c.11170.2bc"), Some((key(), vec![300, 700])));
    assert_eq!(Key::parse("12C.11170.2bc.1.2"), Some((key(), vec![300, 700, 1, 2])));
    assert_eq!(Key::parse("12c.11170.2bc.x.2"), Some((key(), vec![300, 700])));
    assert_eq!(Key::parse("12c.11170."), Some((key(), vec![300])));
    for text in ["", ".", "12c", "12c.", "x.1", "1.x", "100000000.1", "1.10000000000000000", "-1.1", "1.-1"] {
        assert_eq!(Key::parse(text), None, "{text}");
    }
}
