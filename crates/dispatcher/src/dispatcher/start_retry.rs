//! Retries startup steps that fail transiently, such as binding an address that is still in use, with exponential
//! backoff. A permanent error ends the startup immediately.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum total time of all steps, including retries. The platform allows 10 s until a dispatcher is ready.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(8);
/// Backoff before the first retry. It doubles with each retry.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);
/// Maximum backoff between two retries.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The time limit that all steps of one startup share.
#[derive(Debug, Clone, Copy)]
pub struct StartRetry {
    deadline: Instant,
}

impl StartRetry {
    /// Starts the time limit.
    pub fn begin() -> Self {
        StartRetry {
            deadline: Instant::now() + MAX_STARTUP_TIME,
        }
    }

    /// Runs `operation` until it succeeds, fails permanently, or the next retry would exceed the time limit. `step`
    /// names the operation in the log.
    ///
    /// # Errors
    /// The error of the last try.
    pub fn run<T>(self, step: &str, mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        let mut backoff = FIRST_BACKOFF;
        loop {
            match operation() {
                Err(error) if is_transient(&error) && Instant::now() + backoff < self.deadline => {
                    tracing::warn!(
                        step,
                        %error,
                        retry_after_ms = backoff.as_millis(),
                        "address not bound or resource exhausted, retrying"
                    );
                    thread::sleep(backoff);
                    backoff = (2 * backoff).min(MAX_BACKOFF);
                }
                result => return result,
            }
        }
    }
}

/// Whether an error of socket, bind, listen, open or pipe is transient (socket(2), bind(2), listen(2)). An address
/// that is not local, or that the process is not permitted to bind, is a permanent error.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::EINTR
                | libc::EAGAIN
                | libc::ENOMEM
                | libc::ENFILE
                | libc::EMFILE
                | libc::ENOSPC
                | libc::EIO
                | libc::EADDRINUSE
                | libc::ENETDOWN
                | libc::ENOBUFS
        )
    )
}
