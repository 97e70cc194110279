//! Retry with exponential backoff for steps of the start that fail transiently, such as binding an address that is still
//! in use. A permanent error ends the start at once.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// Total time of all steps, retries included. The platform allows 10 s until a dispatcher is ready.
const MAX_START_TIME: Duration = Duration::from_secs(8);
/// Backoff before the first retry. It doubles with each retry.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest backoff between two retries.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// The retries of one start.
#[derive(Debug, Clone, Copy)]
pub struct StartRetry {
    until: Instant,
}

impl StartRetry {
    /// Starts the time limit.
    pub fn begin() -> Self {
        StartRetry {
            until: Instant::now() + MAX_START_TIME,
        }
    }

    /// Runs a step until it succeeds, fails permanently, or the time limit leaves no further retry. The log names it
    /// `step`.
    ///
    /// # Errors
    /// The last error of the step.
    pub fn run<T>(self, step: &str, mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        let mut pause = FIRST_PAUSE;
        loop {
            match attempt() {
                Err(error) if is_transient(&error) && Instant::now() + pause < self.until => {
                    tracing::warn!(
                        step,
                        %error,
                        retry_after_ms = pause.as_millis(),
                        "address not bound or resource short, trying again"
                    );
                    thread::sleep(pause);
                    pause = (2 * pause).min(MAX_PAUSE);
                }
                result => return result,
            }
        }
    }
}

/// Whether an error of socket, bind, listen, open or pipe is transient (socket(2), bind(2), listen(2)). An address that
/// is not local, or that the process may not bind, is a permanent error.
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
