//! The list in simulated time: news that each node hears by itself, or replicas of discovery that are asked.

use super::*;

/// A watch waits so long for news, and a call that hears nothing counts as silent after so long.
const WAITS: Time = 4 * SECOND;
const LATE: Time = SECOND * 3 / 2;

/// What one replica of discovery has been told, and what it bears.
pub struct Replica {
    lines: Vec<ListedExecutor>,
    /// The version in which each line changed; zero where it does not know the executor.
    changed: Vec<u64>,
    pub(super) version: u64,
    /// News does not overtake older news.
    pub(super) news_by: Time,
    bears: Bears,
}

/// So many calls and lines a second, a second's worth at once.
#[derive(Default)]
pub struct Bears {
    calls: f64,
    lines: f64,
    at: Time,
}

impl Bears {
    /// Takes a call that is answered with so many lines, if there is room for it; zero for no bound.
    pub fn takes(&mut self, now: Time, lines: usize, calls_per_s: f64, lines_per_s: f64) -> bool {
        let gone = (now - self.at).max(0) as f64 / SECOND as f64;
        self.at = now;
        self.calls = (self.calls - gone * calls_per_s).max(0.0);
        self.lines = (self.lines - gone * lines_per_s).max(0.0);
        let full = (calls_per_s > 0.0 && self.calls + 1.0 > calls_per_s.max(1.0))
            || (lines_per_s > 0.0 && self.lines > 0.0 && self.lines + lines as f64 > lines_per_s);
        if !full {
            (self.calls, self.lines) = (self.calls + 1.0, self.lines + lines as f64);
        }
        !full
    }
}

impl Replica {
    pub fn new(lines: &[ListedExecutor]) -> Replica {
        let changed = vec![1; lines.len()];
        Replica { lines: lines.to_vec(), changed, version: 1, news_by: 0, bears: Bears::default() }
    }
}

impl Sim<'_> {
    /// Tells every node, or every replica that they ask, late as the list is.
    pub(super) fn tell(&mut self, whole: bool, lines: Vec<ListedExecutor>) {
        self.version += 1;
        self.before.push((self.now, self.listed.clone()));
        let lines = Rc::new(lines);
        if self.replicas.is_empty() {
            for node in 0..self.nodes.len() {
                self.news(node, whole, lines.clone());
            }
            return;
        }
        for replica in 0..self.replicas.len() {
            let late = self.late(replica);
            let own = &mut self.replicas[replica];
            own.news_by = own.news_by.max(self.now + late);
            let at = own.news_by;
            self.push_event(at, replica, Coming::Reported(whole, lines.clone()));
        }
    }

    fn late(&mut self, replica: usize) -> Time {
        let list = &self.plan.fleet.list;
        let [least, most] = list.late_s;
        let lag = if list.lag_s.is_empty() { 0.0 } else { list.lag_s[replica % list.lag_s.len()] };
        let late = seconds(self.chance.random_range(least..=most) + lag);
        late + self.weather.list_late(replica).unwrap_or(0)
    }

    pub(super) fn news(&mut self, node: usize, whole: bool, lines: Rc<Vec<ListedExecutor>>) {
        let late = self.late(self.plan.replica_of(node));
        // News doesn't overtake older news.
        let own = &mut self.nodes[node];
        own.news_by = own.news_by.max(self.now + late);
        let at = own.news_by;
        self.push_event(at, node, Coming::News(self.version, whole, lines));
    }

    /// News comes to a replica; while it is down, or cut off from where the news is from, it comes later.
    pub(super) fn reported(&mut self, replica: usize, whole: bool, lines: Rc<Vec<ListedExecutor>>) {
        let cut = |line: &&ListedExecutor| self.weather.news_cut(replica, line.domain);
        let (held, passes): (Vec<ListedExecutor>, Vec<ListedExecutor>) = match self.weather.list_late(replica)
        {
            None => (lines.to_vec(), Vec::new()),
            Some(_) => lines.iter().partition(cut),
        };
        if !held.is_empty() {
            self.push_event(self.now + SECOND / 5, replica, Coming::Reported(whole, Rc::new(held)));
        }
        if passes.is_empty() {
            return;
        }
        let own = &mut self.replicas[replica];
        own.version += 1;
        for line in &passes {
            (own.lines[line.executor], own.changed[line.executor]) = (*line, own.version);
        }
        let version = own.version;
        for node in 0..self.nodes.len() {
            let waits = self.nodes[node].watch.is_some() && self.nodes[node].version < version;
            if waits && self.plan.replica_of(node) == replica {
                self.answer_watch(node);
            }
        }
    }

    /// A replica is back with nothing, or with what it knew so long ago.
    pub(super) fn back_with(&mut self, replica: usize, then: Option<Time>) {
        let past = then.and_then(|then| self.before.iter().rposition(|(at, _)| *at <= then));
        let own = &mut self.replicas[replica];
        match (then, past) {
            (None, _) => {
                own.changed.fill(0);
                own.version = 1;
                // Each executor tells it of itself, late as news is.
                for x in 0..self.machines.len() {
                    let late = self.late(replica);
                    let line = Rc::new(vec![self.listed[x]]);
                    self.push_event(self.now + late, replica, Coming::Reported(false, line));
                }
            }
            (Some(_), past) => {
                own.lines = past.map_or(&self.before[0].1, |past| &self.before[past].1).clone();
                own.version = 1 + past.unwrap_or(0) as u64;
                own.changed.fill(own.version);
            }
        }
    }

    /// A node calls for the list.
    pub(super) fn call(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        own.calls += 1;
        own.watch = Some(own.calls);
        self.push_event(self.now + DOOR, node, Coming::Call);
    }

    /// The call of a node comes to its replica.
    pub(super) fn called(&mut self, node: usize) {
        let now = self.now;
        let replica = self.plan.replica_of(node);
        let way = self.weather.to_discovery(node, replica);
        let Some(call) = self.nodes[node].watch else { return };
        if !self.nodes[node].up {
            return;
        }
        if way.refused || way.silent() || way.half_open || self.weather.list_late(replica).is_none() {
            let after = if way.refused { DOOR } else { LATE };
            self.push_event(now + after, node, Coming::Turned(false));
            return;
        }
        self.day.ledger.called[replica].push(now);
        let list = &self.plan.fleet.list;
        let own = &mut self.replicas[replica];
        let calls = self.weather.overbooked(replica).unwrap_or(list.calls_per_s);
        let known = self.nodes[node].version;
        let lines = own.changed.iter().filter(|changed| **changed > known).count();
        if !own.bears.takes(now, lines, calls, list.lines_per_s) {
            self.day.ledger.turned_away += 1;
            self.push_event(now + DOOR, node, Coming::Turned(true));
        } else if own.version > known {
            self.answer_watch(node);
        } else {
            self.push_event(now + WAITS, node, Coming::WatchOver(call));
        }
    }

    /// The open call of a node is answered, and it calls again at once.
    pub(super) fn answer_watch(&mut self, node: usize) {
        let replica = self.plan.replica_of(node);
        let way = self.weather.to_discovery(node, replica);
        let known = self.nodes[node].version;
        if way.silent() || self.weather.list_late(replica).is_none() {
            // What is said now does not arrive: the node notices when its time is up.
            self.push_event(self.now + LATE, node, Coming::Turned(false));
            return;
        }
        self.nodes[node].watch = None;
        let own = &self.replicas[replica];
        // Versions that it never told are another service's, or those from before it was lost: all is told.
        let whole = known > own.version;
        let news = |x: &usize| own.changed[*x] > known;
        let lines: Vec<ListedExecutor> = (0..own.lines.len()).filter(news).map(|x| own.lines[x]).collect();
        let version = own.version;
        // Of an older version than it has, a node hears nothing but that the service is there.
        if whole {
            self.hear_list(node, known, false, &[]);
        } else {
            self.hear_list(node, version, false, &lines);
        }
        self.call(node);
    }

    pub(super) fn unlist(&mut self, x: usize) {
        if self.listed[x].active {
            self.listed[x].active = false;
            self.tell(false, vec![self.listed[x]]);
        }
    }

    pub(super) fn weights(&mut self) {
        let every = seconds(self.plan.fleet.list.live_weights_s);
        for x in 0..self.machines.len() {
            let (held, _) = self.machines[x].load();
            self.listed[x].weight = 1.0 / (1.0 + held as f64 / self.machines[x].spec.slots);
        }
        let lines: Vec<ListedExecutor> = self.listed.iter().filter(|line| line.active).copied().collect();
        let lines = Rc::new(lines);
        for node in 0..self.nodes.len() {
            let at = self.nodes[node].news_by.max(self.now + every);
            // Replicas count versions of their own: weights are news of none of them.
            let version = if self.replicas.is_empty() { self.version } else { self.nodes[node].version };
            self.push_event(at, node, Coming::News(version, false, lines.clone()));
        }
        if self.now < seconds(self.plan.seconds) {
            self.push_event(self.now + every, 0, Coming::Weights);
        }
    }
}
