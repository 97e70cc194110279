//! Gathered writes.

use async_io::Async;
use futures_lite::{future, AsyncWrite};
use std::io::{self, IoSlice};
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Slices handed to one write at most.
pub const MAX_SLICES: usize = 64;

pub fn poll_gathered(
    stream: &Async<TcpStream>,
    context: &mut Context,
    slices: &[IoSlice],
) -> Poll<io::Result<usize>> {
    Pin::new(&mut &*stream).poll_write_vectored(context, slices)
}

/// Writes all parts.
pub async fn write_gathered(stream: &Async<TcpStream>, parts: &[&[u8]]) -> io::Result<()> {
    let mut slices: Vec<IoSlice> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut left = slices.as_mut_slice();
    IoSlice::advance_slices(&mut left, 0);
    while !left.is_empty() {
        let shown = &left[..left.len().min(MAX_SLICES)];
        let written = future::poll_fn(|context| poll_gathered(stream, context, shown)).await?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        IoSlice::advance_slices(&mut left, written);
    }
    Ok(())
}
