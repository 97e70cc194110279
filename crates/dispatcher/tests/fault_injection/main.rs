//! Fault injection on the real program: failing and interrupted system calls, steps of the wall clock, late and
//! duplicate replies of engines, deadlines that pass while an attempt is queued, connections that engines drop without
//! a reset, and transient failures at startup.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod attempt_completion;
mod dropped_connections;
mod engine_deadline;
mod interrupted_calls;
mod large_list;
mod local_faults;
mod logging;
mod startup;
mod support;
mod wall_clock;
