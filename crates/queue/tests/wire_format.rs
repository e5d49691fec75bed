//! The encoding of every message between stores and of every record on disk. Stores of two versions communicate while
//! a site is updated, and a store reads the disk that an older version has written.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use stileroute_queue::{
    first_number, AcceptedHandover, ClaimAnswer, End, EndNotice, EntrySummary, FailureNotice, GroupMessage,
    GroupPosition, HandoverOffer, IdempotencyDigest, Key, KeyLocation, KeyRange, KnownSubmission, Message,
    Ownership, PeerMessage, PutError, RangeDigest, Record, RecoveryReport, ReplicatedMessage, ShardTerm,
    TransferredEnd, SHARD_COUNT,
};

fn assert_bytes<Value: Serialize + DeserializeOwned + PartialEq + Debug>(value: &Value, hex: &str) {
    let bytes = postcard::to_stdvec(value).expect("a value can be encoded");
    let written: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(written, hex, "bytes of {value:?}");
    let read: Value = postcard::from_bytes(&bytes).expect("encoded bytes can be decoded");
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
        callback_url: Some("/back".into()),
        ordering_key: Some("row".into()),
        delay_ms: 1000,
        accepted_at_ms: 2000,
        config_revision: 3,
        body: vec![0xAB, 0xCD],
        ..Message::default()
    }
}

/// The same message with a tenant: a flag is set in the acceptance time, and the fields that earlier releases do not
/// know follow the body.
fn tenants_message() -> Message {
    Message {
        tenant: Some("ferry".into()),
        idempotency_key: Some("k-1".into()),
        shard_term: 300,
        ..message()
    }
}

const TENANT_MESSAGE_BYTES: &str = "02696404686f737404504f5354022f74010a746578742f706c61696e01052f6261636b0103726f77e807d08f80808080808080010302abcd0105666572727901036b2d31ac02";

fn replicated() -> ReplicatedMessage {
    ReplicatedMessage {
        key: key(),
        owner: 4,
        term: 5,
        replicas: vec![6, 700],
        due_in_ms: 800,
        waited_ms: 9,
        attempts: 10,
        message: message(),
    }
}

fn ownership() -> Ownership {
    Ownership { key: key(), owner: 4, term: 5, replicas: vec![6, 700] }
}

fn handover_offer() -> HandoverOffer {
    HandoverOffer { key: key(), term: 5, attempts: 300 }
}

fn key_range() -> KeyRange {
    KeyRange { owner: 4, block: 500 }
}

fn range_digest() -> RangeDigest {
    RangeDigest { range: key_range(), count: 200, hash: 1 << 40 }
}

fn entry_summary() -> EntrySummary {
    EntrySummary { key: key(), owner: 4, term: 5, has_ended: true }
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
    assert_bytes(&tenants_message(), TENANT_MESSAGE_BYTES);
    assert_bytes(&complete(), "00047365616c");
    assert_bytes(&End::Failed, "01");
    assert_bytes(&replicated(), "ac02f0a20404050206bc05a006090a02696404686f737404504f5354022f74010a746578742f706c61696e01052f6261636b0103726f77e807d00f0302abcd");
    assert_bytes(&ownership(), "ac02f0a20404050206bc05");
    assert_bytes(&handover_offer(), "ac02f0a20405ac02");
    assert_bytes(&key_range(), "04f403");
    assert_bytes(&range_digest(), "04f403c801808080808020");
    assert_bytes(&entry_summary(), "ac02f0a204040501");
    assert_bytes(
        &TransferredEnd { key: key(), end: complete(), callback_pending: true, failed_message: None },
        "ac02f0a20400047365616c0100",
    );
    assert_bytes(&TransferredEnd { key: key(), end: End::Failed, callback_pending: false, failed_message: Some(message()) }, "ac02f0a20401000102696404686f737404504f5354022f74010a746578742f706c61696e01052f6261636b0103726f77e807d00f0302abcd");
    assert_bytes(&PutError::Rejected, "00");
    assert_bytes(&PutError::Uncertain, "01");
}

#[test]
fn the_records_on_disk_have_these_bytes() {
    assert_bytes(&Record::IncarnationStarted { disk_id: 1000, first_number: 1 << 36 }, "00e807808080808002");
    assert_bytes(&Record::Put { replica: replicated() }, "01ac02f0a20404050206bc05a006090a02696404686f737404504f5354022f74010a746578742f706c61696e01052f6261636b0103726f77e807d00f0302abcd");
    assert_bytes(
        &Record::Ended { key: key(), end: complete(), callback_pending: true, ended_at_ms: 1 << 41 },
        "02ac02f0a20400047365616c01808080808040",
    );
    assert_bytes(
        &Record::Ended { key: key(), end: End::Failed, callback_pending: false, ended_at_ms: 5 },
        "02ac02f0a204010005",
    );
    assert_bytes(&Record::CallbackDelivered { key: key() }, "03ac02f0a204");
    assert_bytes(
        &Record::OwnerChanged { key: key(), owner: 4, term: 5, replicas: vec![6, 700] },
        "04ac02f0a20404050206bc05",
    );
    assert_bytes(&Record::Dropped { key: key() }, "05ac02f0a204");
    assert_bytes(&Record::RetirementOrdered, "06");
    assert_bytes(&Record::PeerDiskKnown { node: 300, disk_id: Some(1000) }, "07ac0201e807");
    assert_bytes(&Record::PeerDiskKnown { node: 300, disk_id: None }, "07ac0200");
    assert_bytes(&Record::AttemptFailed { key: key(), failed_attempts: 300 }, "08ac02f0a204ac02");
}

#[test]
fn the_frames_that_replicate_a_message_have_these_bytes() {
    assert_bytes(&PeerMessage::Replicate(vec![replicated()]), "0001ac02f0a20404050206bc05a006090a02696404686f737404504f5354022f74010a746578742f706c61696e01052f6261636b0103726f77e807d00f0302abcd");
    assert_bytes(&PeerMessage::Replicated(vec![key(), other_key()]), "0102ac02f0a2040102");
    assert_bytes(&PeerMessage::ReplicationRejected(vec![key()]), "0201ac02f0a204");
    assert_bytes(
        &PeerMessage::Ended(vec![
            EndNotice { key: key(), end: complete(), callback_pending: true },
            EndNotice { key: other_key(), end: End::Failed, callback_pending: false },
        ]),
        "0302ac02f0a20400047365616c0101020100",
    );
    assert_bytes(&PeerMessage::CallbacksDelivered(vec![key()]), "0401ac02f0a204");
    assert_bytes(&PeerMessage::OwnershipChanged(vec![ownership()]), "0501ac02f0a20404050206bc05");
    assert_bytes(&PeerMessage::Drop(vec![key()]), "0601ac02f0a204");
    assert_bytes(&PeerMessage::LostWithDisk(vec![key()]), "0701ac02f0a204");
    assert_bytes(&PeerMessage::RequestReplicas(vec![key()]), "0801ac02f0a204");
}

#[test]
fn the_frames_that_compare_two_stores_have_these_bytes() {
    assert_bytes(&PeerMessage::DiskId(1000), "09e807");
    assert_bytes(
        &PeerMessage::Digests { disk_id: 1000, min_age_ms: 300, digests: vec![range_digest()] },
        "0ae807ac020104f403c801808080808020",
    );
    let contents = PeerMessage::RangeContents {
        disk_id: 1000,
        reply_wanted: true,
        ranges: vec![key_range()],
        entries: vec![entry_summary()],
    };
    assert_bytes(&contents, "0be807010104f40301ac02f0a204040501");
    assert_bytes(&PeerMessage::Reconciled, "0c");
}

#[test]
fn the_frames_that_hand_messages_over_have_these_bytes() {
    assert_bytes(&PeerMessage::Handover(vec![handover_offer()]), "0d01ac02f0a20405ac02");
    assert_bytes(
        &PeerMessage::HandoverAccepted(vec![AcceptedHandover { key: key(), term: 6 }]),
        "0e01ac02f0a20406",
    );
    assert_bytes(&PeerMessage::HandoverRejected(vec![key()]), "0f01ac02f0a204");
    assert_bytes(&PeerMessage::Draining, "13");
    assert_bytes(&PeerMessage::Retiring, "14");
    assert_bytes(&PeerMessage::NoReplicasNeeded, "15");
    let known = TransferredEnd {
        key: key(),
        end: End::Failed,
        callback_pending: true,
        failed_message: Some(message()),
    };
    assert_bytes(&PeerMessage::TransferEnds(vec![known]), "1601ac02f0a20401010102696404686f737404504f5354022f74010a746578742f706c61696e01052f6261636b0103726f77e807d00f0302abcd");
    assert_bytes(&PeerMessage::EndsStored(vec![key()]), "1701ac02f0a204");
}

#[test]
fn the_frames_that_keep_messages_in_order_have_these_bytes() {
    let query = PeerMessage::GroupQuery {
        query_id: 300,
        group: "row".into(),
        accepted_at_ms: 1 << 41,
        key: key(),
        is_announcement: true,
    };
    assert_bytes(&query, "10ac0203726f77808080808040ac02f0a20401");
    let live = vec![
        GroupPosition { accepted_at_ms: 1 << 41, key: key() },
        GroupPosition { accepted_at_ms: 7, key: other_key() },
    ];
    assert_bytes(
        &PeerMessage::GroupQueryReply { query_id: 300, min_accepted_at_ms: 1 << 41, live },
        "11ac0280808080804002808080808040ac02f0a204070102",
    );
    assert_bytes(
        &PeerMessage::GroupMessagesEnded(vec![GroupMessage { group: "row".into(), key: key() }]),
        "120103726f77ac02f0a204",
    );
}

#[test]
fn the_frames_that_carry_tokens_have_these_bytes() {
    assert_bytes(
        &PeerMessage::RequestTokens { service: "service".into(), count: 300 },
        "180773657276696365ac02",
    );
    assert_bytes(&PeerMessage::GrantTokens { service: "service".into(), count: 4 }, "19077365727669636504");
}

#[test]
fn a_key_is_written_in_hexadecimal_with_its_first_replica_last() {
    assert_eq!(key().to_text(None), "12c.11170");
    assert_eq!(key().to_text(Some(700)), "12c.11170.2bc");
    assert_eq!(Key::default().to_text(Some(0)), "0.0.0");
    let most = Key { origin: u32::MAX, number: !CHECKED_NUMBER };
    assert_eq!(most.to_text(Some(u32::MAX)), "ffffffff.fffffff7ffffffff.ffffffff");
}

/// The bit in a message number that says that its text ends with a checksum.
const CHECKED_NUMBER: u64 = 1 << 35;

#[test]
fn the_text_of_a_number_of_this_build_ends_with_a_checksum() {
    let key = Key { origin: 300, number: CHECKED_NUMBER | 70_000 };
    assert_eq!(key.to_text(None), "12c.800011170.4eb79b6c");
    assert_eq!(key.to_text(Some(700)), "12c.800011170.2bc.7f60446a");
    let most = Key { origin: u32::MAX, number: u64::MAX };
    assert_eq!(most.to_text(Some(u32::MAX)), "ffffffff.ffffffffffffffff.ffffffff.d51e662d");
    assert_eq!(first_number(u64::MAX) & CHECKED_NUMBER, CHECKED_NUMBER);
}

#[test]
fn a_text_with_a_checksum_that_was_cut_short_or_altered_names_no_message() {
    for replica in [None, Some(700), Some(0)] {
        let key = Key { origin: 300, number: CHECKED_NUMBER | 70_000 };
        let text = key.to_text(replica);
        assert_eq!(Key::parse(&text).map(|location| location.key), Some(key), "{text}");
        for at in 0..text.len() {
            let (before, after) = text.split_at(at);
            let after_one = &after[1..];
            let altered =
                ["", "0", "1", "7", "a", "A", ".", "+", "g"].map(|by| format!("{before}{by}{after_one}"));
            let inserted = ["0", "f", ".", "+", " "].map(|by| format!("{before}{by}{after}"));
            let wrong =
                altered.into_iter().chain(inserted).chain([before.to_string(), format!("{text}.{before}")]);
            for wrong in wrong.filter(|wrong| *wrong != text) {
                let read = Key::parse(&wrong).map(|location| location.key);
                // A digit of the number may be the bit that requires the checksum: no build has assigned such a
                // number.
                assert!(read.is_none_or(|read| read != key), "{wrong} is read as {text}");
            }
        }
    }
}

#[test]
fn a_key_is_read_with_the_stores_to_ask_the_origin_first() {
    assert_eq!(Key::parse("12c.11170"), Some(KeyLocation { key: key(), stores: vec![300] }));
    assert_eq!(Key::parse("12c.11170.2bc"), Some(KeyLocation { key: key(), stores: vec![300, 700] }));
    assert_eq!(
        Key::parse("12C.11170.2bc.1.2"),
        Some(KeyLocation { key: key(), stores: vec![300, 700, 1, 2] })
    );
    assert_eq!(Key::parse("12c.11170.2bc.x.2"), Some(KeyLocation { key: key(), stores: vec![300, 700] }));
    assert_eq!(Key::parse("12c.11170."), Some(KeyLocation { key: key(), stores: vec![300] }));
    for text in ["", ".", "12c", "12c.", "x.1", "1.x", "100000000.1", "1.10000000000000000", "-1.1", "1.-1"] {
        assert_eq!(Key::parse(text), None, "{text}");
    }
}

fn known_submission() -> KnownSubmission {
    let digest = IdempotencyDigest::of(Some("ferry"), "k-1");
    KnownSubmission { digest, key: key(), shard_term: 300, is_accepted: true }
}

#[test]
fn the_frames_and_records_of_idempotency_keys_have_these_bytes() {
    let claim = ShardTerm { term: 300, holder: 4 };
    assert_bytes(&PeerMessage::ReplicateNew(vec![]), "1a00");
    assert_bytes(&PeerMessage::StaleShard { term: 300, key: key() }, "1bac02ac02f0a204");
    assert_bytes(
        &PeerMessage::ClaimShards { claim_id: 7, term: 300, shards: vec![1, 1023] },
        "1c07ac020201ff07",
    );
    let answered = |answer| PeerMessage::ClaimAnswered { claim_id: 7, answer };
    assert_bytes(&answered(ClaimAnswer::Granted(vec![known_submission()])), GRANTED_BYTES);
    assert_bytes(&answered(ClaimAnswer::Refused { term: 300 }), "1d0701ac02");
    assert_bytes(&answered(ClaimAnswer::Abstained), "1d0702");
    assert_bytes(&PeerMessage::RequestShardTerms, "1e");
    assert_bytes(&PeerMessage::ShardTerms(vec![(5, claim)]), "1f0105ac0204");
    assert_bytes(&PeerMessage::RequestRecoveryReport { round: 300 }, "23ac02");
    let report = RecoveryReport {
        round: 300,
        is_replicated: true,
        knew_other_disk: false,
        is_recovering: true,
        holders: vec![5],
    };
    assert_bytes(&PeerMessage::RecoveryReport(report), "24ac020100010105");
    assert_bytes(&PeerMessage::Recovered, "25");
    let failure = FailureNotice { key: key(), failed_attempts: 300, read_by_sender: 2 };
    assert_bytes(&PeerMessage::AttemptsFailed(vec![failure]), "2601ac02f0a204ac0202");
    assert_bytes(&PeerMessage::CallbacksDelivered(Vec::new()), "0400");
    assert_bytes(&Record::ShardsGranted { claim, shards: vec![1, 1023] }, "09ac02040201ff07");
    assert_bytes(&Record::ShardTermsMissing(true), "0a01");
    assert_bytes(&Record::MessageHolderGone { node: 300, is_gone: true }, "0bac0201");
    assert_bytes(&Record::MessageHolderGone { node: 300, is_gone: false }, "0bac0200");
    assert_bytes(&Record::EndRetentionSet { retention_ms: 300 }, "0cac02");
    assert_bytes(&PutError::QuotaExceeded, "02");
    assert_bytes(&PutError::QuotaUnknown, "03");
}

/// The digest is the beginning of a BLAKE3 hash, so that stores of all builds divide the keys in the same way.
const GRANTED_BYTES: &str = "1d07000107e6f25e534b69036691edfbe2866471ac02f0a204ac0201";

#[test]
fn every_digest_is_in_a_shard_and_shards_are_even() {
    let mut counts = vec![0usize; usize::from(SHARD_COUNT)];
    for n in 0..100 * usize::from(SHARD_COUNT) {
        counts[usize::from(IdempotencyDigest::of(Some("ferry"), &format!("k-{n}")).shard())] += 1;
    }
    assert!(counts.iter().all(|count| (50..160).contains(count)), "{counts:?}");
}
