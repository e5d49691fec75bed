//! The plain types that an instance is started with and told of; no decision is taken here.

/// Whole tenths of a millisecond on the clock of the instance, or a span of them.
pub type Time = i64;

/// One second.
pub const SECOND: Time = 10_000;

/// Which executors drop a repeat of a deduplicated op.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scope {
    /// Every executor.
    All,
    /// The executors of one failure domain.
    Domain,
    /// The executors of one cell.
    Cell,
}

/// What a second run of an op would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Nothing: it may run any number of times.
    Redeliverable,
    /// Nothing, where the executors in `scope` still know the first run: they do so for `window`.
    Deduplicated {
        /// Which executors know it.
        scope: Scope,
        /// For how long.
        window: Time,
    },
    /// Harm: it must not run twice.
    AtMostOnce,
}

/// One category of ops.
#[derive(Clone, Debug)]
pub struct Category {
    /// Target latency, to which `stretch` times the op's own work is added.
    pub target: Time,
    /// How many times its own work is added to the target latency.
    pub stretch: f64,
    /// What a second run does.
    pub effect: Effect,
    /// What an answer in time earns.
    pub benefit: f64,
    /// The part of the benefit that a late answer still earns.
    pub late: f64,
    /// The only kind of executor that runs it, if not any.
    pub kind: Option<usize>,
    /// Rank in the executors' queues, where they serve by priority; the highest first.
    pub priority: i64,
}

/// One value of a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Gauge {
    /// Ops at the executor, waiting or running.
    Held,
    /// Ops in its queue.
    Waiting,
    /// Slots in use.
    Busy,
    /// Slots that are free.
    FreeSlots,
    /// Memory that is free.
    FreeMemory,
    /// Something that no decision uses.
    Other,
}

/// What holds for the whole life of an instance just as it is read.
// The switches are independent of one another, each a key of the settings object.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// The failure domain of this instance.
    pub domain: usize,
    /// The granularity of the clock.
    pub tick: Time,
    /// A push can be called off.
    pub cancel: bool,
    /// An op may be out at two executors at once.
    pub second_copies: bool,
    /// The longest come-back time that clients heed; zero where none may be given.
    pub come_back: Time,
    /// Pushes that an op may have.
    pub max_pushes: usize,
    /// The list of executors comes by subscription.
    pub subscribe: bool,
    /// How long a cold executor must be overloaded to fall.
    pub tip_after: Time,
    /// Share of its capacity that a cold executor starts with.
    pub start_share: f64,
    /// The time by which an executor is warm.
    pub warm_within: Time,
    /// Weights in the list fall with what an executor holds.
    pub live_weights: bool,
    /// Executors serve their queue by the categories' priority.
    pub by_priority: bool,
    /// Benefit counts for each unit of work, not for each op.
    pub by_work: bool,
    /// Time between progress notes; zero where there are none.
    pub progress: Time,
    /// Price of a push that crosses failure domains, in parts of an op.
    pub cross: f64,
    /// Weight of the worst-served category in the result.
    pub worst_category: f64,
    /// Number of this instance.
    pub me: usize,
    /// How many instances there are.
    pub nodes: usize,
    /// Price of a new connection, in parts of an op.
    pub handshake: f64,
    /// How long an idle connection is kept.
    pub keepalive: Time,
    /// Instances may tell one another what they see.
    pub peers: bool,
    /// Price of 256 bytes delivered to a peer, in parts of an op.
    pub price_peer: f64,
    /// The part of its benefit that an op over its tenant's share keeps.
    pub surplus: f64,
    /// Weight of the tail in the result, in which an op that is let in and ends late costs others too.
    pub tail: f64,
}

/// All that is read at start. The instance derives its few figures from it and drops it.
#[derive(Clone, Debug, Default)]
pub struct Tariff {
    /// What holds for the whole life of the instance.
    pub terms: Terms,
    /// The categories of ops, by index.
    pub categories: Vec<Category>,
    /// Ops a second within the share of each tenant, over all instances.
    pub quotas: Vec<f64>,
    /// How many times its capacity an executor has to be given to be overloaded.
    pub overload_factor: f64,
    /// What the values of a load report are, in their order.
    pub gauges: Vec<Gauge>,
}

/// What an op may do less than its category allows. It comes in with the op and holds to its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Pushes that the op may have.
    pub pushes: usize,
    /// Most time of a push that has not started.
    pub no_start: Time,
    /// Most time without news of a push that has started.
    pub no_progress: Time,
    /// Before a further push; the random part on top of it is as long times `pause_spread` at most.
    pub pause: Time,
    /// The random part of the pause, in parts of `pause`.
    pub pause_spread: f64,
    /// After so long a second copy goes out, where the settings allow any.
    pub copy_after: Time,
    /// Kinds and failure domains that it may go to, a bit each.
    pub kinds: u64,
    /// Failure domains that it may go to, a bit each.
    pub domains: u64,
    /// A narrower effect than its category's.
    pub effect: Option<Effect>,
    /// No further push is left for now: what is given up is told to come back after this. Zero: there is one.
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

/// An op as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Index of its category.
    pub category: usize,
    /// Slots that it takes at an executor.
    pub slots: f64,
    /// Memory that it takes there.
    pub memory: f64,
    /// How much work it is, where its client says so.
    pub hint: Option<Time>,
    /// When its client stops waiting.
    pub deadline: Time,
    /// What it may do less than its category allows.
    pub limits: Limits,
    /// Index of the tenant whose share it counts against.
    pub tenant: usize,
    /// What the op is about, as a hash, where an executor sets up for it and keeps that a while; else zero.
    pub key: u64,
}

/// How a push ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Done.
    Acked,
    /// The executor answered that it failed.
    Error,
    /// The executor had no room; it never ran.
    Full,
    /// No answer came in time.
    TimedOut,
    /// No connection came up; it never ran.
    NotConnected,
    /// The connection was reset after it was written.
    Reset,
    /// It was called off.
    Cancelled,
    /// It was called off before it started; it never ran.
    Moot,
    /// Kept back before anything of it was written, for its executor was taken out by hand.
    Withheld,
    /// The connection broke under it before it was written to its end: it never ran.
    Cut,
    /// The connection ended under it, as one does that was idle: it may have run, and blames no one.
    Broken,
    /// Refused for what the op itself is: final, for every executor would refuse it.
    Unfit,
}

impl Outcome {
    /// The op provably never ran in this push.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::NotConnected | Outcome::Moot | Outcome::Withheld | Outcome::Cut
        )
    }
}

/// One push of an op.
#[derive(Clone, Debug, Default)]
pub struct Push {
    /// Index of the executor.
    pub executor: usize,
    /// How it ended; `None` while it is out.
    pub outcome: Option<Outcome>,
    pub(crate) sent: Time,
    pub(crate) started: Option<Time>,
    pub(crate) noted_at: Time,
    pub(crate) cancelling: bool,
    /// Its silence was held against the executor.
    pub(crate) blamed: bool,
    /// Wait expected when it was sent, not yet corrected.
    pub(crate) expected_wait: f64,
}

impl Push {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
    /// When it has been without a start, or without news, for as long as it may.
    pub(crate) fn due_at(&self, limits: &Limits) -> Time {
        match self.started {
            None => self.sent.saturating_add(limits.no_start),
            Some(_) => self.noted_at.saturating_add(limits.no_progress),
        }
    }
}

/// One op, from its arrival to the outcome of its last push.
#[derive(Clone, Debug, Default)]
pub struct Op {
    /// Its pushes, in the order in which they left.
    pub pushes: Vec<Push>,
    /// It has its final answer, or nobody waits for it any more.
    pub closed: bool,
    /// Index of its category.
    pub category: usize,
    pub(crate) slots: f64,
    pub(crate) work: f64,
    pub(crate) arrived_at: Time,
    /// When its client stops waiting.
    pub deadline: Time,
    /// What it may do less than its category allows.
    pub limits: Limits,
    /// No further push before this.
    pub(crate) not_before: Time,
    pub(crate) key: u64,
    /// Over its tenant's share.
    pub(crate) surplus: bool,
}

impl Op {
    /// Pushes that are still out.
    pub fn out(&self) -> bool {
        self.pushes.iter().any(|p| p.outcome.is_none())
    }
    /// Pushes made, without those that operators kept from leaving.
    pub(crate) fn pushes_sent(&self) -> usize {
        self.pushes.iter().filter(|p| p.outcome != Some(Outcome::Withheld)).count()
    }
    /// No one will wait beyond this: the instance itself is to end.
    pub fn end_by(&mut self, at: Time) {
        self.deadline = self.deadline.min(at);
    }
    /// Until when the latest push may leave: beyond that its client is gone, or the executors no longer drop
    /// it as a repeat of one that may have run.
    pub fn leave_by(&self, effect: Effect) -> Time {
        let before = self.pushes.split_last().map_or(&[][..], |(_, before)| before);
        match (effect, before.iter().find(|p| p.may_have_run())) {
            (Effect::Deduplicated { window, .. }, Some(p)) => self.deadline.min(p.sent + window),
            _ => self.deadline,
        }
    }
    /// A push that may have run, or may still.
    pub(crate) fn may_have_run(&self) -> Option<&Push> {
        self.pushes.iter().find(|p| p.may_have_run())
    }
}

/// One line of the list of executors, under the index given at the door.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    /// Index of the executor.
    pub executor: usize,
    /// Its failure domain.
    pub domain: usize,
    /// What kind of machine it is.
    pub kind: usize,
    /// The cell in which it drops repeats.
    pub cell: usize,
    /// It takes work.
    pub active: bool,
    /// Its weight or size, as the list tells it.
    pub weight: f64,
    /// A hash of its name, the same at every instance.
    pub mark: u64,
    /// Latest start; `None` means long past.
    pub started: Option<Time>,
}

/// What the instance is to do with an op now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Send it to this executor.
    Push {
        /// Index of the executor.
        executor: usize,
    },
    /// Call this push off, then ask again.
    Stop {
        /// Index among the op's pushes.
        push: usize,
    },
    /// Nothing now.
    Hold,
    /// Final: turned away, a retry is harmless; come back after this long (zero: no advice).
    Nack {
        /// How long to stay away.
        come_back: Time,
    },
    /// Final: failed, nothing promised.
    DeadLetter,
}

/// A hash of a name that is the same at every instance (FNV-1a, its bits then mixed).
pub fn mark(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01B3);
    mix_bits(name.bytes().fold(0xCBF2_9CE4_8422_2325, step))
}

/// Spreads the bits of a number over all of it.
pub(crate) fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}

/// What an instance has for others: to one of them by its number, or to all.
#[derive(Clone, Debug, PartialEq)]
pub struct Letter {
    /// Number of the instance; `None`: all.
    pub to: Option<usize>,
    /// The encoded message.
    pub text: Vec<u8>,
}

/// A permuted congruential generator: the same seed gives the same draws.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pcg32(u64);

impl Pcg32 {
    pub(crate) fn new(seed: u64) -> Pcg32 {
        let mut rng = Pcg32(seed.wrapping_mul(2).wrapping_add(0x9E37_79B9_7F4A_7C15));
        rng.draw();
        rng
    }
    /// From 0 up to 1.
    pub(crate) fn draw(&mut self) -> f64 {
        let old = self.0;
        self.0 = old.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        f64::from(mixed.rotate_right((old >> 59) as u32)) / 4_294_967_296.0
    }
}
