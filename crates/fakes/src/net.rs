//! One bag of undelivered messages.

use std::collections::BTreeSet;

/// A message on its way.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Envelope<A, M> {
    /// Who sent it.
    pub from: A,
    /// Who should get it.
    pub to: A,
    /// The message.
    pub message: M,
}

/// All messages that were sent and not yet delivered, in no order.
///
/// The caller picks the message to deliver, lose or double next; cuts are one way and lose what crosses them.
#[derive(Clone, Debug)]
pub struct Network<A, M> {
    in_flight: Vec<Envelope<A, M>>,
    blocked: BTreeSet<(A, A)>,
}

impl<A, M> Default for Network<A, M> {
    fn default() -> Network<A, M> {
        Network { in_flight: Vec::new(), blocked: BTreeSet::new() }
    }
}

impl<A, M> Network<A, M>
where
    A: Copy + Ord,
    M: Clone,
{
    /// Puts a message on its way.
    pub fn send(&mut self, from: A, to: A, message: M) {
        self.in_flight.push(Envelope { from, to, message });
    }

    /// How many messages are on their way.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether no message is on its way.
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Takes the message that `pick` (modulo the number of messages) names; nothing if there is none or it is lost
    /// in a cut.
    pub fn deliver(&mut self, pick: usize) -> Option<Envelope<A, M>> {
        if self.in_flight.is_empty() {
            return None;
        }
        let envelope = self.in_flight.swap_remove(pick % self.in_flight.len());
        (!self.blocked.contains(&(envelope.from, envelope.to))).then_some(envelope)
    }

    /// Takes the oldest message, as a network does that neither reorders nor delays.
    pub fn deliver_oldest(&mut self) -> Option<Envelope<A, M>> {
        if self.in_flight.is_empty() {
            return None;
        }
        let envelope = self.in_flight.remove(0);
        (!self.blocked.contains(&(envelope.from, envelope.to))).then_some(envelope)
    }

    /// Loses a message.
    pub fn drop_message(&mut self, pick: usize) {
        if !self.in_flight.is_empty() {
            self.in_flight.swap_remove(pick % self.in_flight.len());
        }
    }

    /// Doubles a message.
    pub fn duplicate(&mut self, pick: usize) {
        if !self.in_flight.is_empty() {
            let copy = self.in_flight[pick % self.in_flight.len()].clone();
            self.in_flight.push(copy);
        }
    }

    /// Loses all that is on its way to `to`, as a restart of it does.
    pub fn drop_all_to(&mut self, to: A) {
        self.in_flight.retain(|it| it.to != to);
    }

    /// Cuts the way from one to the other.
    pub fn block(&mut self, from: A, to: A) {
        self.blocked.insert((from, to));
    }

    /// Mends all cuts.
    pub fn heal(&mut self) {
        self.blocked.clear();
    }
}
