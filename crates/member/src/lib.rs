//! Decides which router may start work on which endpoint: leases, rosters, owners and missing
//! routers, as state machines without I/O.
//!
//! [`MemberTracker`] runs next to the control leader and proposes rosters. [`MembershipView`] runs
//! in each router and returns the [`Permission`] that this router has on an endpoint at present.
//! Both use [`Owners`], the pure function from a roster to the owner and the standbys of each
//! endpoint. `docs/design/member.md` explains the reasons.

mod damping;
mod lease;
mod members;
mod owners;
mod timing;
mod view;

pub use crate::{
    damping::FlapDamping,
    lease::{Lease, LeasePhase},
    members::{Heartbeat, HeartbeatReply, MemberTracker},
    owners::{Holders, Owners, holders},
    timing::LeaseTiming,
    view::{MembershipView, Permission},
};
