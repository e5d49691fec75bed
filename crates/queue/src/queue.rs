//! The table of messages, with its one owner: what is known of each, and the indices kept in step with it.

mod call_backs;
mod completion;
mod configuration;
mod delivery;
mod intake;
mod numbers;
mod report;
mod timers;
mod token_holders;
mod types;

pub use numbers::first_number;
pub use report::{MessageView, ServiceView, Stages};
pub(crate) use types::Waits;
pub use types::{Bear, Effect, Entry, Figures, Outcome, QueueSettings, Stage, State};

use crate::copies::Peer;
use crate::message::{End, Key, Message, Millis, Node, ReplicatedMessage};
use crate::peer_message::GroupPosition;
#[cfg(feature = "planted")]
use crate::planted::PlantedFault;
use crate::service_queue::{Server, ServiceQueue};
use crate::state_table::{StateTable, StoredEnd, StoredMessage};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use stileroute_config::Config;
use types::Receiver;

/// Beyond the time that it may wait, for clients' clocks and first tries: one that has not ended must not be
/// called failed.
const SLACK: Millis = 1500;

const UPKEEP: Millis = 250;

pub struct Queue {
    pub(crate) terms: QueueSettings,
    pub(crate) entries: HashMap<Key, Entry>,
    pub(crate) peers: BTreeMap<Node, Peer>,
    config: Option<Arc<Config>>,
    service_queues: Vec<ServiceQueue>,
    lane_of: HashMap<String, usize>,
    servers: HashMap<String, Vec<Server>>,
    delayed: BTreeSet<(Millis, Key)>,
    expiring: BTreeSet<(Millis, Key)>,
    forget: VecDeque<(Millis, Key)>,
    /// Taken by a configuration that has not come here yet.
    early: HashSet<Key>,
    /// Read from disk, and not yet released.
    pub(crate) held: BTreeSet<Key>,
    /// Another store keeps the same message: not to be run here, whoever owns it now.
    pub(crate) unwanted: HashSet<Key>,
    /// Offered to a successor that has not said yes.
    pub(crate) handing: HashMap<Key, Node>,
    pub(crate) landing: BTreeSet<(Millis, Key)>,
    /// Live, or with a call-back owed, by owner: what is compared with others and looked through when one is
    /// gone. All entries, with those that ended in the last minutes, are a hundred times as many.
    pub(crate) live: BTreeSet<(Node, Key)>,
    /// Ownership here and on too few disks: when to see to each.
    pub(crate) thin: BTreeSet<(Millis, Key)>,
    pub(crate) thin_since: Option<Millis>,
    pub(crate) bucket: crate::repair::Bytes,
    pub(crate) rows: crate::ordering::Rows,
    /// To be taken over by then, if their owner is not back.
    pub(crate) orphans: BTreeSet<(Millis, Key)>,
    /// Their owner has said that it has lost them with its disk.
    pub(crate) lost: HashMap<Key, Node>,
    receivers: HashMap<String, Receiver>,
    /// Call-backs that are out, and where: by the time of the answer the message may know no receiver any
    /// more.
    calling: HashMap<Key, String>,
    next_number: u64,
    next_attempt: u64,
    next_ticket: u64,
    waits: HashMap<u64, Vec<Waits>>,
    /// Since when the disk has had what is waited for.
    writing: BTreeMap<u64, Millis>,
    ticked: Millis,
    records: Vec<Vec<u8>>,
    sync: bool,
    due_waits: Vec<Waits>,
    pub(crate) ends_at: Option<Millis>,
    effects: Vec<Effect>,
    lane_wait: Millis,
    upkeep: Millis,
    /// The time of day when the steady clock stood at nought.
    wall: u64,
    pub leaving: bool,
    /// It is to be emptied, and who counts on no copy here.
    pub(crate) retiring: bool,
    pub(crate) retire_kept: bool,
    pub(crate) relieved: BTreeSet<Node>,
    /// Ends that go to others before this store is gone.
    pub(crate) passing: crate::ends::Passing,
    /// The control nodes hear this store: without them and without a peer it may be the one that is cut off.
    pub heard: bool,
    /// So long without a word of them that they may call its session lapsed.
    pub lapsed: bool,
    /// Nothing is started since then (`look_after_fence`).
    pub(crate) fence: Option<Millis>,
    /// The members have been told: before that a store would take itself for the only one.
    pub(crate) acquainted: bool,
    #[cfg(feature = "planted")]
    pub(crate) planted: Option<PlantedFault>,
    pub figures: Figures,
}

impl Queue {
    /// Begins with what the disk holds. `wall` is the time of day in ms.
    pub fn new(terms: QueueSettings, ledger: StateTable, now: Millis, wall: u64) -> Queue {
        let mut queue = Queue {
            // Numbers never come again: each life has a line of its own.
            next_number: terms.first,
            next_attempt: 1,
            next_ticket: 1,
            entries: HashMap::new(),
            peers: BTreeMap::new(),
            config: None,
            service_queues: Vec::new(),
            lane_of: HashMap::new(),
            servers: HashMap::new(),
            delayed: BTreeSet::new(),
            expiring: BTreeSet::new(),
            forget: VecDeque::new(),
            early: HashSet::new(),
            held: BTreeSet::new(),
            handing: HashMap::new(),
            wall: wall.saturating_sub(now),
            unwanted: HashSet::new(),
            landing: BTreeSet::new(),
            live: BTreeSet::new(),
            thin: BTreeSet::new(),
            thin_since: None,
            bucket: Default::default(),
            rows: Default::default(),
            orphans: BTreeSet::new(),
            lost: HashMap::new(),
            receivers: HashMap::new(),
            calling: HashMap::new(),
            waits: HashMap::new(),
            writing: BTreeMap::new(),
            ticked: now,
            records: Vec::new(),
            sync: false,
            due_waits: Vec::new(),
            ends_at: None,
            effects: Vec::new(),
            lane_wait: 0,
            upkeep: now,
            leaving: false,
            retiring: ledger.retirement_ordered,
            retire_kept: ledger.retirement_ordered,
            relieved: BTreeSet::new(),
            passing: Default::default(),
            heard: true,
            lapsed: false,
            fence: None,
            acquainted: false,
            #[cfg(feature = "planted")]
            planted: None,
            figures: Figures::default(),
            terms,
        };
        for (key, kept) in ledger.messages {
            queue.recall(key, kept, now, wall);
        }
        if ledger.retirement_ordered {
            queue.begin_retiring(now);
        }
        queue
    }

    fn recall(&mut self, key: Key, kept: StoredMessage, now: Millis, wall: u64) {
        let known = kept.replica.is_some();
        let shared = kept.replica.unwrap_or_default();
        let (end, owed) = match kept.end {
            Some(StoredEnd { end, callback_pending, .. }) => (Some(end), callback_pending),
            None => (None, false),
        };
        if end.is_none() && shared.message.id.is_empty() && shared.message.method.is_empty() {
            return;
        }
        let gone = wall.saturating_sub(shared.message.accepted_at_ms);
        // Whoever owns it, or held a copy, may be gone for good: it is missed from now on all the same.
        for node in
            shared.replicas.iter().chain([&shared.owner]).filter(|node| known && **node != self.terms.me)
        {
            self.peers.entry(*node).or_insert_with(|| Peer::new(now));
        }
        let mut entry = Entry::of(&shared, now);
        entry.born = now as i64 - gone as i64;
        // Clocks of machines differ a little: rather late than early.
        entry.due = now + (shared.message.delay_ms + 60).saturating_sub(gone).min(shared.message.delay_ms);
        entry.stage = match (&end, shared.owner == self.terms.me) {
            (Some(_), _) => Stage::Ended,
            (None, true) => Stage::Held,
            (None, false) => Stage::Copy,
        };
        (entry.end, entry.owed) = (end, owed);
        let (stage, owed) = (entry.stage, entry.owed && entry.owner == self.terms.me);
        self.entries.insert(key, entry);
        self.file(key);
        match stage {
            Stage::Ended => self.forget.push_back((now + self.terms.status_ms + 60_000, key)),
            Stage::Held => {
                self.held.insert(key);
            }
            _ => {}
        }
        if owed {
            self.owe(key);
        }
        self.expiry(key);
    }

    /// By when it has waited too long, as its route says now.
    pub(crate) fn expiry(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        self.expiring.remove(&(entry.expires, key));
        let most = self
            .config
            .as_ref()
            .and_then(|c| {
                c.route(&entry.message.host, &entry.message.target).map(|at| c.routes[at].max_wait_ms)
            })
            .unwrap_or(90_000);
        entry.expires = entry.born.saturating_add_unsigned(most + SLACK).max(0) as Millis;
        if entry.end.is_none() {
            self.expiring.insert((entry.expires, key));
        }
    }

    pub fn message(&self, key: Key) -> Option<&Message> {
        self.entries.get(&key).map(|entry| &entry.message)
    }

    /// What is known of a message, and its bytes where they are here.
    pub fn find(&self, key: Key) -> Option<(State, Option<&[u8]>)> {
        let entry = self.entries.get(&key)?;
        let state = match &entry.end {
            None => State::Waiting,
            Some(End::Complete { seal }) => State::Complete { seal: seal.clone() },
            Some(End::Failed) => State::Failed,
        };
        let here = !matches!(state, State::Complete { .. }) && entry.message.accepted_at_ms > 0;
        Some((state, here.then_some(entry.message.body.as_slice())))
    }

    pub(crate) fn remove(&mut self, key: Key) {
        self.unschedule(key);
        if let Some(entry) = self.entries.remove(&key) {
            self.expiring.remove(&(entry.expires, key));
            entry.landing.map(|at| self.landing.remove(&(at, key)));
            entry.thin.map(|at| self.thin.remove(&(at, key)));
            entry.filed.map(|owner| self.live.remove(&(owner, key)));
            if let Some(row) = entry.row {
                self.rows.leave(&row.0, GroupPosition { accepted_at_ms: row.1, key }, entry.announced);
            }
            self.held.remove(&key);
            self.handing.remove(&key);
            self.unwanted.remove(&key);
        }
    }

    /// Keeps `live` in step with an entry that has changed.
    pub(crate) fn file(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let filed = (entry.end.is_none() || entry.owed).then_some(entry.owner);
        let was = std::mem::replace(&mut entry.filed, filed);
        if was != filed {
            was.map(|owner| self.live.remove(&(owner, key)));
            filed.map(|owner| self.live.insert((owner, key)));
        }
        let row = (entry.end.is_none()).then_some(&entry.message.ordering_key);
        let row =
            row.and_then(|name| name.clone()).map(|name| Box::new((name, entry.message.accepted_at_ms)));
        if entry.row != row {
            if let Some(old) = std::mem::replace(&mut entry.row, row) {
                let position = GroupPosition { accepted_at_ms: old.1, key };
                self.rows.leave(&old.0, position, entry.announced && entry.end.is_some());
            }
            if let Some(new) = &entry.row {
                self.rows.enter(&new.0, GroupPosition { accepted_at_ms: new.1, key });
            }
        }
        if filed != Some(self.terms.me) {
            entry.thin.take().map(|at| self.thin.remove(&(at, key)));
        }
    }

    pub(crate) fn enter(&mut self, now: Millis, shared: &ReplicatedMessage, stage: Stage) {
        let mut entry = Entry::of(shared, now);
        entry.stage = stage;
        // It may wait, land or be out here: none of that may go on with what is put in its place.
        let old = self.entries.get_mut(&shared.key).and_then(|old| old.ticket.take());
        self.remove(shared.key);
        self.uncertain(old);
        self.entries.insert(shared.key, entry);
        self.file(shared.key);
        self.expiry(shared.key);
    }

    /// Requests that are out, and messages that are not yet safe.
    pub fn in_hand(&self) -> usize {
        self.service_queues.iter().map(|service_queue| service_queue.sent.len()).sum::<usize>()
            + self.landing.len()
            + self.handing.len()
    }

    pub fn live(&self) -> usize {
        self.live.len()
    }
}
