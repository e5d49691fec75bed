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
    assert_eq!(submission.record_rejection(FIRST, PutError::Rejected), AfterRejection::KeepWaiting);
    assert!(!submission.may_be_kept);
    assert_eq!(submission.record_rejection(FIRST, PutError::Uncertain), AfterRejection::KeepWaiting);
    assert!(submission.may_be_kept, "a late reply still counts");
    assert_eq!(submission.record_rejection(SECOND, PutError::Rejected), AfterRejection::TryNextStore);
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
    let lookup_asking = lookup_at;
    let pending_reply = || Some(KnownMessage { status: MessageStatus::Pending, body: None, tenant: None });
    // The edge stopped waiting for the first store; the second, asked after it, knows that the message has ended.
    let mut lookup = lookup_asking(SECOND);
    assert_eq!(lookup.record_reply(FIRST, pending_reply()), AfterReply::KeepWaiting);
    assert_eq!(lookup.known_as_pending, pending_reply());
    assert_eq!(lookup.record_reply(FIRST, None), AfterReply::KeepWaiting);
    let end = Some(KnownMessage { status: MessageStatus::Failed, body: None, tenant: None });
    assert_matches!(
        lookup.record_reply(SECOND, end),
        AfterReply::Answer(KnownMessage { status: MessageStatus::Failed, body: None, tenant: None })
    );
    // A pending reply of the store that was asked leads to the next store; a pending reply of the message's owner is
    // final.
    assert_eq!(lookup_asking(FIRST).record_reply(FIRST, pending_reply()), AfterReply::AskNextStore);
    assert_eq!(lookup_asking(FIRST).record_reply(FIRST, None), AfterReply::AskNextStore);
    assert_matches!(lookup_asking(SECOND).record_reply(ORIGIN, pending_reply()), AfterReply::Answer(_));
    assert_matches!(
        lookup_asking(SECOND).record_reply(
            FIRST,
            Some(KnownMessage { status: MessageStatus::Failed, body: None, tenant: None })
        ),
        AfterReply::Answer(_)
    );
}

#[test]
fn each_store_that_does_not_know_a_message_is_recorded() {
    let mut lookup = lookup_at(FIRST);
    lookup.record_reply(FIRST, None);
    lookup.asked_store = SECOND;
    lookup.record_reply(
        SECOND,
        Some(KnownMessage { status: MessageStatus::Pending, body: None, tenant: None }),
    );
    lookup.asked_store = ORIGIN;
    lookup.record_reply(ORIGIN, None);
    assert_eq!(lookup.stores_without_it, vec![FIRST, ORIGIN]);
}

#[test]
fn a_tenant_may_look_up_its_own_messages_and_those_without_a_tenant() {
    let tenant = Requester::Tenant("ferry".into());
    assert_eq!(tenant.access_to(Some("ferry")), Access::Granted);
    assert_eq!(tenant.access_to(Some("lugger")), Access::OtherTenant);
    assert_eq!(Requester::WithoutKey.access_to(Some("ferry")), Access::KeyNeeded);
    assert_eq!(Requester::Anyone.access_to(Some("ferry")), Access::Granted);
    for requester in [tenant, Requester::WithoutKey, Requester::Anyone] {
        assert_eq!(requester.access_to(None), Access::Granted, "{requester:?}");
    }
}
