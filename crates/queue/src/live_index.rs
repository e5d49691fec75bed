//! Iteration over the live messages of one owner through an index. The table of all entries is about a hundred times as
//! large, because it includes the messages that ended in the last minutes.

use crate::entry::{Entry, Stage};
use crate::message::{Key, Node};
use crate::queue::Queue;

impl Entry {
    /// Whether the message has ended and its callback is delivered or was not requested, so that no work is left.
    pub(crate) fn is_settled(&self) -> bool {
        self.end.is_some() && !self.callback_pending
    }
}

impl Queue {
    /// Live messages owned by the store `node`, including ended ones with a callback pending.
    pub(crate) fn owned_by_node(&self, node: Node) -> impl Iterator<Item = (Key, &Entry)> {
        let from_node = self.live_by_owner.range((node, Key::default())..);
        let keys = from_node.take_while(move |(owner, _)| *owner == node);
        keys.filter_map(|(_, key)| Some((*key, self.entries.get(key)?)))
    }

    /// Live messages owned by this store, including ended ones with a callback pending.
    pub(crate) fn owned_here(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.owned_by_node(self.settings.node)
    }

    /// The stores that own live messages held by this store, including this store itself.
    pub(crate) fn owners(&self) -> impl Iterator<Item = Node> + '_ {
        let first_from = |node: Node| {
            let mut from_node = self.live_by_owner.range((node, Key::default())..);
            from_node.next().map(|(owner, _)| *owner)
        };
        std::iter::successors(first_from(0), move |last| first_from(last.checked_add(1)?))
    }

    /// Live messages that both this store and the store `node` should hold.
    pub(crate) fn shared_with(&self, node: Node) -> impl Iterator<Item = (Key, &Entry)> {
        let entries = self.live_by_owner.iter().filter_map(|(_, key)| Some((*key, self.entries.get(key)?)));
        entries.filter(move |(_, entry)| {
            entry.stage != Stage::Persisting && (entry.owner == node || entry.replicas.contains(&node))
        })
    }
}
