//! What happens at its time: the loop over events and timers.

use super::*;

impl Simulation {
    /// The store that is to act on an event: the event waits while that store is frozen.
    fn target(event: &Event) -> Option<usize> {
        match event {
            Event::PeerMessage { to, .. } | Event::Put { to, .. } | Event::Superseded { to, .. } => Some(*to),
            Event::DiskDue { at } | Event::AttemptEnded { at, .. } | Event::CallbackEnded { at, .. } => {
                Some(*at)
            }
            Event::PeerLost { at, .. } | Event::ConfigurationTold { at } => Some(*at),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        let frozen_until = Simulation::target(&event).map(|at| self.stores[at].frozen_until);
        if let Some(thaw) = frozen_until.filter(|until| *until > self.now) {
            return self.at(thaw - self.now, event);
        }
        match event {
            Event::PeerMessage { from, to, link, note } => self.message_arrived(from, to, link, note),
            Event::DiskDue { at } => self.disk_due(at),
            Event::ClientSends { sent } => self.client_sends(sent),
            Event::Put { sent, to, ticket } => self.put_arrived(sent, to, ticket),
            Event::PutAnswered { sent, ticket, result, .. } => self.put_answered(sent, ticket, result),
            Event::EdgeTimeout { sent, ticket } => {
                if self.messages[sent].ticket == ticket && self.messages[sent].name.is_none() {
                    self.messages[sent].is_uncertain = true;
                    self.offer(sent);
                }
            }
            Event::Superseded { sent, to } => self.kept_announced(sent, to),
            Event::AttemptEnded { at, life, attempt, id, outcome } => {
                self.attempt_ended(at, life, attempt, &id, outcome);
            }
            Event::CallbackEnded { at, life, key, taken } => {
                if self.runs(at, life) {
                    self.with(at, |queue, now| queue.callback_ended(now, key, taken));
                }
            }
            Event::Start { at } => self.start(at),
            Event::Connect { a, b } => self.connect(a, b),
            Event::Disconnect { a, b, link } => self.disconnect(a, b, link),
            Event::PeerLost { at, other, life } => {
                let other = self.stores[other].node;
                if self.runs(at, life) {
                    self.with(at, |queue, now| queue.peer_disconnected(now, other));
                }
            }
            // Until the control group has been heard again the store knows that it may be cut off.
            Event::Thaw { at, life } => {
                if life > 0 {
                    self.with(at, |queue, _| {
                        (queue.control_contact.is_reachable, queue.control_contact.session_may_have_lapsed) =
                            (false, true);
                    });
                }
            }
            Event::ControlLost { at, life, contact } => {
                if self.stores[at].incarnation == life && self.stores[at].control.is_isolated {
                    self.with(at, |queue, _| queue.control_contact = contact);
                }
            }
            Event::IsolationEnds { at, .. } => self.end_isolation(at),
            Event::MembersTold => self.tell_members(),
            Event::ConfigurationTold { at } => self.tell_configuration(at),
            Event::SessionLapses { at, life } => {
                if self.stores[at].incarnation == life {
                    self.stores[at].control.is_member = false;
                    self.tell_members();
                }
            }
            Event::Act(action) => self.perform(action),
        }
    }

    /// The same process runs as when the event was planned.
    pub(super) fn runs(&self, at: usize, incarnation: u64) -> bool {
        self.stores[at].incarnation == incarnation && self.stores[at].queue.is_some()
    }

    /// Calls the queue of a store, if its process runs, and plays the turn that follows.
    pub(super) fn with(&mut self, at: usize, call: impl FnOnce(&mut Queue, u64)) {
        if let Some((queue, now)) = self.queue(at) {
            call(queue, now);
            self.turn(at);
        }
    }

    fn message_arrived(&mut self, from: usize, to: usize, link: u64, note: PeerMessage) {
        if matches!(note, PeerMessage::Ended(_)) && self.now < self.ends_lost_until {
            return;
        }
        let is_connected = self.connections.get(&(from.min(to), from.max(to))) == Some(&link);
        if is_connected && self.open(from, to) {
            let from = self.stores[from].node;
            self.with(to, |queue, now| queue.handle_peer_message(now, from, note));
        }
    }

    fn client_sends(&mut self, sent: usize) {
        // The clocks of edges differ, by more than a message takes.
        let ahead = [0, 400, 150][self.messages[sent].first_store % 3];
        let is_in_group = self.messages[sent].message.ordering_key.is_some();
        let clock = WALL + self.now + if is_in_group { ahead } else { 0 };
        self.messages[sent].message.accepted_at_ms = clock;
        self.messages[sent].message.config_revision = self.config.revision;
        self.messages[sent].sent_at = self.now;
        self.offer(sent);
    }

    fn put_arrived(&mut self, sent: usize, to: usize, ticket: u64) {
        if self.stores[to].queue.is_none() {
            // The edge sees its connection closed.
            if self.messages[sent].ticket == ticket {
                self.messages[sent].is_uncertain = true;
                self.offer(sent);
            }
            return;
        }
        self.next_ticket += 1;
        let put_ticket = self.next_ticket;
        self.stores[to].put_tickets.insert(put_ticket, (sent, ticket));
        let message = self.messages[sent].message.clone();
        if self.messages[sent].is_uncertain {
            self.with(to, |queue, now| queue.put_resubmitted(now, put_ticket, message));
        } else {
            self.with(to, |queue, now| queue.put(now, put_ticket, message));
        }
    }

    fn put_answered(&mut self, sent: usize, ticket: u64, result: Result<String, PutError>) {
        let message = &mut self.messages[sent];
        if message.name.is_some() || message.ticket == 0 {
            return;
        }
        match result {
            // Whichever store it is that answers: it may have been given up since.
            Ok(name) => {
                message.name = Some(name);
                message.answered_at = self.now;
                message.ticket = 0;
                self.announce_kept(sent);
            }
            // The edge passes it on, and asks no other store.
            Err(PutError::QuotaExceeded | PutError::QuotaUnknown) => {
                message.ticket = 0;
                message.is_refused = !message.is_uncertain;
            }
            Err(error) => {
                message.is_uncertain |= error == PutError::Uncertain;
                if message.ticket == ticket {
                    self.offer(sent);
                }
            }
        }
    }

    fn attempt_ended(&mut self, at: usize, life: u64, attempt: u64, id: &str, outcome: AttemptOutcome) {
        if !self.runs(at, life) {
            return;
        }
        if matches!(outcome, AttemptOutcome::Completed { .. }) {
            let now = self.now;
            let execution = self.executions.iter_mut().rfind(|r| r.id == id && r.completed_at == Some(now));
            execution.into_iter().for_each(|r| r.read_at = Some(now));
        }
        if matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Rejected) {
            let now = self.now;
            // A store that was frozen reads an answer late.
            let is_unread = |r: &&mut Execution| r.ended_at <= now && r.failure_read_at.is_none();
            let execution = self.executions.iter_mut().filter(|r| r.id == id).rfind(is_unread);
            execution.into_iter().for_each(|r| r.failure_read_at = Some(now));
        }
        self.with(at, |queue, now| queue.attempt_ended(now, now as i64 * 10, attempt, outcome, None));
    }

    fn connect(&mut self, a: usize, b: usize) {
        let runs = |at: usize| self.stores[at].queue.is_some() && self.stores[at].frozen_until <= self.now;
        let both = runs(a) && runs(b);
        let pair = (a.min(b), a.max(b));
        if both && self.open(a, b) && !self.connections.contains_key(&pair) {
            self.next_connection += 1;
            self.connections.insert(pair, self.next_connection);
            for (x, y) in [(a, b), (b, a)] {
                let other = self.stores[y].node;
                let (queue, now) = self.queue(x).unwrap();
                queue.peer_connected(now, other);
                self.turn(x);
            }
        }
    }

    fn disconnect(&mut self, a: usize, b: usize, link: u64) {
        if self.connections.get(&(a, b)).is_some_and(|other| *other != link) {
            return;
        }
        self.connections.remove(&(a, b));
        for (at, other) in [(a, b), (b, a)] {
            let life = self.stores[at].incarnation;
            self.handle(Event::PeerLost { at, other, life });
        }
    }

    fn end_isolation(&mut self, at: usize) {
        self.stores[at].control.is_isolated = false;
        for other in (0..self.stores.len()).filter(|other| *other != at) {
            self.partitions.remove(&(at.min(other), at.max(other)));
            self.at(150, Event::Connect { a: at, b: other });
        }
        self.at(100, Event::MembersTold);
    }

    /// Plays until that time.
    pub fn run(&mut self, until: u64) {
        loop {
            let timer = |s: &Store| {
                s.queue.as_ref().map(|h| s.started_at.saturating_add(h.next_deadline()).max(s.frozen_until))
            };
            let due = self.stores.iter().enumerate().filter_map(|(at, s)| Some((timer(s)?, at))).min();
            let event = self.events.keys().next().copied();
            let due = due.map(|(when, at)| (when.max(self.now + 1), at));
            match (event, due) {
                (Some((when, _)), d) if d.is_none_or(|(t, _)| when <= t) => {
                    if when > until {
                        break;
                    }
                    self.now = when;
                    let what = self.events.pop_first().unwrap().1;
                    self.handle(what);
                }
                (_, Some((when, at))) => {
                    if when > until {
                        break;
                    }
                    self.now = when;
                    self.turns += 1;
                    self.turn(at);
                }
                _ => break,
            }
        }
        self.now = until;
    }
}
