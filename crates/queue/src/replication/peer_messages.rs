//! Dispatch of the messages that other stores send.

use crate::effect::Effect;
use crate::message::{Millis, Node};
use crate::ordering::ReceivedQuery;
use crate::peer::ServiceState;
use crate::peer_message::{GroupPosition, PeerMessage};
use crate::queue::Queue;

impl Queue {
    /// Handles a message from another store.
    pub fn handle_peer_message(&mut self, now: Millis, from: Node, message: PeerMessage) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.record_contact(now);
        }
        match message {
            PeerMessage::Replicate(replicas) => {
                replicas.into_iter().for_each(|replica| self.store_replica(now, from, replica));
            }
            PeerMessage::Replicated(keys) => {
                keys.into_iter().for_each(|key| self.confirm_persisted(now, key, from));
            }
            PeerMessage::ReplicationRejected(keys) => self.replication_rejected(now, from, keys),
            PeerMessage::Ended(notices) => self.apply_end_notices(now, notices),
            PeerMessage::CallbacksDelivered(keys) if keys.is_empty() => {
                self.peer_takes_failure_notices(from);
            }
            PeerMessage::CallbacksDelivered(keys) => {
                keys.into_iter().for_each(|key| self.callback_delivered_elsewhere(key));
            }
            PeerMessage::OwnershipChanged(claims) => self.apply_ownership_changes(now, from, claims),
            PeerMessage::Drop(keys) => self.apply_drops(from, keys),
            PeerMessage::LostWithDisk(keys) => self.take_over_lost(now, from, keys),
            PeerMessage::RequestReplicas(keys) => {
                keys.into_iter().for_each(|key| self.replica_missing(now, key, from));
            }
            PeerMessage::DiskId(disk_id) => self.disk_identified(now, from, disk_id),
            PeerMessage::Digests { disk_id, min_age_ms, digests } => {
                self.disk_identified(now, from, disk_id);
                self.compare_digests(now, from, min_age_ms, &digests);
            }
            PeerMessage::RangeContents { disk_id, reply_wanted, ranges, entries } => {
                self.disk_identified(now, from, disk_id);
                self.reconcile_ranges(now, from, &ranges, entries);
                if reply_wanted {
                    self.send_range_contents(from, ranges, false);
                }
                self.emit(Effect::Send { to: from, message: PeerMessage::Reconciled });
            }
            PeerMessage::Reconciled => self.peer_reconciled(now, from),
            PeerMessage::Handover(offers) => self.accept_handover(now, from, offers),
            PeerMessage::HandoverAccepted(accepted) => self.handover_accepted(now, from, accepted),
            PeerMessage::HandoverRejected(keys) => self.handover_rejected(now, from, keys),
            PeerMessage::GroupQuery { query_id, group, accepted_at_ms, key, is_announcement } => {
                let position = GroupPosition { accepted_at_ms, key };
                let query = ReceivedQuery { query_id, group, position, is_announcement };
                self.answer_group_query(now, from, query);
            }
            PeerMessage::GroupQueryReply { query_id, min_accepted_at_ms, live } => {
                self.group_query_answered(now, from, query_id, min_accepted_at_ms, live);
            }
            PeerMessage::GroupMessagesEnded(ended) => self.group_messages_ended(ended),
            PeerMessage::Draining => self.peer_started_draining(now, from),
            PeerMessage::Retiring => self.peer_started_retiring(from),
            PeerMessage::NoReplicasNeeded => {
                self.released_by.insert(from);
            }
            PeerMessage::TransferEnds(ends) => self.store_ends(now, from, ends),
            PeerMessage::EndsStored(keys) => self.ends_stored_at(from, keys),
            PeerMessage::RequestTokens { service, count } => self.tokens_wanted(now, from, service, count),
            PeerMessage::GrantTokens { service, count } => self.tokens_received(now, from, &service, count),
            PeerMessage::ReplicateNew(replicas) => {
                replicas.into_iter().for_each(|replica| self.store_new_replica(now, from, replica));
            }
            PeerMessage::StaleShard { term, key } => self.shard_is_stale(now, from, term, key),
            PeerMessage::ClaimShards { claim_id, term, shards } => {
                self.claim_received(from, claim_id, term, shards);
            }
            PeerMessage::ClaimAnswered { claim_id, answer } => {
                self.claim_answered(now, from, claim_id, answer)
            }
            PeerMessage::RequestShardTerms => self.terms_requested(from),
            PeerMessage::ShardTerms(terms) => self.terms_received(from, terms),
            PeerMessage::UncertainSubmissions(submissions) => self.unchecked_received(now, from, submissions),
            PeerMessage::SubmissionVerdicts { accepted, dropped } => {
                self.apply_verdicts(now, from, accepted, dropped)
            }
            PeerMessage::SubmissionsAccepted(submissions) => self.submissions_accepted(now, submissions),
            PeerMessage::RequestRecoveryReport { round } => self.recovery_report_requested(now, from, round),
            PeerMessage::RecoveryReport(report) => self.recovery_reported(now, from, report),
            PeerMessage::Recovered => self.peer_recovered(now, from),
            PeerMessage::AttemptsFailed(notices) => self.apply_failure_notices(now, from, notices),
        }
    }

    fn peer_started_draining(&mut self, now: Millis, node: Node) {
        self.ordering.peers_changed_at = now;
        let peer = self.peers.entry(node).or_default();
        if peer.service == ServiceState::InService {
            peer.service = ServiceState::Draining;
        }
        self.invalidate_token_holders();
        self.shards_may_move(now);
    }

    fn peer_started_retiring(&mut self, node: Node) {
        self.peers.entry(node).or_default().service = ServiceState::Retiring;
        self.find_under_replicated_ends();
        self.invalidate_token_holders();
    }
}
