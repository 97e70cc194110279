//! Gathered writes: several buffers with one system call.

use async_io::Async;
use futures_lite::{future, AsyncWrite};
use std::io::{self, IoSlice};
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Buffers of one write at most: well below the system's own bound, and enough for an answer's pages.
pub const MAX_SLICES: usize = 64;

/// Writes as much of `slices` as the socket takes; the result is how many bytes that was.
///
/// # Errors
/// The connection can't be written to.
pub fn poll_gathered(
    stream: &Async<TcpStream>,
    context: &mut Context,
    slices: &[IoSlice],
) -> Poll<io::Result<usize>> {
    Pin::new(&mut &*stream).poll_write_vectored(context, slices)
}

/// Writes all of `parts`.
///
/// # Errors
/// The connection can't be written to.
pub async fn write_gathered(stream: &Async<TcpStream>, parts: &[&[u8]]) -> io::Result<()> {
    let mut slices: Vec<IoSlice> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut unwritten = slices.as_mut_slice();
    // Drops empty parts at the front: a write of nothing but those would look like the end of the stream.
    IoSlice::advance_slices(&mut unwritten, 0);
    while !unwritten.is_empty() {
        let batch = &unwritten[..unwritten.len().min(MAX_SLICES)];
        let written = future::poll_fn(|context| poll_gathered(stream, context, batch)).await?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        IoSlice::advance_slices(&mut unwritten, written);
    }
    Ok(())
}
