//! Who may start work on which endpoint: leases, rosters, owners and missing routers, as state machines without I/O.
//!
//! [`Members`] runs beside the control leader and proposes rosters. [`View`] runs in each router and answers, for an
//! endpoint, which [`Right`] this router has there now. [`Owners`] is the pure function from a roster to owners and
//! standbys that both share. The reasons are in `docs/design/member.md`.

mod damping;
mod lease;
mod members;
mod owners;
mod timing;
mod view;

pub use crate::{
    damping::Damping,
    lease::{Lease, Phase},
    members::{Beat, Members, Reply},
    owners::{Holders, Owners, holders},
    timing::Timing,
    view::{Right, View},
};
