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
pub struct Net<A, M> {
    bag: Vec<Envelope<A, M>>,
    cuts: BTreeSet<(A, A)>,
}

impl<A, M> Default for Net<A, M> {
    fn default() -> Net<A, M> {
        Net { bag: Vec::new(), cuts: BTreeSet::new() }
    }
}

impl<A, M> Net<A, M>
where
    A: Copy + Ord,
    M: Clone,
{
    /// Puts a message on its way.
    pub fn send(&mut self, from: A, to: A, message: M) {
        self.bag.push(Envelope { from, to, message });
    }

    /// How many messages are on their way.
    pub fn len(&self) -> usize {
        self.bag.len()
    }

    /// Whether no message is on its way.
    pub fn is_empty(&self) -> bool {
        self.bag.is_empty()
    }

    /// Takes the message that `pick` (modulo the number of messages) names; nothing if there is none or it is lost
    /// in a cut.
    pub fn deliver(&mut self, pick: usize) -> Option<Envelope<A, M>> {
        if self.bag.is_empty() {
            return None;
        }
        let envelope = self.bag.swap_remove(pick % self.bag.len());
        (!self.cuts.contains(&(envelope.from, envelope.to))).then_some(envelope)
    }

    /// Takes the oldest message, as a network does that neither reorders nor delays.
    pub fn deliver_oldest(&mut self) -> Option<Envelope<A, M>> {
        if self.bag.is_empty() {
            return None;
        }
        let envelope = self.bag.remove(0);
        (!self.cuts.contains(&(envelope.from, envelope.to))).then_some(envelope)
    }

    /// Loses a message.
    pub fn lose(&mut self, pick: usize) {
        if !self.bag.is_empty() {
            self.bag.swap_remove(pick % self.bag.len());
        }
    }

    /// Doubles a message.
    pub fn double(&mut self, pick: usize) {
        if !self.bag.is_empty() {
            let copy = self.bag[pick % self.bag.len()].clone();
            self.bag.push(copy);
        }
    }

    /// Loses all that is on its way to `to`, as a restart of it does.
    pub fn lose_to(&mut self, to: A) {
        self.bag.retain(|it| it.to != to);
    }

    /// Cuts the way from one to the other.
    pub fn cut(&mut self, from: A, to: A) {
        self.cuts.insert((from, to));
    }

    /// Mends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }
}
