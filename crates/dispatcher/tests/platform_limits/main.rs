//! The operators' requirements on the program at full size: which system calls it makes, what it links, how few resources
//! it needs, and how it works with clocks that stop or jump. A test that cannot run on a machine fails with that message.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends at the first thing that is not as it should be"
)]

mod clocks;
mod resources;
mod support;
mod system_calls;
