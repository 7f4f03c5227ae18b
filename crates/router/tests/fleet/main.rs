//! Runs complete fleets on loopback: a real control replica, real routers and stand-in endpoints. Nodes can be killed.
//!
//! Each node has its own runtime, so that killing it ends all its tasks and sockets at once, like the end of a process.
//! No test sleeps for a fixed time to wait for an event; loops poll until they observe it.

#![allow(clippy::disallowed_methods, reason = "the tests check time limits against the clock")]

mod calls;
mod crash;
mod drain;
mod harness;
mod kill;
