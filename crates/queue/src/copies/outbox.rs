//! What is told to another store, put together into notes at the end of a turn.

use crate::message::{End, Handed, Key, Owned, PeerMessage, Shared};
use crate::queue::{Effect, Queue};

/// What is told to another store at the end of the turn, or with the next batch of ends.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub copy: Vec<Shared>,
    pub copied: Vec<Key>,
    pub not_copied: Vec<Key>,
    pub handed: Vec<(Key, u32)>,
    pub not_handed: Vec<Key>,
    pub own: Vec<Owned>,
    pub drop: Vec<Key>,
    pub ends: Vec<(Key, End, bool)>,
    pub ends_kept: Vec<Key>,
    pub called: Vec<Key>,
    pub handover: Vec<Handed>,
}

impl Queue {
    pub(crate) fn tell_ends(&mut self) {
        self.flush_ends_at = None;
        let mut notes = Vec::new();
        for (node, peer) in self.peers.iter_mut().filter(|(_, p)| p.connected) {
            for part in std::mem::take(&mut peer.out.ends).chunks(4000) {
                notes.push((*node, PeerMessage::Ends(part.to_vec())));
            }
            if !peer.out.called.is_empty() {
                notes.push((*node, PeerMessage::Called(std::mem::take(&mut peer.out.called))));
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
                let fits = |s: &&Shared| {
                    size += s.message.body.len() + 512;
                    size < 1 << 20
                };
                let some = out.copy.iter().take_while(fits).count().max(1);
                notes.push((*node, PeerMessage::Copy(out.copy.drain(..some).collect())));
            }
            if !out.copied.is_empty() {
                notes.push((*node, PeerMessage::Copied(std::mem::take(&mut out.copied))));
            }
            if !out.not_copied.is_empty() {
                notes.push((*node, PeerMessage::NotCopied(std::mem::take(&mut out.not_copied))));
            }
            if !out.drop.is_empty() {
                notes.push((*node, PeerMessage::Drop(std::mem::take(&mut out.drop))));
            }
            if !out.own.is_empty() {
                for part in std::mem::take(&mut out.own).chunks(4000) {
                    notes.push((*node, PeerMessage::Own(part.to_vec())));
                }
            }
            if !out.ends_kept.is_empty() {
                notes.push((*node, PeerMessage::EndsKept(std::mem::take(&mut out.ends_kept))));
            }
            if !out.not_handed.is_empty() {
                notes.push((*node, PeerMessage::HandoverRefused(std::mem::take(&mut out.not_handed))));
            }
            if !out.handed.is_empty() {
                notes.push((*node, PeerMessage::HandoverTaken(std::mem::take(&mut out.handed))));
            }
            if !out.handover.is_empty() {
                // Ends first: what has ended must not be run by the successor.
                if !out.ends.is_empty() {
                    notes.push((*node, PeerMessage::Ends(std::mem::take(&mut out.ends))));
                }
                notes.push((*node, PeerMessage::Handover(std::mem::take(&mut out.handover))));
            }
        }
        notes.into_iter().for_each(|(to, note)| self.emit(Effect::Send { to, message: note }));
    }
}
