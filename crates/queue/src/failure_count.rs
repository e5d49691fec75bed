//! Counts the failed attempts of a message, as far as one store knows.
//!
//! Two stores may run a message at the same time: one process is paused and wakes up believing that it owns the
//! message, while another store has taken it over. Each store then reads responses that the other has not heard of, and
//! taking the higher of two totals would lose the failures seen by one side. Each store therefore also reports how many
//! responses it has read itself. These numbers add up without counting any response twice, because each response is
//! read by only one store.

use crate::message::Node;
use std::collections::BTreeMap;

/// Numbers of responses that reported a failed attempt, by the store that read them.
#[derive(Debug, Default)]
struct ReadResponses(BTreeMap<Node, u32>);

impl ReadResponses {
    fn sum(&self) -> u32 {
        self.0.values().fold(0, |sum, count| sum.saturating_add(*count))
    }
}

/// Number of failed attempts of one message. All values are lower bounds and only increase.
#[derive(Debug, Default)]
pub(crate) struct FailureCount {
    total: u32,
    /// Responses read by each store; `None` until a store has reported any.
    read_responses: Option<Box<ReadResponses>>,
}

impl FailureCount {
    /// Creates a count of at least `total` failed attempts, without the stores that read the responses.
    pub fn at_least(total: u32) -> FailureCount {
        FailureCount { total, read_responses: None }
    }

    /// Lower bound of the number of failed attempts.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Number of failure responses that the store `node` is known to have read.
    pub fn read_by(&self, node: Node) -> u32 {
        self.read_responses.as_ref().and_then(|responses| responses.0.get(&node)).copied().unwrap_or(0)
    }

    /// Counts one more failure response, read by the store `node`.
    pub fn add_read_by(&mut self, node: Node) {
        let read = self.read_by(node).saturating_add(1);
        let total = self.total.saturating_add(1);
        self.raise_read_by(node, read);
        self.raise(total);
    }

    /// Records that the store `node` has read at least `read` failure responses. Returns whether the total has
    /// increased.
    pub fn raise_read_by(&mut self, node: Node, read: u32) -> bool {
        if read <= self.read_by(node) {
            return false;
        }
        let responses = self.read_responses.get_or_insert_default();
        responses.0.insert(node, read);
        let sum = responses.sum();
        self.raise(sum)
    }

    /// Raises the total to at least `total` failed attempts. Returns whether it has increased.
    pub fn raise(&mut self, total: u32) -> bool {
        let is_raised = total > self.total;
        self.total = self.total.max(total);
        is_raised
    }

    /// Discards the numbers per store, which are not needed once the message has ended.
    pub fn discard_readers(&mut self) {
        self.read_responses = None;
    }
}

#[cfg(test)]
mod tests;
