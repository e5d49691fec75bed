//! What is told to another store, put together into notes at the end of a turn.

use crate::effect::Effect;
use crate::message::{Key, ReplicatedMessage};
use crate::peer_message::{AcceptedHandover, EndNotice, HandoverOffer, Ownership, PeerMessage};
use crate::queue::Queue;

/// What is told to another store at the end of the turn, or with the next batch of ends.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub copy: Vec<ReplicatedMessage>,
    pub copied: Vec<Key>,
    pub not_copied: Vec<Key>,
    pub handed: Vec<AcceptedHandover>,
    pub not_handed: Vec<Key>,
    pub own: Vec<Ownership>,
    pub drop: Vec<Key>,
    pub ends: Vec<EndNotice>,
    pub ends_kept: Vec<Key>,
    pub called: Vec<Key>,
    pub handover: Vec<HandoverOffer>,
}

impl Queue {
    pub(crate) fn tell_ends(&mut self) {
        self.flush_ends_at = None;
        let mut notes = Vec::new();
        for (node, peer) in self.peers.iter_mut().filter(|(_, p)| p.connected) {
            for part in std::mem::take(&mut peer.out.ends).chunks(4000) {
                notes.push((*node, PeerMessage::Ended(part.to_vec())));
            }
            if !peer.out.called.is_empty() {
                notes.push((*node, PeerMessage::CallbacksDelivered(std::mem::take(&mut peer.out.called))));
            }
        }
        notes.into_iter().for_each(|(to, note)| self.emit(Effect::Send { to, message: note }));
    }

    pub(crate) fn tell(&mut self) {
        let mut notes = Vec::new();
        for (node, peer) in self.peers.iter_mut().filter(|(_, p)| p.connected) {
            let out = &mut peer.out;
            while !out.copy.is_empty() {
                // Frames are bounded: no more than a megabyte or so in one.
                let mut size = 0;
                let fits = |s: &&ReplicatedMessage| {
                    size += s.message.body.len() + 512;
                    size < 1 << 20
                };
                let some = out.copy.iter().take_while(fits).count().max(1);
                notes.push((*node, PeerMessage::Replicate(out.copy.drain(..some).collect())));
            }
            if !out.copied.is_empty() {
                notes.push((*node, PeerMessage::Replicated(std::mem::take(&mut out.copied))));
            }
            if !out.not_copied.is_empty() {
                notes.push((*node, PeerMessage::ReplicationRejected(std::mem::take(&mut out.not_copied))));
            }
            if !out.drop.is_empty() {
                notes.push((*node, PeerMessage::Drop(std::mem::take(&mut out.drop))));
            }
            if !out.own.is_empty() {
                for part in std::mem::take(&mut out.own).chunks(4000) {
                    notes.push((*node, PeerMessage::OwnershipChanged(part.to_vec())));
                }
            }
            if !out.ends_kept.is_empty() {
                notes.push((*node, PeerMessage::EndsStored(std::mem::take(&mut out.ends_kept))));
            }
            if !out.not_handed.is_empty() {
                notes.push((*node, PeerMessage::HandoverRejected(std::mem::take(&mut out.not_handed))));
            }
            if !out.handed.is_empty() {
                notes.push((*node, PeerMessage::HandoverAccepted(std::mem::take(&mut out.handed))));
            }
            if !out.handover.is_empty() {
                // Ends first: what has ended must not be run by the successor.
                if !out.ends.is_empty() {
                    notes.push((*node, PeerMessage::Ended(std::mem::take(&mut out.ends))));
                }
                notes.push((*node, PeerMessage::Handover(std::mem::take(&mut out.handover))));
            }
        }
        notes.into_iter().for_each(|(to, note)| self.emit(Effect::Send { to, message: note }));
    }
}
