//! The leader's lease, and reads that rely on it.

use {
    crate::{
        core::{Core, Role},
        event::{Action, Actions},
        lead::Read,
    },
    model::{ReplicaId, Term, Time},
};

impl Core {
    /// The term that this replica leads and until when nobody else can, if it leads, knows everything that earlier
    /// leaders committed, its lease has not ended, and there are enough voters to take commands.
    pub fn leading(&self, now: Time) -> Option<(Term, Time)> {
        self.leased(now).filter(|_| self.has_voters())
    }

    /// As [`Core::leading`], but in a group that may still be too small.
    pub(crate) fn leased(&self, now: Time) -> Option<(Term, Time)> {
        let Role::Leader(lead) = &self.role else { return None };
        let until = self.lease_until(now)?;
        (self.commit >= lead.first && now < until).then_some((self.hard.term, until))
    }

    pub(crate) fn on_read(&mut self, now: Time, token: u64, actions: &mut Actions) {
        let Role::Leader(lead) = &mut self.role else {
            actions.push(Action::ReadFailed { token });
            return;
        };
        lead.reads.push(Read { token, asked: now });
        self.settle_reads(now, actions);
    }

    /// Answers the reads that a lease or a later heartbeat round covers.
    pub(crate) fn settle_reads(&mut self, now: Time, actions: &mut Actions) {
        let start = self.lease_start(now);
        let leading = self.leased(now).is_some();
        let index = self.commit;
        let Role::Leader(lead) = &mut self.role else { return };
        if index < lead.first {
            return;
        }
        lead.reads.retain(|it| {
            let ready = leading || start >= it.asked;
            if ready {
                actions.push(Action::ReadReady { token: it.token, index });
            }
            !ready
        });
    }

    /// When the latest message was sent that a majority has answered; zero if there is none.
    ///
    /// It counts from the sending: a replica that answered refuses its vote for an election timeout from when it
    /// received the message, which is later.
    pub(crate) fn lease_start(&self, now: Time) -> Time {
        let Role::Leader(lead) = &self.role else { return Time::default() };
        let acked = |it: ReplicaId| lead.peers.get(&it).map(|it| it.acked).unwrap_or_default();
        self.log.members().reached(|it| if it == self.id { now } else { acked(it) })
    }

    pub(crate) fn has_voters(&self) -> bool {
        self.log.members().voters().count() >= self.config.voters
    }

    pub(crate) fn lease_until(&self, now: Time) -> Option<Time> {
        let start = self.lease_start(now);
        (start > Time::default()).then(|| start + self.config.lease)
    }
}
