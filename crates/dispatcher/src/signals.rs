//! Signals as a stream.
//!
//! The handler of each signal sets a flag and writes to a pipe, which is read like any other input. A pipe is used because the
//! platform allows only TCP and UDP sockets, and because it stores a signal that arrives before the first read. One pipe
//! serves all signals.

use crate::net::read_available;
use async_io::{Async, Timer};
use futures_lite::{stream, Stream, StreamExt};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::flag;
use signal_hook::low_level::pipe;
use std::collections::VecDeque;
use std::ffi::c_int;
use std::io::{self, PipeReader, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of bytes in one read of the pipe; each byte is one signal.
const READ_BYTES: usize = 64;
/// Pause after an error of the pipe, so that a permanent one does not use all processor time.
const ERROR_PAUSE: Duration = Duration::from_millis(20);
/// The request of each signal, the most urgent first.
const SIGNALS: [(c_int, Signal); 4] = [
    (SIGTERM, Signal::Terminate),
    (SIGINT, Signal::Terminate),
    (SIGHUP, Signal::Reload),
    (SIGUSR1, Signal::DumpTrace),
];

/// The request of a signal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Signal {
    /// SIGTERM or SIGINT: drain and exit.
    Terminate,
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGUSR1: write the last events to the log.
    DumpTrace,
}

/// A signal's flag: set by its handler, cleared when the signal is returned.
struct Raised {
    flag: Arc<AtomicBool>,
    signal: Signal,
}

/// The pipe, the flags, and the signals that are not returned yet.
struct Receiver {
    pipe: Async<PipeReader>,
    raised: Vec<Raised>,
    pending: VecDeque<Signal>,
}

/// Installs the handlers. The stream has one item for each signal; several signals of one kind may become one item.
///
/// # Errors
/// A pipe could not be created, or a handler not installed.
pub fn subscribe() -> io::Result<impl Stream<Item = Signal>> {
    let (reader, writer) = io::pipe()?;
    let mut raised = Vec::new();
    for (number, signal) in SIGNALS {
        let flag = Arc::new(AtomicBool::new(false));
        // In this order: the flag is set before the pipe can be read.
        flag::register(number, flag.clone())?;
        pipe::register(number, writer.try_clone()?)?;
        raised.push(Raised { flag, signal });
    }
    let receiver = Receiver {
        pipe: Async::new(reader)?,
        raised,
        pending: VecDeque::new(),
    };
    Ok(stream::unfold(receiver, Receiver::next).boxed())
}

impl Receiver {
    /// The next signal. The stream never ends: the driver polls it for as long as it runs, and a stream must not be polled
    /// after its end.
    async fn next(mut self) -> Option<(Signal, Self)> {
        loop {
            if let Some(signal) = self.pending.pop_front() {
                return Some((signal, self));
            }
            let read = read_available(&self.pipe, |mut pipe| pipe.read(&mut [0; READ_BYTES]));
            if let Err(error) = read.await {
                tracing::warn!(%error, "signal pipe not read");
                Timer::after(ERROR_PAUSE).await;
            }
            for raised in &self.raised {
                if raised.flag.swap(false, Ordering::SeqCst) {
                    self.pending.push_back(raised.signal);
                }
            }
        }
    }
}
