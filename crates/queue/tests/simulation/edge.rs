//! The edges: how a message is submitted to one store after another, and how its state is looked up.

use super::*;

/// Maximum number of stores that an edge asks for a message with an idempotency key.
const MAX_STORES_FOR_KEY: usize = 3;

impl Simulation {
    /// Schedules a message that a client sends at `at`; its edge offers it to the store `first` first.
    pub fn send(
        &mut self,
        at: u64,
        first: usize,
        path: &str,
        behaviors: &[Behavior],
        delay_ms: u64,
    ) -> usize {
        let n = self.messages.len();
        let message = Message {
            id: format!("id{n}"),
            host: "h".into(),
            method: "POST".into(),
            target: format!("/{path}/{n}"),
            callback_url: Some(format!("http://10.0.1.1:80/{n}")),
            // Three groups on the one ordered route.
            ordering_key: (path == "row").then(|| format!("row\0{}", n % 3)),
            delay_ms,
            body: format!("body of {n}").into_bytes(),
            ..Message::default()
        };
        let sent = SentMessage {
            message,
            behaviors: behaviors.to_vec(),
            first_store: first,
            ..SentMessage::default()
        };
        self.messages.push(sent);
        self.event_count += 1;
        self.events.insert((at, self.event_count), Event::ClientSends { sent: n });
        n
    }

    /// Sends a message with an idempotency key. Its edge chooses the store of the key's shard, unless it cannot reach
    /// it.
    pub fn send_with_key(&mut self, at: u64, unreachable: Option<usize>, key: &str, delay_ms: u64) -> usize {
        let n = self.send(at, 0, "plain", &[Behavior::Succeeds], delay_ms);
        let sent = &mut self.messages[n];
        sent.unreachable_store = unreachable;
        (sent.message.tenant, sent.message.idempotency_key) = (Some("tenant".into()), Some(key.into()));
        n
    }

    /// Sends a message of a tenant, with an idempotency key of its own.
    pub fn send_as(&mut self, at: u64, tenant: &str) -> usize {
        let key = format!("k-{}", self.messages.len());
        let n = self.send_with_key(at, None, &key, 0);
        self.messages[n].message.tenant = Some(tenant.to_string());
        n
    }

    /// Offers the message to the next store, as an edge does: one store after another, and no store twice.
    pub(super) fn offer(&mut self, sent: usize) {
        let n = self.stores.len();
        let m = &mut self.messages[sent];
        let shard = m.message.idempotency_digest().map(IdempotencyDigest::shard);
        let able = |at: &usize| {
            !m.tried_stores.contains(at)
                && m.unreachable_store != Some(*at)
                && (shard.is_none() || m.tried_stores.len() < MAX_STORES_FOR_KEY)
                && self.stores[*at].queue.is_some()
                && self.stores[*at].shutdown.is_none()
        };
        let mut next = (0..n).map(|k| (m.first_store + k) % n).filter(able);
        let to = match m.message.ordering_key.clone() {
            None if shard.is_some() => {
                let nodes = next.map(|at| self.stores[at].node);
                let to = preferred_store_of_shard(shard.unwrap_or_default(), nodes);
                to.and_then(|node| self.stores.iter().position(|s| s.node == node))
            }
            Some(row) => {
                let to = preferred_store(&row, next.map(|at| self.stores[at].node));
                to.and_then(|node| self.stores.iter().position(|s| s.node == node))
            }
            None => next.next(),
        };
        let Some(to) = to else {
            m.ticket = 0;
            m.is_rejected = !m.is_uncertain;
            return self.announce_kept(sent);
        };
        m.tried_stores.push(to);
        self.next_ticket += 1;
        m.ticket = self.next_ticket;
        let ticket = m.ticket;
        self.schedule(EDGE_DELAY_MS, Event::Put { sent, to, ticket });
        self.schedule(self.edge_patience_ms, Event::EdgeTimeout { sent, ticket });
    }

    /// Announces to all stores which submission of a message is kept, or that none is, if the message was offered to
    /// several stores.
    pub(super) fn announce_kept(&mut self, sent: usize) {
        let has_key = self.messages[sent].message.idempotency_key.is_some();
        if self.messages[sent].tried_stores.len() > 1 && !has_key {
            let delay_ms = self.superseded_delay_ms;
            (0..self.stores.len()).for_each(|to| self.schedule(delay_ms, Event::Superseded { sent, to }));
        }
    }

    pub(super) fn superseded_received(&mut self, sent: usize, to: usize) {
        let message = &self.messages[sent];
        let (id, fingerprint) = (message.message.id.clone(), message.message.fingerprint());
        let kept = message.name.as_deref().and_then(Key::parse).map(|location| location.key);
        self.with(to, |queue, _| queue.drop_superseded(&id, fingerprint, kept));
    }

    /// Looks up the state of a message, as an edge does for a client.
    pub fn lookup(&self, sent: usize) -> Option<(MessageState, Option<Vec<u8>>)> {
        let KeyLocation { key, stores: first } = Key::parse(self.messages[sent].name.as_deref()?)?;
        let mut waiting = None;
        let rank = |s: &&Store| first.iter().position(|n| *n == s.node).unwrap_or(usize::MAX);
        let mut stores: Vec<&Store> = self.stores.iter().filter(|s| s.queue.is_some()).collect();
        stores.sort_by_key(rank);
        for store in stores {
            match store.queue.as_ref().unwrap().lookup(key) {
                Some((MessageState::Waiting, bytes)) => {
                    waiting = Some((MessageState::Waiting, bytes.map(<[u8]>::to_vec)))
                }
                Some((state, bytes)) => return Some((state, bytes.map(<[u8]>::to_vec))),
                None => {}
            }
        }
        waiting
    }
}
