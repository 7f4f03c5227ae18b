//! A simulated network of messages in flight.

use std::collections::BTreeSet;

/// A message in flight.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Envelope<A, M> {
    /// The sender.
    pub from: A,
    /// The receiver.
    pub to: A,
    /// The message.
    pub message: M,
}

/// The messages that were sent and not yet delivered.
///
/// The caller picks the message to deliver, drop or duplicate next. Links are blocked in one
/// direction, and a message that is delivered over a blocked link is lost.
#[derive(Clone, Debug)]
pub struct Network<A, M> {
    in_flight: Vec<Envelope<A, M>>,
    blocked_links: BTreeSet<(A, A)>,
}

impl<A, M> Default for Network<A, M> {
    fn default() -> Network<A, M> {
        Network { in_flight: Vec::new(), blocked_links: BTreeSet::new() }
    }
}

impl<A, M> Network<A, M>
where
    A: Copy + Ord,
    M: Clone,
{
    /// Sends a message.
    pub fn send(&mut self, from: A, to: A, message: M) {
        self.in_flight.push(Envelope { from, to, message });
    }

    /// Returns the number of messages in flight.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether no message is in flight.
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Removes and returns the message at index `index` modulo the number of messages. Returns
    /// `None` if there is no message or if its link is blocked, in which case it is lost.
    pub fn deliver(&mut self, index: usize) -> Option<Envelope<A, M>> {
        if self.in_flight.is_empty() {
            return None;
        }
        let envelope = self.in_flight.swap_remove(index % self.in_flight.len());
        (!self.blocked_links.contains(&(envelope.from, envelope.to))).then_some(envelope)
    }

    /// Removes and returns the message at index 0, as a network does that neither reorders nor
    /// delays. It is the oldest message unless [`Network::deliver`] or [`Network::drop_message`]
    /// removed one out of order. Returns `None` in the same cases as [`Network::deliver`].
    pub fn deliver_oldest(&mut self) -> Option<Envelope<A, M>> {
        if self.in_flight.is_empty() {
            return None;
        }
        let envelope = self.in_flight.remove(0);
        (!self.blocked_links.contains(&(envelope.from, envelope.to))).then_some(envelope)
    }

    /// Drops the message at index `index` modulo the number of messages.
    pub fn drop_message(&mut self, index: usize) {
        if !self.in_flight.is_empty() {
            self.in_flight.swap_remove(index % self.in_flight.len());
        }
    }

    /// Duplicates the message at index `index` modulo the number of messages.
    pub fn duplicate(&mut self, index: usize) {
        if !self.in_flight.is_empty() {
            let copy = self.in_flight[index % self.in_flight.len()].clone();
            self.in_flight.push(copy);
        }
    }

    /// Drops all messages to `to`, as a restart of the receiver does.
    pub fn drop_all_to(&mut self, to: A) {
        self.in_flight.retain(|it| it.to != to);
    }

    /// Blocks the link from `from` to `to`. The opposite direction is not affected.
    pub fn block(&mut self, from: A, to: A) {
        self.blocked_links.insert((from, to));
    }

    /// Returns whether the link from `from` to `to` is blocked.
    pub fn is_blocked(&self, from: A, to: A) -> bool {
        self.blocked_links.contains(&(from, to))
    }

    /// Unblocks all links.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }
}
