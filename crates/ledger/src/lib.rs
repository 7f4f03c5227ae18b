//! Claims and recorded answers of non-idempotent requests, as a state machine without I/O.
