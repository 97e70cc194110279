//! What the hunt before the rollout found, each as a test that forces it: failing and interrupted system calls, steps of
//! the wall clock, deadlines that grew old in a queue, forgotten connections, and starts under failures that pass.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends at the first thing that is not as it should be"
)]

mod forgotten_connections;
mod interrupted_calls;
mod large_list;
mod local_faults;
mod logging;
mod start;
mod support;
mod told_deadline;
mod wall_clock;
