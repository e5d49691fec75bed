//! The event loop: runs scheduled events and store timers in time order.

use super::*;

impl Simulation {
    /// The store that has to handle an event; the event is delayed while that store is frozen.
    fn target(event: &Event) -> Option<usize> {
        match event {
            Event::PeerMessage { to, .. } | Event::Put { to, .. } | Event::Superseded { to, .. } => Some(*to),
            Event::DiskDue { at } | Event::AttemptEnded { at, .. } | Event::CallbackEnded { at, .. } => {
                Some(*at)
            }
            Event::PeerLost { at, .. } | Event::ConfigurationAnnounced { at } => Some(*at),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        let frozen_until = Simulation::target(&event).map(|at| self.stores[at].frozen_until);
        if let Some(thaw) = frozen_until.filter(|until| *until > self.now) {
            return self.schedule(thaw - self.now, event);
        }
        match event {
            Event::PeerMessage { from, to, link, payload } => self.message_arrived(from, to, link, payload),
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
            Event::Superseded { sent, to } => self.superseded_received(sent, to),
            Event::AttemptEnded { at, incarnation, attempt, id, outcome } => {
                self.attempt_ended(at, incarnation, attempt, &id, outcome);
            }
            Event::CallbackEnded { at, incarnation, key, is_delivered } => {
                if self.runs(at, incarnation) {
                    self.with(at, |queue, now| queue.callback_ended(now, key, is_delivered));
                }
            }
            Event::Start { at } => self.start(at),
            Event::Connect { a, b } => self.connect(a, b),
            Event::Disconnect { a, b, link } => self.disconnect(a, b, link),
            Event::PeerLost { at, other, incarnation } => {
                let other = self.stores[other].node;
                if self.runs(at, incarnation) {
                    self.with(at, |queue, now| queue.peer_disconnected(now, other));
                }
            }
            // Until it hears the control group again, the store knows that it may be cut off.
            Event::Thaw { at, incarnation } => {
                if incarnation > 0 {
                    self.with(at, |queue, _| {
                        (queue.control_contact.is_reachable, queue.control_contact.session_may_have_lapsed) =
                            (false, true);
                    });
                }
            }
            Event::ControlLost { at, incarnation, contact } => {
                if self.stores[at].incarnation == incarnation && self.stores[at].control.is_isolated {
                    self.with(at, |queue, _| queue.control_contact = contact);
                }
            }
            Event::IsolationEnds { at, .. } => self.end_isolation(at),
            Event::MembersAnnounced => self.announce_members(),
            Event::ConfigurationAnnounced { at } => self.announce_configuration(at),
            Event::SessionExpires { at, incarnation } => {
                if self.stores[at].incarnation == incarnation {
                    self.stores[at].control.is_member = false;
                    self.announce_members();
                }
            }
            Event::Act(action) => self.perform(action),
        }
    }

    /// Whether the same process still runs as when the event was scheduled.
    pub(super) fn runs(&self, at: usize, incarnation: u64) -> bool {
        self.stores[at].incarnation == incarnation && self.stores[at].queue.is_some()
    }

    /// Calls the queue of a store, if its process runs, and then runs the turn that follows.
    pub(super) fn with(&mut self, at: usize, call: impl FnOnce(&mut Queue, u64)) {
        if let Some((queue, now)) = self.queue(at) {
            call(queue, now);
            self.turn(at);
        }
    }

    fn message_arrived(&mut self, from: usize, to: usize, link: u64, payload: PeerMessage) {
        if matches!(payload, PeerMessage::Ended(_)) && self.now < self.ends_lost_until {
            return;
        }
        let is_connected = self.connections.get(&(from.min(to), from.max(to))) == Some(&link);
        if is_connected && self.is_reachable(from, to) {
            let from = self.stores[from].node;
            self.with(to, |queue, now| queue.handle_peer_message(now, from, payload));
        }
    }

    fn client_sends(&mut self, sent: usize) {
        // The clocks of the edges differ by more than the time that a message takes.
        let ahead = [0, 400, 150][self.messages[sent].first_store % 3];
        let is_in_group = self.messages[sent].message.ordering_key.is_some();
        let clock = START_WALL_CLOCK_MS + self.now + if is_in_group { ahead } else { 0 };
        self.messages[sent].message.accepted_at_ms = clock;
        self.messages[sent].message.config_revision = self.config.revision;
        self.messages[sent].sent_at = self.now;
        self.offer(sent);
    }

    fn put_arrived(&mut self, sent: usize, to: usize, ticket: u64) {
        if self.stores[to].queue.is_none() {
            // The edge sees that its connection was closed.
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
            // The answer counts whichever store it comes from: the edge may have given that store up since.
            Ok(name) => {
                message.name = Some(name);
                message.answered_at = self.now;
                message.ticket = 0;
                self.announce_kept(sent);
            }
            // The edge passes the error on to the client and asks no other store.
            Err(PutError::QuotaExceeded | PutError::QuotaUnknown) => {
                message.ticket = 0;
                message.is_rejected = !message.is_uncertain;
            }
            Err(error) => {
                message.is_uncertain |= error == PutError::Uncertain;
                if message.ticket == ticket {
                    self.offer(sent);
                }
            }
        }
    }

    fn attempt_ended(
        &mut self,
        at: usize,
        incarnation: u64,
        attempt: u64,
        id: &str,
        outcome: AttemptOutcome,
    ) {
        if !self.runs(at, incarnation) {
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
        if both && self.is_reachable(a, b) && !self.connections.contains_key(&pair) {
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
            let incarnation = self.stores[at].incarnation;
            self.handle(Event::PeerLost { at, other, incarnation });
        }
    }

    fn end_isolation(&mut self, at: usize) {
        self.stores[at].control.is_isolated = false;
        for other in (0..self.stores.len()).filter(|other| *other != at) {
            self.partitions.remove(&(at.min(other), at.max(other)));
            self.schedule(150, Event::Connect { a: at, b: other });
        }
        self.schedule(100, Event::MembersAnnounced);
    }

    /// Runs the simulation until this time.
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
                    let next_event = self.events.pop_first().unwrap().1;
                    self.handle(next_event);
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
