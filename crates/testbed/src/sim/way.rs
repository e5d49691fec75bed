//! The ways between nodes and executors in simulated time.

use super::*;

/// Most idle connections that a node keeps to an executor.
const IDLE: usize = 8;

impl Sim<'_> {
    pub(super) fn latency(&self, node: usize, x: usize) -> Time {
        let near = self.nodes[node].domain == self.machines[x].spec.domain;
        ms(if near { self.plan.fleet.near_ms } else { self.plan.fleet.far_ms }).max(1)
    }

    pub(super) fn send(&mut self, node: usize, op: usize, x: usize, leave_by: Time) {
        let now = self.now;
        let push = self.tries[op].flights.len();
        let spec = &self.machines[x].spec;
        let (limit, idle_close) = (spec.connections, spec.idle_close);
        let way = self.weather.way(node, self.nodes[node].domain, x, spec.domain);
        let again = self.sent_again(&way);
        let lat = self.latency(node, x) + way.delay + again;
        self.nodes[node].pushed += 1.0;
        let mut flight = Flight {
            executor: x,
            sent: now,
            arrives: now + lat,
            called_off: false,
            open: false,
            reset: false,
        };
        let idle = self.idle.entry((node, x)).or_default();
        let before = idle.len();
        idle.retain(|since| now - since < idle_close);
        self.connections[x] -= before - idle.len();
        // An op that may be pushed only once goes on a new connection, as the node has it; others on one that is kept.
        let category = self.day.ledger.sheets[op].category;
        let anew = self.plan.category[category].effect == crate::plan::EffectName::AtMostOnce;
        let old = !anew && idle.pop().is_some();
        let refused = !old && (way.refused || !self.machines[x].takes() || self.connections[x] >= limit);
        let outcome = if way.silent() && !old {
            Some((now + ms(self.plan.fleet.dial_ms), Outcome::NotConnected))
        } else if refused {
            Some((now + 2 * lat, Outcome::NotConnected))
        } else {
            None
        };
        if let Some((at, outcome)) = outcome {
            self.tries[op].flights.push(flight);
            self.push_event(at, node, Coming::Ended(op, push, outcome, Vec::new()));
            return;
        }
        if !old {
            self.connections[x] += 1;
            self.day.ledger.connected[x].push(now);
            self.open_connection(x);
            // A handshake goes there and back before the first byte.
            flight.arrives += 2 * lat + ms(self.plan.fleet.handshake_ms);
        }
        if flight.arrives - lat > leave_by {
            // Its connection came up too late: it never leaves.
            self.connections[x] -= 1;
            let at = flight.arrives - lat;
            self.tries[op].flights.push(flight);
            self.push_event(at, node, Coming::Ended(op, push, Outcome::NeverStarted, Vec::new()));
            return;
        }
        if way.dribble {
            flight.arrives += REQUEST as Time;
        }
        flight.open = true;
        let arrives = flight.arrives;
        let broken = way.reset > 0.0 && self.chance.random_bool(way.reset);
        if way.shut_there || way.half_open {
            self.stuck.push((op, push));
        } else if broken && !way.back && way.bytes < REQUEST {
            flight.open = false;
            self.connections[x] -= 1;
            self.push_event(now + 2 * lat, node, Coming::Ended(op, push, Outcome::Cut, Vec::new()));
        } else {
            flight.reset = broken;
            self.push_event(arrives, x, Coming::Push(op, push));
        }
        self.tries[op].flights.push(flight);
    }

    /// The node closes the connection of a push.
    pub(super) fn stop(&mut self, op: usize, push: usize) {
        let (node, flight) = (self.tries[op].node, &self.tries[op].flights[push]);
        let (x, arrives, domain) = (flight.executor, flight.arrives, self.nodes[node].domain);
        let way = self.weather.way(node, domain, x, self.machines[x].spec.domain);
        // Whether or not anything still passes, the node sends no more on it.
        self.stuck.retain(|stuck| *stuck != (op, push));
        let there = self.now + self.latency(node, x) + way.delay;
        if there < arrives {
            // Its connection is not up yet: nothing of it was sent.
            self.tries[op].flights[push].called_off = true;
            self.close(op, push, false);
        } else if !way.shut_there {
            let at = there.max(arrives);
            self.push_event(at, x, Coming::Cancel(op, push));
        } else {
            self.day.ledger.saw(op, self.now, Saw::GivenUp(x));
        }
    }

    pub(super) fn close(&mut self, op: usize, push: usize, keep: bool) {
        let node = self.tries[op].node;
        let flight = &mut self.tries[op].flights[push];
        if std::mem::take(&mut flight.open) {
            let x = flight.executor;
            if keep && self.tries[op].life == self.nodes[node].life && self.nodes[node].up {
                let idle = self.idle.entry((node, x)).or_default();
                idle.push(self.now);
                if idle.len() > IDLE {
                    idle.remove(0);
                    self.connections[x] -= 1;
                }
            } else {
                self.connections[x] -= 1;
            }
        }
    }

    /// How much later a piece comes that may be lost on its way.
    pub(super) fn sent_again(&mut self, way: &Way) -> Time {
        if way.loss > 0.0 && self.chance.random_bool(way.loss) {
            way.again
        } else {
            0
        }
    }
}
