//! Steps of a start that the system refuses for a moment: tried again with a backoff, for as long as a start may take.
//! What can't pass ends the start at once.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// How long a start tries in all: the platform allows 10 s until a dispatcher is ready.
const MAX_START_TIME: Duration = Duration::from_secs(8);
/// Pause before the first retry; each further one is twice as long, up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// The retries of one start.
#[derive(Debug, Clone, Copy)]
pub struct StartRetry {
    until: Instant,
}

impl StartRetry {
    /// The start begins now.
    pub fn begin() -> Self {
        StartRetry {
            until: Instant::now() + MAX_START_TIME,
        }
    }

    /// Tries a step until it succeeds, fails for good or the start's time is over. `step` names it in the log.
    ///
    /// # Errors
    /// The last error of the step.
    pub fn run<T>(self, step: &str, mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        let mut pause = FIRST_PAUSE;
        loop {
            match attempt() {
                Err(error) if may_pass(&error) && Instant::now() + pause < self.until => {
                    tracing::warn!(step, %error, retry_after_ms = pause.as_millis(), "address not bound or resource short, trying again");
                    thread::sleep(pause);
                    pause = (2 * pause).min(MAX_PAUSE);
                }
                result => return result,
            }
        }
    }
}

/// Whether an error of socket, bind, listen, open or pipe may pass without anyone's help (socket(2), bind(2), listen(2)).
/// An address that is not this machine's, or that may not be used, stays so.
fn may_pass(error: &io::Error) -> bool {
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
