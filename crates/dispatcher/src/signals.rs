//! Signals, as items of a stream. Each is written into a pipe of its own and read like any other news; a pipe, because
//! the platform knows no sockets but TCP and UDP.

use async_io::Async;
use futures_lite::{stream, Stream, StreamExt};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use std::ffi::c_int;
use std::io::{self, PipeReader, Read};

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Signal {
    /// SIGTERM or SIGINT.
    Terminate,
    /// SIGHUP.
    Reload,
}

/// An item for each signal, or one for several that came at once.
///
/// # Errors
/// No pipe, or no handler.
pub fn subscribe() -> io::Result<impl Stream<Item = Signal>> {
    let end = stream::or(
        of(SIGTERM, Signal::Terminate)?,
        of(SIGINT, Signal::Terminate)?,
    );
    Ok(stream::or(end, of(SIGHUP, Signal::Reload)?))
}

fn of(number: c_int, signal: Signal) -> io::Result<impl Stream<Item = Signal> + Unpin> {
    let (reader, writer) = io::pipe()?;
    pipe::register(number, writer)?;
    let next = move |reader: Async<PipeReader>| async move {
        reader
            .read_with(|mut pipe| pipe.read(&mut [0; 64]))
            .await
            .ok()
            .filter(|count| *count > 0)?;
        Some((signal, reader))
    };
    Ok(stream::unfold(Async::new(reader)?, next).boxed())
}
