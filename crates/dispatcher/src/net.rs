//! Socket I/O that retries after transient errors: interrupted calls immediately, and calls that lack buffers after a
//! pause. All reads and writes of connections, datagrams and pipes use this module.
//!
//! The standard library does not retry an interrupted read or write of a socket, and async-io returns the error:
//! without this module it would close the connection.

use async_io::{Async, Timer};
use futures_lite::{future, AsyncWrite};
use std::io::{self, ErrorKind, IoSlice};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Maximum number of buffers in one write: below the system's limit (IOV_MAX), and enough for an answer's pages.
pub const MAX_SLICES: usize = 64;
/// A socket to an engine accepts more bytes only while fewer than this number are unsent (TCP_NOTSENT_LOWAT, tcp(7)).
const MAX_UNSENT_BYTES: libc::c_int = 1;
/// Pause before the retry of a call that failed for lack of a system resource.
pub const RESOURCE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Whether a read or write failed for a transient lack of memory or buffers on this machine (recv(2), send(2)).
pub fn is_lack_of_buffers(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ENOMEM | libc::ENOBUFS))
}

/// Whether opening, binding or connecting a socket failed for a transient reason on this machine: no descriptor, no
/// memory, no free port, no route (socket(2), bind(2), connect(2)). Such an error is not evidence of a fault at the
/// other end.
pub fn is_local_fault(error: &io::Error) -> bool {
    let is_transient = matches!(
        error.raw_os_error(),
        Some(
            libc::EAGAIN
                | libc::ENOMEM
                | libc::ENFILE
                | libc::EMFILE
                | libc::ENOSPC
                | libc::EADDRINUSE
                | libc::EADDRNOTAVAIL
                | libc::ENETDOWN
                | libc::ENETUNREACH
                | libc::ENOBUFS
        )
    );
    is_transient || error.kind() == ErrorKind::Interrupted
}

/// Retries a call while signals interrupt it.
///
/// # Errors
/// The errors of the call, except interruptions.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Calls `read` as soon as data is available, and returns its result: for a stream, the number of bytes read, 0 at the
/// end.
///
/// # Errors
/// The errors of `read`, except interruptions and lack of buffers.
pub async fn read_available<S, T>(
    source: &Async<S>,
    mut read: impl FnMut(&S) -> io::Result<T>,
) -> io::Result<T> {
    loop {
        let result = source
            .read_with(|source| retry_interrupted(|| read(source)))
            .await;
        match result {
            Err(error) if is_lack_of_buffers(&error) => {
                tracing::debug!(%error, "read failed, retrying");
                Timer::after(RESOURCE_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

/// Receives a datagram.
///
/// # Errors
/// The socket has an error; for example, an earlier datagram was refused.
pub async fn receive_datagram(
    socket: &Async<UdpSocket>,
    buffer: &mut [u8],
) -> io::Result<(usize, SocketAddr)> {
    read_available(socket, |socket| socket.recv_from(buffer)).await
}

/// Sends a datagram immediately; if that is not possible, it is not sent.
///
/// # Errors
/// The datagram cannot be sent now, or the address is unreachable.
pub fn send_datagram(
    socket: &Async<UdpSocket>,
    content: &[u8],
    address: SocketAddr,
) -> io::Result<usize> {
    retry_interrupted(|| socket.get_ref().send_to(content, address))
}

/// Limits the unsent bytes in the socket's buffer: the socket accepts more bytes only after it has sent those in its
/// buffer. Further requests stay queued in this program, where they can be withdrawn, and get their time limits only
/// when they are sent. On a system without the option, the socket buffers as usual.
pub fn limit_unsent_bytes(stream: &TcpStream) {
    let limit: libc::c_int = MAX_UNSENT_BYTES;
    let length = size_of::<libc::c_int>() as libc::socklen_t;
    // SAFETY: the socket is open, and the pointer is valid for reading an option value of this length.
    let result = unsafe {
        libc::setsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_NOTSENT_LOWAT,
            std::ptr::from_ref(&limit).cast(),
            length,
        )
    };
    if result != 0 {
        let error = io::Error::last_os_error();
        tracing::debug!(%error, "TCP_NOTSENT_LOWAT not set");
    }
}

/// What the system has received on a connection and not yet passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// No unread bytes, and no end of the stream.
    Idle,
    /// Unread bytes. If they fill the system's receive buffer, the end of the stream may be behind them.
    Readable,
    /// The other end has closed or reset the connection. Bytes before the close may be unread.
    Closed,
}

/// Checks what the system has received on a connection. The check reads no bytes.
///
/// # Errors
/// The errors of poll(2), except interruptions.
pub fn poll_readiness(stream: &TcpStream) -> io::Result<Readiness> {
    let mut poll_entry = libc::pollfd {
        fd: stream.as_raw_fd(),
        events: libc::POLLIN | libc::POLLRDHUP,
        revents: 0,
    };
    // SAFETY: `poll_entry` is one valid entry.
    retry_interrupted(|| match unsafe { libc::poll(&mut poll_entry, 1, 0) } {
        -1 => Err(io::Error::last_os_error()),
        ready => Ok(ready),
    })?;
    let hang_up_events = libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR;
    if poll_entry.revents & hang_up_events != 0 {
        return Ok(Readiness::Closed);
    }
    if poll_entry.revents & libc::POLLIN != 0 {
        return Ok(Readiness::Readable);
    }
    Ok(Readiness::Idle)
}

/// Writes as much of `slices` as the socket accepts, and returns the number of bytes.
///
/// # Errors
/// The connection cannot be written to. The error is transient if [`is_lack_of_buffers`] is true for it.
pub fn poll_write_vectored(
    stream: &Async<TcpStream>,
    context: &mut Context,
    slices: &[IoSlice],
) -> Poll<io::Result<usize>> {
    loop {
        match Pin::new(&mut &*stream).poll_write_vectored(context, slices) {
            Poll::Ready(Err(error)) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Writes all of `parts`.
///
/// # Errors
/// The connection cannot be written to.
pub async fn write_all_vectored(stream: &Async<TcpStream>, parts: &[&[u8]]) -> io::Result<()> {
    let mut slices: Vec<IoSlice> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut unwritten = slices.as_mut_slice();
    // Drops empty parts at the front: a write of only empty parts would return 0, as at the end of the stream.
    IoSlice::advance_slices(&mut unwritten, 0);
    while !unwritten.is_empty() {
        let batch = &unwritten[..unwritten.len().min(MAX_SLICES)];
        match future::poll_fn(|context| poll_write_vectored(stream, context, batch)).await {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => IoSlice::advance_slices(&mut unwritten, written),
            Err(error) if is_lack_of_buffers(&error) => {
                tracing::debug!(%error, "write failed, retrying");
                Timer::after(RESOURCE_RETRY_DELAY).await;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
