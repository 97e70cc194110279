//! Signals as a stream.
//!
//! The handler of each signal raises a flag and writes into a pipe, which is read like any other input. It is a pipe because
//! the platform knows no sockets but TCP and UDP; and a signal that comes before anyone reads is kept in it. One pipe serves
//! all signals: the driver looks at it at each wake-up.

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

/// Bytes read from the pipe at once; each is one signal.
const READ_BYTES: usize = 64;
/// Pause after an error of the pipe, so that a lasting one does not take all processor time.
const ERROR_PAUSE: Duration = Duration::from_millis(20);
/// What each signal asks for, the most urgent first.
const SIGNALS: [(c_int, Signal); 4] = [
    (SIGTERM, Signal::Terminate),
    (SIGINT, Signal::Terminate),
    (SIGHUP, Signal::Reload),
    (SIGUSR1, Signal::DumpTrace),
];

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Signal {
    /// SIGTERM or SIGINT: drain and end.
    Terminate,
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGUSR1: write the last events to the log.
    DumpTrace,
}

/// A signal's flag: raised by its handler, lowered when it is taken.
struct Raised {
    flag: Arc<AtomicBool>,
    signal: Signal,
}

/// The pipe, and what was raised and not yet given out.
struct Receiver {
    pipe: Async<PipeReader>,
    raised: Vec<Raised>,
    pending: VecDeque<Signal>,
}

/// Installs the handlers. The stream has an item for each signal, or one for several of a kind that came at once.
///
/// # Errors
/// A pipe could not be made, or a handler not installed.
pub fn subscribe() -> io::Result<impl Stream<Item = Signal>> {
    let (reader, writer) = io::pipe()?;
    let mut raised = Vec::new();
    for (number, signal) in SIGNALS {
        let flag = Arc::new(AtomicBool::new(false));
        // In this order: the flag is up when the pipe is read.
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
    /// The next signal. The stream never ends: an ended one must not be polled again, and the driver polls it for good.
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
