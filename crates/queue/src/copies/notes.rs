//! Each kind of note of another store, and what is done about it.

use super::take_over::LINE;
use crate::message::{Millis, Node, Owned, PeerMessage, Record};
use crate::queue::{Effect, Queue, Stage};

impl Queue {
    /// A note of another store.
    pub fn note(&mut self, now: Millis, from: Node, note: PeerMessage) {
        match note {
            PeerMessage::Copy(all) => all.into_iter().for_each(|shared| self.keep_copy(now, from, shared)),
            PeerMessage::Copied(keys) => {
                keys.into_iter().for_each(|key| self.confirm_persisted(now, key, from))
            }
            PeerMessage::NotCopied(keys) => {
                self.peers.entry(from).or_default().full_until = now + 2000;
                for key in keys {
                    self.copy_elsewhere(now, key, Some(from));
                    self.not_on(now, key, from);
                }
            }
            PeerMessage::Ends(all) => {
                all.into_iter().for_each(|(key, end, owed)| self.told_end(now, key, end, owed))
            }
            PeerMessage::Called(keys) => {
                for key in keys {
                    // Of one that has not ended here all is needed yet.
                    if let Some(entry) = self.entries.get_mut(&key).filter(|e| e.end.is_some()) {
                        entry.callback_pending = false;
                        entry.discard_content();
                        self.reindex(key);
                        self.record(&Record::Called { key }, false);
                    }
                }
            }
            PeerMessage::Own(all) => {
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
                            self.record(&Record::Drop { key }, false);
                        }
                        Some(false) => self.metrics.stale_claims += 1,
                        None => {}
                    }
                }
            }
            PeerMessage::Lost(keys) => {
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
            PeerMessage::Want(keys) => {
                keys.into_iter().for_each(|key| self.not_yet_on(now, key, from));
            }
            PeerMessage::Digests { disk, over, sums } => self.digests(now, from, disk, over, &sums),
            PeerMessage::Standing { disk, answer, ranges, live } => {
                self.standing(now, from, disk, &ranges, live);
                if answer {
                    self.list_ranges(from, ranges, false);
                }
                self.emit(Effect::Send { to: from, message: PeerMessage::Stood });
            }
            PeerMessage::Stood => self.stood(now, from),
            PeerMessage::Disk(disk) => self.seen_disk(from, disk),
            PeerMessage::Handover(keys) => {
                for handed in keys {
                    self.take_over(now, handed.key, Some((from, handed)));
                }
            }
            PeerMessage::HandoverTaken(keys) => {
                for (key, term) in keys {
                    self.handovers.remove(&key);
                    self.counted_on_by(from);
                    let Some(entry) = self.entries.get(&key) else { continue };
                    self.metrics.handed_over += 1;
                    let mut copies = entry.replicas.clone();
                    copies.retain(|node| *node != from);
                    copies.push(self.settings.node);
                    self.owned_by(now, Owned { key, owner: from, term, copies });
                }
            }
            PeerMessage::HandoverRefused(keys) => {
                for key in keys {
                    self.handovers.remove(&key);
                    if self.is_retiring {
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
            PeerMessage::RowAsk { number, row, taken, key, announced } => {
                self.row_asked(now, from, (number, row, taken, key, announced));
            }
            PeerMessage::RowLive { number, beyond, live } => self.row_told(now, from, number, beyond, live),
            PeerMessage::RowDone(all) => self.row_done(all),
            PeerMessage::Leaving => {
                self.ordering.changed = now;
                self.peers.entry(from).or_default().leaving = true;
                self.assign_token_holders(now);
            }
            PeerMessage::Retiring => {
                let peer = self.peers.entry(from).or_default();
                (peer.leaving, peer.retiring) = (true, true);
                self.assign_token_holders(now);
            }
            PeerMessage::Relieved => {
                self.released_by.insert(from);
            }
            PeerMessage::KnownEnds(ends) => self.keep_ends(now, from, ends),
            PeerMessage::EndsKept(keys) => self.end_replication.kept(from, keys),
            PeerMessage::TokensWanted { service, count } => self.tokens_wanted(now, from, service, count),
            PeerMessage::Tokens { service, count } => self.tokens_received(now, from, &service, count),
        }
    }
}
