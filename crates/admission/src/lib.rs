//! Team limits, fair queues and refusals with a time to come back, as state machines without I/O.
