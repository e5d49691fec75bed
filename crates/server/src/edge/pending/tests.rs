use super::*;
use assert_matches::assert_matches;

const ORIGIN: Node = 1;
const FIRST: Node = 2;
const SECOND: Node = 3;

#[test]
fn a_late_rejection_does_not_end_the_wait_for_the_store_tried_since() {
    let message = Message::default();
    let mut submission = PendingSubmission {
        connection: 0,
        message,
        tried_stores: vec![FIRST, SECOND],
        sent_at: 0,
        deadline: 0,
        may_be_kept: false,
    };
    assert_eq!(submission.rejected(FIRST, PutError::Rejected), AfterRejection::KeepWaiting);
    assert!(!submission.may_be_kept);
    assert_eq!(submission.rejected(FIRST, PutError::Uncertain), AfterRejection::KeepWaiting);
    assert!(submission.may_be_kept, "what it says counts all the same");
    assert_eq!(submission.rejected(SECOND, PutError::Rejected), AfterRejection::TryNextStore);
}

fn lookup_at(asked_store: Node) -> PendingLookup {
    PendingLookup {
        connection: 0,
        requester: Requester::Anyone,
        key: Key { origin: ORIGIN, number: 1 },
        include_body: false,
        remaining_stores: Vec::new(),
        asked_store,
        sent_at: 0,
        deadline: 0,
        stores_without_it: Vec::new(),
        known_as_pending: None,
        is_inconclusive: false,
    }
}

#[test]
fn a_late_reply_that_a_message_is_pending_does_not_hide_its_end() {
    let asks = lookup_at;
    let waits = || Some(KnownMessage { status: MessageStatus::Pending, body: None, tenant: None });
    // The edge stopped waiting for the first store; the second, asked after it, knows that the message has ended.
    let mut lookup = asks(SECOND);
    assert_eq!(lookup.replied(FIRST, waits()), AfterReply::KeepWaiting);
    assert_eq!(lookup.known_as_pending, waits());
    assert_eq!(lookup.replied(FIRST, None), AfterReply::KeepWaiting);
    let end = Some(KnownMessage { status: MessageStatus::Failed, body: None, tenant: None });
    assert_matches!(
        lookup.replied(SECOND, end),
        AfterReply::Answer(KnownMessage { status: MessageStatus::Failed, body: None, tenant: None })
    );
    // A pending reply of the store that was asked leads to the next store; a pending reply of the message's owner is
    // final.
    assert_eq!(asks(FIRST).replied(FIRST, waits()), AfterReply::AskNextStore);
    assert_eq!(asks(FIRST).replied(FIRST, None), AfterReply::AskNextStore);
    assert_matches!(asks(SECOND).replied(ORIGIN, waits()), AfterReply::Answer(_));
    assert_matches!(
        asks(SECOND)
            .replied(FIRST, Some(KnownMessage { status: MessageStatus::Failed, body: None, tenant: None })),
        AfterReply::Answer(_)
    );
}

#[test]
fn each_store_that_knows_nothing_of_a_message_is_remembered() {
    let mut lookup = lookup_at(FIRST);
    lookup.replied(FIRST, None);
    lookup.asked_store = SECOND;
    lookup.replied(SECOND, Some(KnownMessage { status: MessageStatus::Pending, body: None, tenant: None }));
    lookup.asked_store = ORIGIN;
    lookup.replied(ORIGIN, None);
    assert_eq!(lookup.stores_without_it, vec![FIRST, ORIGIN]);
}

#[test]
fn a_tenant_is_told_of_its_own_messages_and_of_nobody_s() {
    let tenant = Requester::Tenant("ferry".into());
    assert_eq!(tenant.access_to(Some("ferry")), Access::Granted);
    assert_eq!(tenant.access_to(Some("lugger")), Access::OtherTenant);
    assert_eq!(Requester::WithoutKey.access_to(Some("ferry")), Access::KeyNeeded);
    assert_eq!(Requester::Anyone.access_to(Some("ferry")), Access::Granted);
    for requester in [tenant, Requester::WithoutKey, Requester::Anyone] {
        assert_eq!(requester.access_to(None), Access::Granted, "{requester:?}");
    }
}
