//! Signals as a stream.
//!
//! The handler of each signal sets a flag and writes a byte to a pipe, which is read like any other input. One pipe
//! serves all signals. A pipe is used because the platform allows only TCP and UDP sockets, and because the pipe keeps
//! the byte of a signal that arrives before the first read.

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

/// Maximum number of bytes in one read of the pipe; each byte stands for one signal.
const READ_BYTES: usize = 64;
/// Pause after an error of the pipe, so that a permanent error does not use all processor time.
const ERROR_PAUSE: Duration = Duration::from_millis(20);
/// The request that each signal stands for, the most urgent first.
const SIGNALS: [(c_int, Signal); 4] = [
    (SIGTERM, Signal::Terminate),
    (SIGINT, Signal::Terminate),
    (SIGHUP, Signal::Reload),
    (SIGUSR1, Signal::DumpTrace),
];

/// The request that a signal stands for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Signal {
    /// SIGTERM or SIGINT: drain and exit.
    Terminate,
    /// SIGHUP: reload the configuration and the operators' file.
    Reload,
    /// SIGUSR1: write the most recent trace events to the log.
    DumpTrace,
}

/// The flag of a signal: set by the signal's handler, cleared when the signal is queued for the stream.
struct SignalFlag {
    flag: Arc<AtomicBool>,
    signal: Signal,
}

/// The state of the stream: the pipe, the flags, and the queue of signals that the stream has not returned yet.
struct Receiver {
    pipe: Async<PipeReader>,
    flags: Vec<SignalFlag>,
    pending: VecDeque<Signal>,
}

/// Installs the handlers and returns a stream of signals. Several signals of one kind may be merged into one item.
///
/// # Errors
/// The pipe cannot be created, or a handler cannot be installed.
pub fn subscribe() -> io::Result<impl Stream<Item = Signal>> {
    let (reader, writer) = io::pipe()?;
    let mut flags = Vec::new();
    for (number, signal) in SIGNALS {
        let flag = Arc::new(AtomicBool::new(false));
        // Handlers run in the order of registration: the flag is set before the pipe can be read.
        flag::register(number, flag.clone())?;
        pipe::register(number, writer.try_clone()?)?;
        flags.push(SignalFlag { flag, signal });
    }
    let receiver = Receiver {
        pipe: Async::new(reader)?,
        flags,
        pending: VecDeque::new(),
    };
    Ok(stream::unfold(receiver, Receiver::next).boxed())
}

impl Receiver {
    /// The next signal. The stream never ends: the driver polls it for as long as the program runs, and a stream must
    /// not be polled after its end.
    async fn next(mut self) -> Option<(Signal, Self)> {
        loop {
            if let Some(signal) = self.pending.pop_front() {
                return Some((signal, self));
            }
            let read = read_available(&self.pipe, |mut pipe| pipe.read(&mut [0; READ_BYTES]));
            if let Err(error) = read.await {
                tracing::warn!(%error, "cannot read the signal pipe");
                Timer::after(ERROR_PAUSE).await;
            }
            for entry in &self.flags {
                if entry.flag.swap(false, Ordering::SeqCst) {
                    self.pending.push_back(entry.signal);
                }
            }
        }
    }
}
