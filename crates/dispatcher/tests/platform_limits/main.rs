//! What the operators' page on days at full size asks of the program itself, without their bench: which system calls it
//! makes, what it links, how few resources it needs, and clocks that are not the machine's. A test that this machine
//! can't run fails and says so.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends at the first thing that is not as it should be"
)]

mod clocks;
mod resources;
mod support;
mod system_calls;
