//! Delivery: when a message's turn comes, its attempts, and what the outcome of an attempt leads to.

use super::token_holders::token_holder;
use super::{AttemptOutcome, Effect, Queue, Stage, UPKEEP};
use crate::message::{End, Key, Millis};
use crate::peer_message::{GroupPosition, PeerMessage};
use crate::planted_fault::PlantedFault;
use crate::service_queue::{Retry, Selection};
use stileroute_dispatch::types::{Outcome as Judged, Time};

/// After a failed attempt a message waits, twice as long each time, up to the second figure.
const AGAIN: (Millis, Millis) = (40, 1500);

impl Queue {
    /// Puts a safe message where it waits: for its time, for a configuration, or for its turn.
    pub(crate) fn schedule(&mut self, now: Millis, key: Key) {
        let Some(entry) = self.entries.get_mut(&key).filter(|e| e.stage == Stage::Waiting) else { return };
        if entry.queue_position.is_some() {
            return;
        }
        if self.superseded_keys.contains(&key) {
            return self.withdraw(key);
        }
        if self.is_draining {
            self.offer(key);
            return;
        }
        let start = entry.due_at.max(entry.not_before);
        if start > now {
            entry.delayed_until = Some(start);
            self.delayed.insert((start, key));
            return;
        }
        if !self.may_start(now, key) {
            return;
        }
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let Some(config) = &self.config else {
            self.awaiting_config.insert(key);
            return;
        };
        let Some(route) = config.route(&entry.message.host, &entry.message.target) else {
            if entry.message.config_revision > config.revision {
                self.awaiting_config.insert(key);
            } else {
                self.metrics.failed_without_route += 1;
                self.finish(now, key, End::Failed);
            }
            return;
        };
        if entry.message.config_revision > config.revision {
            self.awaiting_config.insert(key);
            return;
        }
        let route = &config.routes[route];
        let Some(at) = self.service_queue_index.get(&config.services[route.service].name).copied() else {
            return;
        };
        let late = now > entry.due_at + route.run_target_ms;
        let turn = (late, route.priority, entry.due_at, key);
        entry.queue_position = Some((at, turn));
        self.service_queues[at].enter(turn, entry.has_run);
        self.next_dispatch_at = 0;
    }

    pub(crate) fn unschedule(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key) {
            if let Some(at) = entry.delayed_until.take() {
                self.delayed.remove(&(at, key));
            }
            if let Some((at, turn)) = entry.queue_position.take() {
                self.service_queues[at].leave(&turn);
            }
        }
        self.awaiting_config.remove(&key);
    }

    /// Sends what can be sent.
    pub(super) fn start_attempts(&mut self, now: Millis, fine: Time) {
        if self.is_draining || self.fenced_since.is_some() && !self.planted(PlantedFault::FenceUnheeded) {
            self.next_dispatch_at = now + UPKEEP;
            return;
        }
        self.next_dispatch_at = Millis::MAX;
        for at in 0..self.service_queues.len() {
            let mut again = true;
            loop {
                let (turn, look) = self.service_queues[at].first_turn(now, again);
                self.next_dispatch_at = self.next_dispatch_at.min(look);
                let Some(turn) = turn else { break };
                let (late, priority, due, key) = turn;
                let Some((config, entry)) = self.config.as_ref().zip(self.entries.get_mut(&key)) else {
                    self.service_queues[at].leave(&turn);
                    continue;
                };
                // An earlier one of its row has come to light since: it waits again.
                let spot = GroupPosition { accepted_at_ms: entry.message.accepted_at_ms, key };
                if entry.message.ordering_key.as_ref().is_some_and(|row| !self.ordering.is_first(row, spot)) {
                    entry.queue_position = None;
                    self.service_queues[at].leave(&turn);
                    continue;
                }
                let Some(route) = config.route(&entry.message.host, &entry.message.target) else { break };
                let route = &config.routes[route];
                if !late && now > due + route.run_target_ms {
                    // Too late for its aim: those that can still be in time go first.
                    let turn_now = (true, priority, due, key);
                    entry.queue_position = Some((at, turn_now));
                    self.service_queues[at].leave(&turn);
                    if entry.has_run {
                        self.service_queues[at].retries.insert(turn_now);
                    } else {
                        self.service_queues[at].ready.insert(turn_now);
                    }
                    continue;
                }
                let timeout_ms = route.timeout_ms;
                let service_queue = &mut self.service_queues[at];
                if now < service_queue.paused_until {
                    self.next_dispatch_at = self.next_dispatch_at.min(service_queue.paused_until);
                    break;
                }
                if let Some(bucket) = &mut service_queue.token_bucket {
                    if !bucket.take(now) {
                        let wanted = (service_queue.ready.len() + service_queue.retries.len()).min(4) as u32;
                        if bucket.ask(now) {
                            let holder = token_holder(&service_queue.name, self.settings.node, &self.peers);
                            let note = PeerMessage::RequestTokens {
                                service: service_queue.name.clone(),
                                count: wanted,
                            };
                            if holder != self.settings.node {
                                self.effects.push(Effect::Send { to: holder, message: note });
                            }
                        }
                        self.next_dispatch_at = self.next_dispatch_at.min(now + 15);
                        break;
                    }
                }
                let attempt = self.next_attempt;
                let stores = 1 + self.peers.values().filter(|p| p.is_member || p.is_connected).count();
                service_queue.connection_share = (service_queue.max_connections / stores).max(2);
                let avoid = entry
                    .last_failed_on
                    .filter(|(service_queue, _)| *service_queue == at)
                    .map(|(_, executor)| executor);
                let repeat = entry.has_run.then_some(Retry { avoid });
                match service_queue.pick(fine, now, key, attempt, repeat) {
                    Selection::RetriesFullUntil(until) => {
                        if let Some(bucket) = &mut service_queue.token_bucket {
                            bucket.give_back();
                        }
                        self.next_dispatch_at = self.next_dispatch_at.min(until);
                        again = false;
                    }
                    Selection::WaitUntil(until) => {
                        if let Some(bucket) = &mut service_queue.token_bucket {
                            bucket.give_back();
                        }
                        self.next_dispatch_at = self.next_dispatch_at.min(until);
                        break;
                    }
                    Selection::Send { executor } => {
                        self.next_attempt += 1;
                        service_queue.leave(&turn);
                        entry.queue_position = None;
                        entry.stage = Stage::InFlight;
                        self.metrics.attempts += 1;
                        self.metrics.retries += u64::from(entry.backoff_steps > 0);
                        let server = &service_queue.executors[executor].executor;
                        self.effects.push(Effect::StartAttempt {
                            attempt,
                            key,
                            to: server.address,
                            expected_server: (!server.id.is_empty()).then(|| server.id.clone()),
                            timeout_ms,
                            max_connections: service_queue.connection_share,
                        });
                    }
                }
            }
        }
    }

    /// An attempt came to its end.
    pub fn attempt_ended(
        &mut self,
        now: Millis,
        fine: Time,
        attempt: u64,
        outcome: AttemptOutcome,
        load: Option<[f64; 3]>,
    ) {
        let judged = match &outcome {
            AttemptOutcome::Completed { .. } => Judged::Acked,
            AttemptOutcome::Rejected | AttemptOutcome::Failed => Judged::Unfit,
            AttemptOutcome::ExecutorFull => Judged::Full,
            AttemptOutcome::RateLimited
            | AttemptOutcome::AlreadyRunning
            | AttemptOutcome::NotRun
            | AttemptOutcome::NoFreeConnection => Judged::Moot,
            AttemptOutcome::WrongServer => Judged::Error,
            AttemptOutcome::NotConnected => Judged::NotConnected,
            AttemptOutcome::ConnectionBroken => Judged::Reset,
            AttemptOutcome::TimedOut | AttemptOutcome::NoResponse => Judged::TimedOut,
            AttemptOutcome::MalformedResponse => Judged::Broken,
        };
        let Some(at) = self
            .service_queues
            .iter()
            .position(|service_queue| service_queue.in_flight.contains_key(&attempt))
        else {
            return;
        };
        // What was stopped at its time, too: the work was done in vain.
        let ran = matches!(
            outcome,
            AttemptOutcome::Failed
                | AttemptOutcome::TimedOut
                | AttemptOutcome::ConnectionBroken
                | AttemptOutcome::NoResponse
                | AttemptOutcome::MalformedResponse
        );
        let settled = self.service_queues[at].settle(fine, now, attempt, judged, ran, load);
        let Some((key, executor)) = settled else { return };
        if outcome == AttemptOutcome::RateLimited {
            self.service_queues[at].paused_until = now + 200;
        }
        self.next_dispatch_at = 0;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.end.is_some() {
            return;
        }
        if ran || outcome == AttemptOutcome::AlreadyRunning {
            (entry.has_run, entry.last_failed_on) = (true, Some((at, executor)));
        }
        match outcome {
            AttemptOutcome::Completed { seal } => return self.finish(now, key, End::Complete { seal }),
            AttemptOutcome::Rejected => return self.finish(now, key, End::Failed),
            AttemptOutcome::Failed => entry.failed_attempts += 1,
            _ => {}
        }
        if entry.stage != Stage::InFlight {
            return;
        }
        if entry.owner != self.settings.node {
            // While it was out another store has become its owner, and delivers it.
            entry.stage = Stage::Replica;
            return;
        }
        entry.stage = Stage::Waiting;
        let limit = self.config.as_ref().and_then(|config| {
            config.route(&entry.message.host, &entry.message.target).map(|at| config.routes[at].max_tries)
        });
        if limit.is_some_and(|limit| entry.failed_attempts >= limit) {
            return self.finish(now, key, End::Failed);
        }
        // One that was turned away, or never reached anyone, may go elsewhere soon; one that failed waits
        // longer.
        entry.backoff_steps += 1;
        let pause = match outcome {
            AttemptOutcome::ExecutorFull
            | AttemptOutcome::NoFreeConnection
            | AttemptOutcome::WrongServer
            | AttemptOutcome::NotConnected => (AGAIN.0 / 4) << (entry.backoff_steps / 4).min(5),
            AttemptOutcome::AlreadyRunning => 100,
            _ => (AGAIN.0 << entry.backoff_steps.min(8)).min(AGAIN.1),
        };
        entry.not_before = now + pause;
        self.schedule(now, key);
    }
}
