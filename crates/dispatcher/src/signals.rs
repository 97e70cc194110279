//! Signals as a stream.
//!
//! The handler of each signal writes into a pipe of its own, which is read like any other input. It is a pipe because
//! the platform knows no sockets but TCP and UDP; and a signal that comes before anyone reads is kept in it.

use crate::net::read_available;
use async_io::Async;
use futures_lite::{stream, Stream, StreamExt};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::low_level::pipe;
use std::ffi::c_int;
use std::io::{self, PipeReader, Read};

/// Bytes read from a pipe at once; each is one signal, and all of them make one item.
const READ_BYTES: usize = 64;

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

/// Installs the handlers. The stream has an item for each signal, or one for several that came at once.
///
/// # Errors
/// A pipe could not be made, or a handler not installed.
pub fn subscribe() -> io::Result<impl Stream<Item = Signal>> {
    let terminate = stream::or(
        stream_of(SIGTERM, Signal::Terminate)?,
        stream_of(SIGINT, Signal::Terminate)?,
    );
    let reload = stream_of(SIGHUP, Signal::Reload)?;
    let dump = stream_of(SIGUSR1, Signal::DumpTrace)?;
    Ok(stream::or(terminate, stream::or(reload, dump)))
}

fn stream_of(number: c_int, signal: Signal) -> io::Result<impl Stream<Item = Signal> + Unpin> {
    let (reader, writer) = io::pipe()?;
    pipe::register(number, writer)?;
    let next = move |reader: Async<PipeReader>| async move {
        let read = read_available(&reader, |mut pipe| pipe.read(&mut [0; READ_BYTES]));
        let count = read.await.ok()?;
        (count > 0).then_some((signal, reader))
    };
    Ok(stream::unfold(Async::new(reader)?, next).boxed())
}
