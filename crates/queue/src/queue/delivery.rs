//! Delivery: when a message's turn comes, its attempts, and what the outcome of an attempt leads to.

use super::token_holders::holder_of;
use super::{Effect, Outcome, Queue, Stage, UPKEEP};
use crate::message::{End, Key, Millis};
use crate::peer_message::{GroupPosition, PeerMessage};
use crate::planted::PlantedFault;
use crate::service_queue::{Again, Picked};
use stileroute_dispatch::types::{Outcome as Judged, Time};

/// After a failed attempt a message waits, twice as long each time, up to the second figure.
const AGAIN: (Millis, Millis) = (40, 1500);

impl Queue {
    /// Puts a safe message where it waits: for its time, for a configuration, or for its turn.
    pub(crate) fn schedule(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.stage == Stage::Waiting) else { return };
        if entry.turn.is_some() {
            return;
        }
        if self.unwanted.contains(&key) {
            return self.withdraw(key);
        }
        if self.leaving {
            self.hand_over(key);
            return;
        }
        let start = entry.due.max(entry.pause);
        if start > now {
            entry.wake = Some(start);
            self.delayed.insert((start, key));
            return;
        }
        if !self.may_start(now, key) {
            return;
        }
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let Some(config) = &self.config else {
            self.early.insert(key);
            return;
        };
        let Some(route) = config.route(&entry.message.host, &entry.message.target) else {
            if entry.message.config_revision > config.revision {
                self.early.insert(key);
            } else {
                self.figures.dropped += 1;
                self.finish(now, key, End::Failed);
            }
            return;
        };
        if entry.message.config_revision > config.revision {
            self.early.insert(key);
            return;
        }
        let route = &config.routes[route];
        let Some(at) = self.lane_of.get(&config.services[route.service].name).copied() else { return };
        let late = now > entry.due + route.completion_target_ms;
        let turn = (late, route.priority, entry.due, key);
        entry.turn = Some((at, turn));
        self.service_queues[at].enter(turn, entry.ran);
        self.lane_wait = 0;
    }

    pub(crate) fn unschedule(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key) {
            if let Some(at) = entry.wake.take() {
                self.delayed.remove(&(at, key));
            }
            if let Some((at, turn)) = entry.turn.take() {
                self.service_queues[at].leave(&turn);
            }
        }
        self.early.remove(&key);
    }

    /// Sends what can be sent.
    pub(super) fn pump(&mut self, now: Millis, fine: Time) {
        if self.leaving || self.fence.is_some() && !self.planted(PlantedFault::FenceUnheeded) {
            self.lane_wait = now + UPKEEP;
            return;
        }
        self.lane_wait = Millis::MAX;
        for at in 0..self.service_queues.len() {
            let mut again = true;
            loop {
                let (turn, look) = self.service_queues[at].first_turn(now, again);
                self.lane_wait = self.lane_wait.min(look);
                let Some(turn) = turn else { break };
                let (late, priority, due, key) = turn;
                let Some((config, entry)) = self.config.as_ref().zip(self.entries.get_mut(&key)) else {
                    self.service_queues[at].leave(&turn);
                    continue;
                };
                // An earlier one of its row has come to light since: it waits again.
                let spot = GroupPosition { accepted_at_ms: entry.message.accepted_at_ms, key };
                if entry.message.ordering_key.as_ref().is_some_and(|row| !self.rows.is_first(row, spot)) {
                    entry.turn = None;
                    self.service_queues[at].leave(&turn);
                    continue;
                }
                let Some(route) = config.route(&entry.message.host, &entry.message.target) else { break };
                let route = &config.routes[route];
                if !late && now > due + route.completion_target_ms {
                    // Too late for its aim: those that can still be in time go first.
                    let turn_now = (true, priority, due, key);
                    entry.turn = Some((at, turn_now));
                    self.service_queues[at].leave(&turn);
                    if entry.ran {
                        self.service_queues[at].again.insert(turn_now);
                    } else {
                        self.service_queues[at].ready.insert(turn_now);
                    }
                    continue;
                }
                let timeout_ms = route.timeout_ms;
                let service_queue = &mut self.service_queues[at];
                if now < service_queue.pause {
                    self.lane_wait = self.lane_wait.min(service_queue.pause);
                    break;
                }
                if let Some(bucket) = &mut service_queue.bucket {
                    if !bucket.take(now) {
                        let wanted = (service_queue.ready.len() + service_queue.again.len()).min(4) as u32;
                        if bucket.ask(now) {
                            let holder = holder_of(&service_queue.name, self.terms.me, &self.peers);
                            let note = PeerMessage::RequestTokens {
                                service: service_queue.name.clone(),
                                count: wanted,
                            };
                            if holder != self.terms.me {
                                self.effects.push(Effect::Send { to: holder, note });
                            }
                        }
                        self.lane_wait = self.lane_wait.min(now + 15);
                        break;
                    }
                }
                let attempt = self.next_attempt;
                let stores = 1 + self.peers.values().filter(|p| p.listed || p.connected).count();
                service_queue.share = (service_queue.max_conns / stores).max(2);
                let avoid = entry
                    .failed_at
                    .filter(|(service_queue, _)| *service_queue == at)
                    .map(|(_, executor)| executor);
                let repeat = entry.ran.then_some(Again { avoid });
                match service_queue.pick(fine, now, key, attempt, repeat) {
                    Picked::Full(until) => {
                        if let Some(bucket) = &mut service_queue.bucket {
                            bucket.give_back();
                        }
                        self.lane_wait = self.lane_wait.min(until);
                        again = false;
                    }
                    Picked::Wait(until) => {
                        if let Some(bucket) = &mut service_queue.bucket {
                            bucket.give_back();
                        }
                        self.lane_wait = self.lane_wait.min(until);
                        break;
                    }
                    Picked::Go { executor } => {
                        self.next_attempt += 1;
                        service_queue.leave(&turn);
                        entry.turn = None;
                        entry.stage = Stage::Out;
                        self.figures.attempts += 1;
                        self.figures.again += u64::from(entry.fails > 0);
                        let server = &service_queue.known[executor].server;
                        self.effects.push(Effect::Deliver {
                            attempt,
                            key,
                            to: server.address,
                            expect: (!server.id.is_empty()).then(|| server.id.clone()),
                            timeout_ms,
                            conns: service_queue.share,
                        });
                    }
                }
            }
        }
    }

    /// An attempt came to its end.
    pub fn delivered(
        &mut self,
        now: Millis,
        fine: Time,
        attempt: u64,
        outcome: Outcome,
        load: Option<[f64; 3]>,
    ) {
        let judged = match &outcome {
            Outcome::Done { .. } => Judged::Acked,
            Outcome::Refused | Outcome::Failed => Judged::Unfit,
            Outcome::Full => Judged::Full,
            Outcome::Over | Outcome::Running | Outcome::NotRun | Outcome::NoRoom => Judged::Moot,
            Outcome::Wrong => Judged::Error,
            Outcome::NotConnected => Judged::NotConnected,
            Outcome::Broken => Judged::Reset,
            Outcome::Stopped | Outcome::Late => Judged::TimedOut,
            Outcome::Garbled => Judged::Broken,
        };
        let Some(at) =
            self.service_queues.iter().position(|service_queue| service_queue.sent.contains_key(&attempt))
        else {
            return;
        };
        // What was stopped at its time, too: the work was done in vain.
        let ran = matches!(
            outcome,
            Outcome::Failed | Outcome::Stopped | Outcome::Broken | Outcome::Late | Outcome::Garbled
        );
        let settled = self.service_queues[at].settle(fine, now, attempt, judged, ran, load);
        let Some((key, executor)) = settled else { return };
        if outcome == Outcome::Over {
            self.service_queues[at].pause = now + 200;
        }
        self.lane_wait = 0;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.end.is_some() {
            return;
        }
        if ran || outcome == Outcome::Running {
            (entry.ran, entry.failed_at) = (true, Some((at, executor)));
        }
        match outcome {
            Outcome::Done { seal } => return self.finish(now, key, End::Complete { seal }),
            Outcome::Refused => return self.finish(now, key, End::Failed),
            Outcome::Failed => entry.tries += 1,
            _ => {}
        }
        if entry.stage != Stage::Out {
            return;
        }
        if entry.owner != self.terms.me {
            // While it was out another store has become its owner, and delivers it.
            entry.stage = Stage::Copy;
            return;
        }
        entry.stage = Stage::Waiting;
        let limit = self.config.as_ref().and_then(|config| {
            config.route(&entry.message.host, &entry.message.target).map(|at| config.routes[at].max_attempts)
        });
        if limit.is_some_and(|limit| entry.tries >= limit) {
            return self.finish(now, key, End::Failed);
        }
        // One that was turned away, or never reached anyone, may go elsewhere soon; one that failed waits
        // longer.
        entry.fails += 1;
        let pause = match outcome {
            Outcome::Full | Outcome::NoRoom | Outcome::Wrong | Outcome::NotConnected => {
                (AGAIN.0 / 4) << (entry.fails / 4).min(5)
            }
            Outcome::Running => 100,
            _ => (AGAIN.0 << entry.fails.min(8)).min(AGAIN.1),
        };
        entry.pause = now + pause;
        self.schedule(now, key);
    }
}
