//! Each kind of note of another store, and what is done about it.

use super::take_over::LINE;
use crate::effect::Effect;
use crate::entry::Stage;
use crate::message::{Millis, Node};
use crate::peer_message::{AcceptedHandover, Ownership, PeerMessage};
use crate::queue::Queue;
use crate::record::Record;

impl Queue {
    /// A note of another store.
    pub fn handle_peer_message(&mut self, now: Millis, from: Node, note: PeerMessage) {
        match note {
            PeerMessage::Replicate(all) => {
                all.into_iter().for_each(|shared| self.keep_copy(now, from, shared))
            }
            PeerMessage::Replicated(keys) => {
                keys.into_iter().for_each(|key| self.confirm_persisted(now, key, from))
            }
            PeerMessage::ReplicationRejected(keys) => {
                self.peers.entry(from).or_default().full_until = now + 2000;
                for key in keys {
                    self.copy_elsewhere(now, key, Some(from));
                    self.not_on(now, key, from);
                }
            }
            PeerMessage::Ended(all) => all.into_iter().for_each(|notice| self.told_end(now, notice)),
            PeerMessage::CallbacksDelivered(keys) => {
                for key in keys {
                    // Of one that has not ended here all is needed yet.
                    if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.end.is_some()) {
                        entry.callback_pending = false;
                        entry.discard_content();
                        self.reindex(key);
                        self.record(&Record::CallbackDelivered { key }, false);
                    }
                }
            }
            PeerMessage::OwnershipChanged(all) => {
                for owned in all {
                    self.contradict(now, from, &owned);
                    self.owned_by(now, owned);
                }
            }
            PeerMessage::Drop(keys) => {
                for key in keys {
                    match self.entries.get(&key).filter(|e| e.end.is_none()).map(|e| e.owner == from) {
                        Some(true) => {
                            self.remove(key);
                            self.record(&Record::Dropped { key }, false);
                        }
                        Some(false) => self.metrics.stale_claims += 1,
                        None => {}
                    }
                }
            }
            PeerMessage::LostWithDisk(keys) => {
                for key in keys {
                    // Of several that hold a copy one takes over at once, and the others if it does not.
                    let mine = self.entries.get(&key).filter(|e| e.owner == from);
                    let Some(line) = mine.map(|e| self.line(e)) else { continue };
                    match line {
                        0 => self.take_over(now, key, None),
                        _ => {
                            self.lost_by_owner.insert(key, from);
                            self.orphans.insert((now + line * LINE, key));
                        }
                    }
                }
            }
            PeerMessage::RequestReplicas(keys) => {
                keys.into_iter().for_each(|key| self.not_yet_on(now, key, from));
            }
            PeerMessage::Digests { disk_id: disk, min_age_ms: over, digests: sums } => {
                self.digests(now, from, disk, over, &sums)
            }
            PeerMessage::RangeContents { disk_id: disk, reply_wanted: answer, ranges, entries: live } => {
                self.standing(now, from, disk, &ranges, live);
                if answer {
                    self.list_ranges(from, ranges, false);
                }
                self.emit(Effect::Send { to: from, message: PeerMessage::Reconciled });
            }
            PeerMessage::Reconciled => self.stood(now, from),
            PeerMessage::DiskId(disk) => self.seen_disk(from, disk),
            PeerMessage::Handover(keys) => {
                for handed in keys {
                    self.take_over(now, handed.key, Some((from, handed)));
                }
            }
            PeerMessage::HandoverAccepted(keys) => {
                for AcceptedHandover { key, term } in keys {
                    self.handovers.remove(&key);
                    self.counted_on_by(from);
                    let Some(entry) = self.entries.get(&key) else { continue };
                    self.metrics.handed_over += 1;
                    let mut copies = entry.replicas.clone();
                    copies.retain(|node| *node != from);
                    copies.push(self.settings.node);
                    self.owned_by(now, Ownership { key, owner: from, term, replicas: copies });
                }
            }
            PeerMessage::HandoverRejected(keys) => {
                for key in keys {
                    self.handovers.remove(&key);
                    if self.is_retiring() {
                        // It holds no copy after all: it gets one, or another does, before it is asked again.
                        if let Some(entry) =
                            self.entries.get_mut(&key).filter(|e| e.stage == Stage::Suspended)
                        {
                            entry.stage = Stage::Waiting;
                        }
                        self.not_on(now, key, from);
                    }
                }
            }
            PeerMessage::GroupQuery {
                query_id: number,
                group: row,
                accepted_at_ms: taken,
                key,
                is_announcement: announced,
            } => {
                self.row_asked(now, from, (number, row, taken, key, announced));
            }
            PeerMessage::GroupQueryReply { query_id: number, min_accepted_at_ms: beyond, live } => {
                self.row_told(now, from, number, beyond, live)
            }
            PeerMessage::GroupMessagesEnded(all) => self.row_done(all),
            PeerMessage::Draining => {
                self.ordering.changed = now;
                self.peers.entry(from).or_default().leaving = true;
                self.assign_token_holders(now);
            }
            PeerMessage::Retiring => {
                let peer = self.peers.entry(from).or_default();
                (peer.leaving, peer.retiring) = (true, true);
                self.assign_token_holders(now);
            }
            PeerMessage::NoReplicasNeeded => {
                self.released_by.insert(from);
            }
            PeerMessage::TransferEnds(ends) => self.keep_ends(now, from, ends),
            PeerMessage::EndsStored(keys) => self.end_replication.kept(from, keys),
            PeerMessage::RequestTokens { service, count } => self.tokens_wanted(now, from, service, count),
            PeerMessage::GrantTokens { service, count } => self.tokens_received(now, from, &service, count),
        }
    }
}
