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
pub use report::{MessageView, ServiceView, StageCounts};
pub(crate) use types::PendingWrite;
pub use types::{
    AttemptOutcome, Effect, Entry, MessageState, QueueMetrics, QueueSettings, Stage, ToleratedLosses,
};

use crate::message::{End, Key, Message, Millis, Node, ReplicatedMessage};
use crate::peer::Peer;
use crate::peer_message::GroupPosition;
#[cfg(feature = "planted")]
use crate::planted_fault::PlantedFault;
use crate::service_queue::{Executor, ServiceQueue};
use crate::state_table::{StateTable, StoredEnd, StoredMessage};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use stileroute_config::Config;
use types::CallbackReceiver;

/// Beyond the time that it may wait, for clients' clocks and first tries: one that has not ended must not be
/// called failed.
const SLACK: Millis = 1500;

const UPKEEP: Millis = 250;

pub struct Queue {
    pub(crate) settings: QueueSettings,
    pub(crate) entries: HashMap<Key, Entry>,
    pub(crate) peers: BTreeMap<Node, Peer>,
    config: Option<Arc<Config>>,
    service_queues: Vec<ServiceQueue>,
    service_queue_index: HashMap<String, usize>,
    executors: HashMap<String, Vec<Executor>>,
    delayed: BTreeSet<(Millis, Key)>,
    expiring: BTreeSet<(Millis, Key)>,
    forgetting: VecDeque<(Millis, Key)>,
    /// Taken by a configuration that has not come here yet.
    awaiting_config: HashSet<Key>,
    /// Read from disk, and not yet released.
    pub(crate) unreleased: BTreeSet<Key>,
    /// Another store keeps the same message: not to be run here, whoever owns it now.
    pub(crate) superseded_keys: HashSet<Key>,
    /// Offered to a successor that has not said yes.
    pub(crate) handovers: HashMap<Key, Node>,
    pub(crate) persisting: BTreeSet<(Millis, Key)>,
    /// Live, or with a call-back owed, by owner: what is compared with others and looked through when one is
    /// gone. All entries, with those that ended in the last minutes, are a hundred times as many.
    pub(crate) live_by_owner: BTreeSet<(Node, Key)>,
    /// Owned here and on too few disks: when to see to each.
    pub(crate) under_replicated: BTreeSet<(Millis, Key)>,
    pub(crate) under_replicated_since: Option<Millis>,
    pub(crate) repair_budget: crate::repair_budget::RepairBudget,
    pub(crate) ordering: crate::fifo_groups::FifoGroups,
    /// To be taken over by then, if their owner is not back.
    pub(crate) orphans: BTreeSet<(Millis, Key)>,
    /// Their owner has said that it has lost them with its disk.
    pub(crate) lost_by_owner: HashMap<Key, Node>,
    callback_receivers: HashMap<String, CallbackReceiver>,
    /// Call-backs that are out, and where: by the time of the answer the message may know no receiver any
    /// more.
    callbacks_in_flight: HashMap<Key, String>,
    next_number: u64,
    next_attempt: u64,
    next_ticket: u64,
    pending_writes: HashMap<u64, Vec<PendingWrite>>,
    /// Since when the disk has had what is waited for.
    write_started_at: BTreeMap<u64, Millis>,
    last_tick_at: Millis,
    records: Vec<Vec<u8>>,
    needs_sync: bool,
    next_pending_writes: Vec<PendingWrite>,
    pub(crate) flush_ends_at: Option<Millis>,
    effects: Vec<Effect>,
    next_dispatch_at: Millis,
    last_upkeep_at: Millis,
    /// The time of day when the steady clock stood at nought.
    wall_clock_offset_ms: u64,
    pub is_draining: bool,
    /// It is to be emptied, and who counts on no copy here.
    pub(crate) is_retiring: bool,
    pub(crate) is_retirement_durable: bool,
    pub(crate) released_by: BTreeSet<Node>,
    /// Ends that go to others before this store is gone.
    pub(crate) end_replication: crate::end_replication::EndReplication,
    /// The control nodes hear this store: without them and without a peer it may be the one that is cut off.
    pub hears_control_group: bool,
    /// So long without a word of them that they may call its session lapsed.
    pub session_may_have_lapsed: bool,
    /// Nothing is started since then (`look_after_fence`).
    pub(crate) fenced_since: Option<Millis>,
    /// The members have been told: before that a store would take itself for the only one.
    pub(crate) knows_members: bool,
    #[cfg(feature = "planted")]
    pub(crate) planted: Option<PlantedFault>,
    pub metrics: QueueMetrics,
}

impl Queue {
    /// Begins with what the disk holds. `wall` is the time of day in ms.
    pub fn new(terms: QueueSettings, ledger: StateTable, now: Millis, wall: u64) -> Queue {
        let mut queue = Queue {
            // Numbers never come again: each life has a line of its own.
            next_number: terms.first_number,
            next_attempt: 1,
            next_ticket: 1,
            entries: HashMap::new(),
            peers: BTreeMap::new(),
            config: None,
            service_queues: Vec::new(),
            service_queue_index: HashMap::new(),
            executors: HashMap::new(),
            delayed: BTreeSet::new(),
            expiring: BTreeSet::new(),
            forgetting: VecDeque::new(),
            awaiting_config: HashSet::new(),
            unreleased: BTreeSet::new(),
            handovers: HashMap::new(),
            wall_clock_offset_ms: wall.saturating_sub(now),
            superseded_keys: HashSet::new(),
            persisting: BTreeSet::new(),
            live_by_owner: BTreeSet::new(),
            under_replicated: BTreeSet::new(),
            under_replicated_since: None,
            repair_budget: Default::default(),
            ordering: Default::default(),
            orphans: BTreeSet::new(),
            lost_by_owner: HashMap::new(),
            callback_receivers: HashMap::new(),
            callbacks_in_flight: HashMap::new(),
            pending_writes: HashMap::new(),
            write_started_at: BTreeMap::new(),
            last_tick_at: now,
            records: Vec::new(),
            needs_sync: false,
            next_pending_writes: Vec::new(),
            flush_ends_at: None,
            effects: Vec::new(),
            next_dispatch_at: 0,
            last_upkeep_at: now,
            is_draining: false,
            is_retiring: ledger.retirement_ordered,
            is_retirement_durable: ledger.retirement_ordered,
            released_by: BTreeSet::new(),
            end_replication: Default::default(),
            hears_control_group: true,
            session_may_have_lapsed: false,
            fenced_since: None,
            knows_members: false,
            #[cfg(feature = "planted")]
            planted: None,
            metrics: QueueMetrics::default(),
            settings: terms,
        };
        for (key, kept) in ledger.messages {
            queue.restore(key, kept, now, wall);
        }
        if ledger.retirement_ordered {
            queue.begin_retiring(now);
        }
        queue
    }

    fn restore(&mut self, key: Key, kept: StoredMessage, now: Millis, wall: u64) {
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
            shared.replicas.iter().chain([&shared.owner]).filter(|node| known && **node != self.settings.node)
        {
            self.peers.entry(*node).or_insert_with(|| Peer::new(now));
        }
        let mut entry = Entry::from_shared(&shared, now);
        entry.accepted_at = now as i64 - gone as i64;
        // Clocks of machines differ a little: rather late than early.
        entry.due_at = now + (shared.message.delay_ms + 60).saturating_sub(gone).min(shared.message.delay_ms);
        entry.stage = match (&end, shared.owner == self.settings.node) {
            (Some(_), _) => Stage::Ended,
            (None, true) => Stage::Suspended,
            (None, false) => Stage::Replica,
        };
        (entry.end, entry.callback_pending) = (end, owed);
        let (stage, owed) = (entry.stage, entry.callback_pending && entry.owner == self.settings.node);
        self.entries.insert(key, entry);
        self.reindex(key);
        match stage {
            Stage::Ended => {
                self.forgetting.push_back((now + self.settings.status_retention_ms + 60_000, key))
            }
            Stage::Suspended => {
                self.unreleased.insert(key);
            }
            _ => {}
        }
        if owed {
            self.queue_callback(key);
        }
        self.update_expiry(key);
    }

    /// By when it has waited too long, as its route says now.
    pub(crate) fn update_expiry(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        self.expiring.remove(&(entry.expires_at, key));
        let most = self
            .config
            .as_ref()
            .and_then(|c| {
                c.route(&entry.message.host, &entry.message.target).map(|at| c.routes[at].max_wait_ms)
            })
            .unwrap_or(90_000);
        entry.expires_at = entry.accepted_at.saturating_add_unsigned(most + SLACK).max(0) as Millis;
        if entry.end.is_none() {
            self.expiring.insert((entry.expires_at, key));
        }
    }

    pub fn message(&self, key: Key) -> Option<&Message> {
        self.entries.get(&key).map(|entry| &entry.message)
    }

    /// What is known of a message, and its bytes where they are here.
    pub fn lookup(&self, key: Key) -> Option<(MessageState, Option<&[u8]>)> {
        let entry = self.entries.get(&key)?;
        let state = match &entry.end {
            None => MessageState::Waiting,
            Some(End::Complete { seal }) => MessageState::Complete { seal: seal.clone() },
            Some(End::Failed) => MessageState::Failed,
        };
        let here = !matches!(state, MessageState::Complete { .. }) && entry.message.accepted_at_ms > 0;
        Some((state, here.then_some(entry.message.body.as_slice())))
    }

    pub(crate) fn remove(&mut self, key: Key) {
        self.unschedule(key);
        if let Some(entry) = self.entries.remove(&key) {
            self.expiring.remove(&(entry.expires_at, key));
            entry.persist_check_at.map(|at| self.persisting.remove(&(at, key)));
            entry.repair_at.map(|at| self.under_replicated.remove(&(at, key)));
            entry.indexed_owner.map(|owner| self.live_by_owner.remove(&(owner, key)));
            if let Some(row) = entry.order_slot {
                self.ordering.remove(
                    &row.0,
                    GroupPosition { accepted_at_ms: row.1, key },
                    entry.is_announced,
                );
            }
            self.unreleased.remove(&key);
            self.handovers.remove(&key);
            self.superseded_keys.remove(&key);
        }
    }

    /// Keeps `live` in step with an entry that has changed.
    pub(crate) fn reindex(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let filed = (entry.end.is_none() || entry.callback_pending).then_some(entry.owner);
        let was = std::mem::replace(&mut entry.indexed_owner, filed);
        if was != filed {
            was.map(|owner| self.live_by_owner.remove(&(owner, key)));
            filed.map(|owner| self.live_by_owner.insert((owner, key)));
        }
        let row = (entry.end.is_none()).then_some(&entry.message.ordering_key);
        let row =
            row.and_then(|name| name.clone()).map(|name| Box::new((name, entry.message.accepted_at_ms)));
        if entry.order_slot != row {
            if let Some(old) = std::mem::replace(&mut entry.order_slot, row) {
                let position = GroupPosition { accepted_at_ms: old.1, key };
                self.ordering.remove(&old.0, position, entry.is_announced && entry.end.is_some());
            }
            if let Some(new) = &entry.order_slot {
                self.ordering.insert(&new.0, GroupPosition { accepted_at_ms: new.1, key });
            }
        }
        if filed != Some(self.settings.node) {
            entry.repair_at.take().map(|at| self.under_replicated.remove(&(at, key)));
        }
    }

    pub(crate) fn insert_replica_of(&mut self, now: Millis, shared: &ReplicatedMessage, stage: Stage) {
        let mut entry = Entry::from_shared(shared, now);
        entry.stage = stage;
        // It may wait, land or be out here: none of that may go on with what is put in its place.
        let old = self.entries.get_mut(&shared.key).and_then(|old| old.ticket.take());
        self.remove(shared.key);
        self.report_unknown_outcome(old);
        self.entries.insert(shared.key, entry);
        self.reindex(shared.key);
        self.update_expiry(shared.key);
    }

    /// Requests that are out, and messages that are not yet safe.
    pub fn unfinished_count(&self) -> usize {
        self.service_queues.iter().map(|service_queue| service_queue.in_flight.len()).sum::<usize>()
            + self.persisting.len()
            + self.handovers.len()
    }

    pub fn live_count(&self) -> usize {
        self.live_by_owner.len()
    }
}
