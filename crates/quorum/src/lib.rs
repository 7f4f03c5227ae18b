//! The replicated log as a state machine without I/O.
