//! The task of one connection: connects, then reads and writes until the connection closes.
//!
//! [`Connection`](crate::engine::connection::Connection) holds the state and does no I/O; this module owns the
//! socket. The [`ChannelHandler`] handles the events.

use super::connect::connect;
use super::error::ChannelError;
use super::handler::ChannelHandler;
use super::Channel;
use crate::engine::protocol_error::ProtocolError;
use crate::engine::resp;
use crate::net::{
    is_lack_of_buffers, limit_unsent_bytes, poll_write_vectored, read_available, MAX_SLICES,
    RESOURCE_RETRY_DELAY,
};
use async_io::{Async, Timer};
use futures_lite::future;
use std::io::{self, IoSlice, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::task::{Context, Poll};

/// Result of one step of the writer.
enum WriteStep {
    /// The connection is retired, with nothing in flight and nothing left to write. It can be closed.
    Done,
    /// Number of bytes written.
    Wrote(usize),
}

/// Runs a connection from its connect to its close.
pub async fn run<H: ChannelHandler>(handler: Rc<H>, channel: Rc<Channel>, address: SocketAddr) {
    let result = serve(&handler, &channel, address).await;
    handler.on_closed(&channel, result.as_ref().err());
}

async fn serve<H: ChannelHandler>(
    handler: &Rc<H>,
    channel: &Rc<Channel>,
    address: SocketAddr,
) -> Result<(), ChannelError> {
    let stream = connect(handler, channel, address).await?;
    handler.on_connected(channel);
    // A failure is ignored because it costs only latency: with Nagle's algorithm a small request waits until the one
    // before is acknowledged.
    let _ = stream.get_ref().set_nodelay(true);
    limit_unsent_bytes(stream.get_ref());
    let io = ChannelIo {
        handler: &**handler,
        channel,
        stream: &stream,
    };
    future::or(io.read(), io.write()).await
}

/// An open connection and its socket.
struct ChannelIo<'a, H> {
    handler: &'a H,
    channel: &'a Channel,
    stream: &'a Async<TcpStream>,
}

impl<H: ChannelHandler> ChannelIo<'_, H> {
    // ---- Writing ----

    /// Writes the outbox until the connection is retired and nothing is in flight.
    async fn write(&self) -> Result<(), ChannelError> {
        loop {
            match future::poll_fn(|context| self.poll_write(context)).await {
                Ok(WriteStep::Done) => return Ok(()),
                Ok(WriteStep::Wrote(0)) => {
                    return Err(io::Error::from(io::ErrorKind::WriteZero).into());
                }
                Ok(WriteStep::Wrote(count)) => {
                    self.channel.connection.borrow_mut().advance(count);
                    self.handler.on_written(self.channel);
                }
                Err(ChannelError::Io(error)) if is_lack_of_buffers(&error) => {
                    tracing::debug!(%error, "write to engine failed for lack of buffers, retrying");
                    Timer::after(RESOURCE_RETRY_DELAY).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn poll_write(&self, context: &mut Context) -> Poll<Result<WriteStep, ChannelError>> {
        // Consumes a stored notification, and registers this task for the next one.
        while self.channel.notify.poll_notified(context).is_ready() {}
        let begun_attempt = self.handler.on_writable(self.channel);
        let connection = self.channel.connection.borrow();
        if let Some(reason) = connection.close_reason() {
            return Poll::Ready(Err(reason.into()));
        }
        if !connection.has_unwritten() {
            let is_done = connection.is_retired() && connection.in_flight() == 0;
            return if is_done {
                Poll::Ready(Ok(WriteStep::Done))
            } else {
                Poll::Pending
            };
        }
        let mut slices: Vec<IoSlice> = Vec::with_capacity(MAX_SLICES);
        connection.slices(&mut slices, MAX_SLICES);
        let written = poll_write_vectored(self.stream, context, &slices);
        if let (Poll::Ready(Ok(count)), Some(begun_attempt)) = (&written, begun_attempt) {
            if connection.reaches_next_request(*count) {
                self.handler.on_attempt_begun(self.channel, &begun_attempt);
            }
        }
        written.map_ok(WriteStep::Wrote).map_err(ChannelError::Io)
    }

    // ---- Reading ----

    /// Handles frames until the engine closes the connection.
    async fn read(&self) -> Result<(), ChannelError> {
        let mut inbox = Vec::new();
        loop {
            let count = self.receive(&mut inbox).await?;
            if count == 0 {
                return Ok(());
            }
            // Keeps an engine that sends continuously from starving other tasks.
            future::yield_now().await;
            self.handle_frames(&mut inbox)?;
            let now_ms = self.handler.clock().now();
            let mut connection = self.channel.connection.borrow_mut();
            connection.set_partial_frame(!inbox.is_empty(), now_ms);
            if connection.has_unwritten() || connection.is_retired() {
                self.channel.notify.notify();
            }
        }
    }

    /// Appends received bytes to `inbox` and returns their number, 0 at the end of the stream.
    async fn receive(&self, inbox: &mut Vec<u8>) -> io::Result<usize> {
        let mut read = |mut stream: &TcpStream| {
            let mut buffer = self.handler.read_buffer().borrow_mut();
            let count = stream.read(&mut buffer[..])?;
            inbox.extend_from_slice(&buffer[..count]);
            Ok(count)
        };
        read_available(self.stream, |stream| read(stream)).await
    }

    /// Handles and removes the complete frames at the start of `inbox`.
    fn handle_frames(&self, inbox: &mut Vec<u8>) -> Result<(), ProtocolError> {
        let mut handled = 0;
        while let Some(frame) = resp::parse(&inbox[handled..])? {
            handled += frame.size;
            self.handler.on_frame(self.channel, &frame)?;
        }
        inbox.drain(..handled);
        if inbox.is_empty() {
            // Frees the buffer: idle connections hold no memory.
            *inbox = Vec::new();
        }
        Ok(())
    }
}
