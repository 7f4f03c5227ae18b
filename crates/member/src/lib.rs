//! Who may start work on which endpoint: leases, rosters, owners and missing routers, as state machines without I/O.
//!
//! [`MemberTracker`] runs beside the control leader and proposes rosters. [`MembershipView`] runs in each router and answers, for an
//! endpoint, which [`Permission`] this router has there now. [`Owners`] is the pure function from a roster to owners and
//! standbys that both share. The reasons are in `docs/design/member.md`.

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
