//! How many attempts of a message have failed, as far as one store knows.
//!
//! Two stores may run a message at once: one stands still and wakes as its owner, while another has taken the message over. Each then
//! reads answers that the other has not heard of, and the higher of two totals forgets those of one side. So each store also says how
//! many answers it has read itself; these add up, and none is counted twice, for an answer is read by one store.

use crate::message::Node;
use std::collections::BTreeMap;

/// Answers that said that an attempt had failed, by the store that has read them.
#[derive(Debug, Default)]
struct ReadAnswers(BTreeMap<Node, u32>);

impl ReadAnswers {
    fn sum(&self) -> u32 {
        self.0.values().fold(0, |sum, count| sum.saturating_add(*count))
    }
}

/// Failed attempts of one message. All figures are lower bounds, and only rise.
#[derive(Debug, Default)]
pub(crate) struct FailureCount {
    total: u32,
    /// `None` as long as no store has said what it has read.
    read_answers: Option<Box<ReadAnswers>>,
}

impl FailureCount {
    /// At least so many have failed, whoever has read the answers.
    pub fn at_least(total: u32) -> FailureCount {
        FailureCount { total, read_answers: None }
    }

    /// How many have failed.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// How many of these answers that store has read.
    pub fn read_by(&self, node: Node) -> u32 {
        self.read_answers.as_ref().and_then(|answers| answers.0.get(&node)).copied().unwrap_or(0)
    }

    /// A store has read one more answer.
    pub fn add_read_by(&mut self, node: Node) {
        let read = self.read_by(node).saturating_add(1);
        let total = self.total.saturating_add(1);
        self.raise_read_by(node, read);
        self.raise(total);
    }

    /// A store has read so many answers at least. Whether the total has risen.
    pub fn raise_read_by(&mut self, node: Node, read: u32) -> bool {
        if read <= self.read_by(node) {
            return false;
        }
        let answers = self.read_answers.get_or_insert_default();
        answers.0.insert(node, read);
        let sum = answers.sum();
        self.raise(sum)
    }

    /// At least so many have failed. Whether fewer were known.
    pub fn raise(&mut self, total: u32) -> bool {
        let is_raised = total > self.total;
        self.total = self.total.max(total);
        is_raised
    }

    /// The message has ended: who has read which answers is not needed any more.
    pub fn discard_readers(&mut self) {
        self.read_answers = None;
    }
}

#[cfg(test)]
mod tests;
