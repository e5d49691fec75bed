//! The durable queue of one store: the table of its messages and the indices that are kept consistent with it.

mod callbacks;
mod completion;
mod configuration;
mod delivery;
mod expiry;
pub(crate) mod failures;
mod forgetting;
mod intake;
mod message_numbers;
mod report;
mod timers;
mod token_holders;

pub(crate) use token_holders::token_holder;

pub use message_numbers::first_number;
pub use report::{MessageView, PeerView, RateLimitView, ServiceView, StageCounts};

use crate::control_contact::ControlContact;
use crate::effect::Effect;
use crate::entry::{Acceptance, Entry, MessageState, OrderSlot, Stage};
use crate::entry_table::EntryTable;
use crate::idempotency::ShardTable;
use crate::message::{End, Key, Message, Millis, Node, ReplicatedMessage};
use crate::metrics::QueueMetrics;
use crate::peer::Peer;
use crate::peer_message::GroupPosition;
use crate::pending_writes::PendingWrites;
#[cfg(feature = "planted")]
use crate::planted_fault::PlantedFault;
use crate::service_queue::{Executor, ServiceQueue};
use crate::settings::QueueSettings;
use crate::state_table::{StateTable, StoredEnd, StoredMessage};
use crate::tenant_quotas::TenantQuotas;
use callbacks::Callbacks;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use stileroute_config::Config;
use token_holders::TokenHolders;

/// Interval at which members, executors and peers are checked.
const UPKEEP_INTERVAL_MS: Millis = 250;

/// Maximum delay beyond the computed start of a delayed message read from disk. The clocks of machines differ a little,
/// and starting late is better than starting early.
const CLOCK_DIFFERENCE_MS: Millis = 60;

/// Whether an operator has ordered the retirement of this store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RetirementOrder {
    /// Retirement is not ordered.
    #[default]
    None,
    /// Retirement is ordered, but the order is not on disk yet.
    Pending,
    /// Retirement is ordered and the order is on disk, so it survives restarts.
    Durable,
}

/// The durable queue of one store.
///
/// A state machine: the program calls a method for each event, then [`tick`](Queue::tick), then carries out what
/// [`take_effects`](Queue::take_effects) gives. Times are milliseconds of one steady clock.
pub struct Queue {
    pub(crate) settings: QueueSettings,
    /// Contact with the control group, as the program observes it.
    pub control_contact: ControlContact,
    /// Number of further ends, or numbers of failed attempts, that the program can keep until they are on disk. It
    /// limits the attempts in flight, because each may lead to one.
    pub end_capacity: usize,
    /// Counters since the start of the process.
    pub metrics: QueueMetrics,

    pub(crate) entries: EntryTable,
    /// Messages that have not ended, or whose callback is pending, by owner. This index is used to compare messages
    /// with other stores and to find those of a store that is gone. The table with its ended messages is about a
    /// hundred times as large.
    pub(crate) live_by_owner: BTreeSet<(Node, Key)>,
    /// The same messages, by the ids that their clients gave them.
    pub(crate) live_ids: crate::live_ids::LiveIds,
    pub(crate) ordering: crate::fifo_groups::FifoGroups,

    /// Messages that are due later, by their start time.
    delayed: BTreeSet<(Millis, Key)>,
    /// Messages that have not ended, by the time at which they fail because they have waited too long.
    expiring: BTreeSet<(Millis, Key)>,
    /// Messages to be removed from the table, in the order of their removal times.
    forgetting: BTreeSet<(Millis, Key)>,
    /// Messages being persisted, by the time at which a missing confirmation is handled.
    pub(crate) persisting: BTreeSet<(Millis, Key)>,
    /// Messages owned by this store that have too few replicas.
    pub(crate) under_replicated: crate::repair_queue::RepairQueue,
    pub(crate) under_replicated_since: Option<Millis>,
    pub(crate) repair_budget: crate::repair_budget::RepairBudget,
    pub(crate) repair_deadline: crate::repair_deadline::RepairDeadline,
    /// Messages accepted under a configuration that has not reached this store.
    awaiting_config: HashSet<Key>,
    /// Messages read from disk that wait for reports of the stores that hold replicas.
    pub(crate) unreleased: BTreeSet<Key>,
    /// Messages of which another store keeps its copy. They are not started here, whichever store owns them.
    pub(crate) superseded_keys: HashSet<Key>,
    /// Decisions of edges about messages that were offered to several stores.
    pub(crate) superseded_messages: crate::duplicates::SupersededMessages,
    /// Messages offered in a handover to a successor that has not answered.
    pub(crate) handovers: HashMap<Key, Node>,
    /// Messages to be taken over, by the time at which this happens if their owner has not returned.
    pub(crate) orphans: BTreeSet<(Millis, Key)>,
    /// Messages that their owner has lost with its disk, with the owner.
    pub(crate) lost_by_owner: HashMap<Key, Node>,

    config: Option<Arc<Config>>,
    service_queues: Vec<ServiceQueue>,
    service_queue_index: HashMap<String, usize>,
    token_holders: TokenHolders,
    executors: HashMap<String, Vec<Executor>>,
    callbacks: Callbacks,
    next_number: u64,
    next_attempt: u64,
    /// Number of attempts that may still be started in this turn; the program cannot keep the ends of more.
    free_attempts: usize,

    effects: Vec<Effect>,
    pub(crate) pending_writes: PendingWrites,
    /// Time at which ends that have not been sent yet are sent to the peers.
    pub(crate) flush_ends_at: Option<Millis>,
    /// Time at which the service queues are examined again.
    next_dispatch_at: Millis,
    pub(crate) last_tick_at: Millis,
    last_upkeep_at: Millis,
    /// Time of day at zero of the steady clock, in milliseconds since 1970.
    wall_clock_offset_ms: u64,

    pub(crate) peers: BTreeMap<Node, Peer>,
    /// Disk identifiers of other stores, as they last reported them.
    pub(crate) peer_disks: BTreeMap<Node, u64>,
    /// Whether the membership has arrived. Before that a store would assume that it is the only one.
    pub(crate) knows_members: bool,
    /// Whether messages were accepted at the last check, used to log changes.
    was_accepting: bool,
    /// Whether the store is draining: no more messages are accepted, and waiting messages are handed over.
    pub is_draining: bool,
    pub(crate) retirement: RetirementOrder,
    /// Stores that have reported that they need no replica here.
    pub(crate) released_by: BTreeSet<Node>,
    /// The quotas of tenants.
    pub(crate) quotas: TenantQuotas,
    /// The shards of idempotency keys.
    pub(crate) shards: ShardTable,
    /// Progress of copying ends to other stores.
    pub(crate) end_replication: crate::end_replication::EndReplication,
    /// Time since which no attempt is started, because other stores may have taken over.
    pub(crate) fenced_since: Option<Millis>,
    #[cfg(feature = "planted")]
    pub(crate) planted: Option<PlantedFault>,
}

impl Queue {
    /// Creates a queue with the state read from disk. `wall_clock_ms` is the time of day at `now`, in milliseconds
    /// since 1970.
    pub fn new(settings: QueueSettings, stored: StateTable, now: Millis, wall_clock_ms: u64) -> Queue {
        let has_lost_disk = stored.are_shard_terms_missing || settings.has_lost_disk;
        let shards = ShardTable::new(now, &stored.shard_terms, has_lost_disk);
        let mut queue = Queue::empty(settings, shards, now, wall_clock_ms);
        for (key, message) in stored.messages {
            queue.restore(key, message, now, wall_clock_ms);
        }
        queue.restore_peer_disks(now, stored.peer_disks);
        queue.restore_message_holders(now, &stored.message_holders, &stored.gone_message_holders);
        queue.find_under_replicated_ends();
        if stored.retirement_ordered {
            queue.retirement = RetirementOrder::Durable;
            queue.begin_retiring(now);
        }
        queue
    }

    fn empty(settings: QueueSettings, shards: ShardTable, now: Millis, wall_clock_ms: u64) -> Queue {
        Queue {
            control_contact: ControlContact::FULL,
            end_capacity: usize::MAX,
            metrics: QueueMetrics::default(),
            entries: EntryTable::default(),
            live_by_owner: BTreeSet::new(),
            live_ids: Default::default(),
            ordering: Default::default(),
            delayed: BTreeSet::new(),
            expiring: BTreeSet::new(),
            forgetting: BTreeSet::new(),
            persisting: BTreeSet::new(),
            under_replicated: Default::default(),
            under_replicated_since: None,
            repair_budget: Default::default(),
            repair_deadline: Default::default(),
            awaiting_config: HashSet::new(),
            unreleased: BTreeSet::new(),
            superseded_keys: HashSet::new(),
            superseded_messages: Default::default(),
            handovers: HashMap::new(),
            orphans: BTreeSet::new(),
            lost_by_owner: HashMap::new(),
            config: None,
            service_queues: Vec::new(),
            service_queue_index: HashMap::new(),
            token_holders: TokenHolders::default(),
            executors: HashMap::new(),
            callbacks: Callbacks::default(),
            // Message numbers never repeat, because each incarnation has a range of its own.
            next_number: settings.first_number,
            next_attempt: 1,
            free_attempts: usize::MAX,
            effects: Vec::new(),
            pending_writes: PendingWrites::default(),
            flush_ends_at: None,
            next_dispatch_at: 0,
            last_tick_at: now,
            last_upkeep_at: now,
            wall_clock_offset_ms: wall_clock_ms.saturating_sub(now),
            peers: BTreeMap::new(),
            peer_disks: BTreeMap::new(),
            knows_members: false,
            was_accepting: false,
            is_draining: false,
            retirement: RetirementOrder::None,
            released_by: BTreeSet::new(),
            quotas: TenantQuotas::default(),
            shards,
            end_replication: Default::default(),
            fenced_since: None,
            #[cfg(feature = "planted")]
            planted: None,
            settings,
        }
    }

    /// Restores a message that was read from disk.
    fn restore(&mut self, key: Key, stored: StoredMessage, now: Millis, wall_clock_ms: u64) {
        let is_content_known = stored.replica.is_some();
        let shared = stored.replica.unwrap_or_default();
        let (end, callback_pending) = match stored.end {
            Some(StoredEnd { end, callback_pending, .. }) => (Some(end), callback_pending),
            None => (None, false),
        };
        if end.is_none() && shared.message.id.is_empty() && shared.message.method.is_empty() {
            return;
        }
        if is_content_known {
            self.add_peers_of(&shared, now);
        }
        let age_ms = wall_clock_ms.saturating_sub(shared.message.accepted_at_ms);
        let mut entry = Entry::from_shared(&shared, now);
        entry.accepted_at = now as i64 - age_ms as i64;
        let delay_ms = shared.message.delay_ms;
        let delay_left_ms = delay_ms.saturating_add(CLOCK_DIFFERENCE_MS).saturating_sub(age_ms).min(delay_ms);
        entry.due_at = now.saturating_add(delay_left_ms);
        entry.stage = match (&end, shared.owner == self.settings.node) {
            (Some(_), _) => Stage::Ended,
            (None, true) => Stage::Suspended,
            (None, false) => Stage::Replica,
        };
        (entry.end, entry.callback_pending) = (end, callback_pending);
        if entry.digest.is_some() && entry.stage == Stage::Suspended {
            entry.acceptance = Acceptance::Unchecked;
        }
        let stage = entry.stage;
        let is_callback_owed_here = callback_pending && entry.owner == self.settings.node;
        self.entries.insert(key, entry);
        self.reindex(key);
        match stage {
            Stage::Ended => self.forget_after_end(now, key),
            Stage::Suspended => {
                self.unreleased.insert(key);
            }
            _ => {}
        }
        if is_callback_owed_here {
            self.queue_callback(key);
        }
        self.update_expiry(key);
    }

    /// Creates peers for the owner and the stores with replicas of a message. They may be gone for good, so they count
    /// as absent from now on.
    fn add_peers_of(&mut self, shared: &ReplicatedMessage, now: Millis) {
        let others = shared.replicas.iter().chain([&shared.owner]);
        for node in others.filter(|node| **node != self.settings.node) {
            self.peers.entry(*node).or_insert_with(|| Peer::new(now));
        }
    }

    /// The message as it was submitted, or what is kept of it after its end.
    pub fn message(&self, key: Key) -> Option<&Message> {
        self.entries.get(&key).map(|entry| &entry.message)
    }

    /// The state of a message, and its body if this store still has it.
    pub fn lookup(&self, key: Key) -> Option<(MessageState, Option<&[u8]>)> {
        let entry = self.entries.get(&key)?;
        let state = match &entry.end {
            None => MessageState::Waiting,
            Some(End::Complete { seal }) => MessageState::Complete { seal: seal.clone() },
            Some(End::Failed) => MessageState::Failed,
        };
        let has_body = !matches!(state, MessageState::Complete { .. }) && entry.message.accepted_at_ms > 0;
        Some((state, has_body.then_some(entry.message.body.as_slice())))
    }

    /// Removes a message from the table and from all indices.
    pub(crate) fn remove(&mut self, key: Key) {
        self.unschedule(key);
        let Some(entry) = self.entries.remove(&key) else { return };
        self.expiring.remove(&(entry.expires_at, key));
        self.forgetting.remove(&(entry.forget_at, key));
        if let Some(at) = entry.persist_check_at {
            self.persisting.remove(&(at, key));
        }
        self.under_replicated.cancel(key);
        if let Some(owner) = entry.indexed_owner {
            self.live_by_owner.remove(&(owner, key));
        }
        self.live_ids.remove(key);
        self.pending_writes.take_failed_own_write(key);
        if let Some(slot) = entry.order_slot {
            self.ordering.remove(
                &slot.ordering_key,
                GroupPosition { accepted_at_ms: slot.accepted_at_ms, key },
                entry.order.is_announced,
            );
        }
        self.unreleased.remove(&key);
        self.handovers.remove(&key);
        self.superseded_keys.remove(&key);
        self.end_replication.under_replicated.remove(key);
    }

    /// Updates the indices by owner, of ordered messages and of repair for an entry that has changed.
    pub(crate) fn reindex(&mut self, key: Key) {
        self.reindex_owner(key);
        self.reindex_order(key);
        let Some(entry) = self.entries.get(&key) else { return };
        if entry.indexed_owner != Some(self.settings.node) {
            self.under_replicated.cancel(key);
        }
    }

    fn reindex_owner(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let is_live = entry.end.is_none() || entry.callback_pending;
        let owner = is_live.then_some(entry.owner);
        let former = std::mem::replace(&mut entry.indexed_owner, owner);
        if former == owner {
            return;
        }
        if let Some(former) = former {
            self.live_by_owner.remove(&(former, key));
        }
        match owner {
            Some(owner) => {
                self.live_by_owner.insert((owner, key));
                self.live_ids.insert(key, &entry.message.id);
            }
            None => self.live_ids.remove(key),
        }
    }

    fn reindex_order(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let ordering_key = entry.message.ordering_key.as_ref().filter(|_| entry.end.is_none());
        let slot = ordering_key.map(|ordering_key| {
            Box::new(OrderSlot {
                ordering_key: ordering_key.clone(),
                accepted_at_ms: entry.message.accepted_at_ms,
            })
        });
        if entry.order_slot == slot {
            return;
        }
        if let Some(former) = std::mem::replace(&mut entry.order_slot, slot) {
            let is_end_announced = entry.order.is_announced && entry.end.is_some();
            self.ordering.remove(
                &former.ordering_key,
                GroupPosition { accepted_at_ms: former.accepted_at_ms, key },
                is_end_announced,
            );
        }
        if let Some(slot) = &entry.order_slot {
            self.ordering
                .insert(&slot.ordering_key, GroupPosition { accepted_at_ms: slot.accepted_at_ms, key });
        }
    }

    /// Inserts a message that another store describes, replacing the entry that was known here. Operations in progress
    /// for the former entry are abandoned.
    pub(crate) fn insert_replica_of(&mut self, now: Millis, shared: &ReplicatedMessage, stage: Stage) {
        let mut entry = Entry::from_shared(shared, now);
        entry.stage = stage;
        let mut former_ticket = None;
        if let Some(former) = self.entries.get_mut(&shared.key) {
            // The other store may not know of attempts that failed here.
            entry.failures = std::mem::take(&mut former.failures);
            entry.failures.raise(shared.attempts);
            former_ticket = former.ticket.take();
        }
        entry.has_run = entry.failures.total() > 0;
        self.remove(shared.key);
        self.report_unknown_outcome(former_ticket);
        self.entries.insert(shared.key, entry);
        self.reindex(shared.key);
        self.update_expiry(shared.key);
    }

    /// Adds an effect to those of this turn.
    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Whether an operator has ordered the retirement of this store.
    pub(crate) fn is_retiring(&self) -> bool {
        self.retirement != RetirementOrder::None
    }

    /// Number of unfinished attempts, messages being persisted, and handovers.
    pub fn unfinished_count(&self) -> usize {
        self.attempts_in_flight() + self.persisting.len() + self.handovers.len()
    }

    fn attempts_in_flight(&self) -> usize {
        self.service_queues.iter().map(|service_queue| service_queue.in_flight.len()).sum()
    }

    /// Number of messages that have not ended or have a callback pending, including replicas.
    pub fn live_count(&self) -> usize {
        self.live_by_owner.len()
    }
}
