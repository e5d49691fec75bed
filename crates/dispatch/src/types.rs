//! Plain types for the settings of an instance, its inputs and its decisions. No decision is made here.

/// A clock time or a duration, in tenths of a millisecond.
pub type Time = i64;

/// One second in units of [`Time`].
pub const SECOND: Time = 10_000;

/// Which executors recognise and drop a repeat of a deduplicated op.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scope {
    /// Every executor.
    All,
    /// The executors of one failure domain.
    Domain,
    /// The executors of one deduplication cell.
    Cell,
}

/// What a second run of an op would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// The op is idempotent: it may run any number of times.
    Redeliverable,
    /// A second run has no effect on executors in `scope` that still remember the first one; they do so for `window`.
    Deduplicated {
        /// Which executors remember the first run.
        scope: Scope,
        /// How long they remember it.
        window: Time,
    },
    /// A second run would do harm, so the op must not run twice.
    AtMostOnce,
}

/// A category of ops with the same latency target, effect and benefit.
#[derive(Clone, Debug)]
pub struct Category {
    /// Fixed part of the target latency; `stretch` times the op's own running time is added to it.
    pub target: Time,
    /// Factor of the op's own running time in the target latency.
    pub stretch: f64,
    /// What a second run of an op of this category would do.
    pub effect: Effect,
    /// Benefit of an answer within the target latency.
    pub benefit: f64,
    /// Fraction of the benefit that a late answer still earns.
    pub late: f64,
    /// The only kind of executor that runs this category; `None` if every kind does.
    pub kind: Option<usize>,
    /// Priority in the executors' queues, where they serve by priority; the highest is served first.
    pub priority: i64,
}

/// Meaning of one value of a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Gauge {
    /// Ops at the executor, waiting or running.
    Held,
    /// Ops in the executor's queue.
    Waiting,
    /// Fraction of the executor's slots in use.
    Busy,
    /// Number of free slots.
    FreeSlots,
    /// Units of free memory.
    FreeMemory,
    /// A value that no decision uses.
    Other,
}

/// Settings that stay unchanged while an instance runs.
// The switches are independent of one another; each is a key of the settings object.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug, Default)]
pub struct InstanceSettings {
    /// Failure domain of this instance.
    pub domain: usize,
    /// Granularity of the clock.
    pub tick: Time,
    /// A push can be cancelled.
    pub cancel: bool,
    /// Hedging is allowed: an op may be at two executors at once.
    pub hedging: bool,
    /// The longest retry-after time that clients honour; zero where none may be given.
    pub retry_after: Time,
    /// The most pushes that an op may have.
    pub max_pushes: usize,
    /// The executor list comes by subscription.
    pub subscribe: bool,
    /// How long a cold executor has to be overloaded before it fails.
    pub tip_after: Time,
    /// Fraction of its capacity that a cold executor starts with.
    pub start_share: f64,
    /// Time after its start in which an executor becomes warm.
    pub warm_within: Time,
    /// Weights in the executor list fall with an executor's current load.
    pub live_weights: bool,
    /// Executors serve their queue by the categories' priority.
    pub by_priority: bool,
    /// Benefit counts for each unit of work, not for each op.
    pub by_work: bool,
    /// Interval of progress notes; zero where there are none.
    pub progress: Time,
    /// Price of a push that crosses failure domains, in parts of an op.
    pub cross: f64,
    /// Weight of the worst-served category in the score.
    pub worst_category: f64,
    /// Number of this instance.
    pub me: usize,
    /// Number of instances.
    pub nodes: usize,
    /// Price of a new connection, in parts of an op.
    pub handshake: f64,
    /// How long an idle connection is kept open.
    pub keepalive: Time,
    /// Instances may send one another messages about what they observe.
    pub peers: bool,
    /// Price of 256 bytes delivered to a peer, in parts of an op.
    pub message_price: f64,
    /// Fraction of its benefit that an op over its tenant's quota keeps.
    pub surplus: f64,
    /// Weight of the latency tail in the score; with it an admitted op that ends late costs other ops too.
    pub tail: f64,
}

/// All settings read at start. The instance derives its parameters from them and does not keep them.
#[derive(Clone, Debug, Default)]
pub struct DispatchSettings {
    /// Settings that stay unchanged while the instance runs.
    pub terms: InstanceSettings,
    /// The categories of ops, by index.
    pub categories: Vec<Category>,
    /// Quota of each tenant over all instances, in ops a second.
    pub quotas: Vec<f64>,
    /// An executor is overloaded by this multiple of its capacity.
    pub overload_factor: f64,
    /// Meaning of each value of a load report, in their order.
    pub gauges: Vec<Gauge>,
}

/// Per-op limits that narrow what the category allows. They are set when the op arrives and hold until its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The most pushes that the op may have.
    pub pushes: usize,
    /// The longest time for which a push may be out without having started.
    pub no_start: Time,
    /// The longest time that a started push may go without a progress note.
    pub no_progress: Time,
    /// Backoff before a retry; a random part of up to `pause_spread` times as long is added.
    pub pause: Time,
    /// The most that the random part of the backoff may be, relative to `pause`.
    pub pause_spread: f64,
    /// A hedged request is sent after this time, where the settings allow hedging.
    pub copy_after: Time,
    /// Bit mask of the kinds of executor that the op may go to.
    pub kinds: u64,
    /// Bit mask of the failure domains that the op may go to.
    pub domains: u64,
    /// An effect narrower than the category's.
    pub effect: Option<Effect>,
    /// Retry-after time given to an abandoned op while the retry budget is used up; zero while a retry is left.
    pub over_budget: Time,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            pushes: usize::MAX,
            no_start: Time::MAX,
            no_progress: Time::MAX,
            pause: 0,
            pause_spread: 0.0,
            copy_after: Time::MAX,
            kinds: u64::MAX,
            domains: u64::MAX,
            effect: None,
            over_budget: 0,
        }
    }
}

/// A request to dispatch an op, as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct OpRequest {
    /// Index of the op's category.
    pub category: usize,
    /// Slots that the op takes at an executor.
    pub slots: f64,
    /// Units of memory that the op takes at an executor.
    pub memory: f64,
    /// Expected work of the op, where the client gives it.
    pub hint: Option<Time>,
    /// The time at which the client stops waiting.
    pub deadline: Time,
    /// Per-op limits that narrow what the category allows.
    pub limits: Limits,
    /// Index of the tenant whose quota the op counts against.
    pub tenant: usize,
    /// Hash of the resource for which an executor sets up and which it then keeps for a while (cache affinity); zero
    /// where there is none.
    pub key: u64,
}

/// How a push ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The executor completed the op.
    Acked,
    /// The executor answered that the op failed.
    Error,
    /// The executor had no capacity; the op never ran.
    Full,
    /// No answer came in time.
    TimedOut,
    /// No connection could be opened; the op never ran.
    NotConnected,
    /// The connection was reset after the op was written.
    Reset,
    /// The push was cancelled.
    Cancelled,
    /// The push was cancelled before it started; the op never ran.
    NeverStarted,
    /// The push was held back before any byte was written, because an operator disabled its executor.
    Withheld,
    /// The connection broke before the op was written completely; the op never ran.
    Cut,
    /// The connection closed under the push, as an idle one does: the op may have run, and this counts against no
    /// executor.
    Broken,
    /// The executor rejected the op for what it is; final, since every executor would reject it.
    Rejected,
}

impl Outcome {
    /// Whether the op provably never ran in this push.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::NotConnected | Outcome::NeverStarted | Outcome::Withheld | Outcome::Cut
        )
    }
}

/// One push of an op to an executor.
#[derive(Clone, Debug, Default)]
pub struct Push {
    /// Index of the executor.
    pub executor: usize,
    /// How the push ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
    pub(crate) sent: Time,
    pub(crate) started: Option<Time>,
    pub(crate) noted_at: Time,
    pub(crate) cancelling: bool,
    /// Its lack of progress has been counted against the executor.
    pub(crate) blamed: bool,
    /// Wait for a start that was expected when the push was sent, before the correction by observed waits.
    pub(crate) expected_wait: f64,
}

impl Push {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
    /// The time at which the push exceeds its limit without a start, or without a progress note.
    pub(crate) fn due_at(&self, limits: &Limits) -> Time {
        match self.started {
            None => self.sent.saturating_add(limits.no_start),
            Some(_) => self.noted_at.saturating_add(limits.no_progress),
        }
    }
}

/// An op, from its arrival to the outcome of its last push.
#[derive(Clone, Debug, Default)]
pub struct Op {
    /// The op's pushes, in the order in which they were sent.
    pub pushes: Vec<Push>,
    /// The op has its final answer, or nobody waits for it any more.
    pub closed: bool,
    /// Index of the op's category.
    pub category: usize,
    pub(crate) slots: f64,
    pub(crate) work: f64,
    pub(crate) arrived_at: Time,
    /// The time at which the client stops waiting.
    pub deadline: Time,
    /// Per-op limits that narrow what the category allows.
    pub limits: Limits,
    /// No retry is sent before this time.
    pub(crate) not_before: Time,
    pub(crate) key: u64,
    /// The op is over its tenant's quota.
    pub(crate) surplus: bool,
}

impl Op {
    /// Whether any push is still in flight.
    pub fn out(&self) -> bool {
        self.pushes.iter().any(|p| p.outcome.is_none())
    }
    /// Number of pushes sent, without those held back by an operator's order.
    pub(crate) fn pushes_sent(&self) -> usize {
        self.pushes.iter().filter(|p| p.outcome != Some(Outcome::Withheld)).count()
    }
    /// Brings the deadline forward to `at`, because the instance itself shuts down then.
    pub fn limit_deadline(&mut self, at: Time) {
        self.deadline = self.deadline.min(at);
    }
    /// The latest time at which the newest push may be sent. After that the client is gone, or the executors no longer
    /// recognise it as a repeat of a push that may have run.
    pub fn send_deadline(&self, effect: Effect) -> Time {
        let before = self.pushes.split_last().map_or(&[][..], |(_, before)| before);
        match (effect, before.iter().find(|p| p.may_have_run())) {
            (Effect::Deduplicated { window, .. }, Some(p)) => self.deadline.min(p.sent + window),
            _ => self.deadline,
        }
    }
    /// The first push that has run or may have run.
    pub(crate) fn may_have_run(&self) -> Option<&Push> {
        self.pushes.iter().find(|p| p.may_have_run())
    }
}

/// One entry of the executor list, under the index that the adapter assigned.
#[derive(Clone, Copy, Debug)]
pub struct ListedExecutor {
    /// Index of the executor.
    pub executor: usize,
    /// Failure domain of the executor.
    pub domain: usize,
    /// Index of the kind of machine.
    pub kind: usize,
    /// Deduplication cell: its executors drop repeats of one another's ops.
    pub cell: usize,
    /// The executor accepts work.
    pub active: bool,
    /// Weight or size of the executor, as the list gives it.
    pub weight: f64,
    /// Hash of the executor's name, the same at every instance.
    pub name_hash: u64,
    /// Time of the latest start; `None` if long past.
    pub started: Option<Time>,
}

/// What the caller has to do with an op now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Send the op to this executor.
    Push {
        /// Index of the executor.
        executor: usize,
    },
    /// Cancel this push, then call `place` again.
    Cancel {
        /// Index among the op's pushes.
        push: usize,
    },
    /// Do nothing for now.
    Wait,
    /// Final answer: rejected, and a retry by the client is harmless.
    Nack {
        /// How long the client is to wait before it retries; zero gives no advice.
        retry_after: Time,
    },
    /// Final answer: failed, and the op may have run.
    DeadLetter,
}

/// Hash of a name that is the same at every instance (FNV-1a, with its bits mixed afterwards).
pub fn name_hash(name: &str) -> u64 {
    let add_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01B3);
    mix_bits(name.bytes().fold(0xCBF2_9CE4_8422_2325, add_byte))
}

/// Mixes the bits of a number so that each input bit affects all of them.
pub(crate) fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}

/// A message to one peer or to all of them.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Number of the receiving instance; `None` means all peers.
    pub to: Option<usize>,
    /// The encoded message.
    pub text: Vec<u8>,
}

/// A permuted congruential generator; the same seed gives the same draws.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pcg32(u64);

impl Pcg32 {
    pub(crate) fn new(seed: u64) -> Pcg32 {
        let mut rng = Pcg32(seed.wrapping_mul(2).wrapping_add(0x9E37_79B9_7F4A_7C15));
        rng.draw();
        rng
    }
    /// Draws a number from 0 up to, but not including, 1.
    pub(crate) fn draw(&mut self) -> f64 {
        let old = self.0;
        self.0 = old.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        f64::from(mixed.rotate_right((old >> 59) as u32)) / 4_294_967_296.0
    }
}
