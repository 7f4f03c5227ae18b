//! Attempts, outcomes, resumption, retry budgets and quarantine, as state machines without I/O.
