//! Router leases, rosters, owners and missing routers, as state machines without I/O.
