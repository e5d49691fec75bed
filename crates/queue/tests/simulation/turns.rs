//! One turn of one store, driven as `crates/server/src/store.rs` does it, and the consequences of its effects.

use super::*;

impl Simulation {
    pub(super) fn turn(&mut self, at: usize) {
        if let Some(since) = self.stores[at].shutdown.as_ref().map(|shutdown| shutdown.since) {
            let Some((queue, now)) = self.queue(at) else { return };
            queue.begin_draining(now);
            self.apply_effects(at);
            let Some((queue, _)) = self.queue(at) else { return };
            let done = queue.unfinished_count() == 0 && self.now > since + 150;
            let shutdown = self.stores[at].shutdown.as_mut();
            if done && shutdown.is_some_and(|shutdown| !std::mem::replace(&mut shutdown.has_flushed, true)) {
                self.queue(at).unwrap().0.flush_ends();
                self.apply_effects(at);
            }
            let Some(queue) = &self.stores[at].queue else { return };
            let done = queue.unfinished_count() == 0 && self.now > since + 150;
            if (done && self.now > since + 300) || self.now > since + SHUTDOWN_GRACE_MS {
                self.stores[at].disk.close();
                self.stop(at, 5, SESSION_EXPIRY_DELAY_MS);
                self.schedule(500, Event::Start { at });
            }
            return;
        }
        self.apply_effects(at);
    }

    pub(super) fn apply_effects(&mut self, at: usize) {
        for _ in 0..8 {
            let Some((queue, now)) = self.queue(at) else { return };
            queue.tick(now, now as i64 * 10);
            let effects = queue.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.effect_count += 1;
                if let Some((_, fault)) = self.fault_at_effect.filter(|(k, _)| *k == self.effect_count) {
                    self.inject(at, fault);
                }
                if self.stores[at].queue.is_none() {
                    return;
                }
                self.effect(at, effect);
            }
        }
    }

    /// Schedules the next advance of a store's disk.
    fn plan_disk(&mut self, at: usize) {
        let store = &mut self.stores[at];
        let Some(due_at) = store.disk.next_due_at().map(|due_at| due_at.max(self.now)) else { return };
        if store.disk_due_at.is_none_or(|planned| due_at < planned) {
            store.disk_due_at = Some(due_at);
            self.schedule(due_at - self.now, Event::DiskDue { at });
        }
    }

    /// Advances the disk of a store and passes its answers on.
    pub(super) fn disk_due(&mut self, at: usize) {
        let incarnation = self.stores[at].incarnation;
        self.stores[at].disk_due_at = None;
        for AppendAnswer { ticket, is_ok } in self.stores[at].disk.advance(self.now) {
            if self.runs(at, incarnation) {
                self.with(at, |queue, now| queue.write_completed(now, ticket, is_ok));
            }
        }
        self.plan_disk(at);
    }

    pub(super) fn effect(&mut self, at: usize, effect: Effect) {
        let incarnation = self.stores[at].incarnation;
        match effect {
            Effect::Persist { ticket, records, kept_ends, kept_failures, sync } => {
                let disk = &mut self.stores[at].disk;
                let kept = kept_ends.into_iter().chain(kept_failures.into_iter().map(|kept| kept.index));
                disk.write_crash_buffer(ticket, kept.map(|index| records[index].clone()).collect());
                disk.append(self.now, ticket, records, sync);
                self.plan_disk(at);
            }
            Effect::Send { to, message: payload } => {
                let Some(to) = self.stores.iter().position(|s| s.node == to) else { return };
                let pair = (at.min(to), at.max(to));
                let Some(link) = self.connections.get(&pair).copied() else { return };
                if let PeerMessage::Replicate(all) = &payload {
                    let size: u64 = all.iter().map(|s| s.message.body.len() as u64).sum();
                    *self.replica_bytes.entry(self.now / 100).or_default() += size;
                }
                self.group_queries += usize::from(matches!(payload, PeerMessage::GroupQuery { .. }));
                let bytes = postcard::to_stdvec(&payload).unwrap();
                self.sent_bytes += bytes.len() as u64;
                let wait = 1 + self.random(4);
                let when = (self.now + wait).max(self.last_arrival_at.get(&(at, to)).copied().unwrap_or(0));
                self.last_arrival_at.insert((at, to), when);
                let payload = postcard::from_bytes(&bytes).unwrap();
                self.schedule(when - self.now, Event::PeerMessage { from: at, to, link, payload });
            }
            Effect::PutResult { ticket, result } => {
                if let Some((sent, ticket)) = self.stores[at].put_tickets.remove(&ticket) {
                    self.schedule(EDGE_DELAY_MS, Event::PutAnswered { sent, from: at, ticket, result });
                }
            }
            Effect::StartAttempt { attempt, key, timeout_ms, .. } => {
                let Some(message) = self.stores[at].queue.as_ref().and_then(|h| h.message(key)) else {
                    return;
                };
                let (id, paid) = (message.id.clone(), message.target.starts_with("/paid/"));
                assert!(!id.is_empty(), "a request without its message: {key:?}");
                let n: usize = id[2..].parse().unwrap();
                let sent = &self.messages[n];
                assert_eq!(message.body, sent.message.body, "{id}: bytes were changed");
                let tries = self.executions.iter().filter(|r| r.id == id).count();
                let planned_behavior =
                    *sent.behaviors.get(tries).or(sent.behaviors.last()).unwrap_or(&Behavior::Succeeds);
                let (mut wait, mut outcome) =
                    (20 + self.random(30), AttemptOutcome::Completed { seal: format!("s-{id}") });
                if paid {
                    if !self.is_endpoint_up {
                        let outcome = AttemptOutcome::NotConnected;
                        return self
                            .schedule(2, Event::AttemptEnded { at, incarnation, attempt, id, outcome });
                    }
                    self.rate_limited_requests_at.push(self.now);
                }
                if planned_behavior == Behavior::Unreachable {
                    // No executor began anything: such an attempt does not count as a run.
                    let outcome = AttemptOutcome::NotConnected;
                    return self.schedule(2, Event::AttemptEnded { at, incarnation, attempt, id, outcome });
                }
                match planned_behavior {
                    Behavior::Fails => outcome = AttemptOutcome::Failed,
                    Behavior::Rejects => outcome = AttemptOutcome::Rejected,
                    Behavior::LosesAnswer | Behavior::NeverAnswers => {
                        (wait, outcome) = (timeout_ms, AttemptOutcome::NoResponse)
                    }
                    Behavior::Slow(ms) => wait = ms,
                    _ => {}
                }
                let done =
                    !matches!(planned_behavior, Behavior::Fails | Behavior::Rejects | Behavior::NeverAnswers);
                let done = done
                    .then_some(self.now + if planned_behavior == Behavior::LosesAnswer { 30 } else { wait });
                let end = done.unwrap_or(self.now + wait);
                self.executions.push(Execution {
                    id: id.clone(),
                    started_at: self.now,
                    completed_at: done,
                    behavior: planned_behavior,
                    ended_at: end,
                    read_at: None,
                    failure_read_at: None,
                });
                self.schedule(wait, Event::AttemptEnded { at, incarnation, attempt, id, outcome });
            }
            Effect::CallBack { key, body, .. } => {
                let parsed = body.split('"').nth(3).unwrap_or_default().to_string();
                let before = self.callbacks.iter().filter(|(id, _, _)| *id == parsed).count();
                let is_delivered = before >= self.callback_failures && self.now >= self.callbacks_fail_until;
                self.callbacks.push((parsed, body, is_delivered));
                self.schedule(6, Event::CallbackEnded { at, incarnation, key, is_delivered });
            }
        }
    }
}
