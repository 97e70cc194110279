//! The platform's requirements on the program: its system calls, its dynamic linking, its use of resources, and its
//! behaviour with clocks that stop or jump. A test that cannot run on a machine fails and says so.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod clocks;
mod memory;
mod resources;
mod support;
mod system_calls;
